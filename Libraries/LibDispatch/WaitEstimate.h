#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>

namespace pumiceturn::dispatch {

/// Estimates how long requests wait and run, from those before. Not
/// thread-safe.
class WaitEstimate
{
public:
  /// @param aDelay From the request to its first token.
  void OnFirstToken(base::Duration aDelay);
  void OnBetweenTokens(base::Duration aDelay);

  /// @param aTime From the request to the end of its answer.
  void OnOnlineFinished(base::Duration aTime, std::uint32_t aTokens);

  /// A request was started that had waited, and others wait still. The time
  /// between two such starts is what a place in the queue costs, with all that
  /// the engine and the links add to the runs.
  void OnQueuedStart(base::Instant aNow);

  /// No request waits.
  void OnQueueEmpty() { lastQueuedStart_.reset(); }

  /// @return time of a whole run, from its start at the engine; zero before
  /// anything was measured.
  [[nodiscard]] base::Duration ExpectedRun(std::uint32_t aMaxTokens) const;

  /// @return time to generate that many tokens more.
  [[nodiscard]] base::Duration ExpectedWork(std::uint32_t aTokens) const;

  /// @return time between two tokens of a stream.
  [[nodiscard]] base::Duration Step() const { return ExpectedWork(1); }

  /// @param aAhead  Requests that get a place before this one.
  /// @param aPlaces Places that online requests can have.
  [[nodiscard]] base::Duration ExpectedWait(std::uint32_t aAhead,
                                            std::uint32_t aPlaces) const;

private:
  double firstToken_ = 0.0; ///< Microseconds.
  double betweenTokens_ = 0.0;
  double onlineRun_ = 0.0;
  double onlineTokens_ = 0.0;
  double startInterval_ = 0.0;
  std::optional<base::Instant> lastQueuedStart_;
};

} // namespace pumiceturn::dispatch
