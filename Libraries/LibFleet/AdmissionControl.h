#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pumiceturn::fleet {

/// An online request and the endpoint chosen for it.
struct AdmissionRequest
{
  std::string_view service_;
  std::string_view route_;
  /// Attempts in flight at the endpoint, including queued ones.
  std::uint32_t inFlight_ = 0;
  std::uint32_t slots_ = 1;
  /// Target time to the response or a stream's first event; zero if the route
  /// declares none.
  base::Duration objective_{ 0 };
  /// Timeout that the caller states; empty if it states none.
  std::optional<base::Duration> callerTimeout_;
  /// How far the priority is below the highest one; 0: it is the highest.
  std::uint32_t rank_ = 0;
  /// Speed of the chosen endpoint relative to its service, above zero.
  double pace_ = 1.0;
};

/// Whether a request is admitted, and how long it is expected to queue.
struct AdmissionDecision
{
  base::Duration expectedWait_{ 0 }; ///< Expected time in the endpoint's queue.
  /// If set, the request is refused and the caller should retry after this
  /// time.
  std::optional<base::Duration> retryAfter_;
};

/// Refuses online requests that would wait too long in an endpoint's queue.
///
/// Endpoints serve in order of arrival, so in an overload without refusals
/// every request is late, including those that arrive when the overload is
/// nearly over. Refusals keep queues within the route's objective; a refused
/// caller retries after about a second and is then queued.
///
/// Random numbers are passed as arguments. Performs no I/O. Not thread-safe.
class AdmissionControl
{
public:
  /// Records how long an attempt occupied a slot of the service.
  void RecordSlotTime(std::string_view aService, base::Duration aDuration);

  /// Decides whether a request is admitted, before its first attempt.
  /// @param aRandom Uniform in [0, 1); spreads the retries of callers.
  [[nodiscard]] AdmissionDecision Check(const AdmissionRequest& aRequest,
                                        double aRandom);

  /// @return how long a refused caller should wait before it retries.
  [[nodiscard]] static base::Duration RetryAfter(
    std::optional<base::Duration> aCallerTimeout,
    double aRandom);

  /// Drops the longest caller timeout seen for each route. Called when new
  /// declarations take effect.
  void ClearCallerTimeouts() { maxCallerTimeout_.clear(); }

private:
  /// Exponential moving average of the time an attempt occupies a slot.
  struct SlotTime
  {
    std::uint32_t samples_ = 0;
    base::Duration mean_{ 0 };
  };

  [[nodiscard]] base::Duration ExpectedWait(
    const AdmissionRequest& aRequest) const;
  [[nodiscard]] bool IsLikelyRetry(const AdmissionRequest& aRequest);

  std::unordered_map<std::string, SlotTime> slotTimes_; ///< By service.
  std::unordered_map<std::string, base::Duration>
    maxCallerTimeout_; ///< By route.
};

} // namespace pumiceturn::fleet
