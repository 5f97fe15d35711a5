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
    // The host has restarted: jobs of its previous process may be taken over
    // immediately.
    unregisteredSince_[owner] = aNow - kTakeoverDelay;
    hostsByOwner_.erase(owner);
  }
  const bool wasAbsent = absentWorkers_.erase(aHost) > 0;
  if (wasAbsent || (!owner.empty() && owner != aOwner)) {
    member.returnedAt_ = aNow;
  }
  owner = aOwner;
  hostsByOwner_[aOwner] = aHost;
  unregisteredSince_.erase(aOwner);
}

void
HostSet::Remove(const std::string& aHost, base::Instant aNow)
{
  const auto found = members_.find(aHost);
  if (found == members_.end()) {
    return;
  }
  unregisteredSince_[found->second.owner_] = aNow;
  if (found->second.preference_ == BatchPreference::Worker) {
    absentWorkers_[aHost] = aNow;
  }
  hostsByOwner_.erase(found->second.owner_);
  members_.erase(found);
}

std::optional<std::string>
HostSet::AddressOf(const std::string& aOwner) const
{
  const auto host = hostsByOwner_.find(aOwner);
  return host != hostsByOwner_.end()
           ? std::optional(members_.at(host->second).address_)
           : std::nullopt;
}

std::vector<PeerAddress>
HostSet::PeersExcept(const std::string& aExcludedOwner) const
{
  std::vector<PeerAddress> peers;
  for (const auto& [host, member] : members_) {
    if (member.owner_ != aExcludedOwner && !member.address_.empty()) {
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
HostSet::AreWorkersPresent(base::Duration aAbsence,
                           base::Duration aTime,
                           base::Instant aNow) const
{
  const bool isAnyAbsent = std::any_of(
    absentWorkers_.begin(), absentWorkers_.end(), [&](const auto& aEntry) {
      return aNow - aEntry.second < aAbsence;
    });
  const bool hasAnyReturned =
    std::any_of(members_.begin(), members_.end(), [&](const auto& aEntry) {
      const auto& returnedAt = aEntry.second.returnedAt_;
      return aEntry.second.preference_ == BatchPreference::Worker &&
             returnedAt && aNow - *returnedAt < aTime;
    });
  return !isAnyAbsent && !hasAnyReturned;
}

bool
HostSet::IsRegistered(const std::string& aOwner) const
{
  return hostsByOwner_.contains(aOwner);
}

bool
HostSet::CanTakeOverFrom(const std::string& aOwner, base::Instant aNow) const
{
  if (aOwner.empty()) {
    return true;
  }
  if (IsRegistered(aOwner)) {
    return false;
  }
  const auto since = unregisteredSince_.try_emplace(aOwner, aNow).first->second;
  return aNow - since >= kTakeoverDelay;
}

std::string
HostSet::AssignedOwner(std::string_view aJob) const
{
  using Rank = std::pair<BatchPreference, std::uint64_t>;
  std::string best;
  Rank bestRank{ BatchPreference::Fallback, 0 };
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
