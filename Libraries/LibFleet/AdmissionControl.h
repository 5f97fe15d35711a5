#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pumiceturn::fleet {

/// An online request and the endpoint that was chosen for it.
struct AdmissionRequest
{
  std::string_view service_;
  std::string_view route_;
  std::uint32_t running_ = 0; ///< Runs at the endpoint, waiting ones included.
  std::uint32_t slots_ = 1;
  /// Time to the first event that the route aims at; zero: none is declared.
  base::Duration objective_{ 0 };
  /// What the caller says it will wait; nothing: it doesn't say.
  std::optional<base::Duration> clientTimeout_;
};

struct Admission
{
  base::Duration expectedWait_{ 0 }; ///< For a place at the endpoint.
  /// Set: refuse the request, and tell its caller to come back then.
  std::optional<base::Duration> retryAfter_;
};

/// Refuses online requests that would wait too long in an engine's queue.
/// Engines serve in order of arrival, so that in an overload without refusals
/// every request is late, also those that come when it is nearly over. With
/// them, the queues stay as short as the objective allows, and who was refused
/// comes back a second later and is queued then. Takes random numbers as
/// arguments, does no I/O, is not thread-safe.
class AdmissionControl
{
public:
  /// Records how long a run kept its place.
  void RecordRun(std::string_view aService, base::Duration aDuration);

  /// Judges a request before it is sent for the first time.
  /// @param aRandom Uniform in [0, 1): spreads the returns of callers.
  [[nodiscard]] Admission Check(const AdmissionRequest& aRequest,
                                double aRandom);

  /// @return when a caller that gets no place should come back.
  [[nodiscard]] static base::Duration RetryAfter(
    std::optional<base::Duration> aClientTimeout,
    double aRandom);

  /// Forgets what was learned of routes: another configuration is in force.
  void ForgetRoutes() { maxClientTimeout_.clear(); }

private:
  /// How long a run keeps its place, as an average that forgets.
  struct RunTime
  {
    std::uint32_t samples_ = 0;
    base::Duration mean_{ 0 };
  };

  [[nodiscard]] base::Duration ExpectedWait(
    const AdmissionRequest& aRequest) const;
  [[nodiscard]] bool HasBeenHereBefore(const AdmissionRequest& aRequest);

  std::unordered_map<std::string, RunTime> runTimes_; ///< By service.
  std::unordered_map<std::string, base::Duration>
    maxClientTimeout_; ///< Routes.
};

} // namespace pumiceturn::fleet
