#include "LibEntry/OnlineRequest.h"

#include "LibRouting/Backoff.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pumiceturn::entry {

using base::Ran;
using base::ResultCode;

namespace {

/// Bits of a run's attempt number that count the attempts of one entry; the
/// bits between it and kEntryAttemptFlag are random.
constexpr std::uint32_t kAttemptMask = 0xFF;

/// Set in attempt numbers of entries. Owners use only small attempt numbers, so
/// theirs never have it.
constexpr std::uint32_t kEntryAttemptFlag = 0x80000000;

/// Time to wait for a reply while the link is up.
constexpr base::Duration kReplyTimeout{ std::chrono::seconds{ 2 } };

/// How often a duplicate call sends its record again, in case the owner has
/// changed.
constexpr base::Duration kDuplicatePollInterval{ std::chrono::seconds{ 1 } };

bool
IsOwnerUnavailable(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::NotOwner:
    case ResultCode::StaleEpoch:
    case ResultCode::Recovering:
    case ResultCode::Disconnected:
    case ResultCode::TimedOut:
    case ResultCode::Draining: // The keeper is handing over its partitions.
      return true;
    default:
      return false;
  }
}

/// @return whether the code means that the run failed without an answer from
/// the endpoint.
bool
IsRunFailure(ResultCode aCode)
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

/// @return the code reported to the caller for an owner's error.
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

/// @return the Ran value to report for a request that ends with this code and
/// wasn't refused.
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
UpdateEarliest(std::optional<base::Instant>& aEarliest,
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
  return (aAttempt & kEntryAttemptFlag) != 0;
}

OnlineRequest::OnlineRequest(OnlineDescription aDescription)
  : description_(std::move(aDescription))
  , jitter_(description_.random_)
{
}

void
OnlineRequest::Begin(base::Instant aNow)
{
  ownerTimeoutAt_ = aNow + kOwnerTimeout;
  SendRecord();
}

void
OnlineRequest::OnOwnerSent(base::Instant aNow)
{
  resendAt_ = aNow + kReplyTimeout;
  if (recordPhase_ == RecordPhase::Duplicate) {
    resendAt_ = aNow + kDuplicatePollInterval;
    return;
  }
  if (recordPhase_ != RecordPhase::Pending) {
    return;
  }
  recordSent_ = true;
  ++unansweredRecords_;
  // A non-idempotent request may run at most once, so it isn't sent to an
  // endpoint before its record is durable. Quarantined content also waits for
  // the record: the owner may have a result for its key.
  const bool mayRunBeforeRecord =
    description_.record_.idempotent_ && !description_.quarantined_;
  if (mayRunBeforeRecord && runPhase_ == RunPhase::Idle && !callerAnswered_) {
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
  if (done_ || recordPhase_ == RecordPhase::Refused) {
    return;
  }
  if (recordPhase_ == RecordPhase::Accepted) {
    // Late replies are ignored, except for a result that this call didn't send:
    // a caller has cancelled the request with CancelJob.
    const bool isEnded = aReply.code_ == ResultCode::Ok &&
                         aReply.state_ == wire::RecordState::Finished;
    if (isEnded) {
      OnAlreadyFinished(aReply.result_);
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
      OnOtherCallRunning(aNow);
      return;
    case wire::RecordState::Finished:
      OnAlreadyFinished(aReply.result_);
      return;
  }
}

void
OnlineRequest::OnRecordResultReply(const wire::RecordResultReply& aReply,
                                   base::Instant aNow)
{
  if (done_ || !result_.has_value() || recordPhase_ != RecordPhase::Accepted) {
    return;
  }
  if (aReply.code_ == ResultCode::NotFound) {
    // The record was lost with the last complete copy, or the owner removed it.
    // The record is sent again, followed by the result.
    recordPhase_ = RecordPhase::Pending;
    ownerTimeoutAt_ = aNow + kOwnerTimeout;
    SendRecord();
    return;
  }
  if (aReply.code_ == ResultCode::StillRunning) {
    OnOwnerRunsRequest();
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
  const bool isOurResult =
    aReply.first_ || aReply.result_.ran_ == Ran::Unspecified;
  if (callerAnswered_) {
    Finish();
  } else if (isOurResult && refusal_.has_value()) {
    AnswerFailed(refusal_->code_, Ran::NotRun, refusal_->retryAfterMs_, {});
    Finish();
  } else {
    AnswerFinished(isOurResult ? *result_ : aReply.result_);
  }
}

void
OnlineRequest::OnOwnerRunsRequest()
{
  // The owner considered this entry lost and runs the request itself. This call
  // waits for that result like a duplicate.
  const std::optional<Refusal> refusal = refusal_;
  result_.reset();
  if (callerAnswered_) {
    Finish();
    return;
  }
  if (refusal.has_value()) {
    AnswerFailed(refusal->code_, Ran::Unknown, refusal->retryAfterMs_, {});
    Finish();
    return;
  }
  runPhase_ = RunPhase::Idle;
  recordPhase_ = RecordPhase::Duplicate;
  SendRecord();
}

void
OnlineRequest::OnEndpoint(const std::string& aEndpoint, base::Instant aNow)
{
  if (runPhase_ != RunPhase::Choosing) {
    return;
  }
  runPhase_ = RunPhase::Running;
  endpoint_ = aEndpoint;
  ++runsSent_;
  ++begunRuns_;
  assembler_ = {};
  requestedFrom_ = 0;
  streamed_.BeginAttempt();
  endpointGraceEndsAt_.reset();

  const wire::RecordRequest& record = description_.record_;
  wire::StartRun start;
  start.run_ = CurrentRun();
  start.service_ = record.service_;
  start.kind_ = record.kind_;
  start.online_ = true;
  start.idempotent_ = record.idempotent_;
  start.wantChunks_ = description_.isStreaming_;
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
  if (runPhase_ == RunPhase::Choosing) {
    // A refusal from an endpoint is more specific than the lack of another
    // endpoint.
    Refuse(bestRefusal_.value_or(Refusal{ aCode, aRetryAfterMs }), aNow);
  }
}

void
OnlineRequest::OnStartNotSent(const std::string& aEndpoint, base::Instant aNow)
{
  if (runPhase_ != RunPhase::Running || endpoint_ != aEndpoint) {
    return;
  }
  OnRunRefused(Refusal{ ResultCode::NoEndpoint, 0 }, aNow);
}

void
OnlineRequest::OnChunk(const wire::Chunk& aChunk, base::Instant aNow)
{
  if (runPhase_ != RunPhase::Running || aChunk.run_ != CurrentRun()) {
    return;
  }
  if (assembler_.Add(aChunk)) {
    StreamNewText();
  }
  if (assembler_.IsComplete()) {
    CompleteRun(
      ResultCode::Ok, assembler_.Text(), assembler_.Tokens(), {}, aNow);
  } else if (assembler_.HasGap()) {
    RequestMissingChunks();
  }
}

void
OnlineRequest::OnRunEnded(const std::string& aEndpoint,
                          const wire::RunEnded& aEnded,
                          base::Instant aNow)
{
  const bool isCurrent = runPhase_ == RunPhase::Running &&
                         aEndpoint == endpoint_ && aEnded.run_ == CurrentRun();
  if (!isCurrent) {
    return;
  }
  if (aEnded.ran_ == Ran::NotRun) {
    OnRunRefused(Refusal{ aEnded.code_, aEnded.retryAfterMs_ }, aNow);
  } else if (IsRunFailure(aEnded.code_)) {
    OnRunFailed(aEnded.code_, aNow);
  } else {
    OnRunAnswered(aEnded, aNow);
  }
}

void
OnlineRequest::OnEndpointLink(std::string_view aEndpoint,
                              wire::LinkState aState,
                              base::Instant aNow)
{
  if (runPhase_ != RunPhase::Running || endpoint_ != aEndpoint) {
    return;
  }
  switch (aState) {
    case wire::LinkState::Up:
      // Messages in flight on the old connection may be lost: the agent resends
      // everything after the last chunk received.
      endpointGraceEndsAt_.reset();
      actions_.emplace_back(SendToEndpoint{
        endpoint_,
        wire::AttachRun{ CurrentRun(), assembler_.ReceivedSequence() } });
      return;
    case wire::LinkState::Lost:
      if (description_.record_.idempotent_) {
        endpointGraceEndsAt_ = aNow + kEndpointGracePeriod;
      }
      return;
    case wire::LinkState::Replaced:
      OnRunFailed(ResultCode::EndpointLost, aNow);
      return;
  }
}

void
OnlineRequest::OnCallerGone(base::Instant aNow)
{
  if (done_ || callerAnswered_) {
    return;
  }
  callerAnswered_ = true;
  const bool mayBeOurRecord =
    recordPhase_ == RecordPhase::Accepted ||
    (recordPhase_ == RecordPhase::Pending && recordSent_);
  const bool mayRecord =
    mayBeOurRecord && (mayWithdraw_ || isResultFromEndpoint_);
  CancelCurrentRun();
  if (!mayRecord) {
    Finish();
    return;
  }
  ContinueInBackground(aNow);
  if (result_.has_value()) {
    return; // The result was already sent to the owner.
  }
  wire::ItemResult cancelled;
  cancelled.code_ = ResultCode::Cancelled;
  cancelled.ran_ = MayHaveRun() ? Ran::Unknown : Ran::NotRun;
  Record(std::move(cancelled), aNow);
}

std::optional<base::Instant>
OnlineRequest::NextTimer() const
{
  if (done_) {
    return std::nullopt;
  }
  std::optional<base::Instant> earliest = backgroundEndsAt_;
  if (!callerAnswered_) {
    UpdateEarliest(earliest, description_.deadline_);
    if (recordPhase_ == RecordPhase::Pending) {
      UpdateEarliest(earliest, ownerTimeoutAt_);
    }
  }
  UpdateEarliest(earliest, resendAt_);
  UpdateEarliest(earliest, withdrawalTimeoutAt_);
  UpdateEarliest(earliest, retryAt_);
  UpdateEarliest(earliest, endpointGraceEndsAt_);
  return earliest;
}

void
OnlineRequest::OnTimer(base::Instant aNow)
{
  if (!done_ && IsDue(backgroundEndsAt_, aNow)) {
    Finish();
  }
  if (!done_ && !callerAnswered_ && description_.deadline_ <= aNow) {
    OnDeadline(aNow);
  }
  if (!done_ && IsDue(withdrawalTimeoutAt_, aNow)) {
    OnWithdrawalTimeout(aNow);
  }
  const bool isOwnerTimedOut = !callerAnswered_ &&
                               recordPhase_ == RecordPhase::Pending &&
                               ownerTimeoutAt_ <= aNow;
  if (!done_ && isOwnerTimedOut) {
    OnOwnerTimeout();
  }
  if (!done_ && IsDue(resendAt_, aNow)) {
    ResendNow();
  }
  if (!done_ && IsDue(retryAt_, aNow)) {
    retryAt_.reset();
    Choose(true);
  }
  if (!done_ && IsDue(endpointGraceEndsAt_, aNow)) {
    endpointGraceEndsAt_.reset();
    actions_.emplace_back(
      SendToEndpoint{ endpoint_, wire::CancelRun{ CurrentRun() } });
    OnRunFailed(ResultCode::EndpointLost, aNow);
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
  const routing::Backoff backoff{ kMinResendDelay, kMaxResendDelay };
  resendAt_ = aNow + backoff.Delay(resends_, NextRandom());
  ++resends_;
}

void
OnlineRequest::ResendNow()
{
  switch (recordPhase_) {
    case RecordPhase::Pending:
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
  recordPhase_ = RecordPhase::Accepted;
  resendAt_.reset();
  resends_ = 0;
  unansweredRecords_ = 0;
  StreamNewText();
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
  if (runPhase_ == RunPhase::Idle && !description_.record_.idempotent_ &&
      MayHaveRun()) {
    EndWithError(ResultCode::OutcomeUnknown, {}, aNow);
  } else if (runPhase_ == RunPhase::Idle) {
    Choose(false);
  }
}

void
OnlineRequest::OnOtherCallRunning(base::Instant aNow)
{
  const bool mayBeOurs = recordPhase_ == RecordPhase::Pending &&
                         unansweredRecords_ > 1 && !callerAnswered_;
  if (mayBeOurs && description_.record_.idempotent_) {
    // The owner may have accepted an earlier RecordRequest of this call whose
    // reply was lost with the link. Running the request is safe, since the
    // first result is kept. But the record may belong to another call, so it
    // must not be withdrawn.
    mayWithdraw_ = false;
    OnAccepted(aNow);
    return;
  }
  const bool isFirstReply = recordPhase_ != RecordPhase::Duplicate;
  recordPhase_ = RecordPhase::Duplicate;
  resendAt_ = aNow + kDuplicatePollInterval;
  if (callerAnswered_) {
    Finish();
    return;
  }
  if (!isFirstReply) {
    return;
  }
  CancelCurrentRun();
  runPhase_ = RunPhase::Idle; // Lets this call run the request if the other
                              // call is withdrawn.
  result_.reset();
  isResultFromEndpoint_ = false;
  refusal_.reset();
  withdrawalTimeoutAt_.reset();
  acceptedSent_ = true;
  actions_.emplace_back(EmitAccepted{ true });
}

void
OnlineRequest::OnAlreadyFinished(const wire::ItemResult& aResult)
{
  CancelCurrentRun();
  recorded_ = true;
  const bool isOurRecord =
    recordPhase_ == RecordPhase::Accepted ||
    (acceptedSent_ && recordPhase_ == RecordPhase::Pending);
  recordPhase_ = isOurRecord ? RecordPhase::Accepted : RecordPhase::Duplicate;
  if (callerAnswered_) {
    Finish();
    return;
  }
  AnswerFinished(aResult);
}

void
OnlineRequest::OnRecordRefused(const wire::RecordReply& aReply,
                               base::Instant aNow)
{
  unansweredRecords_ -= unansweredRecords_ > 0 ? 1 : 0;
  // If the call that this duplicate waited for was cancelled before it ran, the
  // duplicate sends its record again and then runs.
  const bool isOtherCallCancelled = recordPhase_ == RecordPhase::Duplicate &&
                                    aReply.code_ == ResultCode::Cancelled;
  if (isOtherCallCancelled || IsOwnerUnavailable(aReply.code_)) {
    const bool isFirstHint = !aReply.ownerHint_.empty() && resends_ == 0;
    if (isFirstHint) {
      ++resends_;
      ResendNow();
    } else {
      ResendLater(aNow);
    }
    return;
  }
  recordPhase_ = RecordPhase::Refused;
  CancelCurrentRun();
  if (!callerAnswered_) {
    const ResultCode code = ToRecordRefusal(aReply.code_);
    const bool isUnknown = MayHaveRun() || unansweredRecords_ > 0;
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
  runPhase_ = RunPhase::Choosing;
  actions_.emplace_back(ChooseEndpoint{ aIsRetry });
}

void
OnlineRequest::OnRunRefused(Refusal aRefusal, base::Instant aNow)
{
  --begunRuns_;
  ReleaseRun(routing::RunOutcome::Abandoned);
  tried_.push_back(endpoint_);
  ++refusals_;
  overloadRefusals_ += aRefusal.code_ == ResultCode::Overloaded ? 1 : 0;
  const bool isBetter =
    !bestRefusal_.has_value() ||
    (aRefusal.retryAfterMs_ > 0 &&
     (bestRefusal_->retryAfterMs_ == 0 ||
      aRefusal.retryAfterMs_ < bestRefusal_->retryAfterMs_));
  if (isBetter) {
    bestRefusal_ = aRefusal;
  }
  const bool mayTryAnother = overloadRefusals_ < kMaxOverloadRefusals &&
                             refusals_ < kMaxRefusals && HasTimeForRetry(aNow);
  if (mayTryAnother) {
    Choose(true);
  } else {
    Refuse(*bestRefusal_, aNow);
  }
}

void
OnlineRequest::OnRunFailed(ResultCode aCode, base::Instant aNow)
{
  ReleaseRun(routing::RunOutcome::Failed);
  endpointGraceEndsAt_.reset();
  tried_.push_back(endpoint_);
  lastFailure_ = aCode;
  crashes_ += aCode == ResultCode::EndpointCrashed ? 1 : 0;
  resultRun_ = CurrentRun();
  if (!description_.record_.idempotent_) {
    const bool isKnown = aCode == ResultCode::EndpointFailed;
    EndWithError(isKnown ? aCode : ResultCode::OutcomeUnknown,
                 std::string(base::NameOf(aCode)),
                 aNow);
    return;
  }
  if (crashes_ >= kCrashesToQuarantine) {
    actions_.emplace_back(QuarantineContent{});
    EndWithError(ResultCode::Quarantined, "crashed two endpoints", aNow);
    return;
  }
  if (begunRuns_ >= description_.maxAttempts_) {
    EndWithError(
      ResultCode::AttemptsExhausted, std::string(base::NameOf(aCode)), aNow);
    return;
  }
  if (!HasTimeForRetry(aNow)) {
    EndWithError(aCode, "no time left for another run", aNow);
    return;
  }
  const routing::Backoff backoff{ description_.backoff_ };
  runPhase_ = RunPhase::BackingOff;
  retryAt_ = aNow + backoff.Delay(begunRuns_ - 1, NextRandom());
}

void
OnlineRequest::OnRunAnswered(const wire::RunEnded& aEnded, base::Instant aNow)
{
  const bool isStreamed =
    description_.isStreaming_ && aEnded.code_ == ResultCode::Ok;
  if (!isStreamed) {
    CompleteRun(
      aEnded.code_, aEnded.text_, aEnded.tokens_, aEnded.detail_, aNow);
    return;
  }
  assembler_.SetEnd(aEnded.lastSequence_);
  if (assembler_.IsComplete()) {
    CompleteRun(
      ResultCode::Ok, assembler_.Text(), assembler_.Tokens(), {}, aNow);
  } else {
    RequestMissingChunks();
  }
}

void
OnlineRequest::CompleteRun(ResultCode aCode,
                           std::string aText,
                           std::uint32_t aTokens,
                           std::string aDetail,
                           base::Instant aNow)
{
  ReleaseRun(routing::RunOutcome::Answered);
  runPhase_ = RunPhase::Ended;
  endpointGraceEndsAt_.reset();
  resultRun_ = CurrentRun();
  isResultFromEndpoint_ = true;
  wire::ItemResult result;
  result.code_ = aCode;
  result.ran_ = Ran::Ran;
  result.text_ = std::move(aText);
  result.tokens_ = aTokens;
  result.detail_ = std::move(aDetail);
  StreamNewText();
  Record(std::move(result), aNow);
}

void
OnlineRequest::RequestMissingChunks()
{
  const std::uint64_t received = assembler_.ReceivedSequence();
  if (requestedFrom_ == received + 1) {
    return; // The missing chunks were already requested.
  }
  requestedFrom_ = received + 1;
  actions_.emplace_back(
    SendToEndpoint{ endpoint_, wire::AttachRun{ CurrentRun(), received } });
}

void
OnlineRequest::CancelCurrentRun()
{
  if (runPhase_ == RunPhase::Running) {
    actions_.emplace_back(
      SendToEndpoint{ endpoint_, wire::CancelRun{ CurrentRun() } });
    ReleaseRun(routing::RunOutcome::Abandoned);
  }
  runPhase_ = RunPhase::Ended;
  retryAt_.reset();
  endpointGraceEndsAt_.reset();
}

void
OnlineRequest::ReleaseRun(routing::RunOutcome aOutcome)
{
  actions_.emplace_back(ReportRunEnd{ endpoint_, aOutcome });
}

void
OnlineRequest::Refuse(Refusal aRefusal, base::Instant aNow)
{
  runPhase_ = RunPhase::Ended;
  if (MayHaveRun()) {
    EndWithError(lastFailure_, std::string(base::NameOf(aRefusal.code_)), aNow);
    return;
  }
  refusal_ = aRefusal;
  const bool isCertain = recordPhase_ == RecordPhase::Refused ||
                         (recordPhase_ == RecordPhase::Pending && !recordSent_);
  if (isCertain) {
    AnswerFailed(aRefusal.code_, Ran::NotRun, aRefusal.retryAfterMs_, {});
    Finish();
    return;
  }
  // While the record exists, its owner would run the request if this entry
  // failed. NotRun may therefore be reported only after the withdrawal is
  // durable, which usually takes a few milliseconds.
  if (!withdrawalTimeoutAt_.has_value() && !callerAnswered_) {
    withdrawalTimeoutAt_ = aNow + kWithdrawalTimeout;
  }
  if (recordPhase_ == RecordPhase::Accepted) {
    wire::ItemResult withdrawn;
    withdrawn.code_ = aRefusal.code_;
    withdrawn.ran_ = Ran::NotRun;
    Record(std::move(withdrawn), aNow);
  }
}

void
OnlineRequest::EndWithError(ResultCode aCode,
                            std::string aDetail,
                            base::Instant aNow)
{
  runPhase_ = RunPhase::Ended;
  isResultFromEndpoint_ = false;
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
  if (recordPhase_ != RecordPhase::Accepted) {
    return; // Sent once the record is accepted.
  }
  if (mayWithdraw_ || isResultFromEndpoint_) {
    SendResult();
    return;
  }
  // The record may belong to another call that is still running, so this call
  // must not end it with its own error.
  if (!callerAnswered_) {
    const Ran ran = result_->ran_ == Ran::NotRun ? Ran::Unknown : result_->ran_;
    const std::uint32_t retryAfterMs =
      refusal_.has_value() ? refusal_->retryAfterMs_ : 0;
    AnswerFailed(result_->code_, ran, retryAfterMs, result_->detail_);
  }
  ContinueInBackground(aNow);
  Finish();
}

void
OnlineRequest::OnDeadline(base::Instant aNow)
{
  if (recordPhase_ == RecordPhase::Duplicate) {
    AnswerFailed(ResultCode::DeadlineExceeded,
                 Ran::Unknown,
                 0,
                 "an earlier call with this key is still running");
    Finish();
    return;
  }
  if (refusal_.has_value()) {
    OnWithdrawalTimeout(aNow);
    return;
  }
  if (result_.has_value()) {
    AnswerFailed(ResultCode::DeadlineExceeded,
                 result_->ran_,
                 0,
                 "the result is not durable yet; read it later by its key");
    ContinueInBackground(aNow);
    return;
  }
  CancelCurrentRun();
  const bool isOutcomeUnknown =
    !description_.record_.idempotent_ && MayHaveRun();
  wire::ItemResult expired;
  expired.code_ = isOutcomeUnknown ? ResultCode::OutcomeUnknown
                                   : ResultCode::DeadlineExceeded;
  expired.ran_ = MayHaveRun() ? Ran::Unknown : Ran::NotRun;
  // An owner that may have the record could still run the request, so NotRun
  // isn't certain.
  const bool isCertain = expired.ran_ == Ran::NotRun && !recordSent_;
  AnswerFailed(expired.code_, isCertain ? Ran::NotRun : Ran::Unknown, 0, {});
  if (!recordSent_) {
    Finish();
    return;
  }
  ContinueInBackground(aNow);
  Record(std::move(expired), aNow);
}

void
OnlineRequest::OnOwnerTimeout()
{
  CancelCurrentRun();
  const bool isCertain = !recordSent_ && !MayHaveRun();
  AnswerFailed(ResultCode::NotRecorded,
               isCertain ? Ran::NotRun : Ran::Unknown,
               kRetryAfterNotRecordedMs,
               "the owner of the request's partition did not answer");
  Finish();
}

void
OnlineRequest::OnWithdrawalTimeout(base::Instant aNow)
{
  withdrawalTimeoutAt_.reset();
  if (!callerAnswered_) {
    AnswerFailed(refusal_->code_, Ran::Unknown, refusal_->retryAfterMs_, {});
  }
  ContinueInBackground(aNow);
}

void
OnlineRequest::StreamNewText()
{
  const bool hasBegun = assembler_.ReceivedSequence() > 0;
  const bool mayStream = !callerAnswered_ && description_.isStreaming_ &&
                         hasBegun && recordPhase_ == RecordPhase::Accepted;
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
  const bool isDuplicate = recordPhase_ == RecordPhase::Duplicate;
  if (!acceptedSent_) {
    acceptedSent_ = true;
    actions_.emplace_back(EmitAccepted{ isDuplicate });
  }
  const bool isOk = aRecorded.code_ == ResultCode::Ok;
  const bool isSame = streamed_.IsEqual(aRecorded.text_);
  EmitFinished finished;
  finished.result_ = aRecorded;
  finished.duplicate_ = isDuplicate;
  finished.isTextStreamed_ = isOk && isSame && !streamed_.IsEmpty();
  finished.replacesChunks_ = isOk && !isSame && !streamed_.IsEmpty();
  finished.endpoint_ = isDuplicate ? std::string{} : endpoint_;
  actions_.emplace_back(std::move(finished));
  callerAnswered_ = true;
  Finish();
}

void
OnlineRequest::AnswerFailed(ResultCode aCode,
                            Ran aRan,
                            std::uint32_t aRetryAfterMs,
                            std::string aDetail)
{
  callerAnswered_ = true;
  actions_.emplace_back(
    EmitFailed{ aCode, aRan, aRetryAfterMs, std::move(aDetail) });
}

void
OnlineRequest::ContinueInBackground(base::Instant aNow)
{
  withdrawalTimeoutAt_.reset();
  if (!backgroundEndsAt_.has_value()) {
    backgroundEndsAt_ = aNow + kBackgroundTimeout;
  }
}

void
OnlineRequest::Finish()
{
  CancelCurrentRun();
  resendAt_.reset();
  done_ = true;
}

bool
OnlineRequest::HasTimeForRetry(base::Instant aNow) const
{
  return aNow + kMinRetryTime < description_.deadline_;
}

wire::RunId
OnlineRequest::CurrentRun() const
{
  const auto high = static_cast<std::uint32_t>(description_.random_ >> 32U);
  wire::RunId run;
  run.job_ = description_.record_.job_;
  run.attempt_ =
    kEntryAttemptFlag | (high & ~kAttemptMask) | (runsSent_ & kAttemptMask);
  return run;
}

std::uint64_t
OnlineRequest::NextRandom()
{
  // One step of splitmix64, which is sufficient for jitter and needs only eight
  // bytes of state.
  jitter_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = jitter_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace pumiceturn::entry
