#pragma once

namespace pumiceturn::routing {

/// Limits retries to a share of first attempts, so that a failing fleet is not
/// loaded further by its own retries.
///
/// Not thread-safe: the owner holds the routing table's lock.
class RetryBudget
{
public:
  struct Limits
  {
    double share_ = 0.1;  ///< Retries allowed for each first attempt, 0 to 1.
    double burst_ = 10.0; ///< Retries that may be saved up, in requests.
  };

  explicit RetryBudget(Limits aLimits)
    : limits_(aLimits)
    , saved_(aLimits.burst_)
  {
  }

  /// Counts a first attempt and earns its share of a retry.
  void RecordAttempt();

  /// Takes one retry from what was saved.
  /// @return false if nothing is left; the caller then refuses instead of
  /// retrying.
  [[nodiscard]] bool TryTake();

private:
  Limits limits_;
  double saved_;
};

} // namespace pumiceturn::routing
