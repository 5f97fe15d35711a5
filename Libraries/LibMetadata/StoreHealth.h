#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace pumiceturn::metadata {

/// Tracks whether the store responds to this host, and when it last recovered
/// from an outage. Not thread-safe.
class StoreHealth
{
public:
  /// Records the result of a call, and logs when the store is lost or regained.
  void RecordCall(bool aIsAnswered, base::Instant aNow);

  [[nodiscard]] bool IsLost() const { return isLost_; }

  /// Minimum time without a response that counts as an outage. Registrations
  /// lapse in an outage; a host that mistook a single lost response for one
  /// would keep using endpoints that have left. The call after a failed one is
  /// answered within half a second, and outages in which registrations lapse
  /// last longer than two heartbeats of the endpoints (2.4 s).
  static constexpr base::Duration kMinOutage{ std::chrono::milliseconds{
    1000 } };

  /// @return when the store last recovered from an outage; aNow during one;
  ///         empty if there was none.
  [[nodiscard]] std::optional<base::Instant> RecoveredAt(
    base::Instant aNow) const;

  /// @return whether the store did not respond at some time within the window.
  [[nodiscard]] bool WasLostWithin(base::Duration aWindow,
                                   base::Instant aNow) const;

private:
  bool isLost_ = false;
  base::Instant lostAt_{};
  std::optional<base::Instant> recoveredAt_; ///< End of the last outage.
  /// First response after the last failed call.
  std::optional<base::Instant> answeredAgainAt_;
};

} // namespace pumiceturn::metadata
