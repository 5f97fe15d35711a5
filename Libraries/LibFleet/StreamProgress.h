#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>

namespace pumiceturn::fleet {

/// Finds out whether an endpoint sends bytes but no new event of a stream.
/// Silence doesn't count: an endpoint that was silent may go on. Performs no
/// I/O. Not thread-safe.
class StreamProgress
{
public:
  /// Reads without a new event from which on their duration counts. An event
  /// takes one or two.
  static constexpr std::uint32_t kMinReads = 16;

  /// @param aMaxTime For which an endpoint may send without a new event.
  explicit StreamProgress(base::Duration aMaxTime)
    : maxTime_(aMaxTime)
  {
  }

  /// Begins with the response of another attempt.
  void Reset()
  {
    firstReadAt_.reset();
    reads_ = 0;
  }

  /// Records that bytes of the response were read.
  /// @param aHasAdvanced Whether they completed a new event.
  /// @return whether the endpoint has sent for too long without a new event.
  [[nodiscard]] bool RecordRead(bool aHasAdvanced, base::Instant aNow)
  {
    if (aHasAdvanced) {
      Reset();
      return false;
    }
    firstReadAt_ = firstReadAt_.value_or(aNow);
    ++reads_;
    return reads_ >= kMinReads && aNow - *firstReadAt_ > maxTime_;
  }

private:
  base::Duration maxTime_;
  std::optional<base::Instant> firstReadAt_; ///< Since the last new event.
  std::uint32_t reads_ = 0;
};

} // namespace pumiceturn::fleet
