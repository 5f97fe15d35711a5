#include "LibFleet/EventNumbering.h"

namespace pumiceturn::fleet {

void
EventNumbering::Begin(std::uint64_t aLastEvent)
{
  lastNumber_ = aLastEvent;
  counts_ = {};
}

void
EventNumbering::Record(const StreamEvent& aEvent)
{
  ++counts_.events_;
  if (aEvent.id_ == 0) {
    ++counts_.unnumbered_;
    return;
  }
  counts_.first_ = counts_.first_ == 0 ? aEvent.id_ : counts_.first_;
  counts_.last_ = aEvent.id_;
  if (aEvent.id_ <= lastNumber_) {
    ++counts_.repeated_;
    return;
  }
  counts_.skipped_ += aEvent.id_ - lastNumber_ - 1;
  lastNumber_ = aEvent.id_;
}

} // namespace pumiceturn::fleet
