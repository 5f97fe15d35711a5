#include "LibMetadata/ViewTracker.h"

#include <algorithm>

namespace pumiceturn::metadata {

void
ViewTracker::NoteComplete(base::BootInstant aMoment)
{
  completeAsOf_ = std::max(completeAsOf_.value_or(aMoment), aMoment);
}

void
ViewTracker::RecordRead(std::uint64_t aRevision,
                        base::BootInstant aAskedAt,
                        base::BootInstant aNow)
{
  NoteComplete(aAskedAt);
  // Which part of a first read is news to others isn't known: to a copy that is
  // older, any of it may be.
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
ViewTracker::NoteAnswer(std::uint64_t aRevision,
                        base::BootInstant aAskedAt,
                        base::BootInstant aNow)
{
  NoteComplete(aAskedAt);
  followed_ = std::max(followed_, aRevision);
  if (markedStaleAt_ && aAskedAt < *markedStaleAt_) {
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
  // A peer that is behind says nothing about what came later.
  if (aView.followed_ < followed_) {
    return ReportOutcome::Ignored;
  }
  followed_ = aView.followed_;
  lastChange_ = aView.lastChange_;
  confirmedAt_ = std::max(confirmedAt_, aNow - aView.age_);
  NoteComplete(aView.completeAsOf_);
  return ReportOutcome::Current;
}

ReportOutcome
ViewTracker::Judge(const MirrorDelta& aDelta) const
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
ViewTracker::IsConfirmed(base::Duration aFreshFor, base::BootInstant aNow) const
{
  return !markedStaleAt_ && aNow < ConfirmedUntil(aFreshFor);
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
