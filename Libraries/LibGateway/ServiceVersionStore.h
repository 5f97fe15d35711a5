#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/Time.h"
#include "LibFleet/ServiceVersions.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::gateway {

/// Keeps the software versions that each service had of late in the store, and
/// the services that share routes with it (RouteHistory): a
/// host that sees one version can't know whether another has just come or gone.
/// One host writes an entry when the versions of a service change; another adds
/// a version that it sees and that is still missing after a while. Streams
/// begin only at versions that an entry names. Used on the event thread only.
class ServiceVersionStore
{
public:
  /// @param aKeyPrefix Of the entries; followed by the service's name.
  ServiceVersionStore(metadata::StoreClient& aStore,
                      std::string aKeyPrefix,
                      fleet::ServiceVersions& aVersions);

  /// How long this host waits for another one to add a version.
  static constexpr std::chrono::milliseconds kMaxUnrecordedTime{ 500 };

  /// Called when the entries were read.
  /// @param aSentAt When the read was sent: versions that were named before are
  ///                known.
  using ReadHandler = std::function<void(base::Instant aSentAt)>;
  void SetOnRead(ReadHandler aHandler) { onRead_ = std::move(aHandler); }

  /// Reads the entries until that succeeds, and while a version of this host's
  /// view is missing in them, and writes those that changed.
  /// @param aIsWriter Whether this host writes the entries for all.
  void Tick(bool aIsWriter, base::Instant aNow);

  /// Reads the entries, now or soon after the last read.
  void RequestRead(base::Instant aNow);

  /// @return the versions that the service's entry named when it was last read
  ///         or written; nullptr if it names none, or that isn't known.
  [[nodiscard]] const fleet::ServiceVersions::Versions* RecordedVersions(
    const std::string& aService) const;

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
  void ReadAfter(const std::string& aKey, base::Instant aSentAt);
  void OnRead(base::Instant aSentAt);
  void Apply(const metadata::StoreItem& aItem, base::Instant aNow);
  /// @return whether an entry was to be written.
  bool WriteNextChange(bool aIsWriter);
  /// Forgets recorded versions that no endpoint had for the lifetime of a
  /// stream: the entries may not name them any more.
  void ForgetExpired();
  /// @return whether this host has seen a version for a while that no host has
  ///         recorded.
  [[nodiscard]] bool IsVersionMissed(base::Instant aNow);
  /// @return whether this host sees a version that isn't recorded.
  [[nodiscard]] bool SeesUnrecorded() const;
  [[nodiscard]] fleet::ServiceVersions::Versions VersionsToWrite(
    const std::string& aService,
    bool aIsWriter);
  void Write(const std::string& aService,
             const fleet::ServiceVersions::Versions& aVersions);

  metadata::StoreClient& store_;
  std::string keyPrefix_;
  fleet::ServiceVersions& versions_;
  std::map<std::string, Entry> entries_; ///< As in the store, by service.
  /// Named in the store and seen since, by service.
  std::map<std::string, fleet::ServiceVersions::Versions> recorded_;
  ReadHandler onRead_;
  std::optional<base::Instant> unrecordedSince_;
  std::optional<base::Instant> readRequestedAt_;
  base::Instant now_{}; ///< Of the last call of Tick() or RequestRead().
  std::vector<metadata::StoreItem> readItems_; ///< Of the pages read so far.
  bool hasBeenRead_ = false;
  bool isCurrent_ = false; ///< entries_ may be compared and written.
  bool isCalling_ = false;
  base::Instant sentAt_{}; ///< When the last read was sent.
  base::Instant readAt_{}; ///< When the last successful read was sent.
  base::Instant nextReadAt_{};
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
