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
  // Which items of a first read are changes for other hosts isn't known: for an
  // older copy, any of them may be.
  if (followed_ == 0) {
    lastChange_ = aRevision;
  }
  followed_ = std::max(followed_, aRevision);
  answeredAt_ = aNow;
  confirmedAt_ = aNow;
  markedStaleAt_.reset();
}

void
ViewTracker::RecordChange(std::uint64_t aRevision)
{
  lastChange_ = std::max(lastChange_, aRevision);
}

void
ViewTracker::RecordAnswer(std::uint64_t aRevision,
                          base::BootInstant aRequestedAt,
                          base::BootInstant aNow)
{
  RecordComplete(aRequestedAt);
  followed_ = std::max(followed_, aRevision);
  if (markedStaleAt_ && aRequestedAt < *markedStaleAt_) {
    return;
  }
  markedStaleAt_.reset();
  answeredAt_ = aNow;
  confirmedAt_ = aNow;
}

ReportOutcome
ViewTracker::ApplyView(const MirrorView& aView, base::BootInstant aNow)
{
  if (markedStaleAt_) {
    return ReportOutcome::Ignored;
  }
  if (aView.lastChange_ > followed_) {
    return ReportOutcome::Gap;
  }
  // A peer that is behind knows nothing of later changes.
  if (aView.followed_ < followed_) {
    return ReportOutcome::Ignored;
  }
  followed_ = aView.followed_;
  lastChange_ = aView.lastChange_;
  confirmedAt_ = std::max(confirmedAt_, aNow - aView.age_);
  RecordComplete(aView.completeAsOf_);
  return ReportOutcome::Current;
}

ReportOutcome
ViewTracker::CheckDelta(const MirrorDelta& aDelta) const
{
  if (markedStaleAt_) {
    return ReportOutcome::Ignored;
  }
  if (aDelta.previousChange_ > followed_) {
    return ReportOutcome::Gap;
  }
  return ReportOutcome::Current;
}

void
ViewTracker::RecordDelta(const MirrorView& aView, base::BootInstant aNow)
{
  followed_ = std::max(followed_, aView.followed_);
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
  return { lastChange_,
           followed_,
           aNow - answeredAt_,
           completeAsOf_.value_or(base::BootInstant{}) };
}

} // namespace pumiceturn::metadata
