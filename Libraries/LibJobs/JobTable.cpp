#include "LibJobs/JobTable.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <string>

namespace pumiceturn::jobs {

namespace {

/// Time without a new submission after which a job that is not accepted is
/// dropped. Limits the log and memory that abandoned submissions hold.
constexpr std::int64_t kAbandonedJobTimeoutMs = 3'600'000;
/// Limits the memory for dropped jobs that are answered with Expired.
constexpr std::size_t kMaxRememberedExpired = 65536;
/// Limits the memory reserved for items that were announced but not received.
constexpr std::uint32_t kMaxReservedItems = 1U << 20U;
constexpr auto kFirstInputErrorCode = base::ResultCode::UnknownKey;
constexpr auto kLastInputErrorCode = base::ResultCode::InvalidRequest;

bool
IsFinal(Item::State aState)
{
  return aState == Item::State::Ended || aState == Item::State::Cancelled;
}

bool
IsInProgress(Item::State aState)
{
  return aState != Item::State::Waiting && !IsFinal(aState);
}

void
SetState(Job& aJob, Item& aItem, Item::State aState)
{
  aJob.inProgress_ -= IsInProgress(aItem.state_) ? 1 : 0;
  aJob.inProgress_ += IsInProgress(aState) ? 1 : 0;
  aJob.recording_ -= aItem.state_ == Item::State::Recording ? 1 : 0;
  aJob.recording_ += aState == Item::State::Recording ? 1 : 0;
  aItem.state_ = aState;
}

/// @return whether every agent would refuse with this code, so that the item
/// ends with it.
bool
IsPermanentRefusal(base::ResultCode aCode)
{
  return aCode == base::ResultCode::Quarantined ||
         (aCode >= kFirstInputErrorCode && aCode <= kLastInputErrorCode);
}

wire::ItemResult
ResultOf(const wire::RunEnded& aEnded)
{
  wire::ItemResult result;
  result.item_ = aEnded.run_.item_;
  result.code_ = aEnded.code_;
  result.ran_ = aEnded.ran_;
  result.text_ = aEnded.text_;
  result.tokens_ = aEnded.tokens_;
  result.detail_ = aEnded.detail_;
  return result;
}

std::uint32_t
MaxAttempts(const Job& aJob)
{
  const std::uint32_t limit = aJob.description_.maxAttempts_;
  return limit == 0 ? kDefaultMaxAttempts : limit;
}

bool
IsClosedAndExpired(const Job& aJob, std::int64_t aUnixMs)
{
  return aJob.IsClosed() && aUnixMs >= aJob.ExpiresUnixMs();
}

/// @return when a job may be dropped; nothing while it has unfinished items.
std::optional<std::int64_t>
DropTimeOfJob(const Job& aJob)
{
  if (aJob.IsClosed()) {
    return aJob.ExpiresUnixMs();
  }
  if (aJob.phase_ == Job::Phase::Opening) {
    return aJob.lastPhaseChangeUnixMs_ + kAbandonedJobTimeoutMs;
  }
  return std::nullopt;
}

wire::JobDescription
Describe(const wire::RecordRequest& aRequest, std::uint32_t aMaxAttempts)
{
  wire::JobDescription job;
  job.id_ = aRequest.job_;
  job.partner_ = aRequest.partner_;
  job.service_ = aRequest.service_;
  job.kind_ = aRequest.kind_;
  job.key_ = aRequest.key_;
  job.digest_ = aRequest.digest_;
  job.itemCount_ = 1;
  job.dueUnixMs_ = aRequest.deadlineUnixMs_;
  job.retentionS_ = aRequest.retentionS_;
  job.maxTokens_ = aRequest.maxTokens_;
  job.maxAttempts_ = aMaxAttempts;
  job.online_ = true;
  job.idempotent_ = aRequest.idempotent_;
  return job;
}

bool
HasSameContent(const Job& aJob, const wire::JobDescription& aDescription)
{
  return aJob.description_.digest_ == aDescription.digest_ &&
         aJob.description_.itemCount_ == aDescription.itemCount_;
}

bool
IsInBounds(const wire::SubmitFrame& aFrame)
{
  const std::uint64_t end =
    std::uint64_t{ aFrame.firstItem_ } + aFrame.items_.size();
  return aFrame.last_ ? end == aFrame.job_.itemCount_
                      : end <= aFrame.job_.itemCount_;
}

} // namespace

/// Applies one record to the table.
struct JobTable::Applier
{
  JobTable& table_;
  std::int64_t wallUnixMs_;
  joblog::LogPosition position_;
  std::uint64_t sequence_;
  RecordEffects effects_;

  void operator()(const JobOpened& aBody)
  {
    Job* job = table_.FindMutable(aBody.job_.id_);
    if (job != nullptr) {
      if (job->IsAccepted() && !IsClosedAndExpired(*job, wallUnixMs_)) {
        return;
      }
      if (!job->IsAccepted() && HasSameContent(*job, aBody.job_)) {
        // The batch job is submitted again after an interruption; the items
        // received so far are kept.
        job->description_ = aBody.job_;
        job->lastPhaseChangeUnixMs_ = wallUnixMs_;
        table_.ScheduleDrop(aBody.job_.id_, jobs::DropTimeOfJob(*job));
        return;
      }
      table_.Erase(aBody.job_.id_);
    }
    if (const auto* finished = table_.FindFinished(aBody.job_.id_)) {
      if (wallUnixMs_ < finished->ExpiresUnixMs()) {
        return;
      }
      table_.Erase(aBody.job_.id_);
    }
    Job& opened = table_.jobs_[aBody.job_.id_];
    opened.description_ = aBody.job_;
    opened.firstSequence_ = sequence_;
    opened.lastPhaseChangeUnixMs_ = wallUnixMs_;
    opened.items_.reserve(std::min(aBody.job_.itemCount_, kMaxReservedItems));
    table_.firstSequences_.push_back({ sequence_, aBody.job_.id_ });
    table_.ScheduleDrop(aBody.job_.id_, jobs::DropTimeOfJob(opened));
  }

  void operator()(const ItemsAccepted& aBody)
  {
    Job* job = table_.FindMutable(aBody.job_);
    if (job == nullptr || job->IsAccepted()) {
      return;
    }
    const std::uint32_t received = job->ReceivedItems();
    const std::uint64_t end =
      std::uint64_t{ aBody.firstItem_ } + aBody.items_.size();
    const bool isGap = aBody.firstItem_ > received;
    if (isGap || end <= received || end > job->description_.itemCount_) {
      return;
    }
    job->itemRanges_.push_back({ received, aBody.firstItem_, position_ });
    job->items_.resize(end);
  }

  void operator()(const JobAccepted& aBody)
  {
    Job* job = table_.FindMutable(aBody.job_);
    if (job == nullptr || job->IsAccepted() ||
        job->ReceivedItems() != job->description_.itemCount_) {
      return;
    }
    job->phase_ = Job::Phase::Running;
    job->lastPhaseChangeUnixMs_ = wallUnixMs_;
    effects_.accepted_ = aBody.job_;
    if (job->description_.online_) {
      // The entry runs the request from now on.
      for (Item& item : job->items_) {
        SetState(*job, item, Item::State::Running);
      }
    }
    CloseIfDone(*job);
  }

  void operator()(const ItemsEnded& aBody)
  {
    std::uint32_t index = 0;
    for (const ItemEnded& ended : aBody.ended_) {
      const bool isFirst = End(ended, index++);
      effects_.ended_.push_back({ ended.run_, isFirst });
    }
  }

  void operator()(const ItemStarted& aBody)
  {
    Item* item = table_.FindItem(aBody.run_);
    if (item == nullptr || aBody.run_.attempt_ <= item->lastRecordedStart_) {
      return;
    }
    Job& job = table_.jobs_.at(aBody.run_.job_);
    item->lastRecordedStart_ = static_cast<std::uint16_t>(aBody.run_.attempt_);
    item->attempt_ = std::max(item->attempt_, item->lastRecordedStart_);
    constexpr auto kMax = std::numeric_limits<std::uint8_t>::max();
    item->recordedStarts_ += item->recordedStarts_ < kMax ? 1 : 0;
    if (job.description_.idempotent_) {
      item->countedAttempts_ =
        std::max(item->countedAttempts_, item->recordedStarts_);
    } else if (item->state_ == Item::State::Waiting) {
      SetState(job, *item, Item::State::Uncertain);
    }
  }

  void operator()(const JobCancelled& aBody)
  {
    Job* job = table_.FindMutable(aBody.job_);
    if (job == nullptr || !job->IsAccepted() || job->IsClosed()) {
      return;
    }
    job->cancelling_ = false;
    job->firstCancelledResult_ =
      static_cast<std::uint32_t>(job->results_.size());
    for (std::uint32_t index = 0; index < job->ReceivedItems(); ++index) {
      Item& item = job->items_[index];
      if (!IsFinal(item.state_)) {
        SetState(*job, item, Item::State::Cancelled);
        job->results_.push_back({ {}, 0, index });
        ++job->cancelled_;
      }
    }
    table_.Close(*job, Job::Phase::Cancelled, wallUnixMs_);
    effects_.cancelled_ = aBody.job_;
  }

  void operator()(const EpochStarted& /*aBody*/) {}

  /// @return whether it is the item's first result.
  bool End(const ItemEnded& aEnded, std::uint32_t aIndex)
  {
    Item* item = table_.FindItem(aEnded.run_);
    if (item == nullptr || IsFinal(item->state_)) {
      return false;
    }
    Job& job = table_.jobs_.at(aEnded.run_.job_);
    if (!job.IsAccepted()) {
      return false;
    }
    if (job.description_.online_ && aEnded.result_.ran_ == base::Ran::NotRun) {
      effects_.withdrawn_.push_back(aEnded.run_.job_);
      table_.Erase(aEnded.run_.job_);
      return true;
    }
    SetState(job, *item, Item::State::Ended);
    job.results_.push_back({ position_, aIndex, aEnded.run_.item_ });
    const bool isOk = aEnded.result_.code_ == base::ResultCode::Ok;
    ++(isOk ? job.succeeded_ : job.failed_);
    CloseIfDone(job);
    if (job.description_.online_) {
      table_.MoveToFinished(aEnded.run_.job_, isOk);
    }
    return true;
  }

  void CloseIfDone(Job& aJob)
  {
    if (aJob.results_.size() == aJob.description_.itemCount_) {
      table_.Close(aJob, Job::Phase::Finished, wallUnixMs_);
      effects_.finished_.push_back(aJob.description_.id_);
    }
  }
};

RecordEffects
JobTable::Apply(const Record& aRecord,
                joblog::LogPosition aPosition,
                std::uint64_t aSequence)
{
  Applier applier{ *this, aRecord.wallUnixMs_, aPosition, aSequence, {} };
  std::visit(applier, aRecord.body_);
  return std::move(applier.effects_);
}

AcceptDecision
JobTable::DecideOnline(const wire::RecordRequest& aRequest,
                       std::uint32_t aMaxAttempts,
                       std::int64_t aNowUnixMs)
{
  if (const auto answer = AnswerFromPending(aRequest.job_, aRequest.digest_)) {
    return { *answer, {} };
  }
  if (const auto answer =
        AnswerFromFinished(aRequest.job_, aRequest.digest_, aNowUnixMs)) {
    return { *answer, {} };
  }
  const Job* job = Find(aRequest.job_);
  if (job != nullptr && job->IsAccepted() &&
      !IsClosedAndExpired(*job, aNowUnixMs)) {
    if (job->description_.digest_ != aRequest.digest_) {
      return { AcceptAction::Conflict, {} };
    }
    return { job->IsClosed() ? AcceptAction::Finished : AcceptAction::Running,
             {} };
  }
  AcceptDecision decision;
  std::vector<Record>& records = decision.records_;
  records.push_back(
    { aNowUnixMs, JobOpened{ Describe(aRequest, aMaxAttempts) } });
  records.push_back(
    { aNowUnixMs,
      ItemsAccepted{ aRequest.job_, 0, { { {}, aRequest.payload_ } } } });
  records.push_back({ aNowUnixMs, JobAccepted{ aRequest.job_ } });
  if (!aRequest.idempotent_) {
    records.push_back(
      { aNowUnixMs, ItemStarted{ { aRequest.job_, 0, 1 }, {} } });
  }
  pending_[aRequest.job_] = { aRequest.digest_, true, false };
  return decision;
}

AcceptDecision
JobTable::DecideFrame(const wire::SubmitFrame& aFrame, std::int64_t aNowUnixMs)
{
  const wire::JobDescription& description = aFrame.job_;
  if (const auto answer =
        AnswerFromPending(description.id_, description.digest_)) {
    return { *answer, {} };
  }
  if (const auto answer =
        AnswerFromFinished(description.id_, description.digest_, aNowUnixMs)) {
    return { *answer, {} };
  }
  const Job* job = Find(description.id_);
  if (job != nullptr && IsClosedAndExpired(*job, aNowUnixMs)) {
    job = nullptr;
  }
  if (job != nullptr && job->IsAccepted()) {
    const bool isSame = job->description_.digest_ == description.digest_;
    return { isSame ? AcceptAction::Duplicate : AcceptAction::Conflict, {} };
  }
  if (job != nullptr && !HasSameContent(*job, description)) {
    // The key belongs to a batch job with different content that was never
    // accepted, so the key may be reused.
    job = nullptr;
  }
  const std::uint32_t received = job == nullptr ? 0 : job->ReceivedItems();
  if (!IsInBounds(aFrame) || aFrame.firstItem_ > received) {
    return { AcceptAction::Invalid, {} };
  }
  AcceptDecision decision;
  const bool isRestart = aFrame.firstItem_ == 0;
  if (job == nullptr || (isRestart && job->description_ != description)) {
    decision.records_.push_back({ aNowUnixMs, JobOpened{ description } });
  }
  const std::uint32_t alreadyReceived =
    std::min<std::uint32_t>(received - aFrame.firstItem_,
                            static_cast<std::uint32_t>(aFrame.items_.size()));
  if (alreadyReceived < aFrame.items_.size()) {
    decision.records_.push_back(
      { aNowUnixMs,
        ItemsAccepted{
          description.id_,
          aFrame.firstItem_ + alreadyReceived,
          { aFrame.items_.begin() + alreadyReceived, aFrame.items_.end() } } });
  }
  if (aFrame.last_) {
    decision.records_.push_back({ aNowUnixMs, JobAccepted{ description.id_ } });
  }
  if (decision.records_.empty()) {
    return { AcceptAction::Received, {} };
  }
  pending_[description.id_] = { description.digest_, aFrame.last_, false };
  return decision;
}

std::optional<AcceptAction>
JobTable::AnswerFromPending(const base::JobId& aJob,
                            std::uint64_t aDigest) const
{
  const auto found = pending_.find(aJob);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  if (found->second.digest_ != aDigest) {
    return AcceptAction::Conflict;
  }
  if (!found->second.failed_) {
    return AcceptAction::Wait;
  }
  return std::nullopt;
}

std::optional<AcceptAction>
JobTable::AnswerFromFinished(const base::JobId& aJob,
                             std::uint64_t aDigest,
                             std::int64_t aNowUnixMs) const
{
  const FinishedRequest* finished = FindFinished(aJob);
  if (finished == nullptr || aNowUnixMs >= finished->ExpiresUnixMs()) {
    return std::nullopt;
  }
  return finished->digest_ == aDigest ? AcceptAction::Finished
                                      : AcceptAction::Conflict;
}

void
JobTable::OnAcceptAppended(const base::JobId& aJob, bool aIsDurable)
{
  const auto found = pending_.find(aJob);
  if (found == pending_.end()) {
    return;
  }
  // An acceptance whose append failed may still be in the log. If different
  // content were accepted under the key, a replay would keep the first and lose
  // the second. So the key stays bound to this content.
  if (!aIsDurable && found->second.acceptsJob_) {
    found->second.failed_ = true;
    return;
  }
  pending_.erase(found);
}

bool
JobTable::IsAccepting(const base::JobId& aJob) const
{
  const auto found = pending_.find(aJob);
  return found != pending_.end() && !found->second.failed_;
}

EndDecision
JobTable::RecordEnd(Job& aJob,
                    const base::RunId& aRun,
                    wire::ItemResult aResult)
{
  SetState(aJob, aJob.items_[aRun.item_], Item::State::Recording);
  aResult.item_ = aRun.item_;
  return { EndAction::Append, ItemEnded{ aRun, std::move(aResult) } };
}

std::optional<EndAction>
JobTable::AnswerFromState(const base::RunId& aRun)
{
  const Item* item = FindItem(aRun);
  if (item == nullptr || IsFinal(item->state_)) {
    return EndAction::Discard;
  }
  const Job& job = jobs_.at(aRun.job_);
  if (!job.IsAccepted()) {
    return EndAction::Discard;
  }
  if (item->state_ == Item::State::Recording || job.cancelling_) {
    return EndAction::Wait;
  }
  return std::nullopt;
}

EndDecision
JobTable::DecideResult(const base::RunId& aRun,
                       const wire::ItemResult& aResult,
                       bool aIsRunner)
{
  if (const auto action = AnswerFromState(aRun)) {
    return { *action, std::nullopt };
  }
  if (aResult.code_ != base::ResultCode::Ok && !aIsRunner) {
    return { EndAction::Reject, std::nullopt };
  }
  return RecordEnd(jobs_.at(aRun.job_), aRun, aResult);
}

EndDecision
JobTable::DecideRunEnd(const wire::RunEnded& aEnded)
{
  if (const auto action = AnswerFromState(aEnded.run_)) {
    return { *action, std::nullopt };
  }
  Job& job = jobs_.at(aEnded.run_.job_);
  if (aEnded.code_ == base::ResultCode::Ok) {
    return RecordEnd(job, aEnded.run_, ResultOf(aEnded));
  }
  const Item& item = job.items_[aEnded.run_.item_];
  const bool isCurrent = item.attempt_ == aEnded.run_.attempt_ &&
                         item.state_ != Item::State::Waiting;
  if (!isCurrent) {
    return { EndAction::Discard, std::nullopt };
  }
  return DecideFailure(job, aEnded);
}

EndDecision
JobTable::DecideFailure(Job& aJob, const wire::RunEnded& aEnded)
{
  using base::Ran;
  using base::ResultCode;
  Item& item = aJob.items_[aEnded.run_.item_];
  if (aEnded.ran_ == Ran::NotRun) {
    if (IsPermanentRefusal(aEnded.code_)) {
      return RecordEnd(aJob, aEnded.run_, ResultOf(aEnded));
    }
    Requeue(aEnded.run_);
    return { EndAction::Requeue, std::nullopt };
  }
  wire::ItemResult result = ResultOf(aEnded);
  if (!aJob.description_.idempotent_) {
    if (aEnded.ran_ != Ran::Ran) {
      result.code_ = ResultCode::OutcomeUnknown;
      result.ran_ = Ran::Unknown;
    }
    return RecordEnd(aJob, aEnded.run_, std::move(result));
  }
  const bool isInterrupted = aEnded.code_ == ResultCode::Preempted ||
                             aEnded.code_ == ResultCode::Cancelled;
  item.countedAttempts_ += isInterrupted ? 0 : 1;
  if (item.countedAttempts_ < MaxAttempts(aJob)) {
    Requeue(aEnded.run_);
    return { EndAction::Requeue, std::nullopt };
  }
  result.code_ = ResultCode::AttemptsExhausted;
  result.detail_ = std::string(base::NameOf(aEnded.code_)) +
                   (aEnded.detail_.empty() ? "" : ": ") + aEnded.detail_;
  return RecordEnd(aJob, aEnded.run_, std::move(result));
}

EndDecision
JobTable::DecideItemEnd(const base::RunId& aRun,
                        const wire::ItemResult& aResult)
{
  if (const auto action = AnswerFromState(aRun)) {
    return { *action, std::nullopt };
  }
  return RecordEnd(jobs_.at(aRun.job_), aRun, aResult);
}

CancelDecision
JobTable::DecideCancel(const base::JobId& aJob, std::int64_t aNowUnixMs)
{
  Job* job = FindMutable(aJob);
  if (job == nullptr || !job->IsAccepted() || job->IsClosed()) {
    return { CancelAction::NotCancellable, std::nullopt };
  }
  job->cancelling_ = true;
  // A result whose append failed may be in the log before the cancellation and
  // be appended again after it. In the running owner the item would be
  // cancelled; after a replay it would have a result. So the two are never
  // appended concurrently.
  if (job->recording_ > 0 || job->cancelAppendInFlight_) {
    return { CancelAction::Wait, std::nullopt };
  }
  job->cancelAppendInFlight_ = true;
  return { CancelAction::Append, Record{ aNowUnixMs, JobCancelled{ aJob } } };
}

std::optional<DispatchedItem>
JobTable::TakeItem(const base::JobId& aJob)
{
  Job* job = FindMutable(aJob);
  if (job == nullptr || job->phase_ != Job::Phase::Running ||
      job->cancelling_) {
    return std::nullopt;
  }
  const auto next = NextWaiting(*job);
  if (!next) {
    return std::nullopt;
  }
  Item& item = job->items_[*next];
  SetState(*job, item, Item::State::Running);
  constexpr auto kMax = std::numeric_limits<std::uint16_t>::max();
  item.attempt_ += item.attempt_ < kMax ? 1 : 0;
  if (job->description_.online_) {
    item.attempt_ = std::max(item.attempt_, kFirstOwnerAttempt);
  }
  const bool recordStart = job->description_.idempotent_
                             ? item.countedAttempts_ > item.recordedStarts_
                             : item.recordedStarts_ == 0;
  return DispatchedItem{ { aJob, *next, item.attempt_ },
                         job->LocateItem(*next),
                         recordStart };
}

std::optional<std::uint32_t>
JobTable::NextWaiting(Job& aJob)
{
  while (!aJob.requeued_.empty()) {
    const std::uint32_t item = aJob.requeued_.back();
    aJob.requeued_.pop_back();
    if (aJob.items_[item].state_ == Item::State::Waiting) {
      return item;
    }
  }
  if (const auto item = SearchWaiting(aJob, aJob.ReceivedItems())) {
    return item;
  }
  if (aJob.isSearchWrapped_) {
    return std::nullopt;
  }
  aJob.isSearchWrapped_ = true;
  aJob.nextItem_ = 0;
  return SearchWaiting(aJob, aJob.searchStart_);
}

std::optional<std::uint32_t>
JobTable::SearchWaiting(Job& aJob, std::uint32_t aEnd)
{
  const std::uint32_t end = aJob.isSearchWrapped_ ? aJob.searchStart_ : aEnd;
  while (aJob.nextItem_ < end) {
    const std::uint32_t item = aJob.nextItem_++;
    if (aJob.items_[item].state_ == Item::State::Waiting) {
      return item;
    }
  }
  return std::nullopt;
}

std::uint32_t
JobTable::SkipInFlight(const base::JobId& aJob, std::uint32_t aMaxInFlight)
{
  Job* job = FindMutable(aJob);
  if (job == nullptr || job->phase_ != Job::Phase::Running) {
    return 0;
  }
  const auto wasStarted = [](const Item& aItem) {
    return aItem.state_ != Item::State::Waiting || aItem.recordedStarts_ > 0;
  };
  const auto last =
    std::find_if(job->items_.rbegin(), job->items_.rend(), wasStarted);
  const auto startedItems =
    static_cast<std::uint64_t>(job->items_.rend() - last);
  const std::uint64_t start = startedItems + aMaxInFlight;
  if (start >= job->ReceivedItems()) {
    return 0;
  }
  job->searchStart_ = static_cast<std::uint32_t>(start);
  job->nextItem_ = job->searchStart_;
  job->isSearchWrapped_ = false;
  return job->ReceivedItems() - job->searchStart_;
}

bool
JobTable::Requeue(const base::RunId& aRun)
{
  Item* item = FindItem(aRun);
  if (item == nullptr || item->attempt_ != aRun.attempt_) {
    return false;
  }
  Job& job = jobs_.at(aRun.job_);
  const bool isStarted = item->state_ == Item::State::Running ||
                         item->state_ == Item::State::Uncertain;
  if (!isStarted || job.cancelling_) {
    return false;
  }
  SetState(job, *item, Item::State::Waiting);
  job.requeued_.push_back(aRun.item_);
  return true;
}

bool
JobTable::MarkOrphaned(const base::JobId& aJob)
{
  Job* job = FindMutable(aJob);
  if (job == nullptr || job->phase_ != Job::Phase::Running ||
      !job->description_.online_ ||
      job->items_.front().state_ != Item::State::Running) {
    return false;
  }
  SetState(*job, job->items_.front(), Item::State::Waiting);
  job->requeued_.push_back(0);
  return true;
}

bool
JobTable::IsRunning(const base::RunId& aRun) const
{
  const Job* job = Find(aRun.job_);
  if (job == nullptr || aRun.item_ >= job->ReceivedItems() ||
      job->cancelling_) {
    return false;
  }
  const Item& item = job->items_[aRun.item_];
  return item.state_ == Item::State::Running && item.attempt_ == aRun.attempt_;
}

const Job*
JobTable::Find(const base::JobId& aJob) const
{
  const auto found = jobs_.find(aJob);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job*
JobTable::Find(const base::JobId& aJob, std::string_view aPartner) const
{
  const Job* job = Find(aJob);
  return job != nullptr && job->description_.partner_ == aPartner ? job
                                                                  : nullptr;
}

Job*
JobTable::FindMutable(const base::JobId& aJob)
{
  const auto found = jobs_.find(aJob);
  return found == jobs_.end() ? nullptr : &found->second;
}

Item*
JobTable::FindItem(const base::RunId& aRun)
{
  Job* job = FindMutable(aRun.job_);
  if (job == nullptr || aRun.item_ >= job->ReceivedItems()) {
    return nullptr;
  }
  return &job->items_[aRun.item_];
}

bool
JobTable::IsExpired(const base::JobId& aJob) const
{
  return expired_.contains(aJob);
}

wire::JobStatusReply
JobTable::Status(const base::JobId& aJob, std::string_view aPartner) const
{
  wire::JobStatusReply reply;
  const FinishedRequest* finished = FindFinished(aJob);
  if (finished != nullptr && finished->partner_ == base::HashBytes(aPartner)) {
    return StatusOf(aJob, *finished);
  }
  const Job* job = Find(aJob, aPartner);
  if (job == nullptr || !job->IsAccepted()) {
    reply.code_ =
      IsExpired(aJob) ? base::ResultCode::Expired : base::ResultCode::NotFound;
    return reply;
  }
  reply.state_ = wire::JobState::Running;
  if (job->IsClosed()) {
    reply.state_ = job->phase_ == Job::Phase::Finished
                     ? wire::JobState::Finished
                     : wire::JobState::Cancelled;
  }
  reply.job_ = job->description_;
  reply.waiting_ = job->Waiting();
  reply.running_ = job->inProgress_;
  reply.succeeded_ = job->succeeded_;
  reply.failed_ = job->failed_;
  reply.cancelled_ = job->cancelled_;
  return reply;
}

wire::JobStatusReply
JobTable::StatusOf(const base::JobId& aJob, const FinishedRequest& aRequest)
{
  wire::JobStatusReply reply;
  reply.state_ = wire::JobState::Finished;
  reply.job_.id_ = aJob;
  reply.job_.digest_ = aRequest.digest_;
  reply.job_.itemCount_ = 1;
  reply.job_.retentionS_ = aRequest.retentionS_;
  reply.job_.online_ = true;
  reply.succeeded_ = aRequest.succeeded_ ? 1 : 0;
  reply.failed_ = aRequest.succeeded_ ? 0 : 1;
  return reply;
}

std::vector<base::RunId>
JobTable::UncertainRuns() const
{
  std::vector<base::RunId> runs;
  ForEachUnfinished([&runs](const Job& aJob) {
    for (std::uint32_t index = 0; index < aJob.ReceivedItems(); ++index) {
      const Item& item = aJob.items_[index];
      if (item.state_ == Item::State::Uncertain) {
        runs.push_back({ aJob.description_.id_, index, item.attempt_ });
      }
    }
  });
  return runs;
}

void
JobTable::ForEachUnfinished(const std::function<void(const Job&)>& aVisit) const
{
  for (const auto& [id, job] : jobs_) {
    if (job.phase_ == Job::Phase::Running) {
      aVisit(job);
    }
  }
}

std::size_t
JobTable::DropDueJobs(std::int64_t aNowUnixMs)
{
  std::size_t count = 0;
  while (!dropTimes_.empty() && dropTimes_.top().unixMs_ <= aNowUnixMs) {
    const auto [unixMs, id] = dropTimes_.top();
    dropTimes_.pop();
    if (DropTimeOf(id) != unixMs) {
      continue;
    }
    const Job* job = Find(id);
    if (job == nullptr || job->IsClosed()) {
      RememberExpired(id);
    }
    Erase(id);
    ++count;
  }
  return count;
}

void
JobTable::RememberExpired(const base::JobId& aExpired)
{
  if (!expired_.insert(aExpired).second) {
    return;
  }
  expiredOrder_.push_back(aExpired);
  if (expiredOrder_.size() > kMaxRememberedExpired) {
    expired_.erase(expiredOrder_.front());
    expiredOrder_.pop_front();
  }
}

std::optional<std::uint64_t>
JobTable::FirstNeededSequence()
{
  while (!firstSequences_.empty()) {
    const auto& [sequence, id] = firstSequences_.front();
    if (FirstSequenceOf(id) == sequence) {
      return sequence;
    }
    firstSequences_.pop_front();
  }
  return std::nullopt;
}

void
JobTable::Close(Job& aJob, Job::Phase aPhase, std::int64_t aUnixMs)
{
  aJob.phase_ = aPhase;
  aJob.lastPhaseChangeUnixMs_ = aUnixMs;
  aJob.requeued_ = {};
  aJob.results_.shrink_to_fit();
  ScheduleDrop(aJob.description_.id_, jobs::DropTimeOfJob(aJob));
}

void
JobTable::MoveToFinished(const base::JobId& aJob, bool aHasSucceeded)
{
  const Job& job = jobs_.at(aJob);
  FinishedRequest& finished = finished_[aJob];
  finished.result_ = job.results_.front();
  finished.digest_ = job.description_.digest_;
  finished.partner_ = base::HashBytes(job.description_.partner_);
  finished.firstSequence_ = job.firstSequence_;
  finished.endedUnixMs_ = job.lastPhaseChangeUnixMs_;
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  finished.retentionS_ =
    static_cast<std::uint32_t>(std::min(job.description_.retentionS_, kMax));
  finished.succeeded_ = aHasSucceeded;
  jobs_.erase(aJob);
  ScheduleDrop(aJob, finished.ExpiresUnixMs());
}

const FinishedRequest*
JobTable::FindFinished(const base::JobId& aJob) const
{
  const auto found = finished_.find(aJob);
  return found == finished_.end() ? nullptr : &found->second;
}

void
JobTable::ScheduleDrop(const base::JobId& aJob,
                       std::optional<std::int64_t> aUnixMs)
{
  if (aUnixMs) {
    dropTimes_.push({ *aUnixMs, aJob });
  }
}

std::optional<std::int64_t>
JobTable::DropTimeOf(const base::JobId& aJob) const
{
  if (const FinishedRequest* finished = FindFinished(aJob)) {
    return finished->ExpiresUnixMs();
  }
  const Job* job = Find(aJob);
  return job == nullptr ? std::nullopt : jobs::DropTimeOfJob(*job);
}

std::optional<std::uint64_t>
JobTable::FirstSequenceOf(const base::JobId& aJob) const
{
  if (const FinishedRequest* finished = FindFinished(aJob)) {
    return finished->firstSequence_;
  }
  const Job* job = Find(aJob);
  return job == nullptr ? std::nullopt : std::optional(job->firstSequence_);
}

void
JobTable::Erase(const base::JobId& aJob)
{
  jobs_.erase(aJob);
  finished_.erase(aJob);
}

} // namespace pumiceturn::jobs
