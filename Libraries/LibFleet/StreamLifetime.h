#pragma once

#include "LibBase/Time.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace pumiceturn::fleet {

/// How long a stream with all its caller's tries may last. Streams that began
/// under earlier declarations last as long as those allowed.
class StreamLifetime
{
public:
  /// A stream with all its caller's tries lasts up to this many times its
  /// route's timeout.
  static constexpr int kTriesPerStream = 2;

  /// Callers may be more patient than their route: each of their tries gets its
  /// timeout anew.
  static constexpr std::chrono::seconds kMinLifetime{ 15 };

  /// @return the longest that a stream of a route with a timeout may last.
  [[nodiscard]] static base::Duration Of(base::Duration aTimeout)
  {
    return std::max<base::Duration>(kTriesPerStream * aTimeout, kMinLifetime);
  }

  /// Sets the longest timeout of the routes for resumable streams, from now on.
  /// @param aTimeout Zero: there is no such route.
  void SetTimeout(base::Duration aTimeout, base::Instant aNow);

  /// @return the longest that any stream may last that runs at a time.
  [[nodiscard]] base::Duration LongestAt(base::Instant aNow) const;

private:
  /// Used without a route for streams.
  static constexpr std::chrono::seconds kDefaultTimeout{ 15 };

  /// Of streams that began under earlier declarations.
  struct Former
  {
    base::Duration lifetime_{ 0 };
    base::Instant until_;
  };

  base::Duration current_ = Of(kDefaultTimeout);
  std::vector<Former> former_;
};

} // namespace pumiceturn::fleet
