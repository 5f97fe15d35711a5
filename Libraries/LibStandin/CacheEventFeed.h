#pragma once

#include "LibBase/Time.h"
#include "LibStandin/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace pumiceturn::standin {

struct PublishedChange
{
  std::uint64_t sequence_ = 0;
  PrefixChange change_;
};

/// Publishes cache changes late and with gaps, as engines do. Sequence numbers
/// are given before events are lost, so that a reader can see the gap. Not
/// thread-safe.
class CacheEventFeed
{
public:
  static constexpr std::size_t kMaxKept = 8192;

  void Append(const PrefixChange& aChange, base::Instant aNow);

  /// Loses one of so many events from now on; 0 loses none.
  void SetLoseOneOf(std::uint64_t aCount) { loseOneOf_ = aCount; }

  /// Begins again from sequence number 1, as a restarted engine does.
  void Restart();

  /// @return events after a sequence number that are older than the delay.
  [[nodiscard]] std::vector<PublishedChange> ReadAfter(
    std::uint64_t aAfter,
    base::Duration aDelay,
    base::Instant aNow) const;

private:
  struct Kept
  {
    PublishedChange event_;
    base::Instant time_;
  };

  std::deque<Kept> kept_;
  std::uint64_t lastSequence_ = 0;
  std::uint64_t loseOneOf_ = 0;
};

} // namespace pumiceturn::standin
