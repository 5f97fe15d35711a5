#include "LibClient/Client.h"

#include "LibClient/AnswerAssembler.h"
#include "LibClient/StatusDecoder.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <thread>

namespace pumiceturn::client {

namespace {

using base::ResultCode;

/// Rounds over all entries before a call fails.
constexpr std::size_t kRounds = 2;
constexpr std::chrono::milliseconds kPauseBetweenRounds{ 300 };

/// Time beyond a request's own deadline in which the entry can still say how it
/// ended.
constexpr std::chrono::milliseconds kDeadlineGrace{ 5000 };

/// A lot may hold hundreds of thousands of items, so it has its own limit.
constexpr std::chrono::milliseconds kSubmitTimeout{ 600'000 };

std::chrono::milliseconds
TimeoutFor(std::uint32_t aDeadlineMs)
{
  // Without a deadline of the caller's the kind's default holds, which only
  // the entry knows.
  return aDeadlineMs == 0
           ? std::chrono::milliseconds{ 0 }
           : std::chrono::milliseconds{ aDeadlineMs } + kDeadlineGrace;
}

void
TakeFinished(const caller::CallFinished& aFinished, CallAnswer& aAnswer)
{
  aAnswer.outcome_ = aFinished.outcome();
  aAnswer.tokens_ = aFinished.tokens();
  aAnswer.endpoint_ = aFinished.endpoint();
}

/// One attempt at a streaming call.
class CallAttempt
{
public:
  CallAttempt(AnswerAssembler& aAssembler,
              CallAnswer& aAnswer,
              const Client::ShowText& aShow)
    : assembler_(aAssembler)
    , answer_(aAnswer)
    , show_(aShow)
  {
    assembler_.BeginAttempt();
  }

  /// Reads the stream to its end.
  grpc::Status Read(grpc::ClientReader<caller::CallEvent>& aReader,
                    grpc::ClientContext& aContext)
  {
    caller::CallEvent event;
    while (aReader.Read(&event)) {
      if (!Take(event)) {
        aContext.TryCancel();
        while (aReader.Read(&event)) {
        }
        (void)aReader.Finish();
        return { grpc::StatusCode::DATA_LOSS, "a chunk is missing" };
      }
    }
    grpc::Status status = aReader.Finish();
    if (status.ok() && !finished_) {
      // A stream that was cut may look like a whole one.
      status = { grpc::StatusCode::UNAVAILABLE, "the stream ended early" };
    }
    return status;
  }

private:
  bool Take(const caller::CallEvent& aEvent)
  {
    std::string_view added;
    bool isInOrder = true;
    if (aEvent.has_accepted()) {
      answer_.requestKey_ = aEvent.accepted().request_key();
      answer_.duplicate_ = aEvent.accepted().duplicate();
    } else if (aEvent.has_chunk()) {
      isInOrder = assembler_.AddChunk(aEvent.chunk(), added);
    } else if (aEvent.has_finished()) {
      finished_ = true;
      answer_.replacesShown_ = assembler_.Finish(aEvent.finished(), added);
      TakeFinished(aEvent.finished(), answer_);
    }
    if (!added.empty() && show_) {
      show_(added);
    }
    return isInOrder;
  }

  AnswerAssembler& assembler_;
  CallAnswer& answer_;
  const Client::ShowText& show_;
  bool finished_ = false;
};

} // namespace

std::string
MakeRequestKey()
{
  std::random_device random;
  std::uniform_int_distribution<std::uint64_t> distribution;
  return fmt::format(
    "{:016x}{:016x}", distribution(random), distribution(random));
}

Client::Client(Options aOptions)
  : options_(std::move(aOptions))
  , channels_(options_.entries_, options_.token_)
{
}

grpc::Status
Client::TryEntries(const Attempt& aAttempt)
{
  grpc::Status status;
  for (std::size_t round = 0; round < kRounds; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(kPauseBetweenRounds);
    }
    for (std::size_t entry = 0; entry < channels_.Count(); ++entry) {
      status = aAttempt(entry);
      if (!ShouldTryNextEntry(status)) {
        return status;
      }
    }
  }
  return status;
}

template<typename Reply>
base::Result<Reply>
Client::CallCaller(
  const std::function<
    grpc::Status(caller::Caller::Stub&, grpc::ClientContext&, Reply&)>& aCall)
{
  Reply reply;
  const grpc::Status status = TryEntries([&](std::size_t aEntry) {
    grpc::ClientContext context;
    channels_.Prepare(context, options_.timeout_);
    return aCall(*channels_.MakeCallerStub(aEntry), context, reply);
  });
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  return reply;
}

template<typename Reply>
base::Result<Reply>
Client::CallOperator(
  const std::function<grpc::Status(operations::Operator::Stub&,
                                   grpc::ClientContext&,
                                   Reply&)>& aCall)
{
  Reply reply;
  const grpc::Status status = TryEntries([&](std::size_t aEntry) {
    grpc::ClientContext context;
    channels_.Prepare(context, options_.timeout_);
    return aCall(*channels_.MakeOperatorStub(aEntry), context, reply);
  });
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  return reply;
}

base::Result<CallAnswer>
Client::Call(caller::CallRequest aRequest, const ShowText& aShow)
{
  if (aRequest.request_key().empty()) {
    aRequest.set_request_key(MakeRequestKey());
  }
  CallAnswer answer;
  answer.requestKey_ = aRequest.request_key();
  AnswerAssembler assembler;
  const grpc::Status status = TryEntries([&](std::size_t aEntry) {
    grpc::ClientContext context;
    channels_.Prepare(context, TimeoutFor(aRequest.deadline_ms()));
    const auto stub = channels_.MakeCallerStub(aEntry);
    const auto reader = stub->Call(&context, aRequest);
    return CallAttempt(assembler, answer, aShow).Read(*reader, context);
  });
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  answer.text_ = assembler.Text();
  return answer;
}

base::Result<caller::ServiceCallReply>
Client::CallService(caller::ServiceCallRequest aRequest)
{
  if (aRequest.request_key().empty()) {
    aRequest.set_request_key(MakeRequestKey());
  }
  caller::ServiceCallReply reply;
  const grpc::Status status = TryEntries([&](std::size_t aEntry) {
    grpc::ClientContext context;
    channels_.Prepare(context, TimeoutFor(aRequest.deadline_ms()));
    return channels_.MakeCallerStub(aEntry)->CallService(
      &context, aRequest, &reply);
  });
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  return reply;
}

base::Result<caller::SubmitJobReply>
Client::SubmitJob(const caller::JobHeader& aHeader,
                  std::span<const caller::JobItem> aItems)
{
  caller::SubmitJobReply reply;
  const grpc::Status status = TryEntries([&](std::size_t aEntry) {
    grpc::ClientContext context;
    channels_.Prepare(context, kSubmitTimeout);
    const auto stub = channels_.MakeCallerStub(aEntry);
    const auto writer = stub->SubmitJob(&context, &reply);
    caller::SubmitJobRequest part;
    *part.mutable_header() = aHeader;
    bool isOpen = writer->Write(part);
    for (const caller::JobItem& item : aItems) {
      if (!isOpen) {
        break; // Finish() tells why.
      }
      *part.mutable_item() = item;
      isOpen = writer->Write(part);
    }
    writer->WritesDone();
    return writer->Finish();
  });
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  return reply;
}

base::Result<caller::JobStatus>
Client::GetJob(const std::string& aJobKey)
{
  caller::GetJobRequest request;
  request.set_job_key(aJobKey);
  return CallCaller<caller::JobStatus>(
    [&](auto& aStub, auto& aContext, auto& aReply) {
      return aStub.GetJob(&aContext, request, &aReply);
    });
}

base::Result<caller::JobStatus>
Client::CancelJob(const std::string& aJobKey)
{
  caller::CancelJobRequest request;
  request.set_job_key(aJobKey);
  BOOST_LEAF_AUTO(reply,
                  CallCaller<caller::CancelJobReply>(
                    [&](auto& aStub, auto& aContext, auto& aReply) {
                      return aStub.CancelJob(&aContext, request, &aReply);
                    }));
  return reply.status();
}

base::Result<caller::ItemResult>
Client::GetResult(const std::string& aRequestKey)
{
  caller::GetResultRequest request;
  request.set_request_key(aRequestKey);
  return CallCaller<caller::ItemResult>(
    [&](auto& aStub, auto& aContext, auto& aReply) {
      return aStub.GetResult(&aContext, request, &aReply);
    });
}

base::Result<void>
Client::ReadResults(caller::ReadResultsRequest aRequest,
                    const ShowResult& aShow,
                    std::chrono::milliseconds aTimeout)
{
  const bool isUnlimited = aTimeout.count() == 0 && aRequest.follow();
  const auto limit = aTimeout.count() == 0 ? kSubmitTimeout : aTimeout;
  const auto end = std::chrono::steady_clock::now() + limit;
  const auto remaining = [&] {
    return std::max(std::chrono::milliseconds{ 1 },
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                      end - std::chrono::steady_clock::now()));
  };
  bool madeProgress = true;
  grpc::Status status;
  // A job may take hours, so only rounds that bring nothing count.
  while (madeProgress) {
    madeProgress = false;
    status = TryEntries([&](std::size_t aEntry) {
      grpc::ClientContext context;
      channels_.Prepare(
        context, isUnlimited ? std::chrono::milliseconds{ 0 } : remaining());
      const auto stub = channels_.MakeCallerStub(aEntry);
      const auto reader = stub->ReadResults(&context, aRequest);
      caller::ItemResult result;
      while (reader->Read(&result)) {
        madeProgress = true;
        aRequest.set_from(result.position() + 1);
        aShow(result);
      }
      return reader->Finish();
    });
    if (!ShouldTryNextEntry(status)) {
      break;
    }
  }
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  return {};
}

base::Result<ApplyOutcome>
Client::Apply(const operations::ApplyRequest& aRequest)
{
  operations::ApplyReply reply;
  const grpc::Status status = TryEntries([&](std::size_t aEntry) {
    grpc::ClientContext context;
    channels_.Prepare(context, options_.timeout_);
    return channels_.MakeOperatorStub(aEntry)->Apply(
      &context, aRequest, &reply);
  });
  operations::ApplyConflict conflict;
  // A conflict has details of its own in the place of an outcome.
  if (status.error_code() == grpc::StatusCode::ABORTED &&
      conflict.ParseFromString(status.error_details())) {
    return base::Fail(
      ResultCode::VersionConflict,
      fmt::format("500 VersionConflict: version {} is in force; since version "
                  "{} this changed:\n{}",
                  conflict.current_version(),
                  aRequest.expected_version(),
                  conflict.difference()));
  }
  if (!status.ok()) {
    return FailWith(OutcomeOf(status));
  }
  return ApplyOutcome{ reply.version(), reply.unchanged() };
}

base::Result<declarations::Configuration>
Client::GetConfiguration(std::uint64_t aVersion)
{
  operations::GetConfigurationRequest request;
  request.set_version(aVersion);
  return CallOperator<declarations::Configuration>(
    [&](auto& aStub, auto& aContext, auto& aReply) {
      return aStub.GetConfiguration(&aContext, request, &aReply);
    });
}

base::Result<operations::HistoryReply>
Client::GetHistory(std::uint32_t aLimit)
{
  operations::HistoryRequest request;
  request.set_limit(aLimit);
  return CallOperator<operations::HistoryReply>(
    [&](auto& aStub, auto& aContext, auto& aReply) {
      return aStub.History(&aContext, request, &aReply);
    });
}

base::Result<operations::StatusReply>
Client::GetStatus()
{
  return CallOperator<operations::StatusReply>(
    [&](auto& aStub, auto& aContext, auto& aReply) {
      return aStub.Status(&aContext, {}, &aReply);
    });
}

base::Result<operations::QuarantineReply>
Client::GetQuarantine()
{
  return CallOperator<operations::QuarantineReply>(
    [&](auto& aStub, auto& aContext, auto& aReply) {
      return aStub.Quarantine(&aContext, {}, &aReply);
    });
}

base::Result<bool>
Client::LiftQuarantine(const std::string& aFingerprint)
{
  operations::LiftQuarantineRequest request;
  request.set_fingerprint(aFingerprint);
  BOOST_LEAF_AUTO(reply,
                  CallOperator<operations::LiftQuarantineReply>(
                    [&](auto& aStub, auto& aContext, auto& aReply) {
                      return aStub.LiftQuarantine(&aContext, request, &aReply);
                    }));
  return reply.found();
}

base::Result<std::uint64_t>
Client::SetDrained(const operations::DrainRequest& aRequest)
{
  BOOST_LEAF_AUTO(reply,
                  CallOperator<operations::DrainReply>(
                    [&](auto& aStub, auto& aContext, auto& aReply) {
                      return aStub.Drain(&aContext, aRequest, &aReply);
                    }));
  return reply.version();
}

} // namespace pumiceturn::client
