#pragma once

#include "LibFleet/RouteTable.h"
#include "LibFleet/ServiceVersions.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::fleet {

/// Knows which services share a route for resumable streams, or did within the
/// lifetime of a stream, as the operator moved the route from one to the other:
/// a stream that is resumed at one of them may have begun at the other. Not
/// thread-safe.
class RouteHistory
{
public:
  /// @param aRecent Keeps for each service those that share a route with it, by
  ///                NameOf(), and expires them.
  explicit RouteHistory(ServiceVersions& aRecent)
    : recent_(aRecent)
  {
  }

  /// @return the name under which the services that share a route with a
  ///         service are kept.
  [[nodiscard]] static std::string NameOf(const std::string& aService);

  /// Handles the routes that were just installed.
  void Update(const RouteTable& aRoutes, base::Instant aNow);

  /// Keeps what the routes in force say from expiring, and drops the rest.
  /// @param aLifetime Of streams.
  void Refresh(base::Duration aLifetime, base::Instant aNow);

  /// @return the other services that may have begun a stream of this one's
  ///         routes.
  [[nodiscard]] std::set<std::string> RelatedTo(
    const std::string& aService) const;

private:
  /// Services by the host name and the path prefix of their route.
  using Services = std::map<std::string, std::vector<std::string>, std::less<>>;

  /// @return the route that gets requests for a route's paths if there is no
  ///         such route itself: the one with the longest prefix.
  [[nodiscard]] static Services::const_iterator FindCovering(
    const Services& aServices,
    std::string_view aKey);

  /// Adds the services that one route had to those that another had.
  void Inherit(const std::string& aFrom,
               const std::string& aTo,
               base::Instant aNow);

  /// Records that any of the services may have begun a stream of the others.
  void Relate(const std::set<std::string>& aServices, base::Instant aNow);

  ServiceVersions& recent_;
  Services current_; ///< Of the routes that are in force.
  /// The services that each route had of late, also of removed routes.
  ServiceVersions history_;
};

} // namespace pumiceturn::fleet
