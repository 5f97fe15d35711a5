#pragma once

#include "LibBase/Time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace pumiceturn::metadata {

/// State that a host reports about itself as a possible follower of the store.
struct FollowerState
{
  /// The host has read the store and still reaches it.
  bool mayFollow_ = false;
  bool isPreferred_ = false; ///< The host has more processor time to spare.
};

/// Decides which host follows a prefix of the store on behalf of its peers, by
/// highest random weight among the reachable hosts.
///
/// There is no election. Hosts that don't reach each other may both follow,
/// which costs some calls; if none follows, each host queries the store itself
/// once its copy is no longer confirmed. Performs no I/O. Not thread-safe.
class FollowerSelector
{
public:
  /// Time without a report after which a host is dropped; several of its
  /// reports are missing by then.
  static constexpr base::Duration kSilenceTimeout{ std::chrono::milliseconds{
    700 } };

  explicit FollowerSelector(std::string aOwnName);

  /// Records a report received from a peer directly.
  void RecordPeer(const std::string& aPeer,
                  FollowerState aState,
                  base::Instant aNow);

  /// @return whether no peer is reachable.
  [[nodiscard]] bool IsAlone(base::Instant aNow);

  /// @return whether this host should follow a prefix.
  [[nodiscard]] bool IsFollower(std::string_view aPrefix,
                                FollowerState aOwn,
                                base::Instant aNow);

private:
  void DropSilentPeers(base::Instant aNow);

  struct Peer
  {
    FollowerState state_;
    base::Instant lastReportAt_;
  };

  std::string ownName_;
  std::unordered_map<std::string, Peer> peers_;
};

} // namespace pumiceturn::metadata
