#include "LibBatch/StartOrder.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::batch {

namespace {

/// Share of the remaining run time added as a margin for preemption by online
/// bursts.
constexpr double kRemainingMargin = 0.1;

/// Time allowed from an item's last event until a reader has its result: the
/// result is stored first, and readers poll twice a second.
constexpr std::chrono::milliseconds kPublishDelay{ 300 };

/// Groups of the start order.
enum class Rank : std::uint8_t
{
  Interrupted,
  InTime,
  Deferred,
  Late,
};

struct RankedCandidate
{
  Rank rank_ = Rank::InTime;
  StartCandidate candidate_;
};

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Rank
InitialRank(const StartCandidate& aCandidate, base::Instant aNow)
{
  if (!aCandidate.urgency_.CanFinishInTime(aNow)) {
    return Rank::Late;
  }
  return aCandidate.wasInterrupted_ ? Rank::Interrupted : Rank::InTime;
}

bool
IsBefore(const RankedCandidate& aLeft, const RankedCandidate& aRight)
{
  return std::make_pair(aLeft.rank_, aLeft.candidate_.urgency_.dueAt_) <
         std::make_pair(aRight.rank_, aRight.candidate_.urgency_.dueAt_);
}

/// Defers the items that are due first until the others can all be done in time
/// when run one after the other on the host's slots.
/// @param aRanked Sorted with IsBefore().
void
DeferEarliestDue(std::vector<RankedCandidate>& aRanked,
                 const StartConditions& aConditions)
{
  const double slots = std::max(aConditions.averageAttempts_, 1.0);
  // Work in slot-seconds ahead of each item, including the running attempts.
  std::vector<double> workBefore;
  double work = Seconds(aConditions.runningWork_);
  for (const RankedCandidate& item : aRanked) {
    workBefore.push_back(work);
    work += Seconds(item.candidate_.urgency_.remaining_);
  }
  // An item's excess is the work ahead of it that cannot be done before its
  // latest start. To keep an item and all later ones, at least their maximum
  // excess must be deferred.
  const auto isInTime = [](const RankedCandidate& aItem) {
    return aItem.rank_ == Rank::InTime;
  };
  const auto begin = std::find_if(aRanked.begin(), aRanked.end(), isInTime);
  const auto end = std::find_if_not(begin, aRanked.end(), isInTime);
  double maxExcess = 0.0;
  std::size_t keptFrom = static_cast<std::size_t>(end - aRanked.begin());
  const auto first = static_cast<std::size_t>(begin - aRanked.begin());
  for (std::size_t index = keptFrom; index-- > first;) {
    const base::Duration slack =
      aRanked[index].candidate_.urgency_.LatestStart() - aConditions.now_;
    const double excess = workBefore[index] - slots * Seconds(slack);
    maxExcess = std::max(maxExcess, excess);
    if (workBefore[index] - workBefore[first] >= maxExcess) {
      keptFrom = index;
    }
  }
  for (std::size_t index = first; index < keptFrom; ++index) {
    aRanked[index].rank_ = Rank::Deferred;
  }
}

} // namespace

base::Instant
ItemUrgency::LatestStart() const
{
  return dueAt_ - kPublishDelay -
         std::chrono::duration_cast<base::Duration>(remaining_ *
                                                    (1.0 + kRemainingMargin));
}

std::vector<StartCandidate>
OrderStarts(std::vector<StartCandidate> aCandidates,
            const StartConditions& aConditions)
{
  std::vector<RankedCandidate> ranked;
  ranked.reserve(aCandidates.size());
  for (StartCandidate& candidate : aCandidates) {
    const Rank rank = InitialRank(candidate, aConditions.now_);
    ranked.push_back({ rank, std::move(candidate) });
  }
  std::stable_sort(ranked.begin(), ranked.end(), IsBefore);
  DeferEarliestDue(ranked, aConditions);
  std::stable_sort(ranked.begin(), ranked.end(), IsBefore);
  std::vector<StartCandidate> ordered;
  ordered.reserve(ranked.size());
  for (RankedCandidate& item : ranked) {
    ordered.push_back(std::move(item.candidate_));
  }
  return ordered;
}

bool
IsPreemptedBefore(const ItemUrgency& aOne,
                  const ItemUrgency& aOther,
                  base::Instant aNow)
{
  const bool canOneFinish = aOne.CanFinishInTime(aNow);
  const bool canOtherFinish = aOther.CanFinishInTime(aNow);
  if (canOneFinish != canOtherFinish) {
    return !canOneFinish;
  }
  return aOne.LatestStart() > aOther.LatestStart();
}

} // namespace pumiceturn::batch
