#include "LibJobLog/CopyIndex.h"

#include <algorithm>
#include <cassert>

namespace pumiceturn::joblog {

std::uint64_t
CopySummary::LastEpoch() const
{
  return runs_.empty() ? state_.previousEpoch_ : runs_.back().epoch_;
}

std::uint64_t
CopySummary::EpochAt(std::uint64_t aSequence) const
{
  assert(aSequence <= lastSequence_);
  const auto after = std::upper_bound(
    runs_.begin(), runs_.end(), aSequence, [](auto aWanted, const auto& aRun) {
      return aWanted < aRun.firstSequence_;
    });
  if (after == runs_.begin()) {
    return state_.previousEpoch_;
  }
  return std::prev(after)->epoch_;
}

void
CopySummary::Extend(std::uint64_t aSequence, std::uint64_t aEpoch)
{
  while (!runs_.empty() && runs_.back().firstSequence_ >= aSequence) {
    runs_.pop_back();
  }
  if (runs_.empty() || runs_.back().epoch_ != aEpoch) {
    runs_.push_back(EpochRun{ aSequence, aEpoch });
  }
  lastSequence_ = aSequence;
}

void
CopySummary::Apply(const CopyState& aState)
{
  state_ = aState;
  if (lastSequence_ + 1 <= aState.firstSequence_) {
    lastSequence_ = aState.firstSequence_ - 1;
    runs_.clear();
    return;
  }
  // The run that reaches over the first sequence now begins there.
  while (runs_.size() > 1 && runs_[1].firstSequence_ <= aState.firstSequence_) {
    runs_.erase(runs_.begin());
  }
  if (!runs_.empty()) {
    runs_.front().firstSequence_ =
      std::max(runs_.front().firstSequence_, aState.firstSequence_);
  }
}

void
CopyIndex::AddEntry(const RecordHeader& aHeader,
                    Place aPlace,
                    const Dropped& aDropped)
{
  if (aHeader.sequence_ < summary_.state_.firstSequence_) {
    aDropped(aPlace.segment_);
    return;
  }
  if (aHeader.sequence_ > summary_.lastSequence_ + 1) {
    // Only damage on disk leaves a gap: the store appends without one.
    MarkDamaged();
    DropFrom(summary_.state_.firstSequence_, aDropped);
    summary_.Apply(CopyState{ summary_.state_.sealedEpoch_,
                              aHeader.sequence_,
                              summary_.LastEpoch(),
                              true });
  }
  DropFrom(aHeader.sequence_, aDropped);
  places_.push_back(aPlace);
  summary_.Extend(aHeader.sequence_, aHeader.epoch_);
}

void
CopyIndex::ApplyState(const CopyState& aState, const Dropped& aDropped)
{
  if (aState.firstSequence_ < summary_.state_.firstSequence_) {
    // What was trimmed never comes back but by a reset.
    MarkDamaged();
    return;
  }
  DropBefore(aState.firstSequence_, aDropped);
  summary_.Apply(aState);
}

void
CopyIndex::Reset(const CopyState& aState, const Dropped& aDropped)
{
  DropFrom(summary_.state_.firstSequence_, aDropped);
  summary_ = CopySummary{};
  summary_.Apply(aState);
}

CopyIndex::Place
CopyIndex::PlaceOf(std::uint64_t aSequence) const
{
  assert(aSequence >= summary_.state_.firstSequence_);
  assert(aSequence <= summary_.lastSequence_);
  return places_[aSequence - summary_.state_.firstSequence_];
}

void
CopyIndex::DropFrom(std::uint64_t aSequence, const Dropped& aDropped)
{
  const std::uint64_t kept = aSequence - summary_.state_.firstSequence_;
  while (places_.size() > kept) {
    aDropped(places_.back().segment_);
    places_.pop_back();
  }
}

void
CopyIndex::DropBefore(std::uint64_t aSequence, const Dropped& aDropped)
{
  std::uint64_t first = summary_.state_.firstSequence_;
  while (first < aSequence && !places_.empty()) {
    aDropped(places_.front().segment_);
    places_.pop_front();
    ++first;
  }
}

} // namespace pumiceturn::joblog
