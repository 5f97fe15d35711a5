#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/Time.h"
#include "LibFleet/ServiceVersions.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <map>
#include <string>

namespace pumiceturn::gateway {

/// Keeps the software versions that each service had of late in the store, for
/// hosts that start: without it, a host that starts beside one version can't
/// know whether another has just gone. One host writes an entry when the
/// versions of a service change, and the others read them at their start. Used
/// on the event thread only.
class ServiceVersionStore
{
public:
  /// @param aKeyPrefix Of the entries; followed by the service's name.
  ServiceVersionStore(metadata::StoreClient& aStore,
                      std::string aKeyPrefix,
                      fleet::ServiceVersions& aVersions);

  /// Reads the entries until that succeeds, and writes those that changed.
  /// @param aMayWrite Whether this host writes the entries.
  void Tick(bool aMayWrite, base::Instant aNow);

  /// @return whether the entries have been read since the start of this host.
  [[nodiscard]] bool HasBeenRead() const { return hasBeenRead_; }

  /// @return the time since the entries were last read.
  [[nodiscard]] base::Duration AgeOf(base::Instant aNow) const
  {
    return hasBeenRead_ ? aNow - readAt_ : base::Duration::max();
  }

private:
  struct Entry
  {
    fleet::ServiceVersions::Versions versions_;
    std::uint64_t revision_ = 0;
  };

  void Read(base::Instant aNow);
  void Apply(const metadata::StoreItem& aItem, base::Instant aNow);
  void WriteNextChange();
  void Write(const std::string& aService,
             const fleet::ServiceVersions::Versions& aVersions);

  metadata::StoreClient& store_;
  std::string keyPrefix_;
  fleet::ServiceVersions& versions_;
  std::map<std::string, Entry> entries_; ///< As in the store, by service.
  bool hasBeenRead_ = false;
  bool isCurrent_ = false; ///< entries_ may be compared and written.
  bool isCalling_ = false;
  base::Instant readAt_{}; ///< When the last successful read was sent.
  base::Instant nextReadAt_{};
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
