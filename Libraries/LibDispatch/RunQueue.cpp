#include "LibDispatch/RunQueue.h"

namespace pumiceturn::dispatch {

void
RunQueue::PushOnline(Run& aRun)
{
  aRun.onlineTicket_ = nextTicket_++;
  online_.emplace(aRun.onlineTicket_, &aRun);
}

void
RunQueue::PushBatch(Run& aRun, base::Instant aLatestStart)
{
  aRun.batchTicket_ = { aLatestStart, nextTicket_++ };
  batch_.emplace(aRun.batchTicket_, &aRun);
}

void
RunQueue::Remove(Run& aRun)
{
  if (aRun.IsOnline()) {
    online_.erase(aRun.onlineTicket_);
    return;
  }
  batch_.erase(aRun.batchTicket_);
}

Run*
RunQueue::FirstOnline() const
{
  return online_.empty() ? nullptr : online_.begin()->second;
}

Run*
RunQueue::FirstBatch() const
{
  return batch_.empty() ? nullptr : batch_.begin()->second;
}

} // namespace pumiceturn::dispatch
