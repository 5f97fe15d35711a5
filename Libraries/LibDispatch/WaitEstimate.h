#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>

namespace pumiceturn::dispatch {

/// Estimates, from moving averages of earlier requests, how long requests wait
/// and run. Not thread-safe.
class WaitEstimate
{
public:
  /// @param aDelay Time from sending the request to its first token.
  void OnFirstToken(base::Duration aDelay);
  void OnInterTokenDelay(base::Duration aDelay);

  /// @param aTime Time from sending the request to the end of its response.
  void OnOnlineFinished(base::Duration aTime, std::uint32_t aTokens);

  /// A queued request was started while others still wait. The interval between
  /// two such starts is the wait per position in the queue, including engine
  /// and link overhead.
  void OnQueuedStart(base::Instant aNow);

  /// The queue is empty, so the next start is not measured against the last
  /// one.
  void OnQueueEmpty() { lastQueuedStart_.reset(); }

  /// @return the expected time from the start of a run at the engine to its
  /// end; zero without samples.
  [[nodiscard]] base::Duration ExpectedRunTime(std::uint32_t aMaxTokens) const;

  /// @return the expected time to generate aTokens more tokens.
  [[nodiscard]] base::Duration ExpectedDecodeTime(std::uint32_t aTokens) const;

  /// @return the expected time between two tokens of a stream.
  [[nodiscard]] base::Duration StepTime() const
  {
    return ExpectedDecodeTime(1);
  }

  /// @param aPosition Position in the queue; 1 is the next request to start.
  /// @param aPlaces   Number of places available to online requests.
  [[nodiscard]] base::Duration ExpectedWait(std::uint32_t aPosition,
                                            std::uint32_t aPlaces) const;

private:
  /// Averages in microseconds, except onlineTokens_.
  double firstTokenDelay_ = 0.0;
  double interTokenDelay_ = 0.0;
  double onlineRunTime_ = 0.0;
  double onlineTokens_ = 0.0;
  double startInterval_ = 0.0;
  std::optional<base::Instant> lastQueuedStart_;
};

} // namespace pumiceturn::dispatch
