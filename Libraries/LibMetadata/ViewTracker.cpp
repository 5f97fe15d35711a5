#include "LibMetadata/ViewTracker.h"

#include <algorithm>

namespace pumiceturn::metadata {

void
ViewTracker::RecordComplete(base::BootInstant aMoment)
{
  completeAsOf_ = std::max(completeAsOf_.value_or(aMoment), aMoment);
}

void
ViewTracker::RecordRead(std::uint64_t aRevision,
                        base::BootInstant aRequestedAt,
                        base::BootInstant aNow)
{
  RecordComplete(aRequestedAt);
  // In a first read it isn't known which items other hosts lack: a host with an
  // older copy may lack any of them.
  if (followedRevision_ == 0) {
    lastChangeRevision_ = aRevision;
  }
  followedRevision_ = std::max(followedRevision_, aRevision);
  respondedAt_ = aNow;
  confirmedAt_ = aNow;
  markedStaleAt_.reset();
}

void
ViewTracker::RecordStaleRead(std::uint64_t aRevision)
{
  lastChangeRevision_ = std::max(lastChangeRevision_, aRevision);
  followedRevision_ = std::max(followedRevision_, aRevision);
}

void
ViewTracker::RecordChange(std::uint64_t aRevision)
{
  lastChangeRevision_ = std::max(lastChangeRevision_, aRevision);
}

void
ViewTracker::RecordResponse(std::uint64_t aRevision,
                            base::BootInstant aRequestedAt,
                            base::BootInstant aNow)
{
  RecordComplete(aRequestedAt);
  followedRevision_ = std::max(followedRevision_, aRevision);
  if (markedStaleAt_ && aRequestedAt < *markedStaleAt_) {
    return;
  }
  markedStaleAt_.reset();
  respondedAt_ = aNow;
  confirmedAt_ = aNow;
}

ReportOutcome
ViewTracker::ApplyView(const MirrorView& aView, base::BootInstant aNow)
{
  if (markedStaleAt_) {
    return ReportOutcome::Ignored;
  }
  if (aView.lastChangeRevision_ > followedRevision_) {
    return ReportOutcome::Gap;
  }
  // A peer that is behind knows nothing of later changes.
  if (aView.followedRevision_ < followedRevision_) {
    return ReportOutcome::Ignored;
  }
  followedRevision_ = aView.followedRevision_;
  lastChangeRevision_ = aView.lastChangeRevision_;
  confirmedAt_ = std::max(confirmedAt_, aNow - aView.age_);
  RecordComplete(aView.completeAsOf_);
  return ReportOutcome::Usable;
}

ReportOutcome
ViewTracker::CheckDelta(const MirrorDelta& aDelta) const
{
  if (markedStaleAt_) {
    return ReportOutcome::Ignored;
  }
  if (aDelta.previousChange_ > followedRevision_) {
    return ReportOutcome::Gap;
  }
  return ReportOutcome::Usable;
}

void
ViewTracker::RecordDelta(const MirrorView& aView, base::BootInstant aNow)
{
  followedRevision_ = std::max(followedRevision_, aView.followedRevision_);
  (void)ApplyView(aView, aNow);
}

void
ViewTracker::MarkStale(base::BootInstant aNow)
{
  markedStaleAt_ = aNow;
}

bool
ViewTracker::IsConfirmed(base::Duration aLifetime, base::BootInstant aNow) const
{
  return !markedStaleAt_ && aNow < ConfirmedUntil(aLifetime);
}

MirrorView
ViewTracker::View(base::BootInstant aNow) const
{
  return { lastChangeRevision_,
           followedRevision_,
           aNow - respondedAt_,
           completeAsOf_.value_or(base::BootInstant{}) };
}

} // namespace pumiceturn::metadata
