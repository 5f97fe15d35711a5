#include "LibDispatch/RunQueue.h"

namespace pumiceturn::dispatch {

void
RunQueue::PushOnline(Run& aRun)
{
  aRun.onlineQueueKey_ = nextSequence_++;
  online_.emplace(aRun.onlineQueueKey_, &aRun);
}

void
RunQueue::PushBatch(Run& aRun, base::Instant aLatestStart)
{
  aRun.batchQueueKey_ = { aLatestStart, nextSequence_++ };
  batch_.emplace(aRun.batchQueueKey_, &aRun);
}

void
RunQueue::Remove(Run& aRun)
{
  if (aRun.IsOnline()) {
    online_.erase(aRun.onlineQueueKey_);
    return;
  }
  batch_.erase(aRun.batchQueueKey_);
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
