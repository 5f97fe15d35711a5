#pragma once

#include "LibBase/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pumiceturn::fleet {

/// No process starts again within this time after its end.
inline constexpr std::chrono::milliseconds kMinRestartTime{ 50 };

/// What a check of an endpoint found after the connection of a response ended.
enum class EndpointCheck : std::uint8_t
{
  Unreachable, ///< It refused the connection, ended it or is another one.
  Open,        ///< The connection stayed open, without an answer.
  Answered,
  SameProcess,  ///< The process that sent the response says so.
  OtherProcess, ///< Another process says that it is there.
};

/// A response whose end nothing but the end of its connection marks, and what
/// is known of the endpoint. The kernel ends the connections of a killed
/// process in order, too, so the response is whole only if its process lived
/// on.
struct UnmarkedEnd
{
  base::Instant endedAt_; ///< When the end was read.
  EndpointCheck check_ = EndpointCheck::Unreachable;
  base::Instant checkedAt_; ///< When the check ended.
  /// Another process is known to run in place of the endpoint's.
  bool isReplaced_ = false;
  /// When another attempt last lost its connection to the endpoint.
  std::optional<base::Instant> lostConnectionAt_{};
  /// When this process last went on after a suspension.
  std::optional<base::Instant> resumedAt_{};
};

/// @return whether the process that sent the response lived on after its end.
///         A check reaches the endpoint's next process as well, so unless the
///         process names itself, one that took long proves nothing beside signs
///         of a restart.
[[nodiscard]] bool
HasLivedOn(const UnmarkedEnd& aEnd);

} // namespace pumiceturn::fleet
