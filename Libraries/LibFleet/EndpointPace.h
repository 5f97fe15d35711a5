#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

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

  /// Intervals needed before an endpoint's own speed is used.
  static constexpr std::uint32_t kMinSamples = 5;

  /// How long a reported slowness is used; it changes several times a second.
  static constexpr base::Duration kSlownessLifetime{ std::chrono::milliseconds{
    300 } };

  /// @return whether an endpoint has reported its slowness. Until then nothing
  ///         is recorded and every speed is 1.
  [[nodiscard]] bool IsEnabled() const { return isEnabled_; }

  /// Records the time between two events of one of this host's streams.
  /// @param aInFlight Attempts that run at the endpoint, which slow each other
  ///                  down.
  void RecordEventInterval(const EndpointIncarnation& aEndpoint,
                           std::string_view aService,
                           base::Duration aInterval,
                           std::uint32_t aInFlight,
                           base::Instant aNow);

  /// Records how long work takes on the endpoint's machine at this moment, as
  /// it reported itself. Enables the estimates: without such reports, every
  /// speed is 1.
  /// @param aPercent 100: as usual; more: slower; 0: ignored.
  void RecordSlowness(const EndpointIncarnation& aEndpoint,
                      std::uint32_t aPercent,
                      base::Instant aNow);

  /// @return the usual speed relative to the service's mean; 1 if unknown.
  [[nodiscard]] double SpeedOf(const EndpointIncarnation& aEndpoint) const;

  /// @return the speed at this moment relative to the endpoint's usual one, at
  ///         most kMaxSpeed; 1 if it reported none recently.
  [[nodiscard]] double MomentarySpeedOf(const EndpointIncarnation& aEndpoint,
                                        base::Instant aNow) const;

  /// Drops what is known of an endpoint.
  void Remove(const std::string& aId);

private:
  /// Exponential moving average; the plain mean of the first samples.
  struct Average
  {
    std::uint32_t samples_ = 0;
    double mean_ = 0.0;

    void Add(double aValue, double aMinWeight);
  };

  struct Service
  {
    /// Time between events in us at an endpoint of mean speed, by the number of
    /// attempts in flight there.
    std::unordered_map<std::uint32_t, Average> intervals_;
    Average ratio_; ///< Of the ratios of all endpoints' intervals.
  };

  struct Endpoint
  {
    std::int64_t startedAtMs_ = 0;
    std::string service_; ///< Empty until an interval is recorded.
    Average ratio_;       ///< Of intervals to those of the service.
    std::uint32_t slownessPercent_ = 0;
    std::optional<base::Instant> slownessRecordedAt_;
  };

  /// @return the state of an endpoint's process, which is created if a new
  ///         process took the place of the known one; nullptr if it is an
  ///         earlier process.
  Endpoint* FindOrAdd(const EndpointIncarnation& aEndpoint);

  /// @return the state, or nullptr if none is known of this process.
  [[nodiscard]] const Endpoint* Find(
    const EndpointIncarnation& aEndpoint) const;

  [[nodiscard]] double SpeedOf(const Endpoint& aEndpoint) const;

  bool isEnabled_ = false;
  std::unordered_map<std::string, Service> services_;   ///< By name.
  std::unordered_map<std::string, Endpoint> endpoints_; ///< By id.
};

} // namespace pumiceturn::fleet
