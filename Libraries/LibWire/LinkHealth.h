#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace pumiceturn::wire {

/// What a connection needs now.
enum class LinkNeed : std::uint8_t
{
  Nothing,
  Heartbeat,   ///< Its own heartbeat is due.
  Replacement, ///< It is silent.
};

/// Decides when a connection counts as silent. Something between the two ends
/// can lose track of a connection: it then stays open and carries nothing, in
/// one direction or both, and neither end hears of it from TCP for many
/// minutes. Two signs show it: nothing arrives from the peer, or what was sent
/// is not acknowledged. Either alone is enough, since a connection that is dead
/// in one direction still carries the other. Pure; owned by the link thread.
class LinkHealth
{
public:
  struct Options
  {
    base::Duration interval_{ base::Duration{ 1000000 } };
    std::uint32_t missed_ = 2; ///< Heartbeats in a row before replacement.
  };

  /// @param aPhase Share of an interval before the first heartbeat, 0 to 1, so
  /// that connections made together do not send together.
  LinkHealth(Options aOptions, base::Instant aNow, double aPhase);

  /// Something arrived from the peer.
  void OnHeard(base::Instant aNow);

  /// A call left for the peer; it acknowledges calls in order.
  void OnSent(base::Instant aNow);

  /// The peer acknowledged the oldest call. Counts as heard too.
  void OnAcknowledged(base::Instant aNow);

  /// Asks for the connection's need. Called several times an interval. When
  /// calls came later than an interval apart, this process was paused and the
  /// peer's messages may still wait unread: the pause does not count against
  /// the peer.
  LinkNeed Check(base::Instant aNow);

  /// @return since when nothing has arrived, or the oldest call has waited.
  [[nodiscard]] base::Duration SilentFor(base::Instant aNow) const;

  [[nodiscard]] std::size_t Unacknowledged() const
  {
    return unacknowledged_.size();
  }

private:
  void ForgivePause(base::Duration aPause, base::Instant aNow);
  [[nodiscard]] base::Duration Limit() const;

  Options options_;
  base::Instant lastCheck_;
  base::Instant lastHeard_;
  base::Instant nextHeartbeat_;
  std::deque<base::Instant> unacknowledged_;
};

/// Spaces attempts to reach a peer: the first after a stable link at once,
/// later ones at doubled distance up to a bound, with jitter, so that the peers
/// of a host that comes back do not all connect in the same moment. A link that
/// was up for a moment only counts as a failed attempt: two processes under one
/// name, each of which displaces the other's connection, would else take turns
/// without pause. Pure.
class ReconnectSchedule
{
public:
  struct Options
  {
    base::Duration first_{ base::Duration{ 50000 } };
    base::Duration longest_{ base::Duration{ 2000000 } };
    base::Duration stable_{ base::Duration{ 1000000 } }; ///< Up at least.
  };

  explicit ReconnectSchedule(Options aOptions)
    : options_(aOptions)
  {
  }

  /// @param aRandom 0 to 1.
  /// @return how long to wait before the next attempt.
  base::Duration Next(base::Instant aNow, double aRandom);

  /// The peer was reached.
  void OnUp(base::Instant aNow) { upSince_ = aNow; }

private:
  Options options_;
  std::uint32_t attempts_ = 0;
  std::optional<base::Instant> upSince_;
};

} // namespace pumiceturn::wire
