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

/// All jobs kept at once: the largest that the platform takes, several times.
constexpr std::size_t kMostBytes = 33554432;

/// How long the host that is to run a job is left to store it alone. Within a
/// second of its acceptance, other hosts must know the job.
constexpr std::chrono::milliseconds kOwnerFirst{ 300 };

/// How long a job that was stored still counts as held: this host's view of the
/// ledger may be older than the job's row by the mirror's pause, the pause
/// between two changes of the ledger, and a call without an answer.
constexpr std::chrono::seconds kLedgerLag{ 3 };

/// Pause before a failed call is made again, and how long a call may take.
constexpr std::chrono::milliseconds kRetryPause{ 300 };
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
                             double aCapShare,
                             std::size_t aCopies)
  : shared_(aShared)
  , store_(aStore)
  , health_(aHealth)
  , jobs_(aJobs)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , retention_(aRetention)
  , capShare_(aCapShare)
  , copies_(aCopies)
  , files_(aFolder)
  , disk_(aContext)
{
}

void
BatchJobSpool::Start()
{
  auto jobs = std::make_shared<std::vector<batch::SpooledJob>>();
  disk_.Post(
    [this, jobs] { *jobs = files_.ReadAll(); },
    [this, jobs] {
      const base::Instant now = base::MonotonicNow();
      for (batch::SpooledJob& job : *jobs) {
        base::Log(kBatchJobSpooled, { { "lot", job.id_ }, { "from", "disk" } });
        const std::string id = job.id_;
        const std::uint64_t tokens = TokensOf(job);
        spooled_.try_emplace(id,
                             Entry{ std::move(job), tokens, now, now, true });
      }
    });
}

const fleet::Route*
BatchJobSpool::CappedRouteOf(const batch::SpooledJob& aJob) const
{
  return shared_.routes_.FindCapped(aJob.state_.hostName_, aJob.state_.path_);
}

std::string
BatchJobSpool::LedgerOf(const batch::SpooledJob& aJob) const
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
BatchJobSpool::IsWithinCap(const batch::SpooledJob& aJob,
                           std::uint64_t aTokens) const
{
  const fleet::Route* route = CappedRouteOf(aJob);
  if (route == nullptr) {
    return true;
  }
  const std::string ledger = LedgerOf(aJob);
  std::uint64_t held = aTokens;
  for (const auto& [id, entry] : spooled_) {
    held += LedgerOf(entry.job_) == ledger ? entry.tokens_ : 0;
  }
  for (const StoredBatchJob& stored : stored_) {
    held += stored.ledger_ == ledger ? stored.tokens_ : 0;
  }
  // Accepting by the ledger keeps to the cap itself, so what is beyond it there
  // and on all disks must stay within what the bound allows. Each job is on so
  // many of the workers' disks.
  const std::uint64_t cap = route->waitingTokenCap_;
  const std::uint64_t counted = shared_.ledgers_.Of(ledger).ledger_.Total();
  const double beyond = static_cast<double>(counted > cap ? counted - cap : 0);
  const double workers =
    static_cast<double>(std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const double onAllDisks =
    static_cast<double>(held) *
    std::max(workers / static_cast<double>(copies_), 1.0);
  return onAllDisks + beyond <= static_cast<double>(cap) * capShare_;
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
BatchJobSpool::IsAnothers(const batch::SpooledJob& aJob) const
{
  const std::string& organisation = aJob.state_.organisation_;
  if (const batch::BatchJob* known = jobs_.Find(aJob.id_)) {
    return known->state_.organisation_ != organisation;
  }
  const auto held = spooled_.find(aJob.id_);
  return held != spooled_.end() &&
         held->second.job_.state_.organisation_ != organisation;
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
  if (isDraining_ || Bytes() + body.size() > kMostBytes) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  if (IsAnothers(*job)) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  if (jobs_.Find(job->id_) != nullptr) {
    aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  const std::uint64_t tokens = TokensOf(*job);
  if (!spooled_.contains(job->id_) && !IsWithinCap(*job, tokens)) {
    base::Log(kBatchJobNotSpooled,
              { { "lot", job->id_ }, { "code", "cap" }, { "tokens", tokens } });
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const std::string id = job->id_;
  const bool isOwner = hosts_.OwnerFor(id) == ownName_;
  const base::Instant tryAt = isOwner ? now : now + kOwnerFirst;
  const auto [entry, isNew] = spooled_.try_emplace(
    id, Entry{ std::move(*job), tokens, now, tryAt, false });
  if (entry->second.isWritten_) {
    aExchange->Respond(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  entry->second.waiting_.push_back(aExchange);
  if (!isNew) {
    return;
  }
  auto outcome = std::make_shared<batch::WriteOutcome>();
  disk_.Post([this,
              outcome,
              copy = entry->second.job_] { *outcome = files_.Write(copy); },
             [this, outcome, id] { OnWritten(id, *outcome); });
}

void
BatchJobSpool::OnWritten(const std::string& aJob,
                         const batch::WriteOutcome& aOutcome)
{
  // An entry stays until it is written.
  const auto found = spooled_.find(aJob);
  Entry& entry = found->second;
  const auto waiting = std::exchange(entry.waiting_, {});
  unsigned status = httpstream::kStatusOk;
  if (aOutcome.error_) {
    base::Log(kBatchJobNotSpooled,
              { { "lot", aJob },
                { "code", base::NameOf(aOutcome.error_->code_) },
                { "error", aOutcome.error_->detail_ } });
    spooled_.erase(found);
    // A file that may be there is stored after a restart: not a refusal.
    status = aOutcome.mayBeThere_ ? httpstream::kStatusGatewayTimeout
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
  std::erase_if(stored_, [aNow](const StoredBatchJob& aJob) {
    return aNow - aJob.at_ > kLedgerLag;
  });
  std::vector<std::string> ids;
  for (const auto& [id, entry] : spooled_) {
    ids.push_back(id);
  }
  for (const std::string& id : ids) {
    Entry& entry = spooled_.at(id);
    if (!entry.isWritten_) {
      continue;
    }
    const base::Duration age =
      aWallNow - base::FromUnixMs(entry.job_.state_.acceptedAtMs_);
    if (jobs_.Find(id) != nullptr) {
      Drop(id, "stored");
    } else if (age > retention_) {
      Drop(id, "too old");
    } else if (!health_.IsLost() && aNow >= entry.tryAt_) {
      Store(entry, aNow);
    }
  }
}

void
BatchJobSpool::Store(Entry& aEntry, base::Instant aNow)
{
  aEntry.tryAt_ = aNow + kCallTimeout;
  metadata::Transaction creation = MakeCreation(jobs_.Keys(), aEntry.job_);
  const std::string ledger = LedgerOf(aEntry.job_);
  if (!ledger.empty()) {
    // Accepted long since: it counts whether it fits or not.
    AddLedgerEntry(
      creation, shared_, jobs_.Keys(), ledger, aEntry.job_.id_, aEntry.tokens_);
  }
  store_.Commit(creation,
                [this, id = aEntry.job_.id_, ledger](
                  const metadata::TransactionResponse& aResponse) {
                  OnStored(id, ledger, aResponse);
                });
}

void
BatchJobSpool::OnStored(const std::string& aJob,
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
  // Another host, or an earlier try, has stored it.
  const bool isThere =
    isConflict &&
    (!hasLedger || ContainsKey(aResponse, jobs_.Keys().StateOf(aJob)));
  if (aResponse.status_ == StoreStatus::Ok || isThere) {
    Drop(aJob, "stored");
    return;
  }
  if (isConflict) {
    UpdateCachedLedger(shared_, jobs_.Keys(), aLedger, aResponse);
    found->second.tryAt_ = base::MonotonicNow();
    return;
  }
  found->second.tryAt_ = base::MonotonicNow() + kRetryPause;
}

void
BatchJobSpool::Drop(const std::string& aJob, std::string_view aReason)
{
  const auto found = spooled_.find(aJob);
  if (std::string ledger = LedgerOf(found->second.job_); !ledger.empty()) {
    stored_.push_back(
      { std::move(ledger), found->second.tokens_, base::MonotonicNow() });
  }
  base::Log(
    kBatchJobUnspooled,
    { { "lot", aJob },
      { "reason", aReason },
      { "ms", base::ToMs(base::MonotonicNow() - found->second.since_) } });
  spooled_.erase(found);
  disk_.Post([this, aJob] { files_.Remove(aJob); });
}

} // namespace pumiceturn::gateway
