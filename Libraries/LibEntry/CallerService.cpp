#include "LibEntry/CallerService.h"

#include "LibEntry/JobReceiver.h"
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

/// Retry delay after this host refused a request because it is draining or
/// full; the load balancer then chooses another host.
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
    arrival.timeLeft_ = std::chrono::duration_cast<base::Duration>(
      deadline - std::chrono::system_clock::now());
  }
  return arrival;
}

base::Result<void>
CheckAcceptsWork(const EntryCore& aCore)
{
  if (aCore.draining_) {
    return base::Fail(ResultCode::Draining, "this entry is draining");
  }
  if (aCore.openCalls_ > EntryCore::kMaxOpenCalls) {
    return base::Fail(ResultCode::Overloaded,
                      "too many open calls on this entry");
  }
  return {};
}

grpc::Status
MakeEntryRefusal(const Failure& aFailure)
{
  const bool isTransient = aFailure.code_ == ResultCode::Draining ||
                           aFailure.code_ == ResultCode::Overloaded;
  return MakeRefusal(aFailure, isTransient ? kRetryElsewhereMs : 0);
}

/// A partner and the ID of the job or request that its RPC names.
struct JobTarget
{
  std::string partner_;
  wire::JobId job_;
};

base::Result<JobTarget>
CheckJobTarget(const EntryCore& aCore,
               const grpc::CallbackServerContext& aContext,
               const std::string& aKey)
{
  const auto configuration = aCore.context_.configuration_.Current();
  BOOST_LEAF_AUTO(partner,
                  Authenticate(*configuration, AuthorizationOf(aContext)));
  BOOST_LEAF_AUTO(key, CheckKey(aKey));
  return JobTarget{ partner->name(), base::MakeJobId(partner->name(), key) };
}

/// Builds the status of a failed query. It doesn't state whether the job's
/// items ran.
grpc::Status
MakeQueryFailure(ResultCode aCode, const std::string& aDetail)
{
  return MakeStatus(MakeOutcome(aCode, Ran::Unspecified, 0, aDetail));
}

/// Sends a request to the owner of the job's partition and finishes the unary
/// RPC with its reply.
template<typename OwnerReply, typename Request, typename Fill>
void
ForwardToOwner(EntryCore& aCore,
               grpc::ServerUnaryReactor* aReactor,
               const JobTarget& aJob,
               Request aRequest,
               Fill aFill)
{
  aRequest.job_ = aJob.job_;
  aRequest.partner_ = aJob.partner_;
  aCore.ownerCalls_->Call(
    aJob.job_,
    std::move(aRequest),
    CallerService::kOwnerTimeout,
    [aReactor, aFill](OwnerCalls::ReplyOrFailure aReply) {
      if (const auto* failure = std::get_if<Failure>(&aReply)) {
        aReactor->Finish(MakeQueryFailure(failure->code_, failure->detail_));
        return;
      }
      const auto& ownerReply =
        std::get<OwnerReply>(std::get<wire::Message>(aReply));
      if (ownerReply.code_ != ResultCode::Ok) {
        aReactor->Finish(MakeQueryFailure(ownerReply.code_, {}));
        return;
      }
      aReactor->Finish(aFill(ownerReply));
    });
}

/// Authenticates the partner and checks the key, then forwards the request to
/// the owner; finishes the RPC if a check fails.
template<typename OwnerReply, typename Request, typename Fill>
grpc::ServerUnaryReactor*
HandleJobTarget(EntryCore& aCore,
                grpc::CallbackServerContext* aContext,
                const std::string& aKey,
                Request aRequest,
                Fill aFill)
{
  auto* reactor = aContext->DefaultReactor();
  auto checked =
    base::Capture([&] { return CheckJobTarget(aCore, *aContext, aKey); });
  if (const auto* failure = std::get_if<Failure>(&checked)) {
    reactor->Finish(MakeQueryFailure(failure->code_, failure->detail_));
    return reactor;
  }
  ForwardToOwner<OwnerReply>(aCore,
                             reactor,
                             std::get<JobTarget>(checked),
                             std::move(aRequest),
                             std::move(aFill));
  return reactor;
}

/// Converts the Emit... actions of a call to the caller's events.
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
    BOOST_LEAF_CHECK(CheckAcceptsWork(*core_));
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
  const std::uint64_t call = core_->onlineCalls_->Start(
    std::move(description), CallSink(stream, key, std::move(open)));
  // gRPC may run OnCancel() inside a write that another call makes while
  // holding the lock of OnlineCalls, so Cancel() is called on a pool thread.
  stream->SetHandlers({ [core = core_, call] {
                         core->context_.pool_.Post(
                           [core, call] { core->onlineCalls_->Cancel(call); });
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
    BOOST_LEAF_CHECK(CheckAcceptsWork(*core_));
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(partner,
                    Authenticate(*configuration, AuthorizationOf(*aContext)));
    return DescribeServiceCall(
      *configuration, *partner, *aRequest, MakeArrival(*aContext));
  });
  if (const auto* failure = std::get_if<Failure>(&described)) {
    call->RefuseImmediately(MakeEntryRefusal(*failure));
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
    BOOST_LEAF_CHECK(CheckAcceptsWork(*core_));
    const auto configuration = core_->context_.configuration_.Current();
    BOOST_LEAF_AUTO(found,
                    Authenticate(*configuration, AuthorizationOf(*aContext)));
    return *found;
  });
  if (const auto* failure = std::get_if<Failure>(&partner)) {
    auto refused = JobReceiver::Make(core_, {}, aReply);
    auto* reactor = refused.get();
    refused->RefuseImmediately(MakeEntryRefusal(*failure));
    return reactor;
  }
  auto receiver = JobReceiver::Make(
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
  return HandleJobTarget<wire::JobStatusReply>(
    *core_,
    aContext,
    aRequest->job_key(),
    wire::GetJob{},
    [aReply](const wire::JobStatusReply& aOwnerReply) {
      *aReply = MakeJobStatus(aOwnerReply);
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
    [&] { return CheckJobTarget(*core_, *aContext, aRequest->job_key()); });
  if (const auto* failure = std::get_if<Failure>(&checked)) {
    stream->Close(MakeQueryFailure(failure->code_, failure->detail_));
    return reactor;
  }
  auto reader = std::make_shared<ResultsReader>(
    core_, stream, std::get<JobTarget>(checked).partner_, *aRequest);
  stream->SetHandlers({ {}, [reader] { reader->OnPageWritten(); } });
  reader->Fetch();
  return reactor;
}

grpc::ServerUnaryReactor*
CallerService::CancelJob(grpc::CallbackServerContext* aContext,
                         const caller::CancelJobRequest* aRequest,
                         caller::CancelJobReply* aReply)
{
  return HandleJobTarget<wire::JobStatusReply>(
    *core_,
    aContext,
    aRequest->job_key(),
    wire::CancelJob{},
    [aReply](const wire::JobStatusReply& aOwnerReply) {
      *aReply->mutable_status() = MakeJobStatus(aOwnerReply);
      return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor*
CallerService::GetResult(grpc::CallbackServerContext* aContext,
                         const caller::GetResultRequest* aRequest,
                         caller::ItemResult* aReply)
{
  wire::ReadResults request;
  request.limit_ = 1;
  return HandleJobTarget<wire::ResultsPage>(
    *core_,
    aContext,
    aRequest->request_key(),
    std::move(request),
    [aReply](const wire::ResultsPage& aPage) {
      if (aPage.items_.empty()) {
        return MakeQueryFailure(
          aPage.ended_ ? ResultCode::NotFound : ResultCode::StillRunning, {});
      }
      *aReply = MakeItemResult(aPage.items_.front());
      return grpc::Status::OK;
    });
}

} // namespace pumiceturn::entry
