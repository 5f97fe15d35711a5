#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace pumiceturn::fleet {

/// What could take over from a silent attempt.
enum class Replacement : std::uint8_t
{
  None,
  Uncertain, ///< An endpoint that is full or failed recently.
  FreeSlot   ///< An endpoint with a slot for the attempt.
};

/// What is known of an attempt whose endpoint has sent nothing for the time
/// after which another endpoint may be faster.
struct SilentAttempt
{
  base::Duration silence_{ 0 };
  Replacement replacement_ = Replacement::None;
  /// Another process is known to run in place of the endpoint's.
  bool isReplaced_ = false;
};

enum class SilenceAction : std::uint8_t
{
  KeepWaiting,
  Move,   ///< End the attempt and make another at the replacement.
  GiveUp, ///< End the attempt, as its endpoint is gone.
};

/// Decides what to do about a silent attempt. A sound endpoint may be silent
/// for a second and go on, so that silence alone ends an attempt only if
/// another one takes over.
[[nodiscard]] SilenceAction
DecideOnSilence(const SilentAttempt& aAttempt);

} // namespace pumiceturn::fleet
