#include "LibFleet/RateLimitMembership.h"

#include "LibBase/Ids.h"

#include <algorithm>

namespace pumiceturn::fleet {

void
RateLimitMembership::Update(std::span<const Member> aOthers, base::Instant aNow)
{
  std::vector<AccountHost> heard;
  std::size_t admitting = admits_ ? 1 : 0;
  std::size_t registered = admitting;
  for (const Member& member : aOthers) {
    registered += member.admits_ ? 1 : 0;
    if (member.isReachable_) {
      heard.emplace_back(!member.admits_, member.host_);
      admitting += member.admits_ ? 1 : 0;
    }
  }
  std::sort(heard.begin(), heard.end());
  if (heard != heard_ || since_ == base::Instant{}) {
    heard_ = std::move(heard);
    since_ = aNow;
  }
  while (!registered_.empty() && (registered_.back().count_ <= registered ||
                                  aNow - registered_.back().at_ > kRetention)) {
    registered_.pop_back();
  }
  registered_.push_back({ aNow, registered });
  while (aNow - registered_.front().at_ > kRetention) {
    registered_.pop_front();
  }
  count_ = std::max<std::size_t>(registered_.front().count_, 1);
  share_ = static_cast<double>(admitting) / static_cast<double>(count_);
}

const std::string&
RateLimitMembership::OwnerOf(std::string_view aOrganisation) const
{
  const std::uint64_t seed = base::HashBytes(aOrganisation);
  const std::string* best = &ownName_;
  std::pair bestRank{ !admits_, base::HashBytes(ownName_, seed) };
  for (const auto& [onlyKeeps, host] : heard_) {
    const std::pair rank{ onlyKeeps, base::HashBytes(host, seed) };
    if (rank > bestRank) {
      best = &host;
      bestRank = rank;
    }
  }
  return *best;
}

} // namespace pumiceturn::fleet
