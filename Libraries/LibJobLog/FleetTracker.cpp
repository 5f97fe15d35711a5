#include "LibJobLog/FleetTracker.h"

#include <set>
#include <utility>

namespace pumiceturn::joblog {

FleetTracker::FleetTracker(std::string aSelf,
                           std::string aFailureDomain,
                           base::Instant aNow)
  : self_(std::move(aSelf))
  , failureDomain_(std::move(aFailureDomain))
  , startedAt_(aNow)
{
  FleetView view;
  view.self_ = self_;
  view.keepers_.push_back(
    KeeperView{ self_, failureDomain_, true, false, aNow });
  view_ = std::make_shared<FleetView>(std::move(view));
}

bool
FleetTracker::Update(const LogPorts& aPorts, base::Instant aNow)
{
  std::vector<ListedKeeper> listed = aPorts.listKeepers_();
  std::erase_if(listed, [this](const ListedKeeper& aKeeper) {
    return aKeeper.host_ == self_;
  });
  listed.push_back(ListedKeeper{ self_, failureDomain_, false });
  const std::lock_guard lock(mutex_);
  bool hasChanged = false;
  std::set<std::string> names;
  for (const ListedKeeper& keeper : listed) {
    names.insert(keeper.host_);
    auto [held, isNew] = keepers_.try_emplace(keeper.host_);
    const KeeperView before = held->second;
    held->second.host_ = keeper.host_;
    held->second.failureDomain_ = keeper.failureDomain_;
    held->second.isLeaving_ = keeper.isLeaving_;
    if (isNew) {
      held->second.lostSince_ = startedAt_;
    }
    hasChanged = hasChanged || isNew || before != held->second;
  }
  for (auto keeper = keepers_.begin(); keeper != keepers_.end();) {
    KeeperView& view = keeper->second;
    const bool isUp = view.host_ == self_ || aPorts.isUp_(view.host_);
    const bool isListed = names.contains(view.host_);
    if (!isListed && !isUp) {
      keeper = keepers_.erase(keeper);
      hasChanged = true;
      continue;
    }
    if (view.isUp_ && !isUp) {
      view.lostSince_ = aNow;
    }
    hasChanged =
      hasChanged || view.isUp_ != isUp || (!isListed && !view.isLeaving_);
    view.isUp_ = isUp;
    view.isLeaving_ = view.isLeaving_ || !isListed;
    ++keeper;
  }
  if (!hasChanged) {
    return false;
  }
  FleetView view;
  view.self_ = self_;
  for (const auto& [name, keeper] : keepers_) {
    view.keepers_.push_back(keeper);
  }
  view_ = std::make_shared<FleetView>(std::move(view));
  return true;
}

FleetTracker::ViewPointer
FleetTracker::View() const
{
  const std::lock_guard lock(mutex_);
  return view_;
}

} // namespace pumiceturn::joblog
