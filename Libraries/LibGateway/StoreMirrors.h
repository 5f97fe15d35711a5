#pragma once

#include "LibGateway/StoreReport.h"
#include "LibMetadata/FollowerSelector.h"
#include "LibMetadata/PeerClocks.h"
#include "LibMetadata/PrefixMirror.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Keeps this host's mirrors of the store's prefixes up to date. One host
/// follows each prefix and sends the changes to the others, so that the load of
/// the store doesn't grow with the number of hosts. The others read the store
/// once their mirror hasn't been confirmed for a while. Used on the event
/// thread only.
class StoreMirrors
{
public:
  /// A prefix to mirror, and the handler of its changes.
  struct MirrorSettings
  {
    StorePrefix prefix_ = StorePrefix::Operators;
    metadata::PrefixMirror::Options options_;
    metadata::PrefixMirror::ChangeHandler onChange_;
  };

  /// Called with changes to send to the peers.
  using DeltaHandler = std::function<void(const StoreDelta&)>;

  /// @param aIsPreferred Whether this host is preferred as a follower.
  StoreMirrors(boost::asio::io_context& aContext,
               metadata::StoreClient& aClient,
               metadata::StoreHealth& aHealth,
               const std::string& aOwnHost,
               bool aIsPreferred,
               std::vector<MirrorSettings> aFollowed,
               std::mt19937_64& aRandom);

  void SetOnDelta(const DeltaHandler& aHandler);

  /// Starts to mirror a prefix. Has no effect if it was started before.
  void Start(StorePrefix aPrefix);

  /// Reads the registered hosts again if this host has just started: hosts that
  /// start together register one after the other, and until this host follows
  /// the store or knows a follower, nobody tells it of the later ones.
  void OnUnknownPeer(base::Instant aNow);

  /// Decides which prefixes this host follows.
  /// @param aMayFollow Whether this host may follow: it isn't stopping or
  ///                   retiring and reaches the store directly.
  void Tick(bool aMayFollow, base::Instant aNow);

  /// Marks all mirrors stale if the event loop hasn't run for a while. Called
  /// at each tick and before each message of a peer, as messages that queued up
  /// during a suspension would otherwise count as recent.
  void DetectSuspension();

  /// @return whether the prefix has been read completely at least once.
  [[nodiscard]] bool HasBeenRead(StorePrefix aPrefix) const;
  void SetFreshness(StorePrefix aPrefix, base::Duration aFreshnessLifetime);

  /// @return the time since the mirror was last known to hold all changes, or
  ///         std::nullopt before its first read.
  [[nodiscard]] std::optional<base::Duration> AgeOf(StorePrefix aPrefix) const;

  /// @return whether this host follows the prefix for its peers.
  [[nodiscard]] bool Follows(StorePrefix aPrefix) const
  {
    return Find(aPrefix).Follows();
  }

  [[nodiscard]] StoreReport MakeReport() const;
  [[nodiscard]] std::size_t FollowedCount() const;

  void HandleReport(const std::string& aPeer,
                    const StoreReport& aReport,
                    base::Instant aNow);
  void ApplyDelta(const std::string& aPeer, const StoreDelta& aDelta);

private:
  struct MirroredPrefix
  {
    StorePrefix prefix_;
    std::string keyPrefix_; ///< Followers are selected by it.
    std::unique_ptr<metadata::PrefixMirror> mirror_;
    bool isStarted_ = false;
  };

  [[nodiscard]] metadata::PrefixMirror& Find(StorePrefix aPrefix) const;
  [[nodiscard]] bool IsReadyToFollow(base::Instant aNow);

  /// @return a random delay before this host reads missed changes.
  [[nodiscard]] base::Duration DrawCatchUpDelay();

  /// @return a peer's view with its times converted to this host's clock.
  [[nodiscard]] metadata::MirrorView ToLocal(
    const std::string& aPeer,
    const metadata::MirrorView& aView) const;
  [[nodiscard]] base::Duration ScaleFreshness(
    base::Duration aFreshnessLifetime) const;

  metadata::StoreHealth& health_;
  std::mt19937_64& random_;
  metadata::FollowerSelector followerSelector_;
  metadata::FollowerState ownState_;
  metadata::PeerClocks clocks_;
  std::uint64_t incarnation_; ///< Random; sent in reports.
  std::vector<MirroredPrefix> mirroredPrefixes_;
  double freshnessShare_; ///< Random share of each mirror's freshness lifetime.
  std::optional<base::Instant> readSince_;
  base::Instant hostsCheckedAt_{}; ///< Last read by OnUnknownPeer().
  std::optional<base::BootInstant> lastRunAt_;
};

} // namespace pumiceturn::gateway
