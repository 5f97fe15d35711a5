#include "LibBatch/StartOrder.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::batch {

namespace {

/// Part of an item's remaining time that is added to it, as online bursts put
/// runs off. On virtual time (six seeds of a flood, lengths known as averages)
/// 134 of 145 possible items are on time with a tenth, 130 with a quarter, 127
/// with 0.4, 135 with none.
constexpr double kMargin = 0.1;

/// From the last event until a reader has the result: it is stored, and readers
/// come twice a second.
constexpr std::chrono::milliseconds kListing{ 300 };

/// Which part of the order an item belongs to.
enum class Rank : std::uint8_t
{
  Interrupted,
  Planned,
  LeftOut,
  OutOfReach,
};

struct Ranked
{
  Rank rank_ = Rank::Planned;
  StartCandidate candidate_;
};

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Rank
FirstRank(const StartCandidate& aCandidate, base::Instant aNow)
{
  if (!aCandidate.urgency_.IsInReach(aNow)) {
    return Rank::OutOfReach;
  }
  return aCandidate.hasStarted_ ? Rank::Interrupted : Rank::Planned;
}

bool
IsBefore(const Ranked& aLeft, const Ranked& aRight)
{
  return std::make_pair(aLeft.rank_, aLeft.candidate_.urgency_.dueAt_) <
         std::make_pair(aRight.rank_, aRight.candidate_.urgency_.dueAt_);
}

/// Leaves out the oldest planned items until the others, one after the other at
/// the host's places, are all in time.
/// @param aRanked In order.
void
LeaveOutOldest(std::vector<Ranked>& aRanked, const StartConditions& aConditions)
{
  const double places = std::max(aConditions.slots_, 1.0);
  // Work in place-seconds that is done before an item can start, from the
  // present runs on.
  std::vector<double> workBefore;
  double work = Seconds(aConditions.runningWork_);
  for (const Ranked& item : aRanked) {
    workBefore.push_back(work);
    work += Seconds(item.candidate_.urgency_.remaining_);
  }
  // The work that must be left out before an item so that it is in time is the
  // most that any item from there on needs.
  const auto isPlanned = [](const Ranked& aItem) {
    return aItem.rank_ == Rank::Planned;
  };
  const auto begin = std::find_if(aRanked.begin(), aRanked.end(), isPlanned);
  const auto end = std::find_if_not(begin, aRanked.end(), isPlanned);
  double mostExcess = 0.0;
  std::size_t keptFrom = static_cast<std::size_t>(end - aRanked.begin());
  const auto first = static_cast<std::size_t>(begin - aRanked.begin());
  for (std::size_t index = keptFrom; index-- > first;) {
    const base::Duration slack =
      aRanked[index].candidate_.urgency_.LatestStart() - aConditions.now_;
    const double excess = workBefore[index] - places * Seconds(slack);
    mostExcess = std::max(mostExcess, excess);
    if (workBefore[index] - workBefore[first] >= mostExcess) {
      keptFrom = index;
    }
  }
  for (std::size_t index = first; index < keptFrom; ++index) {
    aRanked[index].rank_ = Rank::LeftOut;
  }
}

} // namespace

base::Instant
ItemUrgency::LatestStart() const
{
  return dueAt_ - kListing -
         std::chrono::duration_cast<base::Duration>(remaining_ *
                                                    (1.0 + kMargin));
}

std::vector<StartCandidate>
OrderStarts(std::vector<StartCandidate> aCandidates,
            const StartConditions& aConditions)
{
  std::vector<Ranked> ranked;
  ranked.reserve(aCandidates.size());
  for (StartCandidate& candidate : aCandidates) {
    const Rank rank = FirstRank(candidate, aConditions.now_);
    ranked.push_back({ rank, std::move(candidate) });
  }
  std::stable_sort(ranked.begin(), ranked.end(), IsBefore);
  LeaveOutOldest(ranked, aConditions);
  std::stable_sort(ranked.begin(), ranked.end(), IsBefore);
  std::vector<StartCandidate> ordered;
  ordered.reserve(ranked.size());
  for (Ranked& item : ranked) {
    ordered.push_back(std::move(item.candidate_));
  }
  return ordered;
}

bool
IsPreemptedBefore(const ItemUrgency& aOne,
                  const ItemUrgency& aOther,
                  base::Instant aNow)
{
  const bool isOneInReach = aOne.IsInReach(aNow);
  const bool isOtherInReach = aOther.IsInReach(aNow);
  if (isOneInReach != isOtherInReach) {
    return !isOneInReach;
  }
  return aOne.LatestStart() > aOther.LatestStart();
}

} // namespace pumiceturn::batch
