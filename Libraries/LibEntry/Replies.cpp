#include "LibEntry/Replies.h"

#include <fmt/format.h>

#include <utility>

namespace pumiceturn::entry {

using base::Ran;
using base::ResultCode;

namespace {

caller::Ran
ToCallerRan(Ran aRan)
{
  switch (aRan) {
    case Ran::NotRun:
      return caller::RAN_NOT_RUN;
    case Ran::Ran:
      return caller::RAN_RAN;
    case Ran::Unknown:
      return caller::RAN_UNKNOWN;
    case Ran::Unspecified:
      break;
  }
  return caller::RAN_UNSPECIFIED;
}

caller::JobState
ToCallerState(wire::JobState aState)
{
  switch (aState) {
    case wire::JobState::Running:
      return caller::JOB_STATE_RUNNING;
    case wire::JobState::Finished:
      return caller::JOB_STATE_FINISHED;
    case wire::JobState::Cancelled:
      return caller::JOB_STATE_CANCELLED;
    case wire::JobState::Unspecified:
      break;
  }
  return caller::JOB_STATE_UNSPECIFIED;
}

/// Maps codes that have no status of their own by their hundreds digit;
/// ResultCode.h explains the ranges.
grpc::StatusCode
ToStatusCodeByRange(ResultCode aCode)
{
  constexpr int kPerRange = 100;
  switch (static_cast<int>(aCode) / kPerRange) {
    case 1:
      return grpc::StatusCode::INVALID_ARGUMENT;
    case 2:
    case 6:
    case 7:
      return grpc::StatusCode::UNAVAILABLE;
    case 3:
      return grpc::StatusCode::ABORTED;
    case 4:
      return grpc::StatusCode::NOT_FOUND;
    case 5:
      return grpc::StatusCode::FAILED_PRECONDITION;
    default:
      return grpc::StatusCode::INTERNAL;
  }
}

} // namespace

grpc::StatusCode
ToStatusCode(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Ok:
      return grpc::StatusCode::OK;
    case ResultCode::Unauthenticated:
      return grpc::StatusCode::UNAUTHENTICATED;
    case ResultCode::UnknownService:
    case ResultCode::UnknownKind:
      return grpc::StatusCode::NOT_FOUND;
    case ResultCode::Overloaded:
    case ResultCode::RetryBudgetSpent:
      return grpc::StatusCode::RESOURCE_EXHAUSTED;
    case ResultCode::Quarantined:
    case ResultCode::StillRunning:
      return grpc::StatusCode::FAILED_PRECONDITION;
    case ResultCode::DeadlineTooShort:
    case ResultCode::DeadlineExceeded:
      return grpc::StatusCode::DEADLINE_EXCEEDED;
    case ResultCode::OutcomeUnknown:
    case ResultCode::PlatformOutcomeUnknown:
      return grpc::StatusCode::UNKNOWN;
    case ResultCode::Cancelled:
      return grpc::StatusCode::CANCELLED;
    case ResultCode::KeyConflict:
      return grpc::StatusCode::ALREADY_EXISTS;
    case ResultCode::VersionConflict:
      return grpc::StatusCode::ABORTED;
    case ResultCode::InvalidDeclarations:
      return grpc::StatusCode::INVALID_ARGUMENT;
    default:
      return ToStatusCodeByRange(aCode);
  }
}

caller::Outcome
MakeOutcome(ResultCode aCode,
            Ran aRan,
            std::uint32_t aRetryAfterMs,
            const std::string& aDetail)
{
  caller::Outcome outcome;
  outcome.set_code(static_cast<std::uint32_t>(aCode));
  outcome.set_name(std::string(base::NameOf(aCode)));
  outcome.set_message(aDetail);
  outcome.set_ran(ToCallerRan(aRan));
  outcome.set_retry_after_ms(aRetryAfterMs);
  return outcome;
}

grpc::Status
MakeStatus(const caller::Outcome& aOutcome)
{
  const auto code = static_cast<ResultCode>(aOutcome.code());
  if (code == ResultCode::Ok) {
    return grpc::Status::OK;
  }
  const std::string message =
    aOutcome.message().empty()
      ? aOutcome.name()
      : fmt::format("{}: {}", aOutcome.name(), aOutcome.message());
  return { ToStatusCode(code), message, aOutcome.SerializeAsString() };
}

grpc::Status
MakeRefusal(const base::Failure& aFailure, std::uint32_t aRetryAfterMs)
{
  return MakeStatus(
    MakeOutcome(aFailure.code_, Ran::NotRun, aRetryAfterMs, aFailure.detail_));
}

grpc::Status
MakeStatus(const EmitFailed& aFailed)
{
  return MakeStatus(MakeOutcome(
    aFailed.code_, aFailed.ran_, aFailed.retryAfterMs_, aFailed.detail_));
}

caller::CallEvent
MakeEvent(const EmitAccepted& aAccepted, const std::string& aKey)
{
  caller::CallEvent event;
  event.mutable_accepted()->set_request_key(aKey);
  event.mutable_accepted()->set_duplicate(aAccepted.duplicate_);
  return event;
}

caller::CallEvent
MakeEvent(EmitChunk aChunk)
{
  caller::CallEvent event;
  caller::CallChunk& chunk = *event.mutable_chunk();
  chunk.set_sequence(aChunk.sequence_);
  chunk.set_text(std::move(aChunk.text_));
  chunk.set_tokens(aChunk.tokens_);
  return event;
}

caller::CallEvent
MakeEvent(EmitFinished aFinished)
{
  caller::CallEvent event;
  caller::CallFinished& finished = *event.mutable_finished();
  wire::ItemResult& result = aFinished.result_;
  *finished.mutable_outcome() =
    MakeOutcome(result.code_, result.ran_, 0, result.detail_);
  if (!aFinished.isTextStreamed_) {
    finished.set_text(std::move(result.text_));
  }
  finished.set_replaces_chunks(aFinished.replacesChunks_);
  finished.set_tokens(result.tokens_);
  finished.set_endpoint(aFinished.endpoint_);
  return event;
}

caller::ItemResult
MakeItemResult(wire::ItemResult aResult)
{
  caller::ItemResult result;
  result.set_position(aResult.position_);
  result.set_item(aResult.item_);
  result.set_name(std::move(aResult.name_));
  *result.mutable_outcome() =
    MakeOutcome(aResult.code_, aResult.ran_, 0, aResult.detail_);
  result.set_text(std::move(aResult.text_));
  result.set_tokens(aResult.tokens_);
  return result;
}

caller::JobStatus
MakeJobStatus(const wire::JobStatusReply& aReply)
{
  caller::JobStatus status;
  status.set_job_key(aReply.job_.key_);
  status.set_state(ToCallerState(aReply.state_));
  status.set_items(aReply.job_.itemCount_);
  status.set_waiting(aReply.waiting_);
  status.set_running(aReply.running_);
  status.set_succeeded(aReply.succeeded_);
  status.set_failed(aReply.failed_);
  status.set_cancelled(aReply.cancelled_);
  status.set_due_unix_ms(aReply.job_.dueUnixMs_);
  status.set_expected_finish_unix_ms(aReply.expectedFinishUnixMs_);
  return status;
}

} // namespace pumiceturn::entry
