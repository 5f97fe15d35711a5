#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::metadata {

/// Result of a call over one path to the store, direct or through a peer.
enum class PathOutcome : std::uint8_t
{
  Served,
  Refused,    ///< Certainly not executed.
  Throttled,  ///< Certainly not executed: too many calls.
  Unanswered, ///< Disconnected or timed out: may have been executed.
};

/// Tracks whether this host's direct path to the store works, and whether peers
/// may be asked to relay calls. Performs no I/O. Not thread-safe.
///
/// The store may reject some hosts and serve the others. A rejected host would
/// lose its registration within seconds, and with it the jobs it runs, so its
/// calls are relayed by peers. As single responses get lost, the path counts as
/// lost only after a probe has failed too.
class StorePath
{
public:
  /// Number of peers asked in succession before a pause.
  static constexpr int kMaxPeersAsked = 3;

  /// Pause after that many peers failed, as the store is then probably down for
  /// all hosts.
  static constexpr base::Duration kPeerPause{ std::chrono::seconds{ 1 } };

  /// Records the result of a call over the direct path.
  /// @return whether to send a probe now.
  [[nodiscard]] bool RecordDirect(PathOutcome aOutcome);

  /// Records the result of a probe.
  /// @return whether to send another one after a pause.
  [[nodiscard]] bool RecordProbe(PathOutcome aOutcome);

  /// Records the result of a call relayed by a peer.
  void RecordPeer(PathOutcome aOutcome, base::Instant aNow);

  /// @return whether the direct path is known to fail.
  [[nodiscard]] bool IsDirectPathLost() const { return state_ == State::Lost; }

  [[nodiscard]] bool MayAskPeer(base::Instant aNow) const
  {
    return aNow >= askPeersAfter_;
  }

private:
  enum class State : std::uint8_t
  {
    Working,
    InDoubt, ///< A call failed, and a probe is in progress.
    Lost,
  };

  State state_ = State::Working;
  int peersFailed_ = 0;
  base::Instant askPeersAfter_{};
};

} // namespace pumiceturn::metadata
