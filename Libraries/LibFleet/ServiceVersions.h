#pragma once

#include "LibBase/Time.h"
#include "LibFleet/StreamOrigin.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace pumiceturn::fleet {

/// The software versions that each service's endpoints had within the lifetime
/// of a stream: any of them may have begun a stream that is resumed now. Not
/// thread-safe.
class ServiceVersions
{
public:
  using Versions = std::set<std::string>;

  /// Records that an endpoint of the service has the version.
  /// @return whether the service had no such version before.
  bool Observe(const std::string& aService,
               const std::string& aVersion,
               base::Instant aNow);

  /// Records that another host has observed a version. Leaves a version that
  /// this host has observed as it is.
  void Learn(const std::string& aService,
             const std::string& aVersion,
             base::Instant aNow);

  /// Drops versions that no endpoint had for a time.
  void Expire(base::Duration aLifetime, base::Instant aNow);

  /// @return the versions of a service; empty if none is known.
  [[nodiscard]] Versions VersionsOf(std::string_view aService) const;

  /// @return those of VersionsOf() that this host has observed itself.
  [[nodiscard]] Versions ObservedVersionsOf(std::string_view aService) const;

  /// @return the versions of a service, each with the service.
  [[nodiscard]] OriginSet OriginsOf(const std::string& aService) const;

  /// @return all services that have a version.
  [[nodiscard]] std::set<std::string> Services() const;

private:
  struct Sighting
  {
    base::Instant lastSeenAt_;
    bool isOwn_ = false; ///< Observed, not only learnt of.
  };
  using Sightings = std::map<std::string, Sighting>; ///< By version.
  std::map<std::string, Sightings, std::less<>> services_;
};

} // namespace pumiceturn::fleet
