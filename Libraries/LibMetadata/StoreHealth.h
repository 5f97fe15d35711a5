#pragma once

#include "LibBase/Time.h"

#include <optional>

namespace pumiceturn::metadata {

/// Whether the store answers this host, and since when again. Not thread-safe.
class StoreHealth
{
public:
  /// Records the end of a call, and logs when the store is lost or regained.
  void RecordCall(bool aIsAnswered, base::Instant aNow);

  [[nodiscard]] bool IsLost() const { return lost_; }

  /// Shortest time without an answer that counts as an outage. Registrations
  /// lapse in an outage; a host that takes one lost answer for it would go on
  /// using endpoints that have left. The call after a failed one is answered
  /// within half a second, and outages in which registrations lapse last longer
  /// than two of the endpoints' heartbeats (2.4 s).
  static constexpr base::Duration kMinOutage{ std::chrono::milliseconds{
    1000 } };

  /// @return when the store last answered again after an outage; now, during
  /// one.
  [[nodiscard]] std::optional<base::Instant> RecoveredAt(
    base::Instant aNow) const;

  /// @return whether the store didn't answer at some moment of the last while.
  [[nodiscard]] bool WasLostWithin(base::Duration aSpan,
                                   base::Instant aNow) const;

private:
  bool lost_ = false;
  base::Instant lostAt_{};
  std::optional<base::Instant> returnedAt_;    ///< After an outage.
  std::optional<base::Instant> answeredSince_; ///< After a failed call.
};

} // namespace pumiceturn::metadata
