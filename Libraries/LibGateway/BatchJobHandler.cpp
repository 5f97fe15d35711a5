#include "LibGateway/BatchJobHandler.h"

#include "LibGateway/Events.h"
#include "LibGateway/StateChange.h"
#include "LibHttpStream/Status.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Retry delay sent to callers when the store is unavailable. Outages last
/// seconds, but callers wait no longer than a third of their remaining time.
constexpr std::chrono::milliseconds kRetryAfter{ 400 };

/// Time after a store outage, or after the start of a worker, within which
/// workers store the spooled jobs. Until then, a job that is missing in the
/// store may still exist. A pending store call may take 1 s to time out and is
/// repeated 0.3 s later.
constexpr std::chrono::milliseconds kSpoolRecoveryTime{ 3000 };

/// Time for which the return of an absent worker is awaited, as its disk may
/// hold spooled jobs. About as long as finished jobs are kept.
constexpr std::chrono::minutes kMaxWorkerAbsence{ 3 };

/// Maximum number of retries when cancelling a job conflicts with other
/// changes.
constexpr std::uint32_t kMaxEndRetries = 8;

/// Maximum size of the results in one response.
constexpr std::size_t kMaxResponseBytes = 900000;

/// Time allowed for a forwarded request beyond the caller's maximum wait.
/// Leaves time to read from the store before the caller times out, 1.5 s after
/// its maximum wait.
constexpr std::chrono::milliseconds kForwardMargin{ 400 };

/// @return the results of a response that begins at a position.
std::span<const batch::ItemResult>
PageAt(const batch::BatchJob& aJob, std::uint32_t aPosition)
{
  const std::size_t begin =
    std::min<std::size_t>(aPosition, aJob.results_.size());
  std::size_t end = begin;
  std::size_t bytes = 0;
  while (end < aJob.results_.size() &&
         (end == begin ||
          bytes + aJob.results_[end].output_.size() < kMaxResponseBytes)) {
    bytes += aJob.results_[end].output_.size();
    ++end;
  }
  return { aJob.results_.data() + begin, end - begin };
}

/// @return whether the response from a loaded job is that of every host that
///         has loaded it: items never change, nor do results that are listed.
bool
IsSameAtAllHosts(const batch::BatchJob& aJob, const BatchJobCall& aCall)
{
  const auto* read = std::get_if<ReadResultsCall>(&aCall);
  if (read == nullptr || aJob.results_.size() >= aJob.state_.itemCount_) {
    return true;
  }
  const std::size_t next =
    read->position_ + PageAt(aJob, read->position_).size();
  return next < aJob.results_.size();
}

/// HOST/INCARNATION of the process that should answer a forwarded call, which
/// repeats it. Another process may have the address of a job's owner.
const std::string kOwnerField = "Job-Owner";

/// @return whether the owner of a job sent an answer to pass on to the caller.
bool
IsAnswerOf(const std::string& aOwner, const httpstream::CallResult& aResult)
{
  return aResult.outcome_ == httpstream::CallOutcome::Complete &&
         (aResult.status_ == httpstream::kStatusOk ||
          aResult.status_ == httpstream::kStatusNotFound) &&
         httpstream::ValueOf(*aResult.head_, kOwnerField) == aOwner;
}

/// @return the ID of the job to read, or an empty string for any other call.
std::string
JobIdOfRead(const BatchJobCall& aCall)
{
  struct Visitor
  {
    std::string operator()(const ReadResultsCall& aRead) const
    {
      return aRead.job_;
    }
    std::string operator()(const ReadItemBodyCall& aRead) const
    {
      return aRead.job_;
    }
    std::string operator()(const EndBatchJobCall& /*aEnd*/) const { return {}; }
    std::string operator()(const MalformedCall& /*aCall*/) const { return {}; }
  };
  return std::visit(Visitor{}, aCall);
}

} // namespace

BatchJobHandler::BatchJobHandler(SharedState& aShared,
                                 metadata::StoreClient& aStore,
                                 batch::BatchJobTable& aJobs,
                                 BatchJobLoader& aLoader,
                                 const batch::HostSet& aHosts,
                                 const metadata::StoreHealth& aHealth,
                                 const metadata::HostLease& aLease,
                                 const StoreMirrors& aMirrors,
                                 std::string aOwnName,
                                 PeerClients& aClients)
  : shared_(aShared)
  , store_(aStore)
  , jobs_(aJobs)
  , loader_(aLoader)
  , hosts_(aHosts)
  , health_(aHealth)
  , lease_(aLease)
  , mirrors_(aMirrors)
  , ownName_(std::move(aOwnName))
  , clients_(aClients)
{
}

void
BatchJobHandler::Handle(const std::shared_ptr<httpstream::Exchange>& aExchange,
                        const BatchJobCall& aCall,
                        const OrganisationName& aCaller)
{
  if (const auto* malformed = std::get_if<MalformedCall>(&aCall)) {
    aExchange->Respond(httpstream::MakeResponse(
      httpstream::kStatusBadRequest, malformed->reason_, "text/plain"));
  } else if (const auto* end = std::get_if<EndBatchJobCall>(&aCall)) {
    WithState(aExchange,
              end->job_,
              aCaller,
              [this, aExchange](const batch::BatchJob& aJob) {
                End(aExchange, aJob, kMaxEndRetries);
              });
  } else {
    Read(aExchange, JobIdOfRead(aCall), aCall, aCaller);
  }
}

void
BatchJobHandler::HandleForwarded(
  const std::shared_ptr<httpstream::Exchange>& aExchange,
  const BatchJobCall& aCall)
{
  const std::string_view owner =
    httpstream::ValueOf(aExchange->GetRequest(), kOwnerField);
  if (!owner.empty() && owner != ownName_) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusMisdirected, {}));
    return;
  }
  const batch::BatchJob* job = jobs_.Find(JobIdOfRead(aCall));
  if (job == nullptr || !job->isLoaded_) {
    RespondRetryLater(*aExchange);
    return;
  }
  RespondAsOwner(aExchange, *job, aCall);
}

void
BatchJobHandler::RespondRetryLater(httpstream::Exchange& aExchange) const
{
  aExchange.Respond(shared_.codec_.MakeUnavailable(kRetryAfter));
}

void
BatchJobHandler::RespondNotFound(httpstream::Exchange& aExchange,
                                 const OrganisationName& aCaller) const
{
  // If organisations are declared, an empty name is a caller without a key,
  // which must not learn which jobs exist.
  const bool hasNoKey = aCaller && aCaller->empty();
  aExchange.Respond(
    hasNoKey ? shared_.codec_.MakeUnauthorised()
             : httpstream::MakeResponse(httpstream::kStatusNotFound, {}));
}

bool
BatchJobHandler::CheckAccess(const ExchangePtr& aExchange,
                             const batch::BatchJob& aJob,
                             const OrganisationName& aCaller) const
{
  const std::string& organisation = aJob.state_.organisation_;
  if (!aCaller || organisation.empty() || organisation == *aCaller) {
    return true;
  }
  RespondNotFound(*aExchange, aCaller);
  return false;
}

void
BatchJobHandler::WithState(const ExchangePtr& aExchange,
                           const std::string& aJob,
                           const OrganisationName& aCaller,
                           std::function<void(const batch::BatchJob&)> aUse)
{
  if (const batch::BatchJob* job = jobs_.Find(aJob)) {
    if (CheckAccess(aExchange, *job, aCaller)) {
      aUse(*job);
    }
    return;
  }
  // The job may have just been accepted by another host.
  loader_.ReadState(aJob,
                    [this, aJob, aExchange, aCaller, use = std::move(aUse)](
                      metadata::StoreStatus aStatus) {
                      if (const batch::BatchJob* job = jobs_.Find(aJob)) {
                        onStateChanged_(aJob);
                        if (CheckAccess(aExchange, *job, aCaller)) {
                          use(*job);
                        }
                      } else if (aStatus == metadata::StoreStatus::Ok &&
                                 IsNoJobSpooled()) {
                        RespondNotFound(*aExchange, aCaller);
                      } else {
                        RespondRetryLater(*aExchange);
                      }
                    });
}

bool
BatchJobHandler::IsNoJobSpooled() const
{
  const base::Instant now = base::MonotonicNow();
  return !health_.WasLostWithin(kSpoolRecoveryTime, now) &&
         hosts_.AreWorkersPresent(kMaxWorkerAbsence, kSpoolRecoveryTime, now);
}

void
BatchJobHandler::Read(const ExchangePtr& aExchange,
                      const std::string& aJob,
                      const BatchJobCall& aCall,
                      const OrganisationName& aCaller)
{
  WithState(aExchange,
            aJob,
            aCaller,
            [this, aExchange, aJob, aCall](const batch::BatchJob& aFound) {
              const std::string& owner = aFound.state_.owner_;
              if (aFound.isLoaded_) {
                RespondAsOwner(aExchange, aFound, aCall);
                return;
              }
              const auto address = hosts_.AddressOf(owner);
              if (address && owner != ownName_) {
                Forward(aExchange, aFound, *address, aCall);
              } else {
                ReadFromStore(aExchange, aJob, aCall);
              }
            });
}

void
BatchJobHandler::Forward(const ExchangePtr& aExchange,
                         const batch::BatchJob& aJob,
                         const std::string& aAddress,
                         const BatchJobCall& aCall)
{
  httpstream::HttpClient* client = clients_.FindOrCreate(aAddress);
  if (client == nullptr) {
    ReadFromStore(aExchange, aJob.id_, aCall);
    return;
  }
  const httpstream::Request& original = aExchange->GetRequest();
  httpstream::Request request;
  request.method(original.method());
  request.target(original.target());
  request.version(11);
  shared_.codec_.CopyForPeer(original, request);
  const std::string& owner = aJob.state_.owner_;
  request.set(kOwnerField, owner);
  const auto* read = std::get_if<ReadResultsCall>(&aCall);
  const base::Duration wait =
    read != nullptr ? read->maxWait_ : base ::Duration ::zero();
  client->Send(request,
               wait + kForwardMargin,
               [this, aExchange, job = aJob.id_, owner, aCall](
                 httpstream::CallResult aResult) {
                 if (IsAnswerOf(owner, aResult)) {
                   aExchange->Respond(httpstream::MakeResponse(
                     aResult.status_, std::move(aResult.body_)));
                 } else {
                   ReadFromStore(aExchange, job, aCall);
                 }
               });
}

void
BatchJobHandler::ReadFromStore(const ExchangePtr& aExchange,
                               const std::string& aJob,
                               const BatchJobCall& aCall)
{
  loader_.ReadData(
    aJob, [this, aExchange, aJob, aCall](metadata::StoreStatus aStatus) {
      const batch::BatchJob* job = jobs_.Find(aJob);
      if (aStatus != metadata::StoreStatus::Ok || job == nullptr ||
          !job->isLoaded_) {
        RespondRetryLater(*aExchange);
        return;
      }
      RespondFromMemory(aExchange, *job, aCall, false);
      // Other hosts update their jobs, so this copy would become stale.
      if (job->state_.owner_ != ownName_) {
        jobs_.Unload(aJob);
      }
    });
}

bool
BatchJobHandler::IsOwnershipCertain() const
{
  // Jobs are taken over some time after the end of their owner's registration.
  const base::BootInstant now = base::BootNow();
  if (now >= lease_.RegisteredUntil() + batch::HostSet::kTakeoverDelay) {
    return false;
  }
  // While this host wasn't registered, others may have taken its jobs over.
  const base::BootInstant since = lease_.RegisteredSince();
  const auto age = mirrors_.AgeOf(StorePrefix::BatchJobs);
  return since == base::BootInstant::min() || (age && now - *age >= since);
}

void
BatchJobHandler::RespondAsOwner(const ExchangePtr& aExchange,
                                const batch::BatchJob& aJob,
                                const BatchJobCall& aCall)
{
  const bool isOwner = aJob.state_.owner_ == ownName_;
  if (IsSameAtAllHosts(aJob, aCall) || (isOwner && IsOwnershipCertain())) {
    RespondFromMemory(aExchange, aJob, aCall, true);
  } else if (health_.IsLost()) {
    base::Log(kOwnershipUncertain,
              { { "lot", aJob.id_ },
                { "results", aJob.results_.size() },
                { "registration_left_ms",
                  base::ToMs(lease_.RegisteredUntil() - base::BootNow()) } });
    RespondRetryLater(*aExchange);
  } else {
    ConfirmOwner(aExchange, aJob.id_, aCall);
  }
}

void
BatchJobHandler::ConfirmOwner(const ExchangePtr& aExchange,
                              const std::string& aJob,
                              const BatchJobCall& aCall)
{
  loader_.ReadState(
    aJob, [this, aExchange, aJob, aCall](metadata::StoreStatus aStatus) {
      if (aStatus != metadata::StoreStatus::Ok) {
        RespondRetryLater(*aExchange);
        return;
      }
      onStateChanged_(aJob);
      const batch::BatchJob* job = jobs_.Find(aJob);
      if (job != nullptr && job->isLoaded_ && job->state_.owner_ == ownName_) {
        RespondFromMemory(aExchange, *job, aCall, true);
      } else {
        ReadFromStore(aExchange, aJob, aCall);
      }
    });
}

void
BatchJobHandler::RespondFromMemory(const ExchangePtr& aExchange,
                                   const batch::BatchJob& aJob,
                                   const BatchJobCall& aCall,
                                   bool aMayWait)
{
  if (const auto* read = std::get_if<ReadResultsCall>(&aCall)) {
    RespondResults(aExchange, aJob, *read, aMayWait);
  } else {
    RespondItemBody(aExchange, aJob, std::get<ReadItemBodyCall>(aCall));
  }
}

void
BatchJobHandler::RespondResults(const ExchangePtr& aExchange,
                                const batch::BatchJob& aJob,
                                const ReadResultsCall& aCall,
                                bool aMayWait)
{
  const base::Instant deadline = aExchange->ReceivedAt() + aCall.maxWait_;
  const bool hasResult = aCall.position_ < aJob.results_.size();
  if (hasResult || !aMayWait || !aJob.IsOpen() ||
      base::MonotonicNow() >= deadline) {
    SendResults(*aExchange, aJob, aCall.position_);
    return;
  }
  waitingReads_[aJob.id_].push_back({ aExchange, aCall.position_, deadline });
}

void
BatchJobHandler::RespondItemBody(const ExchangePtr& aExchange,
                                 const batch::BatchJob& aJob,
                                 const ReadItemBodyCall& aCall) const
{
  const auto item = std::find_if(
    aJob.items_->begin(), aJob.items_->end(), [&aCall](const auto& aItem) {
      return aItem.id_ == aCall.item_;
    });
  if (item == aJob.items_->end()) {
    RespondNamed(*aExchange,
                 httpstream::MakeResponse(httpstream::kStatusNotFound, {}));
    return;
  }
  RespondNamed(*aExchange,
               httpstream::MakeResponse(httpstream::kStatusOk,
                                        item->body_,
                                        "application/octet-stream"));
}

void
BatchJobHandler::RespondNamed(httpstream::Exchange& aExchange,
                              httpstream::Response aResponse) const
{
  const httpstream::Request& request = aExchange.GetRequest();
  if (httpstream::ValueOf(request, kOwnerField) == ownName_) {
    aResponse.set(kOwnerField, ownName_);
  }
  aExchange.Respond(std::move(aResponse));
}

void
BatchJobHandler::SendResults(httpstream::Exchange& aExchange,
                             const batch::BatchJob& aJob,
                             std::uint32_t aPosition) const
{
  const std::span<const batch::ItemResult> page = PageAt(aJob, aPosition);
  RespondNamed(
    aExchange,
    httpstream::MakeResponse(
      httpstream::kStatusOk,
      shared_.codec_.WriteResults(aJob.state_.itemCount_, aPosition, page)));
}

void
BatchJobHandler::End(const std::shared_ptr<httpstream::Exchange>& aExchange,
                     const batch::BatchJob& aJob,
                     std::uint32_t aRetriesLeft)
{
  if (aJob.state_.isCancelled_) {
    aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  batch::BatchJobState state = aJob.state_;
  state.isCancelled_ = true;
  const std::string key = jobs_.Keys().StateKey(aJob.id_);
  store_.Commit(
    MakeStateChange(jobs_.Keys(), aJob, state),
    [this, aExchange, id = aJob.id_, key, state, aRetriesLeft](
      const metadata::TransactionResponse& aResponse) {
      using metadata::StoreStatus;
      if (aResponse.status_ == StoreStatus::Ok) {
        jobs_.Apply(key, batch::EncodeState(state), aResponse.revision_);
        onStateChanged_(id);
        aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk, {}));
        return;
      }
      for (const metadata::StoreItem& item : aResponse.current_) {
        if (item.key_ == key && item.revision_ != 0) {
          jobs_.Apply(key, item.value_, item.revision_);
        }
      }
      const batch::BatchJob* job = jobs_.Find(id);
      const bool mayRetry = aResponse.status_ == StoreStatus::Conflict ||
                            aResponse.status_ == StoreStatus::Unknown;
      if (job != nullptr && mayRetry && aRetriesLeft > 0) {
        End(aExchange, *job, aRetriesLeft - 1);
        return;
      }
      aExchange->Respond(shared_.codec_.MakeUnavailable(kRetryAfter));
    });
}

void
BatchJobHandler::OnJobChanged(const std::string& aJob)
{
  const auto found = waitingReads_.find(aJob);
  const batch::BatchJob* job = jobs_.Find(aJob);
  if (found == waitingReads_.end() || job == nullptr) {
    return;
  }
  if (!job->isLoaded_) {
    // Another host has taken the job over, so this copy has no results.
    const auto reads = waitingReads_.extract(found);
    for (const WaitingRead& read : reads.mapped()) {
      AnswerFromStore(aJob, read);
    }
    return;
  }
  std::vector<WaitingRead> waiting;
  for (WaitingRead& waitingRead : found->second) {
    if (waitingRead.position_ < job->results_.size() || !job->IsOpen()) {
      AnswerAsOwner(*job, waitingRead);
    } else {
      waiting.push_back(std::move(waitingRead));
    }
  }
  if (waiting.empty()) {
    waitingReads_.erase(found);
  } else {
    found->second = std::move(waiting);
  }
}

void
BatchJobHandler::AnswerFromStore(const std::string& aJob,
                                 const WaitingRead& aWaitingRead)
{
  ReadFromStore(
    aWaitingRead.exchange_,
    aJob,
    ReadResultsCall{ aJob, aWaitingRead.position_, base::Duration::zero() });
}

void
BatchJobHandler::AnswerAsOwner(const batch::BatchJob& aJob,
                               const WaitingRead& aWaitingRead)
{
  RespondAsOwner(aWaitingRead.exchange_,
                 aJob,
                 ReadResultsCall{
                   aJob.id_, aWaitingRead.position_, base::Duration::zero() });
}

void
BatchJobHandler::Tick(base::Instant aNow)
{
  for (auto entry = waitingReads_.begin(); entry != waitingReads_.end();) {
    const batch::BatchJob* job = jobs_.Find(entry->first);
    std::erase_if(entry->second, [&](const WaitingRead& aWaitingRead) {
      const bool isDone = aWaitingRead.deadline_ <= aNow || job == nullptr;
      if (isDone && job != nullptr && !job->isLoaded_) {
        AnswerFromStore(entry->first, aWaitingRead);
      } else if (isDone && job != nullptr) {
        AnswerAsOwner(*job, aWaitingRead);
      } else if (isDone) {
        aWaitingRead.exchange_->Respond(
          shared_.codec_.MakeUnavailable(kRetryAfter));
      }
      return isDone;
    });
    entry =
      entry->second.empty() ? waitingReads_.erase(entry) : std::next(entry);
  }
}

} // namespace pumiceturn::gateway
