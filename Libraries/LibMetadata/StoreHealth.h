#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace pumiceturn::metadata {

/// Tracks whether the store responds to this host, and when it last recovered
/// from an outage. Not thread-safe.
class StoreHealth
{
public:
  /// Records the result of a call, and logs when the store stops responding or
  /// responds again.
  void RecordCall(bool aHasResponse, base::Instant aNow);

  [[nodiscard]] bool IsLost() const { return isLost_; }

  /// Minimum time without a response that counts as an outage, in which
  /// registrations may lapse. A host that took a single lost response for an
  /// outage would keep using endpoints that have ended. The call after a failed
  /// one gets a response within half a second; registrations lapse only in
  /// outages of more than two heartbeats of the endpoints (2.4 s).
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
  std::optional<base::Instant> respondedAgainAt_;
};

} // namespace pumiceturn::metadata
