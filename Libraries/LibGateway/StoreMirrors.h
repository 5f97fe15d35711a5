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

/// Keeps this host's copies of the store's prefixes up to date. One host
/// follows a prefix for all and tells the others what changed, so that calls to
/// the store grow with what happens instead of with the number of hosts; the
/// others ask the store when nobody has confirmed their copy for a while.
/// Belongs to the event thread.
class StoreMirrors
{
public:
  struct Followed
  {
    StorePrefix prefix_ = StorePrefix::Operators;
    metadata::PrefixMirror::Options options_;
    metadata::PrefixMirror::ChangeHandler onChange_;
  };

  /// Called with what this host is to pass on to its peers.
  using DeltaHandler = std::function<void(const StoreDelta&)>;

  /// @param aIsPreferred This host has more processor time to spare than
  ///                     others.
  StoreMirrors(boost::asio::io_context& aContext,
               metadata::StoreClient& aClient,
               metadata::StoreHealth& aHealth,
               const std::string& aOwnName,
               bool aIsPreferred,
               std::vector<Followed> aFollowed,
               std::mt19937_64& aRandom);

  void SetOnDelta(const DeltaHandler& aHandler);

  void Start();

  /// Decides which prefixes this host follows now.
  /// @param aReachesStore This host stays, and the store answers it.
  void Tick(bool aReachesStore, base::Instant aNow);

  /// The event loop runs: called at each tick and each message of a peer, so
  /// that a time in which this process did not run shows before what waited
  /// meanwhile is taken for new.
  void NoteRunning();

  [[nodiscard]] bool IsComplete(StorePrefix aPrefix) const;
  void SetFreshness(StorePrefix aPrefix, base::Duration aFreshFor);

  /// @return time since this host's copy is known to have been complete;
  ///         nothing before its first reading.
  [[nodiscard]] std::optional<base::Duration> AgeOf(StorePrefix aPrefix) const;

  [[nodiscard]] StoreReport Report() const;
  [[nodiscard]] std::size_t FollowedCount() const;

  void HandleReport(const std::string& aPeer,
                    const StoreReport& aReport,
                    base::Instant aNow);
  void ApplyDelta(const std::string& aPeer, const StoreDelta& aDelta);

private:
  struct Copy
  {
    StorePrefix prefix_;
    std::string key_; ///< The prefix itself, by which followers are drawn.
    std::unique_ptr<metadata::PrefixMirror> mirror_;
  };

  [[nodiscard]] metadata::PrefixMirror& Find(StorePrefix aPrefix) const;
  [[nodiscard]] bool HasSettled(base::Instant aNow);

  /// @return when to ask the store for what this host lacks.
  [[nodiscard]] base::Duration DrawCatchUp();

  /// @return a peer's view with its moments on this host's clock.
  [[nodiscard]] metadata::MirrorView ToLocal(
    const std::string& aPeer,
    const metadata::MirrorView& aView) const;
  [[nodiscard]] base::Duration OwnShareOf(base::Duration aFreshFor) const;

  metadata::StoreHealth& health_;
  std::mt19937_64& random_;
  metadata::FollowerSelector choice_;
  metadata::FollowerState own_;
  metadata::PeerClocks clocks_;
  std::uint64_t incarnation_;
  std::vector<Copy> copies_;
  double trustShare_; ///< Of the longest trust, drawn for this host.
  std::optional<base::Instant> completeSince_;
  std::optional<base::BootInstant> ranAt_;
};

} // namespace pumiceturn::gateway
