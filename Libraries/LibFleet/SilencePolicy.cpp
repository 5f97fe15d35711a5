#include "LibFleet/SilencePolicy.h"

namespace pumiceturn::fleet {

namespace {

/// Silence after which an endpoint that may reject the attempt or fail is
/// better than the silent one. Sound endpoints have gone on by then.
constexpr std::chrono::milliseconds kLongSilence{ 1500 };

} // namespace

SilenceAction
DecideOnSilence(const SilentAttempt& aAttempt)
{
  const bool isLong = aAttempt.isReplaced_ || aAttempt.silence_ >= kLongSilence;
  switch (aAttempt.replacement_) {
    case Replacement::FreeSlot:
      return SilenceAction::Move;
    case Replacement::Uncertain:
      return isLong ? SilenceAction::Move : SilenceAction::KeepWaiting;
    case Replacement::None:
      break;
  }
  return aAttempt.isReplaced_ ? SilenceAction::GiveUp
                              : SilenceAction::KeepWaiting;
}

} // namespace pumiceturn::fleet
