#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::metadata {

/// How a call ended on one way to the store.
enum class PathOutcome : std::uint8_t
{
  Served,
  Refused,    ///< Certainly not carried out.
  Throttled,  ///< Certainly not carried out: too many calls.
  Unanswered, ///< Cut off or silent: may have been carried out.
};

/// Whether this host's own way to the store is open, and whether a peer is
/// asked meanwhile. Decides only; not thread-safe.
///
/// The store may turn some hosts away and serve the others. Such a host would
/// lose its registration after seconds, and with it the jobs it runs. One call
/// that fails proves nothing, as single answers get lost; a probe decides.
class StorePath
{
public:
  /// Peers that are asked one after the other before they are left alone.
  static constexpr int kPeersAsked = 3;

  /// How long they are left alone: the store is then likely down for all.
  static constexpr base::Duration kPeerPause{ std::chrono::seconds{ 1 } };

  /// Records how a call on the own way ended.
  /// @return whether a probe is to be sent now.
  [[nodiscard]] bool RecordDirect(PathOutcome aOutcome);

  /// Records how a probe ended.
  /// @return whether another one is to be sent after a pause.
  [[nodiscard]] bool RecordProbe(PathOutcome aOutcome);

  /// Records whether a peer reached the store.
  void RecordPeer(PathOutcome aOutcome, base::Instant aNow);

  /// @return whether calls on the own way are pointless for now.
  [[nodiscard]] bool IsDirectPathLost() const { return state_ == State::Lost; }

  [[nodiscard]] bool MayAskPeer(base::Instant aNow) const
  {
    return aNow >= peersAfter_;
  }

private:
  enum class State : std::uint8_t
  {
    Open,
    InDoubt, ///< A call failed, and a probe is under way.
    Lost,
  };

  State state_ = State::Open;
  int peersFailed_ = 0;
  base::Instant peersAfter_{};
};

} // namespace pumiceturn::metadata
