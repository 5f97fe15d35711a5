#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::fleet {

/// Estimates how fast each endpoint works, relative to its service.
///
/// Endpoints of one service may run on different machines and share them with
/// others. Without it, a slow endpoint gets as many requests as a fast one, and
/// its queue is expected to move as fast. Time is passed as an argument.
/// Performs no I/O. Not thread-safe.
class EndpointPace
{
public:
  /// Bounds of SpeedOf().
  static constexpr double kMinSpeed = 0.25;
  static constexpr double kMaxSpeed = 4.0;

  /// Records the time between two events of one of this host's streams.
  /// @param aInFlight Attempts at the endpoint, which slow each other down.
  void RecordEventInterval(const EndpointIncarnation& aEndpoint,
                           std::string_view aService,
                           base::Duration aInterval,
                           std::uint32_t aInFlight,
                           base::Instant aNow);

  /// Records how long work takes on the endpoint's machine at this moment, as
  /// it reported itself. Enables the estimates: without such reports, every
  /// speed is 1.
  /// @param aPercent 100: as usual; more: slower.
  void RecordSlowness(const EndpointIncarnation& aEndpoint,
                      std::uint32_t aPercent,
                      base::Instant aNow);

  /// @return the usual speed relative to the service's mean; 1 if unknown.
  [[nodiscard]] double SpeedOf(const EndpointIncarnation& aEndpoint) const;

  /// @return the speed at this moment relative to the endpoint's usual one; 1
  /// if
  ///         it reported none recently.
  [[nodiscard]] double MomentarySpeedOf(const EndpointIncarnation& aEndpoint,
                                        base::Instant aNow) const;

  /// Drops what is known of an endpoint.
  void Remove(const std::string& aId);

private:
  bool isEnabled_ = false;
};

} // namespace pumiceturn::fleet
