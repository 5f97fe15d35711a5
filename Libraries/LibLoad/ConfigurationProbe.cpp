#include "LibLoad/ConfigurationProbe.h"

#include <algorithm>

namespace pumiceturn::load {

namespace {

constexpr std::chrono::milliseconds kPoll{ 20 };
constexpr std::chrono::seconds kLongestWait{ 15 };

/// @return whether the status shows at least this version on every linked host
/// and endpoint.
bool
HasEverywhere(const operations::StatusReply& aStatus, std::uint64_t aVersion)
{
  const auto isBehind = [&](const auto& aPeer) {
    return aPeer.linked() && aPeer.configuration_version() < aVersion;
  };
  return aStatus.configuration_version() >= aVersion &&
         std::none_of(
           aStatus.hosts().begin(), aStatus.hosts().end(), isBehind) &&
         std::none_of(
           aStatus.endpoints().begin(), aStatus.endpoints().end(), isBehind);
}

/// Applies the change.
/// @return the new version, 0 where it was not accepted.
std::uint64_t
ApplyChange(client::Client& aClient)
{
  const auto read = base::Capture([&] { return aClient.GetConfiguration(0); });
  const auto* current = std::get_if<declarations::Configuration>(&read);
  if (current == nullptr || current->declarations().partners().empty()) {
    return 0;
  }
  operations::ApplyRequest request;
  *request.mutable_declarations() = current->declarations();
  declarations::Partner& partner =
    *request.mutable_declarations()->mutable_partners(0);
  partner.set_batch_share(partner.batch_share() == 0 ? 1 : 0);
  request.set_expected_version(current->version());
  request.set_author("load");
  const auto applied = base::Capture([&] { return aClient.Apply(request); });
  const auto* outcome = std::get_if<client::ApplyOutcome>(&applied);
  return outcome == nullptr ? 0 : outcome->version_;
}

/// @return whether every entry that answers shows the version everywhere.
bool
IsEverywhere(std::vector<client::Client>& aEntries, std::uint64_t aVersion)
{
  bool hasAnswer = false;
  for (client::Client& entry : aEntries) {
    const auto outcome = base::Capture([&] { return entry.GetStatus(); });
    const auto* status = std::get_if<operations::StatusReply>(&outcome);
    if (status == nullptr) {
      continue; // It cannot be reached, so no caller reaches it either.
    }
    hasAnswer = true;
    if (!HasEverywhere(*status, aVersion)) {
      return false;
    }
  }
  return hasAnswer;
}

ConfigurationSpread
MeasureOne(client::Client& aClient,
           std::vector<client::Client>& aEntries,
           StopSignal& aStop)
{
  ConfigurationSpread spread;
  spread.version_ = ApplyChange(aClient);
  spread.isAccepted_ = spread.version_ != 0;
  if (!spread.isAccepted_) {
    return spread;
  }
  const base::Instant accepted = base::MonotonicNow();
  const base::Instant latest = accepted + kLongestWait;
  do {
    spread.isEverywhere_ = IsEverywhere(aEntries, spread.version_);
  } while (!spread.isEverywhere_ && base::MonotonicNow() < latest &&
           aStop.WaitUntil(base::MonotonicNow() + kPoll));
  spread.spreadMs_ =
    std::chrono::duration<double, std::milli>(base::MonotonicNow() - accepted)
      .count();
  return spread;
}

} // namespace

std::vector<ConfigurationSpread>
RunConfigurationChanges(const LoadPlan& aPlan,
                        const client::Client::Options& aOptions,
                        base::Instant aStart,
                        StopSignal& aStop)
{
  std::vector<ConfigurationSpread> spreads;
  client::Client client(aOptions);
  std::vector<client::Client> entries;
  for (const std::string& entry : aOptions.entries_) {
    client::Client::Options one = aOptions;
    one.entries_ = { entry };
    entries.emplace_back(std::move(one));
  }
  std::vector<double> moments(aPlan.configuration_changes_at_s().begin(),
                              aPlan.configuration_changes_at_s().end());
  std::sort(moments.begin(), moments.end());
  for (const double moment : moments) {
    const auto at = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(moment));
    if (!aStop.WaitUntil(aStart + at)) {
      break;
    }
    spreads.push_back(MeasureOne(client, entries, aStop));
  }
  return spreads;
}

} // namespace pumiceturn::load
