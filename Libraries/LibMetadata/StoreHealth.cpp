#include "LibMetadata/StoreHealth.h"

#include "LibMetadata/Events.h"

namespace pumiceturn::metadata {

void
StoreHealth::RecordCall(bool aHasResponse, base::Instant aNow)
{
  if (!aHasResponse && !isLost_) {
    isLost_ = true;
    lostAt_ = aNow;
    base::Log(kStoreLost);
  } else if (aHasResponse && isLost_) {
    isLost_ = false;
    respondedAgainAt_ = aNow;
    if (aNow - lostAt_ >= kMinOutage) {
      recoveredAt_ = aNow;
    }
    base::Log(kStoreRegained);
  }
}

std::optional<base::Instant>
StoreHealth::RecoveredAt(base::Instant aNow) const
{
  const bool isOutage = isLost_ && aNow - lostAt_ >= kMinOutage;
  return isOutage ? std::optional(aNow) : recoveredAt_;
}

bool
StoreHealth::WasLostWithin(base::Duration aWindow, base::Instant aNow) const
{
  return isLost_ || (respondedAgainAt_ && aNow - *respondedAgainAt_ < aWindow);
}

} // namespace pumiceturn::metadata
