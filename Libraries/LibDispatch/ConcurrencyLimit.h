#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::dispatch {

/// Adapts the number of concurrent requests at the engine by feedback on the
/// time to first token, which rises when the engine queues requests. The
/// engine's own load report is not used, because it lags by seconds. Not
/// thread-safe.
class ConcurrencyLimit
{
public:
  struct Options
  {
    /// Upper bound and initial limit.
    std::uint32_t max_ = 16;
    std::uint32_t min_ = 1;
    /// Desired time to first token. Delays below half of it never lower the
    /// limit.
    base::Duration firstTokenTarget_{ std::chrono::milliseconds{ 700 } };
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// Changes the options and clamps the current limit to the new bounds. A
  /// limit at its old maximum moves to the new one.
  void SetOptions(Options aOptions);

  /// @param aDelay   Time from sending the request to its first token.
  /// @param aInFlight Number of requests at the engine, including this one.
  void OnFirstToken(base::Duration aDelay, std::uint32_t aInFlight);

  /// @return the maximum number of concurrent requests.
  [[nodiscard]] std::uint32_t Current() const { return limit_; }

private:
  void EvaluateWindow();

  Options options_;
  std::uint32_t limit_;
  std::uint32_t samples_ = 0;
  std::uint32_t lateSamples_ = 0;
  std::uint32_t peakInFlight_ = 0;
  base::Duration baseline_{}; ///< Shortest first-token time, slowly rising to
                              ///< follow changes.
};

} // namespace pumiceturn::dispatch
