#pragma once

#include "LibBase/Time.h"
#include "LibHttpStream/ConnectionEnd.h"
#include "LibHttpStream/ServerLimits.h"

#include <cstdint>
#include <optional>

namespace pumiceturn::httpstream {

/// What a caller's connection waits for.
enum class ConnectionPhase : std::uint8_t
{
  Idle,      ///< The first byte of a request.
  Header,    ///< The rest of a request's header.
  Body,      ///< The rest of a request's body.
  Answering, ///< The response of a handler; has no timeout here.
  Sending,   ///< The caller, to read bytes of a response.
};

/// Decides when a caller's connection has waited too long. Does no I/O.
///
/// A connection keeps the limits under which its last request began: a caller
/// that relies on them may be about to use the connection when they change. A
/// longer timeout holds at once, since callers may rely on it at once.
class ConnectionTimeouts
{
public:
  ConnectionTimeouts(const ServerLimits& aLimits, base::Instant aNow)
    : limits_(aLimits)
    , lastActivity_(aNow)
  {
  }

  void OnRequestBegun(const ServerLimits& aLimits, base::Instant aNow)
  {
    limits_ = aLimits;
    requestStartedAt_ = aNow;
  }

  /// Bytes were read, or the caller took bytes of a response.
  void OnActivity(base::Instant aNow) { lastActivity_ = aNow; }

  [[nodiscard]] base::Instant LastActivity() const { return lastActivity_; }

  /// @param aCurrent The limits that apply to requests that begin now.
  /// @return why the connection is to be closed, or std::nullopt.
  [[nodiscard]] std::optional<CloseCause> FindExpired(
    ConnectionPhase aPhase,
    const ServerLimits& aCurrent,
    base::Instant aNow) const;

private:
  ServerLimits limits_;
  base::Instant lastActivity_;
  base::Instant requestStartedAt_;
};

} // namespace pumiceturn::httpstream
