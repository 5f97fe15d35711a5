#include "LibGateway/BatchSubmissionHandler.h"

#include "LibGateway/BatchJobCreation.h"
#include "LibGateway/Events.h"
#include "LibGateway/LedgerChange.h"
#include "LibHttpStream/Status.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <utility>
#include <variant>

namespace pumiceturn::gateway {

namespace {

/// Time within which storing a job is retried. After that the submitter sends
/// the job again.
constexpr std::chrono::milliseconds kSubmitTimeout{ 2500 };

/// Time without a response from the store after which a job is spooled on
/// workers. Leaves 250 ms for the workers' usual responses within the half
/// second in which callers expect a response.
constexpr std::chrono::milliseconds kSpoolDelay{ 250 };

/// Retry delay sent to callers whose job was neither stored nor spooled.
constexpr std::chrono::milliseconds kRetryAfter{ 300 };

/// A revision that no ledger can have, because other keys are always written to
/// the store before the first ledger.
constexpr std::uint64_t kImpossibleRevision = 1;

/// @return the job's state if the response to a conflicting transaction
///   contains one.
std::optional<batch::BatchJobState>
FindState(const metadata::TransactionResponse& aResponse,
          const std::string& aKey)
{
  for (const metadata::StoreItem& item : aResponse.current_) {
    if (item.key_ == aKey && item.revision_ != 0 && !item.isRemoved_) {
      return batch::DecodeState(item.value_).value_or(batch::BatchJobState{});
    }
  }
  return std::nullopt;
}

} // namespace

/// A job that is being stored or spooled.
struct BatchSubmissionHandler::Submission
{
  enum class SpoolState : std::uint8_t
  {
    NotTried,
    InProgress,
    Failed,
  };

  explicit Submission(const boost::asio::any_io_executor& aExecutor)
    : spoolTimer_(aExecutor)
  {
  }

  std::shared_ptr<httpstream::Exchange> exchange_;
  batch::SpooledJob job_;
  metadata::Transaction creation_;
  std::string ledger_;
  std::uint64_t cap_ = 0; ///< Token cap of the ledger; 0: none.
  std::uint64_t tokens_ = 0;
  boost::asio::steady_timer spoolTimer_;
  base::Instant giveUpAt_;
  bool isCommitting_ = false;
  SpoolState spoolState_ = SpoolState::NotTried;
  /// Whether the job may be stored or spooled although no response confirmed
  /// it.
  bool mayBeStored_ = false;
  bool isOverCap_ = false; ///< According to the ledger in the store.
  bool hasResponded_ = false;
};

BatchSubmissionHandler::BatchSubmissionHandler(
  SharedState& aShared,
  metadata::StoreClient& aStore,
  const batch::BatchJobTable& aJobs,
  const batch::HostSet& aHosts,
  std::string aOwnName,
  boost::asio::any_io_executor aExecutor,
  PeerClients& aClients,
  std::size_t aCopies)
  : shared_(aShared)
  , store_(aStore)
  , jobs_(aJobs)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , executor_(std::move(aExecutor))
  , spoolClient_(aClients, aCopies)
{
}

batch::SpooledJob
BatchSubmissionHandler::MakeJob(const httpstream::Request& aRequest,
                                const std::string& aJob,
                                std::size_t aItemCount) const
{
  batch::SpooledJob job;
  job.id_ = aJob;
  job.content_ = aRequest.body();
  job.state_.owner_ = hosts_.AssignedOwner(aJob);
  if (job.state_.owner_.empty()) {
    job.state_.owner_ = ownName_;
  }
  job.state_.acceptedAtMs_ = base::ToUnixMs(base::WallNow());
  job.state_.itemCount_ = static_cast<std::uint32_t>(aItemCount);
  job.state_.hostName_ = httpstream::HostNameOf(aRequest);
  job.state_.path_ = std::string(aRequest.target());
  return job;
}

void
BatchSubmissionHandler::Submit(std::shared_ptr<httpstream::Exchange> aExchange,
                               const std::string& aJob,
                               const fleet::Route& aRoute,
                               const OrganisationName& aCaller)
{
  const httpstream::Request& request = aExchange->GetRequest();
  const auto content = shared_.codec_.ReadBatchJobContent(request.body());
  if (const auto* malformed = std::get_if<MalformedCall>(&content)) {
    aExchange->Respond(httpstream::MakeResponse(
      httpstream::kStatusBadRequest, malformed->reason_, "text/plain"));
    return;
  }
  const auto& items = std::get<std::vector<batch::BatchItem>>(content);
  auto submission = std::make_shared<Submission>(executor_);
  submission->job_ = MakeJob(request, aJob, items.size());
  submission->job_.state_.organisation_ = aCaller.value_or(std::string());
  submission->creation_ =
    MakeCreationTransaction(jobs_.Keys(), submission->job_);
  submission->ledger_ =
    batch::LedgerName(aRoute.name_, submission->job_.state_.organisation_);
  submission->cap_ = aRoute.waitingTokenCap_;
  submission->tokens_ = batch::TokensOf(items);
  submission->giveUpAt_ = aExchange->ReceivedAt() + kSubmitTimeout;
  submission->exchange_ = std::move(aExchange);
  if (const batch::BatchJob* existing = jobs_.Find(aJob)) {
    RespondToExisting(*submission, existing->state_);
    return;
  }
  Commit(submission);
  ScheduleSpooling(submission);
}

void
BatchSubmissionHandler::Commit(const SubmissionPtr& aSubmission)
{
  aSubmission->isCommitting_ = true;
  store_.Commit(
    MakeTransaction(*aSubmission),
    [this, aSubmission](const metadata::TransactionResponse& aResponse) {
      OnCommitResponse(aSubmission, aResponse);
    });
}

bool
BatchSubmissionHandler::Fits(const Submission& aSubmission) const
{
  return aSubmission.cap_ == 0 ||
         shared_.ledgers_.Get(aSubmission.ledger_)
           .ledger_.Fits(aSubmission.tokens_, aSubmission.cap_);
}

metadata::Transaction
BatchSubmissionHandler::MakeTransaction(const Submission& aSubmission) const
{
  metadata::Transaction transaction = aSubmission.creation_;
  if (aSubmission.cap_ == 0) {
    return transaction;
  }
  if (Fits(aSubmission)) {
    AddLedgerRow(transaction,
                 shared_,
                 jobs_.Keys(),
                 aSubmission.ledger_,
                 aSubmission.job_.id_,
                 aSubmission.tokens_);
    return transaction;
  }
  // The job doesn't fit according to the cached ledger, which may be stale, or
  // the job may already exist. An expectation that always fails makes the store
  // return the current ledger and the job's state in one call.
  const std::string key = jobs_.Keys().LedgerKey(aSubmission.ledger_);
  transaction.expectations_.push_back({ key, kImpossibleRevision });
  transaction.writes_.clear();
  transaction.writes_.push_back({ key, {}, 0 });
  return transaction;
}

void
BatchSubmissionHandler::OnCommitResponse(
  const SubmissionPtr& aSubmission,
  const metadata::TransactionResponse& aResponse)
{
  using metadata::StoreStatus;
  Submission& submission = *aSubmission;
  const StoreStatus status = aResponse.status_;
  submission.isCommitting_ = false;
  if (status == StoreStatus::Ok) {
    if (submission.cap_ > 0) {
      batch::TokenLedger ledger =
        shared_.ledgers_.Get(submission.ledger_).ledger_;
      ledger.Set(submission.job_.id_, submission.tokens_);
      shared_.ledgers_.Update(submission.ledger_,
                              batch::EncodeLedger(ledger),
                              aResponse.revision_,
                              base::MonotonicNow());
    }
    Accept(submission, "store");
    return;
  }
  if (status == StoreStatus::Conflict) {
    OnConflict(aSubmission, aResponse);
    return;
  }
  submission.mayBeStored_ |= status == StoreStatus::Unknown;
  if (submission.hasResponded_) {
    return;
  }
  const bool hasTime = base::MonotonicNow() < submission.giveUpAt_;
  if (status == StoreStatus::Unknown && hasTime) {
    Commit(aSubmission);
  }
  Spool(aSubmission);
  RespondIfFailed(submission);
}

void
BatchSubmissionHandler::OnConflict(
  const SubmissionPtr& aSubmission,
  const metadata::TransactionResponse& aResponse)
{
  Submission& submission = *aSubmission;
  // The job already exists, through an earlier attempt or another host.
  const auto existing =
    FindState(aResponse, jobs_.Keys().StateKey(submission.job_.id_));
  if (existing) {
    RespondToExisting(submission, *existing);
    return;
  }
  if (submission.cap_ == 0) {
    Accept(submission, "store before");
    return;
  }
  UpdateCachedLedger(shared_, jobs_.Keys(), submission.ledger_, aResponse);
  if (submission.hasResponded_) {
    return;
  }
  if (!Fits(submission)) {
    submission.isOverCap_ = true;
    RejectOverCap(submission);
  } else if (base::MonotonicNow() < submission.giveUpAt_) {
    Commit(aSubmission);
  } else {
    Spool(aSubmission);
    RespondIfFailed(submission);
  }
}

void
BatchSubmissionHandler::RejectOverCap(Submission& aSubmission)
{
  // Wait for the outcome of spooling: a job that workers have spooled is
  // accepted.
  if (aSubmission.hasResponded_ ||
      aSubmission.spoolState_ == Submission::SpoolState::InProgress) {
    return;
  }
  aSubmission.hasResponded_ = true;
  aSubmission.spoolTimer_.cancel();
  const base::Duration retryAfter =
    shared_.ledgers_.EstimateRetryDelay(aSubmission.ledger_,
                                        aSubmission.tokens_,
                                        aSubmission.cap_,
                                        base::MonotonicNow(),
                                        NextRandom(shared_.random_));
  const batch::LedgerView& view = shared_.ledgers_.Get(aSubmission.ledger_);
  base::Log(kBatchJobOverCap,
            { { "lot", aSubmission.job_.id_ },
              { "ledger", aSubmission.ledger_ },
              { "tokens", aSubmission.tokens_ },
              { "waiting", view.ledger_.Total() },
              { "cap", aSubmission.cap_ },
              { "revision", view.revision_ },
              { "may_be_stored", aSubmission.mayBeStored_ },
              { "come_back_ms", base::ToMs(retryAfter) } });
  // Only respond with a rejection if the job cannot have been stored by an
  // earlier attempt without a response.
  aSubmission.exchange_->Respond(
    aSubmission.mayBeStored_
      ? httpstream::MakeResponse(httpstream::kStatusGatewayTimeout, {})
      : shared_.codec_.MakeRateLimited(retryAfter));
}

void
BatchSubmissionHandler::ScheduleSpooling(const SubmissionPtr& aSubmission)
{
  aSubmission->spoolTimer_.expires_after(kSpoolDelay);
  aSubmission->spoolTimer_.async_wait(
    [this, aSubmission](const boost::system::error_code& aError) {
      if (!aError) {
        Spool(aSubmission);
      }
    });
}

void
BatchSubmissionHandler::Spool(const SubmissionPtr& aSubmission)
{
  if (aSubmission->hasResponded_ ||
      aSubmission->spoolState_ != Submission::SpoolState::NotTried) {
    return;
  }
  aSubmission->spoolState_ = Submission::SpoolState::InProgress;
  spoolClient_.Spool(aSubmission->job_,
                     hosts_.PeersExcept(ownName_),
                     [this, aSubmission](SpoolOutcome aOutcome) {
                       OnSpoolResponse(aSubmission, aOutcome);
                     });
}

void
BatchSubmissionHandler::OnSpoolResponse(const SubmissionPtr& aSubmission,
                                        SpoolOutcome aOutcome)
{
  if (aOutcome.isSpooled_) {
    Accept(*aSubmission, "disks");
    return;
  }
  aSubmission->spoolState_ = Submission::SpoolState::Failed;
  aSubmission->mayBeStored_ |= aOutcome.mayBeSpooled_;
  if (aSubmission->isOverCap_) {
    RejectOverCap(*aSubmission);
  } else {
    RespondIfFailed(*aSubmission);
  }
}

void
BatchSubmissionHandler::Accept(Submission& aSubmission, std::string_view aWhere)
{
  if (std::exchange(aSubmission.hasResponded_, true)) {
    return;
  }
  aSubmission.spoolTimer_.cancel();
  httpstream::Exchange& exchange = *aSubmission.exchange_;
  base::Log(
    kBatchJobAccepted,
    { { "lot", aSubmission.job_.id_ },
      { "items", aSubmission.job_.state_.itemCount_ },
      { "where", aWhere },
      { "ms", base::ToMs(base::MonotonicNow() - exchange.ReceivedAt()) } });
  exchange.Respond(httpstream::MakeResponse(httpstream::kStatusAccepted, {}));
}

void
BatchSubmissionHandler::RespondToExisting(Submission& aSubmission,
                                          const batch::BatchJobState& aExisting)
{
  const std::string& organisation = aSubmission.job_.state_.organisation_;
  if (aExisting.organisation_ == organisation) {
    Accept(aSubmission, "store before");
    return;
  }
  if (std::exchange(aSubmission.hasResponded_, true)) {
    return;
  }
  aSubmission.spoolTimer_.cancel();
  base::Log(kBatchJobNotAccepted,
            { { "lot", aSubmission.job_.id_ },
              { "organisation", organisation },
              { "reason", "job ID is used by another organisation" } });
  aSubmission.exchange_->Respond(
    httpstream::MakeResponse(httpstream::kStatusConflict, {}));
}

void
BatchSubmissionHandler::RespondIfFailed(Submission& aSubmission)
{
  if (aSubmission.hasResponded_ || aSubmission.isCommitting_ ||
      aSubmission.spoolState_ != Submission::SpoolState::Failed) {
    return;
  }
  aSubmission.hasResponded_ = true;
  aSubmission.spoolTimer_.cancel();
  base::Log(kBatchJobNotAccepted,
            { { "lot", aSubmission.job_.id_ },
              { "may_be_stored", aSubmission.mayBeStored_ } });
  // MakeUnavailable() tells the caller that the job will not run. This must be
  // true: a transaction without a response may still take effect, or a worker
  // may have spooled the job.
  aSubmission.exchange_->Respond(
    aSubmission.mayBeStored_
      ? httpstream::MakeResponse(httpstream::kStatusGatewayTimeout, {})
      : shared_.codec_.MakeUnavailable(kRetryAfter));
}

} // namespace pumiceturn::gateway
