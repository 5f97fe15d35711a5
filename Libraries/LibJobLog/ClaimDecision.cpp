#include "LibJobLog/ClaimDecision.h"

#include "LibPartition/Rendezvous.h"

#include <algorithm>

namespace pumiceturn::joblog {

namespace {

ClaimDecision
Choose(ClaimChoice aChoice)
{
  return ClaimDecision{ aChoice, {} };
}

/// @return hosts in rendezvous order that may claim, without the owner.
std::vector<std::string>
ListCandidates(const partition::PartitionRecord& aRecord,
               const FleetView& aFleet)
{
  std::vector<std::string> candidates = aRecord.copies_;
  if (candidates.empty()) {
    // Nothing was ever acknowledged, so an empty copy is a whole one.
    for (const KeeperView& keeper : aFleet.keepers_) {
      if (!keeper.isLeaving_) {
        candidates.push_back(keeper.host_);
      }
    }
  }
  std::erase(candidates, aRecord.owner_);
  partition::SortByRendezvous(aRecord.partition_, candidates);
  return candidates;
}

} // namespace

ClaimDecision
DecideClaim(const partition::PartitionRecord& aRecord,
            OwnCopy aOwnCopy,
            const FleetView& aFleet,
            const ClaimLimits& aLimits,
            base::Instant aNow)
{
  const bool fit = aOwnCopy == OwnCopy::Whole || aRecord.copies_.empty();
  if (aRecord.owner_ == aFleet.self_) {
    // Recorded from before a restart, or named by one that left.
    if (fit) {
      return Choose(ClaimChoice::Claim);
    }
    const std::string successor = ChooseSuccessor(aRecord, aFleet);
    return successor.empty() ? Choose(ClaimChoice::Wait)
                             : ClaimDecision{ ClaimChoice::Yield, successor };
  }
  // With too few hosts in sight it is likelier that this one is cut off.
  if (!fit || aFleet.CountUpDomains() < aLimits.minCopies_) {
    return Choose(ClaimChoice::Wait);
  }
  base::Duration ownerLost{ base::Duration::max() };
  if (!aRecord.owner_.empty()) {
    ownerLost = aFleet.LostFor(aRecord.owner_, aNow);
    if (ownerLost < aLimits.takeoverAfter_) {
      return Choose(ClaimChoice::Wait);
    }
  }
  base::Duration ownTurn = aLimits.takeoverAfter_;
  for (const std::string& candidate : ListCandidates(aRecord, aFleet)) {
    if (candidate == aFleet.self_) {
      return Choose(ownerLost >= ownTurn ? ClaimChoice::Claim
                                         : ClaimChoice::Wait);
    }
    if (aFleet.LostFor(candidate, aNow) >= aLimits.takeoverAfter_) {
      continue;
    }
    if (aRecord.owner_.empty()) {
      return Choose(ClaimChoice::Wait);
    }
    ownTurn += aLimits.takeoverAfter_;
  }
  return Choose(ClaimChoice::Wait);
}

std::string
ChooseSuccessor(const partition::PartitionRecord& aRecord,
                const FleetView& aFleet)
{
  for (const std::string& candidate : ListCandidates(aRecord, aFleet)) {
    if (candidate != aFleet.self_ && aFleet.IsUp(candidate)) {
      return candidate;
    }
  }
  return {};
}

} // namespace pumiceturn::joblog
