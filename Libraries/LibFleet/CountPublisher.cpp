#include "LibFleet/CountPublisher.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// Time between two messages with all counts: a lost datagram is made good
/// after this time.
constexpr base::Duration kWholeInterval{ std::chrono::milliseconds{ 100 } };

/// The shortest time between two messages. Within it, hosts may choose the same
/// place: at 100 ms, 1 in 8 requests that were sent to the last free place of
/// an engine waited for over 280 ms there, at 25 ms 1 in 26 (18 engines, 5
/// hosts, 150 requests a second).
constexpr base::Duration kMinInterval{ std::chrono::milliseconds{ 10 } };

/// Each peer's share of the interval: bounds what a host hears.
constexpr base::Duration kIntervalOfEachPeer{ std::chrono::microseconds{
  2500 } };

} // namespace

base::Duration
CountPublisher::Interval(std::size_t aPeers)
{
  return std::clamp<base::Duration>(
    kIntervalOfEachPeer * aPeers, kMinInterval, kWholeInterval);
}

std::optional<CountUpdate>
CountPublisher::Next(std::span<const PeerCount> aCounts, base::Instant aNow)
{
  std::map<std::string, PeerCount> current;
  for (const PeerCount& count : aCounts) {
    current.emplace(count.endpoint_, count);
  }
  CountUpdate update;
  update.isWhole_ = !wholeAt_ || aNow - *wholeAt_ >= kWholeInterval;
  for (const auto& [endpoint, count] : current) {
    const auto told = told_.find(endpoint);
    if (update.isWhole_ || told == told_.end() || told->second != count) {
      update.counts_.push_back(count);
    }
  }
  for (const auto& [endpoint, count] : told_) {
    if (!update.isWhole_ && !current.contains(endpoint)) {
      update.counts_.push_back({ endpoint, {}, false, count.startedAtMs_ });
    }
  }
  told_ = std::move(current);
  if (update.isWhole_) {
    wholeAt_ = aNow;
  } else if (update.counts_.empty()) {
    return std::nullopt;
  }
  return update;
}

} // namespace pumiceturn::fleet
