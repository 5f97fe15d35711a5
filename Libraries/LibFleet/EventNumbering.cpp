#include "LibFleet/EventNumbering.h"

namespace pumiceturn::fleet {

void
EventNumbering::Begin(std::uint64_t aLastEvent)
{
  lastNumber_ = aLastEvent;
  counts_ = {};
}

EventPlace
EventNumbering::Record(const StreamEvent& aEvent)
{
  if (aEvent.id_ == 0 && !aEvent.hasData_) {
    return EventPlace::NoEvent;
  }
  ++counts_.events_;
  if (aEvent.id_ == 0) {
    ++counts_.unnumbered_;
    return EventPlace::Unnumbered;
  }
  counts_.first_ = counts_.first_ == 0 ? aEvent.id_ : counts_.first_;
  counts_.last_ = aEvent.id_;
  if (aEvent.id_ <= lastNumber_) {
    ++counts_.repeated_;
    return EventPlace::Elsewhere;
  }
  const std::uint64_t skipped = aEvent.id_ - lastNumber_ - 1;
  counts_.skipped_ += skipped;
  lastNumber_ = aEvent.id_;
  return skipped == 0 ? EventPlace::Next : EventPlace::Elsewhere;
}

} // namespace pumiceturn::fleet
