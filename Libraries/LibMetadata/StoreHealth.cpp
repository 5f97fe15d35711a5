#include "LibMetadata/StoreHealth.h"

#include "LibMetadata/Events.h"

namespace pumiceturn::metadata {

void
StoreHealth::RecordCall(bool aIsAnswered, base::Instant aNow)
{
  if (!aIsAnswered && !lost_) {
    lost_ = true;
    lostAt_ = aNow;
    base::Log(kStoreLost);
  } else if (aIsAnswered && lost_) {
    lost_ = false;
    answeredSince_ = aNow;
    if (aNow - lostAt_ >= kMinOutage) {
      returnedAt_ = aNow;
    }
    base::Log(kStoreRegained);
  }
}

std::optional<base::Instant>
StoreHealth::RecoveredAt(base::Instant aNow) const
{
  const bool isOutage = lost_ && aNow - lostAt_ >= kMinOutage;
  return isOutage ? std::optional(aNow) : returnedAt_;
}

bool
StoreHealth::WasLostWithin(base::Duration aSpan, base::Instant aNow) const
{
  return lost_ || (answeredSince_ && aNow - *answeredSince_ < aSpan);
}

} // namespace pumiceturn::metadata
