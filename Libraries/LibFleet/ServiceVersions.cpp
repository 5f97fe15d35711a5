#include "LibFleet/ServiceVersions.h"

namespace pumiceturn::fleet {

bool
ServiceVersions::Observe(const std::string& aService,
                         const std::string& aVersion,
                         base::Instant aNow)
{
  return services_[aService]
    .insert_or_assign(aVersion, Sighting{ aNow, true })
    .second;
}

void
ServiceVersions::Learn(const std::string& aService,
                       const std::string& aVersion,
                       base::Instant aNow)
{
  services_[aService].try_emplace(aVersion, Sighting{ aNow, false });
}

void
ServiceVersions::Expire(base::Duration aLifetime, base::Instant aNow)
{
  for (auto& [service, sightings] : services_) {
    std::erase_if(sightings, [&](const auto& aEntry) {
      return aNow - aEntry.second.lastSeenAt_ > aLifetime;
    });
  }
  std::erase_if(services_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

ServiceVersions::Versions
ServiceVersions::VersionsOf(std::string_view aService) const
{
  Versions versions;
  if (const auto found = services_.find(aService); found != services_.end()) {
    for (const auto& [version, sighting] : found->second) {
      versions.insert(version);
    }
  }
  return versions;
}

ServiceVersions::Versions
ServiceVersions::ObservedVersionsOf(std::string_view aService) const
{
  Versions versions;
  if (const auto found = services_.find(aService); found != services_.end()) {
    for (const auto& [version, sighting] : found->second) {
      if (sighting.isOwn_) {
        versions.insert(version);
      }
    }
  }
  return versions;
}

OriginSet
ServiceVersions::OriginsOf(const std::string& aService) const
{
  OriginSet origins;
  for (const std::string& version : VersionsOf(aService)) {
    origins.insert({ aService, version });
  }
  return origins;
}

std::set<std::string>
ServiceVersions::Services() const
{
  std::set<std::string> services;
  for (const auto& [service, sightings] : services_) {
    services.insert(service);
  }
  return services;
}

} // namespace pumiceturn::fleet
