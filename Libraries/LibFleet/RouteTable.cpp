#include "LibFleet/RouteTable.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace pumiceturn::fleet {

bool
RouteTable::Install(Declarations aDeclarations)
{
  if (aDeclarations.version_ <= version_) {
    return false;
  }
  version_ = aDeclarations.version_;
  limits_ = aDeclarations.limits_;
  healthPaths_ = std::move(aDeclarations.healthPaths_);
  organisations_.Install(std::move(aDeclarations.organisations_));
  routes_.clear();
  hasCappedRoutes_ = false;
  longestStreamTimeout_ = base::Duration::zero();
  for (Route& route : aDeclarations.routes_) {
    hasCappedRoutes_ |=
      route.kind_ == RequestKind::BatchJob && route.waitingTokenCap_ > 0;
    if (route.kind_ == RequestKind::Stream && route.isResumable_) {
      longestStreamTimeout_ = std::max(longestStreamTimeout_, route.timeout_);
    }
    routes_[route.hostName_].push_back(std::move(route));
  }
  for (auto& [name, routes] : routes_) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route& aLeft, const Route& aRight) {
                       return aLeft.pathPrefix_.size() >
                              aRight.pathPrefix_.size();
                     });
  }
  highestPriority_ = FindHighestPriority();
  return true;
}

std::string
RouteTable::HealthPathOf(const std::string& aService) const
{
  const auto found = healthPaths_.find(aService);
  return found == healthPaths_.end() ? std::string() : found->second;
}

std::uint32_t
RouteTable::FindHighestPriority() const
{
  std::uint32_t highest = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [name, routes] : routes_) {
    for (const Route& route : routes) {
      if (route.kind_ != RequestKind::BatchJob) {
        highest = std::min(highest, route.priority_);
      }
    }
  }
  return organisations_.HighestPriority(highest);
}

std::uint32_t
RouteTable::RankOf(const Route& aRoute, std::string_view aOrganisation) const
{
  const Organisation* organisation = organisations_.FindByName(aOrganisation);
  const std::uint32_t priority =
    organisation != nullptr ? organisation->priority_.value_or(aRoute.priority_)
                            : aRoute.priority_;
  return priority - std::min(priority, highestPriority_);
}

const Route*
RouteTable::Find(std::string_view aHostName, std::string_view aPath) const
{
  const auto found = routes_.find(aHostName);
  if (found == routes_.end()) {
    return nullptr;
  }
  const auto& routes = found->second;
  const auto route =
    std::find_if(routes.begin(), routes.end(), [aPath](const Route& aRoute) {
      return aPath.starts_with(aRoute.pathPrefix_);
    });
  return route == routes.end() ? nullptr : &*route;
}

void
RouteTable::ForEach(const std::function<void(const Route&)>& aFunction) const
{
  for (const auto& [name, routes] : routes_) {
    for (const Route& route : routes) {
      aFunction(route);
    }
  }
}

const Route*
RouteTable::FindCapped(std::string_view aHostName, std::string_view aPath) const
{
  if (!hasCappedRoutes_) {
    return nullptr;
  }
  const Route* route = Find(aHostName, aPath);
  return route != nullptr && route->waitingTokenCap_ > 0 ? route : nullptr;
}

const std::string&
RouteTable::ChooseService(const Route& aRoute, double aRandom)
{
  assert(!aRoute.targets_.empty());
  double total = 0.0;
  for (const RouteTarget& target : aRoute.targets_) {
    total += target.weight_;
  }
  double remaining = aRandom * total;
  for (const RouteTarget& target : aRoute.targets_) {
    remaining -= target.weight_;
    if (remaining < 0.0) {
      return target.service_;
    }
  }
  return aRoute.targets_.back().service_;
}

std::vector<std::string>
RouteTable::ServicesOf(const Route& aRoute)
{
  std::vector<std::string> services;
  for (const RouteTarget& target : aRoute.targets_) {
    if (target.weight_ > 0.0) {
      services.push_back(target.service_);
    }
  }
  if (services.empty()) {
    services.push_back(aRoute.targets_.back().service_);
  }
  return services;
}

const std::string*
RouteTable::ChooseServiceAmong(
  const Route& aRoute,
  double aRandom,
  const std::function<bool(const std::string&)>& aCanTake)
{
  std::vector<const RouteTarget*> able;
  double total = 0.0;
  for (const RouteTarget& target : aRoute.targets_) {
    if (target.weight_ > 0.0 && aCanTake(target.service_)) {
      able.push_back(&target);
      total += target.weight_;
    }
  }
  double remaining = aRandom * total;
  for (const RouteTarget* target : able) {
    remaining -= target->weight_;
    if (remaining < 0.0) {
      return &target->service_;
    }
  }
  return able.empty() ? nullptr : &able.back()->service_;
}

} // namespace pumiceturn::fleet
