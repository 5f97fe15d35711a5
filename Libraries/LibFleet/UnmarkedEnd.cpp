#include "LibFleet/UnmarkedEnd.h"

namespace pumiceturn::fleet {

namespace {

/// A process loses its connections within this time, on a busy machine too.
constexpr std::chrono::seconds kMaxTimeToEnd{ 1 };

/// @return whether something happened since shortly before the end was read.
bool
HappenedNear(const UnmarkedEnd& aEnd,
             const std::optional<base::Instant>& aMoment)
{
  return aMoment && *aMoment >= aEnd.endedAt_ - kMaxTimeToEnd;
}

} // namespace

bool
HasLivedOn(const UnmarkedEnd& aEnd)
{
  if (aEnd.check_ == EndpointCheck::SameProcess) {
    return true;
  }
  // After a suspension the end may be old, and signs of a restart may not have
  // been read yet.
  if (aEnd.check_ == EndpointCheck::Unreachable ||
      aEnd.check_ == EndpointCheck::OtherProcess || aEnd.isReplaced_ ||
      HappenedNear(aEnd, aEnd.resumedAt_)) {
    return false;
  }
  const bool wasAnsweredAtOnce =
    aEnd.check_ == EndpointCheck::Answered &&
    aEnd.checkedAt_ - aEnd.endedAt_ <= kMinRestartTime;
  return wasAnsweredAtOnce || !HappenedNear(aEnd, aEnd.lostConnectionAt_);
}

} // namespace pumiceturn::fleet
