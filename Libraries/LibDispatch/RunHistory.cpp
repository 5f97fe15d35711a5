#include "LibDispatch/RunHistory.h"

namespace pumiceturn::dispatch {

namespace {

wire::RunId
ItemOf(const wire::RunId& aRun)
{
  return wire::RunId{ aRun.job_, aRun.item_, 0 };
}

} // namespace

void
RunHistory::RecordEnd(const wire::RunEnded& aEnded)
{
  const wire::RunId run = aEnded.run_;
  if (!ended_.try_emplace(run, aEnded).second) {
    return;
  }
  endedOrder_.push_back(run);
  if (endedOrder_.size() > kMaxEnded) {
    ended_.erase(endedOrder_.front());
    endedOrder_.pop_front();
  }
}

const wire::RunEnded*
RunHistory::Find(const wire::RunId& aRun) const
{
  const auto found = ended_.find(aRun);
  return found == ended_.end() ? nullptr : &found->second;
}

void
RunHistory::AddItemThatMayHaveRun(const wire::RunId& aRun)
{
  const wire::RunId item = ItemOf(aRun);
  if (!items_.insert(item).second) {
    return;
  }
  itemOrder_.push_back(item);
  if (itemOrder_.size() > kMaxItems) {
    items_.erase(itemOrder_.front());
    itemOrder_.pop_front();
  }
}

void
RunHistory::RemoveItemThatDidNotRun(const wire::RunId& aRun)
{
  items_.erase(ItemOf(aRun));
}

bool
RunHistory::MayHaveRun(const wire::RunId& aRun) const
{
  return items_.contains(ItemOf(aRun));
}

} // namespace pumiceturn::dispatch
