#pragma once

namespace pumiceturn::routing {

/// Limits retries to a share of first attempts, so that retries don't overload
/// a failing fleet further.
///
/// Not thread-safe; the caller must hold a lock.
class RetryBudget
{
public:
  struct Limits
  {
    double share_ = 0.1;  ///< Retries allowed per first attempt, 0 to 1.
    double burst_ = 10.0; ///< Maximum number of unused retries.
  };

  explicit RetryBudget(Limits aLimits)
    : limits_(aLimits)
    , available_(aLimits.burst_)
  {
  }

  /// Records a first attempt, which adds share_ to the available retries.
  void RecordFirstAttempt();

  /// Consumes one retry.
  /// @return false if none is available; the caller must then refuse the
  /// request.
  [[nodiscard]] bool TryConsume();

private:
  Limits limits_;
  double available_;
};

} // namespace pumiceturn::routing
