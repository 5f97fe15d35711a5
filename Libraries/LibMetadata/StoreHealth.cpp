#include "LibMetadata/StoreHealth.h"

#include "LibMetadata/Events.h"

namespace pumiceturn::metadata {

void
StoreHealth::NoteCall(bool aIsAnswered, base::Instant aNow)
{
  if (!aIsAnswered && !lost_) {
    lost_ = true;
    lostAt_ = aNow;
    base::Log(kStoreLost);
  } else if (aIsAnswered && lost_) {
    lost_ = false;
    if (aNow - lostAt_ >= kLeastOutage) {
      returnedAt_ = aNow;
    }
    base::Log(kStoreRegained);
  }
}

std::optional<base::Instant>
StoreHealth::ReturnedAt(base::Instant aNow) const
{
  const bool isOutage = lost_ && aNow - lostAt_ >= kLeastOutage;
  return isOutage ? std::optional(aNow) : returnedAt_;
}

} // namespace pumiceturn::metadata
