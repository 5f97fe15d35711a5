#include "LibFleet/RateLimitMembership.h"

#include "LibBase/Ids.h"

#include <algorithm>

namespace pumiceturn::fleet {

void
RateLimitMembership::Update(std::span<const Member> aOthers, base::Instant aNow)
{
  std::vector<RankedHost> reachable;
  std::size_t reachableCount = admits_ ? 1 : 0;
  std::size_t registeredCount = reachableCount;
  for (const Member& member : aOthers) {
    registeredCount += member.admits_ ? 1 : 0;
    if (member.isReachable_) {
      reachable.emplace_back(!member.admits_, member.host_);
      reachableCount += member.admits_ ? 1 : 0;
    }
  }
  std::sort(reachable.begin(), reachable.end());
  if (reachable != reachable_ || changedAt_ == base::Instant{}) {
    reachable_ = std::move(reachable);
    changedAt_ = aNow;
  }
  while (!registrationCounts_.empty() &&
         (registrationCounts_.back().count_ <= registeredCount ||
          aNow - registrationCounts_.back().at_ > kRetention)) {
    registrationCounts_.pop_back();
  }
  registrationCounts_.push_back({ aNow, registeredCount });
  while (aNow - registrationCounts_.front().at_ > kRetention) {
    registrationCounts_.pop_front();
  }
  count_ = std::max<std::size_t>(registrationCounts_.front().count_, 1);
  share_ = static_cast<double>(reachableCount) / static_cast<double>(count_);
}

const std::string&
RateLimitMembership::OwnerOf(std::string_view aOrganisation) const
{
  const std::uint64_t seed = base::HashBytes(aOrganisation);
  const std::string* best = &ownName_;
  std::pair bestRank{ !admits_, base::HashBytes(ownName_, seed) };
  for (const auto& [accountOnly, host] : reachable_) {
    const std::pair rank{ accountOnly, base::HashBytes(host, seed) };
    if (rank > bestRank) {
      best = &host;
      bestRank = rank;
    }
  }
  return *best;
}

} // namespace pumiceturn::fleet
