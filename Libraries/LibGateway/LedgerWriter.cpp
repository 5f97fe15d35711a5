#include "LibGateway/LedgerWriter.h"

#include "LibGateway/LedgerChange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Interval between updates of a ledger that is near its cap.
constexpr std::chrono::milliseconds kPauseNearCap{ 250 };

/// Interval between updates of other ledgers.
constexpr std::chrono::seconds kPauseFarFromCap{ 5 };

/// Share of the cap from which a ledger counts as near its cap.
constexpr double kNearCapShare = 0.5;

/// How long a ledger is updated after this host's last job on it, to remove
/// rows of hosts that are gone.
constexpr std::chrono::seconds kIdleTimeout{ 120 };

/// Maximum interval between commits by a host with open jobs on a ledger.
/// Detects ledgers that were overwritten.
constexpr std::chrono::seconds kMaxPause{ 10 };

/// How long a row's job must be unknown before it counts as removed. Longer
/// than the mirrors of jobs can be stale.
constexpr std::chrono::seconds kUnknownJobTimeout{ 60 };

} // namespace

LedgerWriter::LedgerWriter(SharedState& aShared,
                           metadata::StoreClient& aStore,
                           const batch::BatchJobTable& aJobs,
                           const batch::HostSet& aHosts,
                           std::string aOwnName)
  : shared_(aShared)
  , store_(aStore)
  , jobs_(aJobs)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
{
}

void
LedgerWriter::Tick(const std::vector<WaitingBatchJob>& aOwn, base::Instant aNow)
{
  for (const WaitingBatchJob& job : aOwn) {
    updates_[job.ledger_].cap_ = job.cap_;
  }
  for (auto entry = updates_.begin(); entry != updates_.end();) {
    Update(entry->first, aOwn, aNow);
    const LedgerUpdate& update = entry->second;
    const bool isIdle = update.running_.empty() && update.closed_.empty() &&
                        !update.isCommitting_ &&
                        aNow - update.usedAt_ > kIdleTimeout;
    entry = isIdle ? updates_.erase(entry) : std::next(entry);
  }
}

base::Duration
LedgerWriter::PauseFor(const std::string& aLedger,
                       const LedgerUpdate& aUpdate) const
{
  // The cached ledger may be older than a burst of jobs. Jobs are spread evenly
  // over the workers, so the total is also estimated from the own jobs.
  const std::uint64_t waiting = std::max(
    shared_.ledgers_.Get(aLedger).ledger_.Total(),
    aUpdate.maxOwnTokens_ * std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const bool isNear = static_cast<double>(waiting) >
                      kNearCapShare * static_cast<double>(aUpdate.cap_);
  return isNear ? base::Duration(kPauseNearCap)
                : base::Duration(kPauseFarFromCap);
}

void
LedgerWriter::Update(const std::string& aLedger,
                     const std::vector<WaitingBatchJob>& aOwn,
                     base::Instant aNow)
{
  LedgerUpdate& update = updates_[aLedger];
  RecordOwn(update, aLedger, aOwn);
  if (!update.running_.empty() || update.usedAt_ == base::Instant{}) {
    update.usedAt_ = aNow;
  }
  const base::Duration pause = PauseFor(aLedger, update);
  update.nextAt_ = std::min(update.nextAt_, aNow + pause);
  if (update.isCommitting_ || aNow < update.nextAt_) {
    return;
  }
  update.nextAt_ = aNow + pause;
  const batch::TokenLedger corrected = MakeCorrected(aLedger, aOwn, aNow);
  const bool isOverdue =
    !update.running_.empty() && aNow - update.committedAt_ >= kMaxPause;
  if (corrected != shared_.ledgers_.Get(aLedger).ledger_ ||
      !update.closed_.empty() || isOverdue) {
    Commit(aLedger, corrected);
  }
}

void
LedgerWriter::RecordOwn(LedgerUpdate& aUpdate,
                        const std::string& aLedger,
                        const std::vector<WaitingBatchJob>& aOwn)
{
  std::set<std::string> running;
  std::uint64_t tokens = 0;
  for (const WaitingBatchJob& job : aOwn) {
    if (job.ledger_ != aLedger) {
      continue;
    }
    (job.tokens_ > 0 ? running : aUpdate.closed_).insert(job.job_);
    tokens += job.tokens_;
  }
  aUpdate.maxOwnTokens_ = std::max(aUpdate.maxOwnTokens_, tokens);
  std::set_difference(aUpdate.running_.begin(),
                      aUpdate.running_.end(),
                      running.begin(),
                      running.end(),
                      std::inserter(aUpdate.closed_, aUpdate.closed_.end()));
  aUpdate.running_ = std::move(running);
}

batch::TokenLedger
LedgerWriter::MakeCorrected(const std::string& aLedger,
                            const std::vector<WaitingBatchJob>& aOwn,
                            base::Instant aNow)
{
  batch::TokenLedger ledger = shared_.ledgers_.Get(aLedger).ledger_;
  for (const auto& [job, tokens] :
       shared_.ledgers_.Get(aLedger).ledger_.Entries()) {
    if (ShouldRemove(job, aNow)) {
      ledger.Set(job, 0);
    }
  }
  for (const WaitingBatchJob& own : aOwn) {
    if (own.ledger_ != aLedger) {
      continue;
    }
    // A row never increases: after a takeover, items may run again that were
    // already finished. A job without a row was accepted when the route had no
    // cap.
    const std::uint64_t row = ledger.Find(own.job_).value_or(own.tokens_);
    ledger.Set(own.job_, std::min(row, own.tokens_));
  }
  return ledger;
}

bool
LedgerWriter::ShouldRemove(const std::string& aJob, base::Instant aNow)
{
  const batch::BatchJob* job = jobs_.Find(aJob);
  if (job == nullptr) {
    const auto since = unknownSince_.try_emplace(aJob, aNow).first->second;
    return aNow - since > kUnknownJobTimeout &&
           hosts_.OwnerFor(aJob) == ownName_;
  }
  unknownSince_.erase(aJob);
  const bool isResponsible =
    job->state_.owner_ == ownName_ ||
    (!hosts_.IsLive(job->state_.owner_) && hosts_.OwnerFor(aJob) == ownName_);
  return !job->IsOpen() && isResponsible;
}

void
LedgerWriter::Commit(const std::string& aLedger,
                     const batch::TokenLedger& aContent)
{
  const std::string key = jobs_.Keys().LedgerKey(aLedger);
  const std::string value = batch::EncodeLedger(aContent);
  metadata::Transaction transaction;
  transaction.expectations_.push_back(
    { key, shared_.ledgers_.Get(aLedger).revision_ });
  transaction.writes_.push_back({ key, value, 0 });
  updates_[aLedger].isCommitting_ = true;
  store_.Commit(
    transaction,
    [this, aLedger, value, closed = updates_[aLedger].closed_](
      const metadata::TransactionResponse& aResponse) {
      using metadata::StoreStatus;
      LedgerUpdate& update = updates_[aLedger];
      update.isCommitting_ = false;
      const base::Instant now = base::MonotonicNow();
      if (aResponse.status_ == StoreStatus::Ok) {
        update.committedAt_ = now;
        update.maxOwnTokens_ = 0;
        std::erase_if(update.closed_, [&closed](const std::string& aJob) {
          return closed.contains(aJob);
        });
        shared_.ledgers_.Update(aLedger, value, aResponse.revision_, now);
        return;
      }
      if (aResponse.status_ == StoreStatus::Conflict) {
        UpdateCachedLedger(shared_, jobs_.Keys(), aLedger, aResponse);
        // Retry with the current ledger at the next tick.
        update.nextAt_ = now;
      }
    });
}

} // namespace pumiceturn::gateway
