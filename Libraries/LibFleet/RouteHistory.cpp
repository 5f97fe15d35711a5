#include "LibFleet/RouteHistory.h"

#include <utility>

namespace pumiceturn::fleet {

std::string
RouteHistory::NameOf(const std::string& aService)
{
  return "shares-route:" + aService;
}

RouteHistory::Services::const_iterator
RouteHistory::FindCovering(const Services& aServices, std::string_view aKey)
{
  // Prefixes end with a slash, and host names have none.
  while (!aKey.empty()) {
    const auto found = aServices.find(aKey);
    if (found != aServices.end()) {
      return found;
    }
    aKey.remove_suffix(1);
    aKey = aKey.substr(0, aKey.rfind('/') + 1);
  }
  return aServices.end();
}

void
RouteHistory::Inherit(const std::string& aFrom,
                      const std::string& aTo,
                      base::Instant aNow)
{
  for (const std::string& service : history_.VersionsOf(aFrom)) {
    history_.Observe(aTo, service, aNow);
  }
}

void
RouteHistory::Relate(const std::set<std::string>& aServices, base::Instant aNow)
{
  for (const std::string& service : aServices) {
    for (const std::string& other : aServices) {
      if (other != service) {
        recent_.Observe(NameOf(service), other, aNow);
      }
    }
  }
}

void
RouteHistory::Update(const RouteTable& aRoutes, base::Instant aNow)
{
  const Services former = std::exchange(current_, {});
  aRoutes.ForEach([this](const Route& aRoute) {
    if (aRoute.kind_ == RequestKind::Stream && aRoute.isResumable_) {
      current_.emplace(aRoute.hostName_ + aRoute.pathPrefix_,
                       RouteTable::ServicesOf(aRoute));
    }
  });
  // A route's paths come from the route that covered it before it was added,
  // and go to the one that covers it once it is removed.
  for (const auto& [key, services] : current_) {
    const auto before = FindCovering(former, key);
    if (before != former.end() && before->first != key) {
      Inherit(before->first, key, aNow);
    }
  }
  for (const auto& [key, services] : former) {
    const auto after = FindCovering(current_, key);
    if (after != current_.end() && after->first != key) {
      Inherit(key, after->first, aNow);
    }
  }
  for (const auto& [key, services] : current_) {
    for (const std::string& service : services) {
      history_.Observe(key, service, aNow);
    }
    Relate(history_.VersionsOf(key), aNow);
  }
}

void
RouteHistory::Refresh(base::Duration aLifetime, base::Instant aNow)
{
  for (const auto& [key, services] : current_) {
    for (const std::string& service : services) {
      history_.Observe(key, service, aNow);
    }
    Relate({ services.begin(), services.end() }, aNow);
  }
  history_.Expire(aLifetime, aNow);
}

std::set<std::string>
RouteHistory::RelatedTo(const std::string& aService) const
{
  return recent_.VersionsOf(NameOf(aService));
}

} // namespace pumiceturn::fleet
