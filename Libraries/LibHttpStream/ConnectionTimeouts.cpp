#include "LibHttpStream/ConnectionTimeouts.h"

#include <algorithm>

namespace pumiceturn::httpstream {

std::optional<CloseCause>
ConnectionTimeouts::FindExpired(ConnectionPhase aPhase,
                                const ServerLimits& aCurrent,
                                base::Instant aNow) const
{
  const base::Duration idleTimeout =
    std::max(limits_.idleTimeout_, aCurrent.idleTimeout_);
  const base::Duration headerTimeout =
    std::max(limits_.headerTimeout_, aCurrent.headerTimeout_);
  const bool isIdleTimeoutOver = aNow - lastActivity_ > idleTimeout;
  switch (aPhase) {
    case ConnectionPhase::Idle:
      return isIdleTimeoutOver ? std::optional(CloseCause::IdleTimeout)
                               : std::nullopt;
    case ConnectionPhase::Header:
      return isIdleTimeoutOver || aNow - requestStartedAt_ > headerTimeout
               ? std::optional(CloseCause::RequestTimeout)
               : std::nullopt;
    case ConnectionPhase::Body:
      return isIdleTimeoutOver ? std::optional(CloseCause::RequestTimeout)
                               : std::nullopt;
    case ConnectionPhase::Sending:
      return isIdleTimeoutOver ? std::optional(CloseCause::ResponseUnread)
                               : std::nullopt;
    case ConnectionPhase::Answering:
      return std::nullopt;
  }
  return std::nullopt;
}

} // namespace pumiceturn::httpstream
