#pragma once

#include "LibBase/Time.h"
#include "LibHttpStream/Message.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pumiceturn::httpstream {

/// Why a caller's connection was closed.
enum class CloseCause : std::uint8_t
{
  Caller,          ///< The caller closed or reset it.
  WriteFailed,     ///< The kernel rejected a write.
  IdleTimeout,     ///< No request began within the idle timeout.
  RequestTimeout,  ///< A request began, but didn't arrive in time.
  ResponseUnread,  ///< The caller read nothing of a response in time.
  RequestRejected, ///< A request is malformed or exceeds a limit.
  ResponseEnded,   ///< The last response of the connection was written.
  Draining,        ///< It was idle while the host shuts down.
  Aborted,         ///< The host broke off a response.
};

inline constexpr std::size_t kCloseCauses = 9;

/// @return the cause as it is written to logs and metrics.
[[nodiscard]] std::string_view
ToString(CloseCause aCause);

/// How much of the current request the host had when its connection closed.
enum class RequestProgress : std::uint8_t
{
  None,
  Incomplete, ///< Some of its bytes were read.
  Unanswered, ///< It was read whole, and its response hasn't ended.
};

[[nodiscard]] std::string_view
ToString(RequestProgress aProgress);

/// State of a caller's connection when it was closed.
struct ConnectionEnd
{
  CloseCause cause_ = CloseCause::Caller;
  RequestProgress progress_ = RequestProgress::None;
  const Request* request_ = nullptr; ///< Set if progress_ is Unanswered.
  base::Duration sinceActivity_{};   ///< Since bytes were read or written.
  std::size_t unreadBytes_ = 0;      ///< Received, not part of a request read.
  std::size_t unsentBytes_ = 0;      ///< Not passed to the kernel.
  std::size_t unacknowledgedBytes_ = 0; ///< The kernel holds them.

  /// @return whether something was lost that the caller had sent or was to get.
  [[nodiscard]] bool HasOutstanding() const
  {
    return progress_ != RequestProgress::None || unreadBytes_ > 0 ||
           unsentBytes_ > 0;
  }
};

} // namespace pumiceturn::httpstream
