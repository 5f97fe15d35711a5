#include "LibGateway/BatchJobSpool.h"

#include "LibGateway/BatchJobCreation.h"
#include "LibGateway/Events.h"
#include "LibGateway/LedgerChange.h"
#include "LibHttpStream/Status.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::gateway {

namespace {

/// Maximum total size of spooled jobs; several times the largest job that the
/// platform accepts.
constexpr std::size_t kMaxBytes = 33554432;

/// Head start of the job's assigned owner in storing it. Other hosts must know
/// the job within a second of its acceptance, so it is short.
constexpr std::chrono::milliseconds kOwnerHeadStart{ 300 };

/// How long a stored job still counts towards the cap: this host's cached
/// ledger may not contain its row yet.
constexpr std::chrono::seconds kLedgerLag{ 3 };

/// Delay before a failed transaction is retried.
constexpr std::chrono::milliseconds kRetryDelay{ 300 };

/// Delay before the jobs on disk are read again after an error.
constexpr std::chrono::seconds kReadRetryDelay{ 1 };

/// Time after which a transaction without a response is retried.
constexpr std::chrono::milliseconds kCallTimeout{ 1500 };

} // namespace

BatchJobSpool::BatchJobSpool(boost::asio::io_context& aContext,
                             SharedState& aShared,
                             metadata::StoreClient& aStore,
                             const metadata::StoreHealth& aHealth,
                             const batch::BatchJobTable& aJobs,
                             const batch::HostSet& aHosts,
                             std::string aOwnName,
                             const std::filesystem::path& aFolder,
                             base::Duration aRetention,
                             double aCapOverage,
                             std::size_t aCopies)
  : shared_(aShared)
  , store_(aStore)
  , health_(aHealth)
  , jobs_(aJobs)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , retention_(aRetention)
  , capOverage_(aCapOverage)
  , copies_(aCopies)
  , files_(aFolder)
  , disk_(aContext)
{
}

void
BatchJobSpool::Start()
{
  isReading_ = true;
  auto outcome = std::make_shared<batch::SpoolReadOutcome>();
  disk_.Post([this, outcome] { *outcome = files_.ReadAll(); },
             [this, outcome] { OnRead(*outcome); });
}

void
BatchJobSpool::OnRead(batch::SpoolReadOutcome& aOutcome)
{
  const base::Instant now = base::MonotonicNow();
  isReading_ = false;
  isRead_ = !aOutcome.error_;
  if (aOutcome.error_) {
    base::Log(kSpoolNotRead,
              { { "code", base::NameOf(aOutcome.error_->code_) },
                { "error", aOutcome.error_->detail_ } });
    nextReadAt_ = now + kReadRetryDelay;
  }
  for (batch::SpooledJob& job : aOutcome.jobs_) {
    const std::string id = job.id_;
    const std::uint64_t tokens = TokensOf(job);
    const bool isNew =
      spooled_
        .try_emplace(
          id, SpoolRecord{ std::move(job), tokens, now, now, true, true })
        .second;
    if (isNew) {
      base::Log(kBatchJobSpooled, { { "lot", id }, { "from", "disk" } });
    }
  }
}

const fleet::Route*
BatchJobSpool::CappedRouteOf(const batch::SpooledJob& aJob) const
{
  return shared_.routes_.FindCapped(aJob.state_.hostName_, aJob.state_.path_);
}

std::string
BatchJobSpool::LedgerNameOf(const batch::SpooledJob& aJob) const
{
  const fleet::Route* route = CappedRouteOf(aJob);
  return route == nullptr
           ? std::string()
           : batch::LedgerName(route->name_, aJob.state_.organisation_);
}

std::uint64_t
BatchJobSpool::TokensOf(const batch::SpooledJob& aJob) const
{
  const auto content = shared_.codec_.ReadBatchJobContent(aJob.content_);
  const auto* items = std::get_if<std::vector<batch::BatchItem>>(&content);
  return items == nullptr ? 0 : batch::TokensOf(*items);
}

bool
BatchJobSpool::FitsOverage(const batch::SpooledJob& aJob,
                           std::uint64_t aTokens) const
{
  const fleet::Route* route = CappedRouteOf(aJob);
  if (route == nullptr) {
    return true;
  }
  const std::string ledger = LedgerNameOf(aJob);
  std::uint64_t spooledTokens = aTokens;
  for (const auto& [id, entry] : spooled_) {
    spooledTokens += LedgerNameOf(entry.job_) == ledger ? entry.tokens_ : 0;
  }
  for (const DroppedJob& dropped : recentlyDropped_) {
    spooledTokens += dropped.ledger_ == ledger ? dropped.tokens_ : 0;
  }
  // The ledger exceeds the cap through jobs that were spooled before or through
  // a lowered cap. This excess and all spooled jobs together must not exceed
  // the overage. Each job is spooled by copies_ workers, so the total of all
  // hosts is extrapolated from this host's spool.
  const std::uint64_t cap = route->waitingTokenCap_;
  const std::uint64_t counted = shared_.ledgers_.Get(ledger).ledger_.Total();
  const double excess = static_cast<double>(counted > cap ? counted - cap : 0);
  const double workers =
    static_cast<double>(std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const double spooledByAll =
    static_cast<double>(spooledTokens) *
    std::max(workers / static_cast<double>(copies_), 1.0);
  return spooledByAll + excess <= static_cast<double>(cap) * capOverage_;
}

std::size_t
BatchJobSpool::Bytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, entry] : spooled_) {
    bytes += entry.job_.content_.size();
  }
  return bytes;
}

bool
BatchJobSpool::BelongsToAnotherOrganisation(const batch::SpooledJob& aJob) const
{
  const std::string& organisation = aJob.state_.organisation_;
  if (const batch::BatchJob* known = jobs_.Find(aJob.id_)) {
    return known->state_.organisation_ != organisation;
  }
  const auto entry = spooled_.find(aJob.id_);
  return entry != spooled_.end() &&
         entry->second.job_.state_.organisation_ != organisation;
}

void
BatchJobSpool::Spool(const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  const std::string& body = aExchange->GetRequest().body();
  auto job = batch::DecodeSpooledJob(body);
  if (!job) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusBadRequest, {}));
    return;
  }
  if (BelongsToAnotherOrganisation(*job)) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  if (jobs_.Find(job->id_) != nullptr) {
    aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  if (const auto held = spooled_.find(job->id_); held != spooled_.end()) {
    if (held->second.isWritten_) {
      aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    } else {
      held->second.pendingExchanges_.push_back(aExchange);
    }
    return;
  }
  SpoolNew(std::move(*job), aExchange);
}

void
BatchJobSpool::SpoolNew(batch::SpooledJob aJob,
                        const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  if (isDraining_ || Bytes() + aJob.content_.size() > kMaxBytes) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  const std::uint64_t tokens = TokensOf(aJob);
  if (!FitsOverage(aJob, tokens)) {
    base::Log(kBatchJobNotSpooled,
              { { "lot", aJob.id_ }, { "code", "cap" }, { "tokens", tokens } });
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const std::string id = aJob.id_;
  const bool isOwner = hosts_.AssignedOwner(id) == ownName_;
  const base::Instant nextAttemptAt = isOwner ? now : now + kOwnerHeadStart;
  SpoolRecord& entry =
    spooled_
      .try_emplace(
        id, SpoolRecord{ std::move(aJob), tokens, now, nextAttemptAt, false })
      .first->second;
  entry.pendingExchanges_.push_back(aExchange);
  auto outcome = std::make_shared<batch::SpoolWriteOutcome>();
  disk_.Post(
    [this, outcome, copy = entry.job_] { *outcome = files_.Write(copy); },
    [this, outcome, id] { OnWritten(id, *outcome); });
}

void
BatchJobSpool::OnWritten(const std::string& aJob,
                         const batch::SpoolWriteOutcome& aOutcome)
{
  const auto found = spooled_.find(aJob);
  if (found == spooled_.end()) {
    return;
  }
  SpoolRecord& entry = found->second;
  const auto waiting = std::exchange(entry.pendingExchanges_, {});
  unsigned status = httpstream::kStatusOk;
  if (aOutcome.error_) {
    base::Log(kBatchJobNotSpooled,
              { { "lot", aJob },
                { "code", base::NameOf(aOutcome.error_->code_) },
                { "error", aOutcome.error_->detail_ } });
    spooled_.erase(found);
    // If the file exists after a restart, its job is stored, so the response
    // must not be a rejection.
    status = aOutcome.mayExist_ ? httpstream::kStatusGatewayTimeout
                                : httpstream::kStatusUnavailable;
  } else {
    base::Log(kBatchJobSpooled, { { "lot", aJob }, { "from", "peer" } });
    entry.isWritten_ = true;
  }
  for (const auto& exchange : waiting) {
    exchange->Respond(httpstream::MakeResponse(status, {}));
  }
}

void
BatchJobSpool::Tick(base::Instant aNow, base::WallTime aWallNow)
{
  std::erase_if(recentlyDropped_, [aNow](const DroppedJob& aJob) {
    return aNow - aJob.at_ > kLedgerLag;
  });
  if (!isRead_ && !isReading_ && aNow >= nextReadAt_) {
    Start();
  }
  std::vector<std::string> ids;
  for (const auto& [id, entry] : spooled_) {
    ids.push_back(id);
  }
  for (const std::string& id : ids) {
    SpoolRecord& entry = spooled_.at(id);
    if (!entry.isWritten_) {
      continue;
    }
    const base::Duration age =
      aWallNow - base::FromUnixMs(entry.job_.state_.acceptedAtMs_);
    if (jobs_.Find(id) != nullptr) {
      Drop(id, "stored");
    } else if (std::exchange(entry.isJustRead_, false) && age > retention_) {
      Drop(id, "too old");
    } else if (!health_.IsLost() && aNow >= entry.nextAttemptAt_) {
      Store(entry, aNow);
    }
  }
}

void
BatchJobSpool::Store(SpoolRecord& aEntry, base::Instant aNow)
{
  aEntry.nextAttemptAt_ = aNow + kCallTimeout;
  metadata::Transaction creation =
    MakeCreationTransaction(jobs_.Keys(), aEntry.job_);
  const std::string ledger = LedgerNameOf(aEntry.job_);
  if (!ledger.empty()) {
    // The job was already accepted, so it is counted even if it exceeds the
    // cap.
    AddLedgerRow(
      creation, shared_, jobs_.Keys(), ledger, aEntry.job_.id_, aEntry.tokens_);
  }
  store_.Commit(creation,
                [this, id = aEntry.job_.id_, ledger](
                  const metadata::TransactionResponse& aResponse) {
                  OnStoreResponse(id, ledger, aResponse);
                });
}

void
BatchJobSpool::OnStoreResponse(const std::string& aJob,
                               const std::string& aLedger,
                               const metadata::TransactionResponse& aResponse)
{
  using metadata::StoreStatus;
  const auto found = spooled_.find(aJob);
  if (found == spooled_.end()) {
    return;
  }
  const bool hasLedger = !aLedger.empty();
  const bool isConflict = aResponse.status_ == StoreStatus::Conflict;
  // Another host or an earlier attempt has stored the job.
  const bool isStored =
    isConflict &&
    (!hasLedger || ContainsKey(aResponse, jobs_.Keys().StateKey(aJob)));
  if (aResponse.status_ == StoreStatus::Ok || isStored) {
    Drop(aJob, "stored");
    return;
  }
  if (isConflict) {
    UpdateCachedLedger(shared_, jobs_.Keys(), aLedger, aResponse);
    found->second.nextAttemptAt_ = base::MonotonicNow();
    return;
  }
  found->second.nextAttemptAt_ = base::MonotonicNow() + kRetryDelay;
}

void
BatchJobSpool::Drop(const std::string& aJob, std::string_view aReason)
{
  const auto found = spooled_.find(aJob);
  if (std::string ledger = LedgerNameOf(found->second.job_); !ledger.empty()) {
    recentlyDropped_.push_back(
      { std::move(ledger), found->second.tokens_, base::MonotonicNow() });
  }
  base::Log(
    kBatchJobUnspooled,
    { { "lot", aJob },
      { "reason", aReason },
      { "ms", base::ToMs(base::MonotonicNow() - found->second.spooledAt_) } });
  spooled_.erase(found);
  disk_.Post([this, aJob] { files_.Remove(aJob); });
}

} // namespace pumiceturn::gateway
