#include "LibJobLog/FleetView.h"

#include <algorithm>
#include <set>

namespace pumiceturn::joblog {

const KeeperView*
FleetView::Find(std::string_view aHost) const
{
  const auto keeper = std::find_if(
    keepers_.begin(), keepers_.end(), [&](const KeeperView& aKeeper) {
      return aKeeper.host_ == aHost;
    });
  return keeper == keepers_.end() ? nullptr : &*keeper;
}

bool
FleetView::IsUp(std::string_view aHost) const
{
  const KeeperView* keeper = Find(aHost);
  return keeper != nullptr && keeper->isUp_;
}

base::Duration
FleetView::LostFor(std::string_view aHost, base::Instant aNow) const
{
  const KeeperView* keeper = Find(aHost);
  if (keeper == nullptr) {
    return base::Duration::max();
  }
  return keeper->isUp_ ? base::Duration{ 0 } : aNow - keeper->lostSince_;
}

std::size_t
FleetView::CountUpDomains() const
{
  std::set<std::string> domains;
  for (const KeeperView& keeper : keepers_) {
    if (keeper.isUp_) {
      domains.insert(DomainOf(keeper.host_));
    }
  }
  return domains.size();
}

std::string
FleetView::DomainOf(std::string_view aHost) const
{
  const KeeperView* keeper = Find(aHost);
  if (keeper == nullptr || keeper->failureDomain_.empty()) {
    return std::string(aHost);
  }
  return keeper->failureDomain_;
}

} // namespace pumiceturn::joblog
