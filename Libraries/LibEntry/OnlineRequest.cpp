#include "LibEntry/OnlineRequest.h"

#include "LibRouting/Backoff.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pumiceturn::entry {

using base::Ran;
using base::ResultCode;

namespace {

/// The low byte of a run's attempt number counts; the rest tells entries apart.
constexpr std::uint32_t kAttemptMask = 0xFF;

/// Keeps the attempts of entries apart from those of owners, which count from
/// small numbers.
constexpr std::uint32_t kEntryAttempt = 0x80000000;

/// How long a sent message may stay unanswered on a link that is up.
constexpr base::Duration kReplyPatience{ std::chrono::seconds{ 2 } };

/// How often a duplicate asks again, in case the owner changed since.
constexpr base::Duration kDuplicatePoll{ std::chrono::seconds{ 1 } };

bool
IsPassing(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::NotOwner:
    case ResultCode::StaleEpoch:
    case ResultCode::Recovering:
    case ResultCode::Disconnected:
    case ResultCode::TimedOut:
    case ResultCode::Draining: // It hands its partitions to another keeper.
      return true;
    default:
      return false;
  }
}

/// @return whether the end says that the run broke off, not how it came out.
bool
IsBroken(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::EndpointCrashed:
    case ResultCode::EndpointFailed:
    case ResultCode::EndpointLost:
    case ResultCode::OutcomeUnknown:
    case ResultCode::Cancelled:
    case ResultCode::Preempted:
    case ResultCode::Disconnected:
    case ResultCode::Internal:
      return true;
    default:
      return false;
  }
}

/// @return the code as a caller should see it, for an owner's refusal.
ResultCode
ToRecordRefusal(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::TooFewCopies:
    case ResultCode::DiskFull:
    case ResultCode::InputOutput:
    case ResultCode::CorruptRecord:
    case ResultCode::Internal:
      return ResultCode::NotRecorded;
    default:
      return aCode;
  }
}

/// @return what is known of a run that ended with this code, not refused.
Ran
RanAfter(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::EndpointCrashed:
    case ResultCode::EndpointFailed:
    case ResultCode::Quarantined:
      return Ran::Ran;
    default:
      return Ran::Unknown;
  }
}

void
TakeEarlier(std::optional<base::Instant>& aEarliest,
            const std::optional<base::Instant>& aOther)
{
  if (aOther.has_value() && (!aEarliest.has_value() || *aOther < *aEarliest)) {
    aEarliest = aOther;
  }
}

bool
IsDue(const std::optional<base::Instant>& aTime, base::Instant aNow)
{
  return aTime.has_value() && *aTime <= aNow;
}

} // namespace

bool
OnlineRequest::IsEntryAttempt(std::uint32_t aAttempt)
{
  return (aAttempt & kEntryAttempt) != 0;
}

OnlineRequest::OnlineRequest(OnlineDescription aDescription)
  : description_(std::move(aDescription))
  , jitter_(description_.random_)
{
}

void
OnlineRequest::Begin(base::Instant aNow)
{
  ownerPatienceEnds_ = aNow + kOwnerPatience;
  SendRecord();
}

void
OnlineRequest::OnOwnerSent(base::Instant aNow)
{
  resendAt_ = aNow + kReplyPatience;
  if (record_ == RecordPhase::Duplicate) {
    resendAt_ = aNow + kDuplicatePoll;
    return;
  }
  if (record_ != RecordPhase::Asked) {
    return;
  }
  recordSent_ = true;
  ++unanswered_;
  // A non-idempotent request may run once at most, so no byte of it leaves for
  // an endpoint before its record says started. Quarantined content waits for
  // the record too: the owner may hold a result for its key.
  const bool mayRunBeforeRecord =
    description_.record_.idempotent_ && !description_.quarantined_;
  if (mayRunBeforeRecord && run_ == RunPhase::Idle && !answered_) {
    Choose(false);
  }
}

void
OnlineRequest::OnOwnerUnreachable(base::Instant aNow)
{
  ResendLater(aNow);
}

void
OnlineRequest::OnOwnerChanged()
{
  if (!done_) {
    ResendNow();
  }
}

void
OnlineRequest::OnRecordReply(const wire::RecordReply& aReply,
                             base::Instant aNow)
{
  if (done_ || record_ == RecordPhase::Refused) {
    return;
  }
  if (record_ == RecordPhase::Accepted) {
    // Late replies say nothing new, but for a result that came without ours:
    // the request was cancelled by its key.
    const bool isEnded = aReply.code_ == ResultCode::Ok &&
                         aReply.state_ == wire::RecordState::Finished;
    if (isEnded) {
      OnFinishedBefore(aReply.result_);
    }
    return;
  }
  if (aReply.code_ != ResultCode::Ok) {
    OnRecordRefused(aReply, aNow);
    return;
  }
  switch (aReply.state_) {
    case wire::RecordState::New:
      OnAccepted(aNow);
      return;
    case wire::RecordState::Running:
      OnAnotherRuns(aNow);
      return;
    case wire::RecordState::Finished:
      OnFinishedBefore(aReply.result_);
      return;
  }
}

void
OnlineRequest::OnRecordResultReply(const wire::RecordResultReply& aReply,
                                   base::Instant aNow)
{
  if (done_ || !result_.has_value() || record_ != RecordPhase::Accepted) {
    return;
  }
  if (aReply.code_ == ResultCode::NotFound) {
    // The owner lost the record together with its only whole copy, or withdrew
    // it before: it is offered again, then the result.
    record_ = RecordPhase::Asked;
    ownerPatienceEnds_ = aNow + kOwnerPatience;
    SendRecord();
    return;
  }
  if (aReply.code_ == ResultCode::StillRunning) {
    OnNotOursToEnd();
    return;
  }
  if (aReply.code_ != ResultCode::Ok) {
    ResendLater(aNow);
    return;
  }
  recorded_ = true;
  if (!endpoint_.empty()) {
    actions_.emplace_back(
      SendToEndpoint{ endpoint_, wire::RunRecorded{ resultRun_ } });
  }
  const bool isOurs = aReply.first_ || aReply.result_.ran_ == Ran::Unspecified;
  if (answered_) {
    Finish();
  } else if (isOurs && refusal_.has_value()) {
    AnswerFailed(refusal_->code_, Ran::NotRun, refusal_->retryAfterMs_, {});
    Finish();
  } else {
    AnswerFinished(isOurs ? *result_ : aReply.result_);
  }
}

void
OnlineRequest::OnNotOursToEnd()
{
  // The owner took this entry for lost and runs the request itself: its result
  // is waited for like that of another call.
  const std::optional<Refusal> refusal = refusal_;
  result_.reset();
  if (answered_) {
    Finish();
    return;
  }
  if (refusal.has_value()) {
    AnswerFailed(refusal->code_, Ran::Unknown, refusal->retryAfterMs_, {});
    Finish();
    return;
  }
  run_ = RunPhase::Idle;
  record_ = RecordPhase::Duplicate;
  SendRecord();
}

void
OnlineRequest::OnEndpoint(const std::string& aEndpoint, base::Instant aNow)
{
  if (run_ != RunPhase::Choosing) {
    return;
  }
  run_ = RunPhase::Running;
  endpoint_ = aEndpoint;
  ++starts_;
  ++unknownRuns_;
  assembler_ = {};
  askedBeyond_ = 0;
  streamed_.BeginAttempt();
  lostGraceEnds_.reset();

  const wire::RecordRequest& record = description_.record_;
  wire::StartRun start;
  start.run_ = CurrentRun();
  start.service_ = record.service_;
  start.kind_ = record.kind_;
  start.online_ = true;
  start.idempotent_ = record.idempotent_;
  start.wantChunks_ = description_.streamed_;
  const std::int64_t remaining = base::ToMs(description_.deadline_ - aNow);
  start.deadlineMs_ = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    remaining, 1, std::numeric_limits<std::uint32_t>::max()));
  start.fingerprint_ = description_.fingerprint_;
  start.prefix_ = description_.prefix_;
  start.maxTokens_ = record.maxTokens_;
  start.payload_ = record.payload_;
  actions_.emplace_back(SendToEndpoint{ endpoint_, std::move(start) });
}

void
OnlineRequest::OnNoEndpoint(ResultCode aCode,
                            std::uint32_t aRetryAfterMs,
                            base::Instant aNow)
{
  if (run_ == RunPhase::Choosing) {
    // What an endpoint itself said tells the caller more than that no other
    // one was left.
    Refuse(lastRefusal_.value_or(Refusal{ aCode, aRetryAfterMs }), aNow);
  }
}

void
OnlineRequest::OnStartNotSent(const std::string& aEndpoint, base::Instant aNow)
{
  if (run_ != RunPhase::Running || endpoint_ != aEndpoint) {
    return;
  }
  OnNotRun(Refusal{ ResultCode::NoEndpoint, 0 }, aNow);
}

void
OnlineRequest::OnChunk(const wire::Chunk& aChunk, base::Instant aNow)
{
  if (run_ != RunPhase::Running || aChunk.run_ != CurrentRun()) {
    return;
  }
  if (assembler_.Add(aChunk)) {
    StreamOut();
  }
  if (assembler_.IsWhole()) {
    EndRun(ResultCode::Ok, assembler_.Text(), assembler_.Tokens(), {}, aNow);
  } else if (assembler_.HasGap()) {
    AskForMissing();
  }
}

void
OnlineRequest::OnRunEnded(const std::string& aEndpoint,
                          const wire::RunEnded& aEnded,
                          base::Instant aNow)
{
  const bool isCurrent = run_ == RunPhase::Running && aEndpoint == endpoint_ &&
                         aEnded.run_ == CurrentRun();
  if (!isCurrent) {
    return;
  }
  if (aEnded.ran_ == Ran::NotRun) {
    OnNotRun(Refusal{ aEnded.code_, aEnded.retryAfterMs_ }, aNow);
  } else if (IsBroken(aEnded.code_)) {
    OnBroken(aEnded.code_, aNow);
  } else {
    OnAnswered(aEnded, aNow);
  }
}

void
OnlineRequest::OnEndpointLink(std::string_view aEndpoint,
                              wire::LinkState aState,
                              base::Instant aNow)
{
  if (run_ != RunPhase::Running || endpoint_ != aEndpoint) {
    return;
  }
  switch (aState) {
    case wire::LinkState::Up:
      // Messages in flight on the old connection may be lost: the agent sends
      // again what came after the last one received.
      lostGraceEnds_.reset();
      actions_.emplace_back(SendToEndpoint{
        endpoint_,
        wire::AttachRun{ CurrentRun(), assembler_.ReceivedSequence() } });
      return;
    case wire::LinkState::Lost:
      if (description_.record_.idempotent_) {
        lostGraceEnds_ = aNow + kEndpointGrace;
      }
      return;
    case wire::LinkState::Replaced:
      OnBroken(ResultCode::EndpointLost, aNow);
      return;
  }
}

void
OnlineRequest::OnCallerGone(base::Instant aNow)
{
  if (done_ || answered_) {
    return;
  }
  answered_ = true;
  const bool isOurs = record_ == RecordPhase::Accepted ||
                      (record_ == RecordPhase::Asked && recordSent_);
  const bool mayRecord = isOurs && (mayWithdraw_ || resultIsOwn_);
  CancelRunNow();
  if (!mayRecord) {
    Finish();
    return;
  }
  GoToBackground(aNow);
  if (result_.has_value()) {
    return; // Its result is on the way to the owner.
  }
  wire::ItemResult cancelled;
  cancelled.code_ = ResultCode::Cancelled;
  cancelled.ran_ = MayHaveRun() ? Ran::Unknown : Ran::NotRun;
  Record(std::move(cancelled), aNow);
}

std::optional<base::Instant>
OnlineRequest::NextWake() const
{
  if (done_) {
    return std::nullopt;
  }
  std::optional<base::Instant> earliest = backgroundEnds_;
  if (!answered_) {
    TakeEarlier(earliest, description_.deadline_);
    if (record_ == RecordPhase::Asked) {
      TakeEarlier(earliest, ownerPatienceEnds_);
    }
  }
  TakeEarlier(earliest, resendAt_);
  TakeEarlier(earliest, refusalWaitEnds_);
  TakeEarlier(earliest, runAgainAt_);
  TakeEarlier(earliest, lostGraceEnds_);
  return earliest;
}

void
OnlineRequest::OnTimer(base::Instant aNow)
{
  if (!done_ && IsDue(backgroundEnds_, aNow)) {
    Finish();
  }
  if (!done_ && !answered_ && description_.deadline_ <= aNow) {
    OnDeadline(aNow);
  }
  if (!done_ && IsDue(refusalWaitEnds_, aNow)) {
    OnWithdrawalSlow(aNow);
  }
  const bool hasNoOwner =
    !answered_ && record_ == RecordPhase::Asked && ownerPatienceEnds_ <= aNow;
  if (!done_ && hasNoOwner) {
    OnOwnerMissing();
  }
  if (!done_ && IsDue(resendAt_, aNow)) {
    ResendNow();
  }
  if (!done_ && IsDue(runAgainAt_, aNow)) {
    runAgainAt_.reset();
    Choose(true);
  }
  if (!done_ && IsDue(lostGraceEnds_, aNow)) {
    lostGraceEnds_.reset();
    actions_.emplace_back(
      SendToEndpoint{ endpoint_, wire::CancelRun{ CurrentRun() } });
    OnBroken(ResultCode::EndpointLost, aNow);
  }
}

std::deque<OnlineAction>
OnlineRequest::TakeActions()
{
  return std::exchange(actions_, {});
}

void
OnlineRequest::SendRecord()
{
  resendAt_.reset();
  actions_.emplace_back(SendToOwner{ description_.record_ });
}

void
OnlineRequest::SendResult()
{
  resendAt_.reset();
  actions_.emplace_back(SendToOwner{
    wire::RecordResult{ description_.record_.call_, resultRun_, *result_ } });
}

void
OnlineRequest::ResendLater(base::Instant aNow)
{
  const routing::Backoff backoff{ kShortestResend, kLongestResend };
  resendAt_ = aNow + backoff.Delay(resends_, NextRandom());
  ++resends_;
}

void
OnlineRequest::ResendNow()
{
  switch (record_) {
    case RecordPhase::Asked:
    case RecordPhase::Duplicate:
      SendRecord();
      return;
    case RecordPhase::Accepted:
      resendAt_.reset();
      if (result_.has_value()) {
        SendResult();
      }
      return;
    case RecordPhase::Refused:
      resendAt_.reset();
      return;
  }
}

void
OnlineRequest::OnAccepted(base::Instant aNow)
{
  record_ = RecordPhase::Accepted;
  resendAt_.reset();
  resends_ = 0;
  unanswered_ = 0;
  StreamOut();
  if (result_.has_value()) {
    Record(*result_, aNow);
    return;
  }
  if (refusal_.has_value()) {
    Refuse(*refusal_, aNow);
    return;
  }
  if (description_.quarantined_) {
    Refuse(Refusal{ ResultCode::Quarantined, 0 }, aNow);
    return;
  }
  if (run_ == RunPhase::Idle && !description_.record_.idempotent_ &&
      MayHaveRun()) {
    Conclude(ResultCode::OutcomeUnknown, {}, aNow);
  } else if (run_ == RunPhase::Idle) {
    Choose(false);
  }
}

void
OnlineRequest::OnAnotherRuns(base::Instant aNow)
{
  const bool mayBeOurs =
    record_ == RecordPhase::Asked && unanswered_ > 1 && !answered_;
  if (mayBeOurs && description_.record_.idempotent_) {
    // An earlier RecordRequest of ours may have been accepted and its reply
    // lost with the link. Going on is safe, since the first result wins; but
    // nothing is withdrawn that may be another call's.
    mayWithdraw_ = false;
    OnAccepted(aNow);
    return;
  }
  const bool isNews = record_ != RecordPhase::Duplicate;
  record_ = RecordPhase::Duplicate;
  resendAt_ = aNow + kDuplicatePoll;
  if (answered_) {
    Finish();
    return;
  }
  if (!isNews) {
    return;
  }
  CancelRunNow();
  run_ = RunPhase::Idle; // The other call may still be withdrawn.
  result_.reset();
  resultIsOwn_ = false;
  refusal_.reset();
  refusalWaitEnds_.reset();
  acceptedSent_ = true;
  actions_.emplace_back(EmitAccepted{ true });
}

void
OnlineRequest::OnFinishedBefore(const wire::ItemResult& aResult)
{
  CancelRunNow();
  recorded_ = true;
  const bool isOurs = record_ == RecordPhase::Accepted ||
                      (acceptedSent_ && record_ == RecordPhase::Asked);
  record_ = isOurs ? RecordPhase::Accepted : RecordPhase::Duplicate;
  if (answered_) {
    Finish();
    return;
  }
  AnswerFinished(aResult);
}

void
OnlineRequest::OnRecordRefused(const wire::RecordReply& aReply,
                               base::Instant aNow)
{
  unanswered_ -= unanswered_ > 0 ? 1 : 0;
  // The call that a duplicate waited for was cancelled before it ran: the
  // duplicate asks again, and then runs itself.
  const bool isFree =
    record_ == RecordPhase::Duplicate && aReply.code_ == ResultCode::Cancelled;
  if (isFree || IsPassing(aReply.code_)) {
    const bool knowsBetter = !aReply.ownerHint_.empty() && resends_ == 0;
    if (knowsBetter) {
      ++resends_;
      ResendNow();
    } else {
      ResendLater(aNow);
    }
    return;
  }
  record_ = RecordPhase::Refused;
  CancelRunNow();
  if (!answered_) {
    const ResultCode code = ToRecordRefusal(aReply.code_);
    const bool isUnknown = MayHaveRun() || unanswered_ > 0;
    const std::uint32_t fallback =
      code == ResultCode::NotRecorded ? kRetryAfterNotRecordedMs : 0;
    AnswerFailed(code,
                 isUnknown ? Ran::Unknown : Ran::NotRun,
                 aReply.retryAfterMs_ > 0 ? aReply.retryAfterMs_ : fallback,
                 std::string(base::NameOf(aReply.code_)));
  }
  Finish();
}

void
OnlineRequest::Choose(bool aIsRetry)
{
  run_ = RunPhase::Choosing;
  actions_.emplace_back(ChooseEndpoint{ aIsRetry });
}

void
OnlineRequest::OnNotRun(Refusal aRefusal, base::Instant aNow)
{
  --unknownRuns_;
  LeaveRun(routing::RunEnd::GivenUp);
  tried_.push_back(endpoint_);
  ++refusals_;
  overloaded_ += aRefusal.code_ == ResultCode::Overloaded ? 1 : 0;
  const bool isBetter =
    !lastRefusal_.has_value() ||
    (aRefusal.retryAfterMs_ > 0 &&
     (lastRefusal_->retryAfterMs_ == 0 ||
      aRefusal.retryAfterMs_ < lastRefusal_->retryAfterMs_));
  if (isBetter) {
    lastRefusal_ = aRefusal;
  }
  const bool mayTryAnother = overloaded_ < kMaxOverloadedEndpoints &&
                             refusals_ < kMaxRefusedEndpoints &&
                             HoldsRetry(aNow);
  if (mayTryAnother) {
    Choose(true);
  } else {
    Refuse(*lastRefusal_, aNow);
  }
}

void
OnlineRequest::OnBroken(ResultCode aCode, base::Instant aNow)
{
  LeaveRun(routing::RunEnd::Broken);
  lostGraceEnds_.reset();
  tried_.push_back(endpoint_);
  lastBroken_ = aCode;
  crashes_ += aCode == ResultCode::EndpointCrashed ? 1 : 0;
  resultRun_ = CurrentRun();
  if (!description_.record_.idempotent_) {
    const bool isKnown = aCode == ResultCode::EndpointFailed;
    Conclude(isKnown ? aCode : ResultCode::OutcomeUnknown,
             std::string(base::NameOf(aCode)),
             aNow);
    return;
  }
  if (crashes_ >= kCrashesToBlame) {
    actions_.emplace_back(BlameContent{});
    Conclude(ResultCode::Quarantined, "crashed two endpoints", aNow);
    return;
  }
  if (unknownRuns_ >= description_.maxAttempts_) {
    Conclude(
      ResultCode::AttemptsExhausted, std::string(base::NameOf(aCode)), aNow);
    return;
  }
  if (!HoldsRetry(aNow)) {
    Conclude(aCode, "no time left for another run", aNow);
    return;
  }
  const routing::Backoff backoff{ description_.backoff_ };
  run_ = RunPhase::Pausing;
  runAgainAt_ = aNow + backoff.Delay(unknownRuns_ - 1, NextRandom());
}

void
OnlineRequest::OnAnswered(const wire::RunEnded& aEnded, base::Instant aNow)
{
  const bool isStreamed =
    description_.streamed_ && aEnded.code_ == ResultCode::Ok;
  if (!isStreamed) {
    EndRun(aEnded.code_, aEnded.text_, aEnded.tokens_, aEnded.detail_, aNow);
    return;
  }
  assembler_.SetEnd(aEnded.lastSequence_);
  if (assembler_.IsWhole()) {
    EndRun(ResultCode::Ok, assembler_.Text(), assembler_.Tokens(), {}, aNow);
  } else {
    AskForMissing();
  }
}

void
OnlineRequest::EndRun(ResultCode aCode,
                      std::string aText,
                      std::uint32_t aTokens,
                      std::string aDetail,
                      base::Instant aNow)
{
  LeaveRun(routing::RunEnd::Answered);
  run_ = RunPhase::Over;
  lostGraceEnds_.reset();
  resultRun_ = CurrentRun();
  resultIsOwn_ = true;
  wire::ItemResult result;
  result.code_ = aCode;
  result.ran_ = Ran::Ran;
  result.text_ = std::move(aText);
  result.tokens_ = aTokens;
  result.detail_ = std::move(aDetail);
  StreamOut();
  Record(std::move(result), aNow);
}

void
OnlineRequest::AskForMissing()
{
  const std::uint64_t received = assembler_.ReceivedSequence();
  if (askedBeyond_ == received + 1) {
    return; // Asked already; what is missing is on its way.
  }
  askedBeyond_ = received + 1;
  actions_.emplace_back(
    SendToEndpoint{ endpoint_, wire::AttachRun{ CurrentRun(), received } });
}

void
OnlineRequest::CancelRunNow()
{
  if (run_ == RunPhase::Running) {
    actions_.emplace_back(
      SendToEndpoint{ endpoint_, wire::CancelRun{ CurrentRun() } });
    LeaveRun(routing::RunEnd::GivenUp);
  }
  run_ = RunPhase::Over;
  runAgainAt_.reset();
  lostGraceEnds_.reset();
}

void
OnlineRequest::LeaveRun(routing::RunEnd aEnd)
{
  actions_.emplace_back(RunLeft{ endpoint_, aEnd });
}

void
OnlineRequest::Refuse(Refusal aRefusal, base::Instant aNow)
{
  run_ = RunPhase::Over;
  if (MayHaveRun()) {
    Conclude(lastBroken_, std::string(base::NameOf(aRefusal.code_)), aNow);
    return;
  }
  refusal_ = aRefusal;
  const bool isCertain = record_ == RecordPhase::Refused ||
                         (record_ == RecordPhase::Asked && !recordSent_);
  if (isCertain) {
    AnswerFailed(aRefusal.code_, Ran::NotRun, aRefusal.retryAfterMs_, {});
    Finish();
    return;
  }
  // "Not run" must stay true: while the record stands, its owner would run the
  // request after this entry's death. So the withdrawal is made durable first,
  // for which a few milliseconds are enough.
  if (!refusalWaitEnds_.has_value() && !answered_) {
    refusalWaitEnds_ = aNow + kWithdrawalWait;
  }
  if (record_ == RecordPhase::Accepted) {
    wire::ItemResult withdrawn;
    withdrawn.code_ = aRefusal.code_;
    withdrawn.ran_ = Ran::NotRun;
    Record(std::move(withdrawn), aNow);
  }
}

void
OnlineRequest::Conclude(ResultCode aCode,
                        std::string aDetail,
                        base::Instant aNow)
{
  run_ = RunPhase::Over;
  resultIsOwn_ = false;
  wire::ItemResult result;
  result.code_ = aCode;
  result.ran_ = RanAfter(aCode);
  result.detail_ = std::move(aDetail);
  Record(std::move(result), aNow);
}

void
OnlineRequest::Record(wire::ItemResult aResult, base::Instant aNow)
{
  result_ = std::move(aResult);
  if (resultRun_.job_ != description_.record_.job_) {
    resultRun_ = CurrentRun();
  }
  if (record_ != RecordPhase::Accepted) {
    return; // Goes out when the record is accepted.
  }
  if (mayWithdraw_ || resultIsOwn_) {
    SendResult();
    return;
  }
  // The record may be another call's, which still runs: no verdict of ours is
  // put in its place.
  if (!answered_) {
    const Ran ran = result_->ran_ == Ran::NotRun ? Ran::Unknown : result_->ran_;
    const std::uint32_t retryAfterMs =
      refusal_.has_value() ? refusal_->retryAfterMs_ : 0;
    AnswerFailed(result_->code_, ran, retryAfterMs, result_->detail_);
  }
  GoToBackground(aNow);
  Finish();
}

void
OnlineRequest::OnDeadline(base::Instant aNow)
{
  if (record_ == RecordPhase::Duplicate) {
    AnswerFailed(ResultCode::DeadlineExceeded,
                 Ran::Unknown,
                 0,
                 "an earlier call with this key still runs");
    Finish();
    return;
  }
  if (refusal_.has_value()) {
    OnWithdrawalSlow(aNow);
    return;
  }
  if (result_.has_value()) {
    AnswerFailed(ResultCode::DeadlineExceeded,
                 result_->ran_,
                 0,
                 "the result is not durable yet; read it by its key");
    GoToBackground(aNow);
    return;
  }
  CancelRunNow();
  const bool isOnceOnly = !description_.record_.idempotent_ && MayHaveRun();
  wire::ItemResult late;
  late.code_ =
    isOnceOnly ? ResultCode::OutcomeUnknown : ResultCode::DeadlineExceeded;
  late.ran_ = MayHaveRun() ? Ran::Unknown : Ran::NotRun;
  // An owner that may hold the record could still run it: not "not run".
  const bool isCertain = late.ran_ == Ran::NotRun && !recordSent_;
  AnswerFailed(late.code_, isCertain ? Ran::NotRun : Ran::Unknown, 0, {});
  if (!recordSent_) {
    Finish();
    return;
  }
  GoToBackground(aNow);
  Record(std::move(late), aNow);
}

void
OnlineRequest::OnOwnerMissing()
{
  CancelRunNow();
  const bool isCertain = !recordSent_ && !MayHaveRun();
  AnswerFailed(ResultCode::NotRecorded,
               isCertain ? Ran::NotRun : Ran::Unknown,
               kRetryAfterNotRecordedMs,
               "the owner of the request's partition did not answer");
  Finish();
}

void
OnlineRequest::OnWithdrawalSlow(base::Instant aNow)
{
  refusalWaitEnds_.reset();
  if (!answered_) {
    AnswerFailed(refusal_->code_, Ran::Unknown, refusal_->retryAfterMs_, {});
  }
  GoToBackground(aNow);
}

void
OnlineRequest::StreamOut()
{
  const bool hasBegun = assembler_.ReceivedSequence() > 0;
  const bool mayStream = !answered_ && description_.streamed_ && hasBegun &&
                         record_ == RecordPhase::Accepted;
  if (!mayStream) {
    return;
  }
  if (!acceptedSent_) {
    acceptedSent_ = true;
    actions_.emplace_back(EmitAccepted{ false });
  }
  std::string added = streamed_.Advance(assembler_.Text());
  if (added.empty()) {
    return;
  }
  const std::uint32_t tokens =
    assembler_.Tokens() > tokensSent_ ? assembler_.Tokens() - tokensSent_ : 0;
  tokensSent_ += tokens;
  ++chunksSent_;
  actions_.emplace_back(EmitChunk{ chunksSent_, std::move(added), tokens });
}

void
OnlineRequest::AnswerFinished(const wire::ItemResult& aRecorded)
{
  const bool isDuplicate = record_ == RecordPhase::Duplicate;
  if (!acceptedSent_) {
    acceptedSent_ = true;
    actions_.emplace_back(EmitAccepted{ isDuplicate });
  }
  const bool isOk = aRecorded.code_ == ResultCode::Ok;
  const bool isSame = streamed_.IsEqual(aRecorded.text_);
  EmitFinished finished;
  finished.result_ = aRecorded;
  finished.duplicate_ = isDuplicate;
  finished.streamedWhole_ = isOk && isSame && !streamed_.IsEmpty();
  finished.replacesChunks_ = isOk && !isSame && !streamed_.IsEmpty();
  finished.endpoint_ = isDuplicate ? std::string{} : endpoint_;
  actions_.emplace_back(std::move(finished));
  answered_ = true;
  Finish();
}

void
OnlineRequest::AnswerFailed(ResultCode aCode,
                            Ran aRan,
                            std::uint32_t aRetryAfterMs,
                            std::string aDetail)
{
  answered_ = true;
  actions_.emplace_back(
    EmitFailed{ aCode, aRan, aRetryAfterMs, std::move(aDetail) });
}

void
OnlineRequest::GoToBackground(base::Instant aNow)
{
  refusalWaitEnds_.reset();
  if (!backgroundEnds_.has_value()) {
    backgroundEnds_ = aNow + kBackgroundPatience;
  }
}

void
OnlineRequest::Finish()
{
  CancelRunNow();
  resendAt_.reset();
  done_ = true;
}

bool
OnlineRequest::HoldsRetry(base::Instant aNow) const
{
  return aNow + kShortestRetry < description_.deadline_;
}

wire::RunId
OnlineRequest::CurrentRun() const
{
  const auto high = static_cast<std::uint32_t>(description_.random_ >> 32U);
  wire::RunId run;
  run.job_ = description_.record_.job_;
  run.attempt_ =
    kEntryAttempt | (high & ~kAttemptMask) | (starts_ & kAttemptMask);
  return run;
}

std::uint64_t
OnlineRequest::NextRandom()
{
  // One step of splitmix64: enough for jitter, and a state of eight bytes.
  jitter_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = jitter_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace pumiceturn::entry
