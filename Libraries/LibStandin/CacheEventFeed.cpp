#include "LibStandin/CacheEventFeed.h"

namespace pumiceturn::standin {

void
CacheEventFeed::Append(const PrefixChange& aChange, base::Instant aNow)
{
  ++lastSequence_;
  if (loseOneOf_ != 0 && lastSequence_ % loseOneOf_ == 0) {
    return;
  }
  kept_.push_back(Kept{ PublishedChange{ lastSequence_, aChange }, aNow });
  if (kept_.size() > kMaxKept) {
    kept_.pop_front();
  }
}

void
CacheEventFeed::Restart()
{
  kept_.clear();
  lastSequence_ = 0;
}

std::vector<PublishedChange>
CacheEventFeed::ReadAfter(std::uint64_t aAfter,
                          base::Duration aDelay,
                          base::Instant aNow) const
{
  std::vector<PublishedChange> events;
  for (const Kept& kept : kept_) {
    if (kept.time_ + aDelay > aNow) {
      break;
    }
    if (kept.event_.sequence_ > aAfter) {
      events.push_back(kept.event_);
    }
  }
  return events;
}

} // namespace pumiceturn::standin
