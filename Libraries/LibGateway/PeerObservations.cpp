#include "LibGateway/PeerMessenger.h"

#include "LibGateway/CrashReports.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

// The part of PeerMessenger that exchanges what hosts observed: attempts that
// broke, outcomes at endpoints, and organisations' requests.

namespace pumiceturn::gateway {

using nlohmann::json;

void
PeerMessenger::SendCrashNews(base::Instant aNow)
{
  if (!shared_.crashes_.TakeHasNews()) {
    return;
  }
  const std::vector<std::uint8_t> message = json::to_cbor(
    { { "host", ownHost_ },
      { "crash_news",
        EncodeCrashEvidence(shared_.crashes_.Report(aNow), aNow) } });
  for (const auto& [name, peer] : peers_) {
    SendTo(peer.address_, DatagramKind::CrashNews, message);
  }
}

void
PeerMessenger::HandleCrashEvidence(const json& aMessage, base::Instant aNow)
{
  shared_.crashes_.Merge(DecodeCrashEvidence(aMessage, aNow));
  UpdateCrashVerdicts(shared_, aNow);
}

std::vector<std::string>
PeerMessenger::ReachableEntryHosts() const
{
  std::vector<std::string> hosts;
  for (const auto& [name, peer] : peers_) {
    if (!peer.isWorker_ && IsReachable(name)) {
      hosts.push_back(name);
    }
  }
  return hosts;
}

void
PeerMessenger::AddObservations(json& aContent) const
{
  const base::Instant now = base::MonotonicNow();
  if (json crashes = EncodeCrashEvidence(shared_.crashes_.Report(now), now);
      !crashes.empty()) {
    aContent["crashes"] = std::move(crashes);
  }
  json outcomes = json::array();
  for (const fleet::EndpointOutcomes& row :
       shared_.endpoints_.Outliers().OutcomesToReport(base::MonotonicNow())) {
    outcomes.push_back({ row.endpoint_,
                         row.startedAtMs_,
                         row.recent_.successes_,
                         row.recent_.failures_,
                         row.total_.successes_,
                         row.total_.failures_ });
  }
  if (!outcomes.empty()) {
    aContent["outcomes"] = std::move(outcomes);
  }
  json organisations = json::array();
  for (const fleet::OrganisationCount& count :
       shared_.fairShare_.CountsToReport(base::MonotonicNow())) {
    organisations.push_back({ count.organisation_, count.inFlight_ });
  }
  if (!organisations.empty()) {
    aContent["organisations"] = std::move(organisations);
  }
}

void
PeerMessenger::HandleObservations(const std::string& aPeer,
                                  const json& aMessage,
                                  base::Instant aNow)
{
  // All are left out if empty, and by gateways of earlier versions.
  if (const auto crashes = aMessage.find("crashes");
      crashes != aMessage.end()) {
    HandleCrashEvidence(*crashes, aNow);
  }
  std::vector<fleet::EndpointOutcomes> outcomes;
  for (const json& row : aMessage.value("outcomes", json::array())) {
    if (outcomes.size() == fleet::OutlierDetector::kMaxReported) {
      break;
    }
    outcomes.push_back(
      { row.at(0).get<std::string>(),
        row.at(1).get<std::int64_t>(),
        { row.at(2).get<std::uint32_t>(), row.at(3).get<std::uint32_t>() },
        { row.at(4).get<std::uint32_t>(), row.at(5).get<std::uint32_t>() } });
  }
  shared_.endpoints_.SetPeerOutcomes(aPeer, outcomes, aNow);
  std::vector<fleet::OrganisationCount> counts;
  for (const json& row : aMessage.value("organisations", json::array())) {
    if (counts.size() == fleet::FairShare::kMaxReported) {
      break;
    }
    counts.push_back(
      { row.at(0).get<std::string>(), row.at(1).get<std::uint32_t>() });
  }
  shared_.fairShare_.SetPeerCounts(aPeer, counts, aNow);
}

} // namespace pumiceturn::gateway
