#include "LibMetadata/StoreHealth.h"

#include "LibMetadata/Events.h"

namespace pumiceturn::metadata {

void
StoreHealth::NoteCall(bool aIsAnswered, base::Instant aNow)
{
  if (!aIsAnswered && !lost_) {
    lost_ = true;
    base::Log(kStoreLost);
  } else if (aIsAnswered && lost_) {
    lost_ = false;
    returnedAt_ = aNow;
    base::Log(kStoreRegained);
  }
}

std::optional<base::Instant>
StoreHealth::ReturnedAt(base::Instant aNow) const
{
  return lost_ ? std::optional(aNow) : returnedAt_;
}

} // namespace pumiceturn::metadata
