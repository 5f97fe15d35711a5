#include "LibFleet/CountPublisher.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// Time between two updates with all counts, which make up for lost datagrams.
constexpr base::Duration kFullUpdateInterval{ std::chrono::milliseconds{
  100 } };

/// Minimum time between updates. Hosts that choose within this time don't know
/// of each other's choice and may take the same free slot.
constexpr base::Duration kMinInterval{ std::chrono::milliseconds{ 10 } };

/// Bounds the rate of datagrams that a host receives.
constexpr base::Duration kIntervalPerPeer{ std::chrono::microseconds{ 2500 } };

} // namespace

base::Duration
CountPublisher::Interval(std::size_t aPeers)
{
  return std::clamp<base::Duration>(
    kIntervalPerPeer * aPeers, kMinInterval, kFullUpdateInterval);
}

std::optional<CountUpdate>
CountPublisher::Next(std::span<const EndpointCounts> aCounts,
                     base::Instant aNow)
{
  std::map<std::string, EndpointCounts> current;
  for (const EndpointCounts& count : aCounts) {
    current.emplace(count.endpoint_, count);
  }
  CountUpdate update;
  update.isFull_ =
    !lastFullUpdateAt_ || aNow - *lastFullUpdateAt_ >= kFullUpdateInterval;
  for (const auto& [endpoint, count] : current) {
    const auto published = published_.find(endpoint);
    if (published == published_.end() || published->second != count) {
      update.changes_.push_back(count);
    }
    if (update.isFull_) {
      update.counts_.push_back(count);
    }
  }
  for (const auto& [endpoint, count] : published_) {
    if (!current.contains(endpoint)) {
      update.changes_.push_back({ endpoint, {}, false, count.startedAtMs_ });
    }
  }
  if (!update.isFull_) {
    update.counts_ = update.changes_;
  }
  published_ = std::move(current);
  if (update.isFull_) {
    lastFullUpdateAt_ = aNow;
  } else if (update.counts_.empty()) {
    return std::nullopt;
  }
  return update;
}

} // namespace pumiceturn::fleet
