#include "LibGateway/LedgerWriter.h"

#include "LibGateway/LedgerChange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Interval between updates of a ledger that is near its cap. Rejections are
/// then based on rows at most a second old, even if a store call is repeated.
constexpr std::chrono::milliseconds kIntervalNearCap{ 250 };

/// Interval between updates of other ledgers.
constexpr std::chrono::seconds kIntervalFarFromCap{ 5 };

/// Share of the cap from which a ledger counts as near its cap. A burst of
/// submissions fills the other half within seconds.
constexpr double kNearCapShare = 0.5;

/// How long this host keeps updating a ledger after its last job there was
/// closed. This removes the rows of hosts that are no longer registered.
constexpr std::chrono::seconds kIdleTimeout{ 120 };

/// Maximum interval between commits by a host with open jobs on a ledger.
/// Detects overwritten ledgers: a commit conflicts if the ledger has changed,
/// and the response contains the current one.
constexpr std::chrono::seconds kMaxCommitInterval{ 10 };

/// How long a row's job must be unknown before it counts as removed. Must
/// exceed the time for which this host's copy of the job states may be stale.
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
LedgerWriter::Tick(const std::vector<WaitingBatchJob>& aJobs,
                   base::Instant aNow)
{
  for (const WaitingBatchJob& job : aJobs) {
    records_[job.ledger_].cap_ = job.cap_;
  }
  for (auto entry = records_.begin(); entry != records_.end();) {
    Update(entry->first, aJobs, aNow);
    const LedgerRecord& record = entry->second;
    const bool isIdle = record.openJobs_.empty() &&
                        record.closedJobs_.empty() && !record.isCommitting_ &&
                        aNow - record.usedAt_ > kIdleTimeout;
    entry = isIdle ? records_.erase(entry) : std::next(entry);
  }
}

base::Duration
LedgerWriter::IntervalFor(const std::string& aLedger,
                          const LedgerRecord& aRecord) const
{
  // The cached ledger may lack jobs accepted recently. Jobs are spread evenly
  // over the workers, so the total is also estimated from this host's jobs.
  const std::uint64_t waiting = std::max(
    shared_.ledgers_.Get(aLedger).ledger_.Total(),
    aRecord.maxTokens_ * std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const bool isNear = static_cast<double>(waiting) >
                      kNearCapShare * static_cast<double>(aRecord.cap_);
  return isNear ? base::Duration(kIntervalNearCap)
                : base::Duration(kIntervalFarFromCap);
}

void
LedgerWriter::Update(const std::string& aLedger,
                     const std::vector<WaitingBatchJob>& aJobs,
                     base::Instant aNow)
{
  LedgerRecord& record = records_[aLedger];
  RecordJobs(record, aLedger, aJobs);
  if (!record.openJobs_.empty() || record.usedAt_ == base::Instant{}) {
    record.usedAt_ = aNow;
  }
  const base::Duration interval = IntervalFor(aLedger, record);
  record.nextAt_ = std::min(record.nextAt_, aNow + interval);
  if (record.isCommitting_ || aNow < record.nextAt_) {
    return;
  }
  record.nextAt_ = aNow + interval;
  const batch::TokenLedger corrected = MakeCorrected(aLedger, aJobs, aNow);
  const bool isOverdue = !record.openJobs_.empty() &&
                         aNow - record.committedAt_ >= kMaxCommitInterval;
  if (corrected != shared_.ledgers_.Get(aLedger).ledger_ ||
      !record.closedJobs_.empty() || isOverdue) {
    Commit(aLedger, corrected);
  }
}

void
LedgerWriter::RecordJobs(LedgerRecord& aRecord,
                         const std::string& aLedger,
                         const std::vector<WaitingBatchJob>& aJobs)
{
  std::set<std::string> openJobs;
  std::uint64_t tokens = 0;
  for (const WaitingBatchJob& job : aJobs) {
    if (job.ledger_ != aLedger) {
      continue;
    }
    (job.tokens_ > 0 ? openJobs : aRecord.closedJobs_).insert(job.job_);
    tokens += job.tokens_;
  }
  aRecord.maxTokens_ = std::max(aRecord.maxTokens_, tokens);
  std::set_difference(
    aRecord.openJobs_.begin(),
    aRecord.openJobs_.end(),
    openJobs.begin(),
    openJobs.end(),
    std::inserter(aRecord.closedJobs_, aRecord.closedJobs_.end()));
  aRecord.openJobs_ = std::move(openJobs);
}

batch::TokenLedger
LedgerWriter::MakeCorrected(const std::string& aLedger,
                            const std::vector<WaitingBatchJob>& aJobs,
                            base::Instant aNow)
{
  batch::TokenLedger ledger = shared_.ledgers_.Get(aLedger).ledger_;
  for (const auto& [job, tokens] :
       shared_.ledgers_.Get(aLedger).ledger_.Rows()) {
    if (ShouldRemove(job, aNow)) {
      ledger.Set(job, 0);
    }
  }
  for (const WaitingBatchJob& ownJob : aJobs) {
    if (ownJob.ledger_ != aLedger) {
      continue;
    }
    // A row never increases, because after a takeover finished items may run
    // again. A job has no row if it was accepted before the route had a cap, or
    // if the ledger was malformed.
    const std::uint64_t row = ledger.Find(ownJob.job_).value_or(ownJob.tokens_);
    ledger.Set(ownJob.job_, std::min(row, ownJob.tokens_));
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
           hosts_.AssignedOwner(aJob) == ownName_;
  }
  unknownSince_.erase(aJob);
  const bool isResponsible = job->state_.owner_ == ownName_ ||
                             (!hosts_.IsRegistered(job->state_.owner_) &&
                              hosts_.AssignedOwner(aJob) == ownName_);
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
  records_[aLedger].isCommitting_ = true;
  store_.Commit(
    transaction,
    [this, aLedger, value, closed = records_[aLedger].closedJobs_](
      const metadata::TransactionResponse& aResponse) {
      using metadata::StoreStatus;
      LedgerRecord& record = records_[aLedger];
      record.isCommitting_ = false;
      const base::Instant now = base::MonotonicNow();
      if (aResponse.status_ == StoreStatus::Ok) {
        record.committedAt_ = now;
        record.maxTokens_ = 0;
        std::erase_if(record.closedJobs_, [&closed](const std::string& aJob) {
          return closed.contains(aJob);
        });
        shared_.ledgers_.Update(aLedger, value, aResponse.revision_, now);
        return;
      }
      if (aResponse.status_ == StoreStatus::Conflict) {
        UpdateCachedLedger(shared_, jobs_.Keys(), aLedger, aResponse);
        // Retry with the current ledger at the next tick.
        record.nextAt_ = now;
      }
    });
}

} // namespace pumiceturn::gateway
