#include "LibEntry/CallerService.h"

#include "LibEntry/LotReceiver.h"
#include "LibEntry/MessageStream.h"
#include "LibEntry/Replies.h"
#include "LibEntry/RequestChecks.h"
#include "LibEntry/ResultsReader.h"
#include "LibEntry/ServiceCall.h"

#include <random>
#include <type_traits>
#include <utility>
#include <variant>

namespace pumiceturn::entry {

using base::Failure;
using base::Ran;
using base::ResultCode;

namespace {

/// When to come back after a refusal by a host that leaves or is full: the
/// balancer sends the caller to another one.
constexpr std::uint32_t kRetryElsewhereMs = 100;

std::string_view
AuthorizationOf(const grpc::CallbackServerContext& aContext)
{
  const auto& metadata = aContext.client_metadata();
  const auto found = metadata.find("authorization");
  if (found == metadata.end()) {
    return {};
  }
  return { found->second.data(), found->second.size() };
}

Arrival
MakeArrival(const grpc::CallbackServerContext& aContext)
{
  thread_local std::mt19937_64 random{ std::random_device{}() };
  Arrival arrival;
  arrival.now_ = base::MonotonicNow();
  arrival.wallNow_ = base::WallNow();
  arrival.random_ = random();
  arrival.secondRandom_ = random();
  const auto deadline = aContext.deadline();
  if (deadline != std::chrono::system_clock::time_point::max()) {
    arrival.allowed_ = std::chrono::duration_cast<base::Duration>(
      deadline - std::chrono::system_clock::now());
  }
  return arrival;
}

base::Result<void>
CheckTakesWork(const EntryCore& aCore)
{
  if (aCore.draining_) {
    return base::Fail(ResultCode::Draining, "this entry is leaving");
  }
  if (aCore.openCalls_ > EntryCore::kMaxOpenCalls) {
    return base::Fail(ResultCode::Overloaded, "too many calls are open here");
  }
  return {};
}

grpc::Status
MakeEntryRefusal(const Failure& aFailure)
{
  const bool isPassing = aFailure.code_ == ResultCode::Draining ||
                         aFailure.code_ == ResultCode::Overloaded;
  return MakeRefusal(aFailure, isPassing ? kRetryElsewhereMs : 0);
}

/// A partner and the job that it asks about.
struct JobQuestion
{
  std::string partner_;
  wire::JobId job_;
};

base::Result<JobQuestion>
CheckJobQuestion(const EntryCore& aCore,
                 const grpc::CallbackServerContext& aContext,
                 const std::string& aKey)
{
  const auto configuration = aCore.context_.configuration_.Current();
  BOOST_LEAF_AUTO(partner,
                  Authenticate(*configuration, AuthorizationOf(aContext)));
  BOOST_LEAF_AUTO(key, CheckKey(aKey));
  return JobQuestion{ partner->name(), base::MakeJobId(partner->name(), key) };
}

/// The status of a question that could not be answered; nothing is said about
/// whether the job's items ran.
grpc::Status
MakeUnanswered(ResultCode aCode, const std::string& aDetail)
{
  return MakeStatus(MakeOutcome(aCode, Ran::Unspecified, 0, aDetail));
}

/// Asks an owner and ends a unary RPC with what it says.
template<typename Answer, typename Question, typename Fill>
void
AskForUnary(EntryCore& aCore,
            grpc::ServerUnaryReactor* aReactor,
            const JobQuestion& aJob,
            Question aQuestion,
            Fill aFill)
{
  aQuestion.job_ = aJob.job_;
  aQuestion.partner_ = aJob.partner_;
  aCore.owners_->Ask(
    aJob.job_,
    std::move(aQuestion),
    CallerService::kOwnerPatience,
    [aReactor, aFill](OwnerCalls::Reply aReply) {
      if (const auto* failure = std::get_if<Failure>(&aReply)) {
        aReactor->Finish(MakeUnanswered(failure->code_, failure->detail_));
        return;
      }
      const auto& answer = std::get<Answer>(std::get<wire::Message>(aReply));
      if (answer.code_ != ResultCode::Ok) {
        aReactor->Finish(MakeUnanswered(answer.code_, {}));
        return;
      }
      aReactor->Finish(aFill(answer));
    });
}

/// Checks a job question, then asks; or ends the RPC.
template<typename Answer, typename Question, typename Fill>
grpc::ServerUnaryReactor*
AnswerJobQuestion(EntryCore& aCore,
                  grpc::CallbackServerContext* aContext,
                  const std::string& aKey,
                  Question aQuestion,
                  Fill aFill)
{
  auto* reactor = aContext->DefaultReactor();
  auto checked =
    base::Capture([&] { return CheckJobQuestion(aCore, *aContext, aKey); });
  if (const auto* failure = std::get_if<Failure>(&checked)) {
    reactor->Finish(MakeUnanswered(failure->code_, failure->detail_));
    return reactor;
  }
  AskForUnary<Answer>(aCore,
                      reactor,
                      std::get<JobQuestion>(checked),
                      std::move(aQuestion),
                      std::move(aFill));
  return reactor;
}

/// Turns what a call emits into the caller's events.
class CallSink
{
public:
  CallSink(std::shared_ptr<MessageStream<caller::CallEvent>> aStream,
           std::string aKey,
           std::shared_ptr<OpenCall> aOpen)
    : stream_(std::move(aStream))
    , key_(std::move(aKey))
    , open_(std::move(aOpen))
  {
  }

  void operator()(OnlineAction aEmission)
  {
    std::visit(
      [this](auto& aEvent) {
        using Event = std::decay_t<decltype(aEvent)>;
        if constexpr (std::is_same_v<Event, EmitAccepted>) {
          stream_->Push(MakeEvent(aEvent, key_));
        } else if constexpr (std::is_same_v<Event, EmitChunk>) {
          stream_->Push(MakeEvent(std::move(aEvent)));
        } else if constexpr (std::is_same_v<Event, EmitFinished>) {
          stream_->Push(MakeEvent(std::move(aEvent)));
          stream_->Close(grpc::Status::OK);
        } else if constexpr (std::is_same_v<Event, EmitFailed>) {
          stream_->Close(MakeStatus(aEvent));
        }
      },
      aEmission);
  }

private:
  std::shared_ptr<MessageStream<caller::CallEvent>> stream_;
  std::string key_;
  std::shared_ptr<OpenCall> open_;
};

} // namespace

CallerService::CallerService(std::shared_ptr<EntryCore> aCore)
  : core_(std::move(aCore))
{
}

grpc::ServerWriteReactor<caller::CallEvent>*
CallerService::Call(grpc::CallbackServerContext* aContext,
                    const caller::CallRequest* aRequest)
{
  auto stream = MessageStream<caller::CallEvent>::Make();
  auto* reactor = stream.get();
  auto open = std::make_shared<OpenCall>(core_);
  auto described = base::Capture([&]() -> base::Result<OnlineDescription> {
    BOOST_LEAF_CHECK(CheckTakesWork(*core_));
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(partner,
                    Authenticate(*configuration, AuthorizationOf(*aContext)));
    return DescribeCall(
      *configuration, *partner, *aRequest, MakeArrival(*aContext));
  });
  if (const auto* failure = std::get_if<Failure>(&described)) {
    stream->Close(MakeEntryRefusal(*failure));
    return reactor;
  }
  auto& description = std::get<OnlineDescription>(described);
  const std::string key = description.record_.key_;
  const std::uint64_t call = core_->online_->Start(
    std::move(description), CallSink(stream, key, std::move(open)));
  // Called on a gRPC thread that may hold none of the table's locks, but might
  // be inside a write of another call: the table is entered from the pool.
  stream->SetHandlers({ [core = core_, call] {
                         core->context_.pool_.Post(
                           [core, call] { core->online_->Cancel(call); });
                       },
                        {} });
  return reactor;
}

grpc::ServerUnaryReactor*
CallerService::CallService(grpc::CallbackServerContext* aContext,
                           const caller::ServiceCallRequest* aRequest,
                           caller::ServiceCallReply* aReply)
{
  auto call = ServiceCall::Make(core_, aReply);
  auto* reactor = call.get();
  auto described = base::Capture([&]() -> base::Result<OnlineDescription> {
    BOOST_LEAF_CHECK(CheckTakesWork(*core_));
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(partner,
                    Authenticate(*configuration, AuthorizationOf(*aContext)));
    return DescribeServiceCall(
      *configuration, *partner, *aRequest, MakeArrival(*aContext));
  });
  if (const auto* failure = std::get_if<Failure>(&described)) {
    call->RefuseAtOnce(MakeEntryRefusal(*failure));
    return reactor;
  }
  call->Begin(std::get<OnlineDescription>(std::move(described)));
  return reactor;
}

grpc::ServerReadReactor<caller::SubmitJobRequest>*
CallerService::SubmitJob(grpc::CallbackServerContext* aContext,
                         caller::SubmitJobReply* aReply)
{
  auto partner = base::Capture([&]() -> base::Result<declarations::Partner> {
    BOOST_LEAF_CHECK(CheckTakesWork(*core_));
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(found,
                    Authenticate(*configuration, AuthorizationOf(*aContext)));
    return *found;
  });
  if (const auto* failure = std::get_if<Failure>(&partner)) {
    auto refused = LotReceiver::Make(core_, {}, aReply);
    auto* reactor = refused.get();
    refused->RefuseAtOnce(MakeEntryRefusal(*failure));
    return reactor;
  }
  auto receiver = LotReceiver::Make(
    core_, std::get<declarations::Partner>(std::move(partner)), aReply);
  auto* reactor = receiver.get();
  receiver->Begin();
  return reactor;
}

grpc::ServerUnaryReactor*
CallerService::GetJob(grpc::CallbackServerContext* aContext,
                      const caller::GetJobRequest* aRequest,
                      caller::JobStatus* aReply)
{
  return AnswerJobQuestion<wire::JobStatusReply>(
    *core_,
    aContext,
    aRequest->job_key(),
    wire::GetJob{},
    [aReply](const wire::JobStatusReply& aAnswer) {
      *aReply = MakeJobStatus(aAnswer);
      return grpc::Status::OK;
    });
}

grpc::ServerWriteReactor<caller::ItemResult>*
CallerService::ReadResults(grpc::CallbackServerContext* aContext,
                           const caller::ReadResultsRequest* aRequest)
{
  auto stream = ResultsReader::Stream::Make();
  auto* reactor = stream.get();
  auto checked = base::Capture(
    [&] { return CheckJobQuestion(*core_, *aContext, aRequest->job_key()); });
  if (const auto* failure = std::get_if<Failure>(&checked)) {
    stream->Close(MakeUnanswered(failure->code_, failure->detail_));
    return reactor;
  }
  auto reader = std::make_shared<ResultsReader>(
    core_, stream, std::get<JobQuestion>(checked).partner_, *aRequest);
  stream->SetHandlers({ {}, [reader] { reader->OnDrained(); } });
  reader->Fetch();
  return reactor;
}

grpc::ServerUnaryReactor*
CallerService::CancelJob(grpc::CallbackServerContext* aContext,
                         const caller::CancelJobRequest* aRequest,
                         caller::CancelJobReply* aReply)
{
  return AnswerJobQuestion<wire::JobStatusReply>(
    *core_,
    aContext,
    aRequest->job_key(),
    wire::CancelJob{},
    [aReply](const wire::JobStatusReply& aAnswer) {
      *aReply->mutable_status() = MakeJobStatus(aAnswer);
      return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor*
CallerService::GetResult(grpc::CallbackServerContext* aContext,
                         const caller::GetResultRequest* aRequest,
                         caller::ItemResult* aReply)
{
  wire::ReadResults question;
  question.limit_ = 1;
  return AnswerJobQuestion<wire::ResultsPage>(
    *core_,
    aContext,
    aRequest->request_key(),
    std::move(question),
    [aReply](const wire::ResultsPage& aPage) {
      if (aPage.items_.empty()) {
        return MakeUnanswered(
          aPage.ended_ ? ResultCode::NotFound : ResultCode::StillRunning, {});
      }
      *aReply = MakeItemResult(aPage.items_.front());
      return grpc::Status::OK;
    });
}

} // namespace pumiceturn::entry
