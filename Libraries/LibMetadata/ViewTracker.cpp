#include "LibMetadata/ViewTracker.h"

#include <algorithm>

namespace pumiceturn::metadata {

void
ViewTracker::NoteComplete(base::BootInstant aMoment)
{
  completeAsOf_ = std::max(completeAsOf_.value_or(aMoment), aMoment);
}

void
ViewTracker::NoteRead(std::uint64_t aRevision,
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
  distrustedAt_.reset();
}

void
ViewTracker::NoteChange(std::uint64_t aRevision)
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
  if (distrustedAt_ && aAskedAt < *distrustedAt_) {
    return;
  }
  distrustedAt_.reset();
  answeredAt_ = aNow;
  confirmedAt_ = aNow;
}

ReportOutcome
ViewTracker::TakeView(const MirrorView& aView, base::BootInstant aNow)
{
  if (distrustedAt_) {
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
ViewTracker::Judge(const MirrorNews& aNews) const
{
  if (distrustedAt_) {
    return ReportOutcome::Ignored;
  }
  if (aNews.previousChange_ > followed_) {
    return ReportOutcome::Gap;
  }
  return ReportOutcome::Current;
}

void
ViewTracker::NoteNews(const MirrorView& aView, base::BootInstant aNow)
{
  followed_ = std::max(followed_, aView.followed_);
  (void)TakeView(aView, aNow);
}

void
ViewTracker::Distrust(base::BootInstant aNow)
{
  distrustedAt_ = aNow;
}

bool
ViewTracker::IsConfirmed(base::Duration aTrust, base::BootInstant aNow) const
{
  return !distrustedAt_ && aNow < ConfirmedUntil(aTrust);
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
