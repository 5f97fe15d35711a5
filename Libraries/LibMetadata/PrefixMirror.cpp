#include "LibMetadata/PrefixMirror.h"

#include "LibMetadata/Events.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace pumiceturn::metadata {

namespace {

/// Maximum duration of a watch by which a host only checks whether its copy is
/// complete.
constexpr std::chrono::milliseconds kCheckWait{ 1 };

} // namespace

PrefixMirror::PrefixMirror(boost::asio::io_context& aContext,
                           StoreClient& aClient,
                           StoreHealth& aHealth,
                           Options aOptions,
                           ChangeHandler aOnChange)
  : client_(aClient)
  , health_(aHealth)
  , options_(std::move(aOptions))
  , onChange_(std::move(aOnChange))
  , timer_(aContext)
{
}

void
PrefixMirror::Schedule(base::Duration aPause, void (PrefixMirror::*aStep)())
{
  timer_.Start(aPause, [this, aStep] { (this->*aStep)(); });
}

void
PrefixMirror::Read(ReadConsistency aConsistency)
{
  phase_ = Phase::Reading;
  readItems_.clear();
  readRevision_.reset();
  readStartedAt_ = base::BootNow();
  readConsistency_ = aConsistency;
  ReadPage({});
}

void
PrefixMirror::ReadPage(const std::string& aAfter)
{
  client_.Range(options_.prefix_,
                aAfter,
                readConsistency_,
                lifetime_.Guard([this](RangeResponse aResponse) {
                  OnPage(std::move(aResponse));
                }));
}

void
PrefixMirror::OnPage(RangeResponse aResponse)
{
  const bool isOk = aResponse.status_ == StoreStatus::Ok;
  health_.RecordCall(isOk, base::MonotonicNow());
  if (!isOk) {
    Schedule(options_.retryPause_, &PrefixMirror::Restart);
    return;
  }
  // Pages are not a snapshot: watching from the first page's revision repeats
  // the changes made while the later ones were read.
  if (!readRevision_) {
    readRevision_ = aResponse.storeRevision_;
  }
  for (StoreItem& item : aResponse.items_) {
    readItems_.push_back(std::move(item));
  }
  if (aResponse.isTruncated_ && !readItems_.empty()) {
    ReadPage(readItems_.back().key_);
    return;
  }
  FinishReading();
}

void
PrefixMirror::FinishReading()
{
  std::unordered_set<std::string> present;
  for (const StoreItem& item : readItems_) {
    present.insert(item.key_);
  }
  std::vector<StoreItem> read = std::exchange(readItems_, {});
  for (const auto& [key, revision] : revisions_) {
    if (!present.contains(key)) {
      read.push_back({ key, {}, *readRevision_, true });
    }
  }
  const std::size_t count = present.size();
  const std::uint64_t previousChange = View().lastChangeRevision_;
  std::vector<StoreItem> changes;
  for (StoreItem& item : read) {
    if (Apply(item)) {
      changes.push_back(std::move(item));
    }
  }
  const bool mayBeStale = readConsistency_ == ReadConsistency::MayBeStale;
  if (mayBeStale) {
    tracker_.RecordStaleRead(*readRevision_);
  } else {
    tracker_.RecordRead(*readRevision_, readStartedAt_, base::BootNow());
  }
  base::Log(kMirrorRead,
            { { "prefix", options_.prefix_ },
              { "keys", count },
              { "revision", *readRevision_ } });
  if (std::exchange(isComplete_, true)) {
    ForwardChanges(previousChange, std::move(changes));
  }
  if (mayBeStale && !follows_) {
    WaitFor(options_.confirmationWait_);
  } else {
    Continue();
  }
}

bool
PrefixMirror::Apply(const StoreItem& aItem)
{
  // A peer may have reported a newer change first; a page or watch requested
  // before that must not undo it.
  const auto known = revisions_.find(aItem.key_);
  const bool isKnown = known != revisions_.end();
  const bool isNew =
    isKnown ? aItem.revision_ > known->second : !aItem.isRemoved_;
  if (!isNew) {
    return false;
  }
  if (aItem.isRemoved_) {
    revisions_.erase(known);
  } else {
    revisions_[aItem.key_] = aItem.revision_;
  }
  const bool isRelevant = onChange_(aItem);
  if (isRelevant) {
    tracker_.RecordChange(aItem.revision_);
  }
  return isRelevant;
}

void
PrefixMirror::ForwardChanges(std::uint64_t aPreviousChange,
                             std::vector<StoreItem> aChanges)
{
  if (follows_ && !aChanges.empty()) {
    onDelta_({ aPreviousChange, View(), std::move(aChanges) });
  }
}

void
PrefixMirror::SetFollows(bool aFollows)
{
  if (follows_ == aFollows) {
    return;
  }
  follows_ = aFollows;
  if (follows_ && phase_ == Phase::Waiting) {
    WaitFor(base::Duration::zero());
  }
}

void
PrefixMirror::WaitFor(base::Duration aPause)
{
  phase_ = Phase::Waiting;
  Schedule(aPause, &PrefixMirror::Continue);
}

void
PrefixMirror::Continue()
{
  const base::BootInstant now = base::BootNow();
  if (isCatchingUp_ && tracker_.FollowedRevision() >= neededRevision_) {
    isCatchingUp_ = false;
  }
  if (!follows_ && !isCatchingUp_ &&
      tracker_.IsConfirmed(options_.freshnessLifetime_, now)) {
    WaitFor(tracker_.ConfirmedUntil(options_.freshnessLifetime_) - now);
    return;
  }
  Watch();
}

void
PrefixMirror::CatchUp(std::uint64_t aRevision, base::Duration aAfter)
{
  neededRevision_ = std::max(neededRevision_, aRevision);
  if (phase_ != Phase::Waiting || follows_ || isCatchingUp_) {
    return;
  }
  isCatchingUp_ = true;
  WaitFor(aAfter);
}

void
PrefixMirror::CatchUpNow()
{
  CatchUp(tracker_.FollowedRevision() + 1, base::Duration::zero());
}

void
PrefixMirror::ApplyView(const MirrorView& aView, base::Duration aCatchUpAfter)
{
  if (phase_ == Phase::Reading) {
    return;
  }
  if (tracker_.ApplyView(aView, base::BootNow()) == ReportOutcome::Gap) {
    CatchUp(aView.lastChangeRevision_, aCatchUpAfter);
  }
}

void
PrefixMirror::ApplyDelta(const MirrorDelta& aDelta,
                         base::Duration aCatchUpAfter)
{
  if (phase_ == Phase::Reading) {
    return;
  }
  const ReportOutcome outcome = tracker_.CheckDelta(aDelta);
  if (outcome == ReportOutcome::Gap) {
    CatchUp(aDelta.previousChange_, aCatchUpAfter);
  }
  if (outcome != ReportOutcome::Usable) {
    return;
  }
  const std::uint64_t followedRevision = tracker_.FollowedRevision();
  for (const StoreItem& item : aDelta.items_) {
    if (item.revision_ > followedRevision) {
      (void)Apply(item);
    }
  }
  tracker_.RecordDelta(aDelta.view_, base::BootNow());
}

void
PrefixMirror::MarkStale()
{
  tracker_.MarkStale(base::BootNow());
  if (phase_ == Phase::Waiting) {
    WaitFor(base::Duration::zero());
  }
}

void
PrefixMirror::Watch()
{
  phase_ = Phase::Watching;
  if (!follows_) {
    base::Log(kCopyChecked,
              { { "prefix", options_.prefix_ },
                { "missed_change", isCatchingUp_ },
                { "age_ms", base::ToMs(View().age_) },
                { "revision", tracker_.FollowedRevision() } });
  }
  isCatchingUp_ = false;
  const base::BootInstant requestedAt = base::BootNow();
  client_.Watch(
    options_.prefix_,
    tracker_.FollowedRevision(),
    follows_ ? options_.maxWatchWait_ : base::Duration(kCheckWait),
    lifetime_.Guard([this, requestedAt](const WatchResponse& aResponse) {
      OnWatch(aResponse, requestedAt);
    }));
}

void
PrefixMirror::OnWatch(const WatchResponse& aResponse,
                      base::BootInstant aRequestedAt)
{
  const bool hasResponse = aResponse.status_ == StoreStatus::Ok ||
                           aResponse.status_ == StoreStatus::HistoryLost;
  health_.RecordCall(hasResponse, base::MonotonicNow());
  if (aResponse.status_ == StoreStatus::HistoryLost) {
    Restart();
    return;
  }
  if (!hasResponse) {
    phase_ = Phase::Waiting;
    Schedule(options_.retryPause_, &PrefixMirror::Watch);
    return;
  }
  const std::uint64_t followedRevision = tracker_.FollowedRevision();
  const std::uint64_t previousChange = View().lastChangeRevision_;
  std::vector<StoreItem> changes;
  for (const StoreItem& item : aResponse.events_) {
    if (item.revision_ > followedRevision && Apply(item)) {
      changes.push_back(item);
    }
  }
  tracker_.RecordResponse(
    aResponse.storeRevision_, aRequestedAt, base::BootNow());
  ForwardChanges(previousChange, std::move(changes));
  if (follows_ && !aResponse.events_.empty()) {
    WaitFor(options_.pauseAfterChanges_);
  } else {
    Continue();
  }
}

} // namespace pumiceturn::metadata
