#include "LibBatch/HostSet.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::batch {

void
HostSet::Put(const std::string& aHost,
             const std::string& aOwner,
             BatchPreference aPreference,
             const std::string& aAddress,
             base::Instant aNow)
{
  Member& member = members_[aHost];
  member.preference_ = aPreference;
  member.address_ = aAddress;
  std::string& owner = member.owner_;
  if (!owner.empty() && owner != aOwner) {
    // The host has started anew: what its former process ran is free at once.
    goneSince_[owner] = aNow - kGrace;
  }
  owner = aOwner;
  goneSince_.erase(aOwner);
}

void
HostSet::Remove(const std::string& aHost, base::Instant aNow)
{
  const auto found = members_.find(aHost);
  if (found == members_.end()) {
    return;
  }
  goneSince_[found->second.owner_] = aNow;
  members_.erase(found);
}

std::optional<std::string>
HostSet::AddressOf(const std::string& aOwner) const
{
  for (const auto& [host, member] : members_) {
    if (member.owner_ == aOwner) {
      return member.address_;
    }
  }
  return std::nullopt;
}

std::vector<PeerAddress>
HostSet::PeersBut(const std::string& aButOwner) const
{
  std::vector<PeerAddress> peers;
  for (const auto& [host, member] : members_) {
    if (member.owner_ != aButOwner && !member.address_.empty()) {
      peers.push_back({ host,
                        member.address_,
                        member.preference_ == BatchPreference::Worker });
    }
  }
  return peers;
}

bool
HostSet::IsPreferred(BatchPreference aPreference) const
{
  return std::none_of(
    members_.begin(), members_.end(), [aPreference](const auto& aEntry) {
      return aEntry.second.preference_ > aPreference;
    });
}

std::size_t
HostSet::WorkerCount() const
{
  return static_cast<std::size_t>(
    std::count_if(members_.begin(), members_.end(), [](const auto& aEntry) {
      return aEntry.second.preference_ == BatchPreference::Worker;
    }));
}

bool
HostSet::IsLive(const std::string& aOwner) const
{
  return std::any_of(
    members_.begin(), members_.end(), [&aOwner](const auto& aEntry) {
      return aEntry.second.owner_ == aOwner;
    });
}

bool
HostSet::IsGone(const std::string& aOwner, base::Instant aNow) const
{
  if (aOwner.empty()) {
    return true;
  }
  if (IsLive(aOwner)) {
    return false;
  }
  const auto since = goneSince_.try_emplace(aOwner, aNow).first->second;
  return aNow - since >= kGrace;
}

std::string
HostSet::OwnerFor(std::string_view aJob) const
{
  using Rank = std::pair<BatchPreference, std::uint64_t>;
  std::string best;
  Rank bestRank{ BatchPreference::IfNoOther, 0 };
  const std::uint64_t seed = base::HashBytes(aJob);
  for (const auto& [host, member] : members_) {
    const Rank rank{ member.preference_, base::HashBytes(host, seed) };
    if (best.empty() || rank > bestRank) {
      best = member.owner_;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace pumiceturn::batch
