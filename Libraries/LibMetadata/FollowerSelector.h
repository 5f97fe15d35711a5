#pragma once

#include "LibBase/Time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace pumiceturn::metadata {

/// What a host says of itself as a follower of the store.
struct FollowerState
{
  bool mayFollow_ = false;   ///< It has read the store and still reaches it.
  bool isPreferred_ = false; ///< It has more processor time to spare.
};

/// Decides which host follows a prefix of the store for its peers, by highest
/// random weight among the hosts that are heard. Nobody is elected: hosts that
/// don't hear each other may both follow, which costs some calls, and where
/// none does, each host asks the store itself once its copy is no longer
/// confirmed. Decides only; not thread-safe.
class FollowerSelector
{
public:
  /// Silence after which a host is no longer counted on: several of its reports
  /// are missing.
  static constexpr base::Duration kSilence{ std::chrono::milliseconds{ 700 } };

  explicit FollowerSelector(std::string aOwnName);

  /// A report of a peer arrived from the peer itself.
  void RecordPeer(const std::string& aPeer,
                  FollowerState aState,
                  base::Instant aNow);

  /// @return whether no peer is heard.
  [[nodiscard]] bool IsAlone(base::Instant aNow);

  /// @return whether this host is to follow a prefix.
  [[nodiscard]] bool IsFollower(std::string_view aPrefix,
                                FollowerState aOwn,
                                base::Instant aNow);

private:
  void DropSilentPeers(base::Instant aNow);

  struct Peer
  {
    FollowerState state_;
    base::Instant heardAt_;
  };

  std::string ownName_;
  std::unordered_map<std::string, Peer> peers_;
};

} // namespace pumiceturn::metadata
