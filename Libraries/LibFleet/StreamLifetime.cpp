#include "LibFleet/StreamLifetime.h"

#include <algorithm>

namespace pumiceturn::fleet {

void
StreamLifetime::SetTimeout(base::Duration aTimeout, base::Instant aNow)
{
  const base::Duration lifetime =
    Of(aTimeout > base::Duration::zero() ? aTimeout
                                         : base::Duration(kDefaultTimeout));
  if (lifetime == current_) {
    return;
  }
  std::erase_if(
    former_, [aNow](const Former& aFormer) { return aFormer.until_ <= aNow; });
  former_.push_back({ current_, aNow + current_ });
  current_ = lifetime;
}

base::Duration
StreamLifetime::LongestAt(base::Instant aNow) const
{
  base::Duration longest = current_;
  for (const Former& former : former_) {
    if (aNow < former.until_) {
      longest = std::max(longest, former.lifetime_);
    }
  }
  return longest;
}

} // namespace pumiceturn::fleet
