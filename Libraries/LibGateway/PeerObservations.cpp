#include "LibGateway/PeerMessenger.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

// The part of PeerMessenger that exchanges what hosts observed: attempts that
// broke, outcomes at endpoints, and organisations' requests.

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Suspect attempts older than this aren't sent to peers any more. Until then
/// each is in several datagrams, as some get lost.
constexpr std::chrono::seconds kMaxSuspectAge{ 3 };
/// Maximum number of suspect attempts in one datagram, which keeps it small.
constexpr std::size_t kMaxSuspects = 32;

} // namespace

json
PeerMessenger::SuspectRows() const
{
  json rows = json::array();
  const base::Instant now = base::MonotonicNow();
  for (const fleet::SuspectAttempt& attempt :
       shared_.suspects_.BrokenAttempts(now)) {
    if (now - attempt.brokeAt_ > kMaxSuspectAge ||
        rows.size() == kMaxSuspects) {
      continue;
    }
    // Sends ages, as hosts' clocks differ.
    rows.push_back({ attempt.content_,
                     attempt.endpoint_,
                     attempt.isRetry_,
                     base::ToMs(now - attempt.brokeAt_) });
  }
  return rows;
}

void
PeerMessenger::HandleSuspects(const json& aRows)
{
  const base::Instant now = base::MonotonicNow();
  for (const json& row : aRows) {
    const std::chrono::milliseconds age{ row.at(3).get<std::uint32_t>() };
    shared_.suspects_.RecordBroken({ row.at(0).get<std::uint64_t>(),
                                     row.at(1).get<std::string>(),
                                     row.at(2).get<bool>(),
                                     now - age });
  }
}

void
PeerMessenger::AddObservations(json& aContent) const
{
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
  // Both are left out if empty, and by gateways of earlier versions.
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
