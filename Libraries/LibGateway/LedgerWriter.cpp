#include "LibGateway/LedgerWriter.h"

#include "LibGateway/LedgerChange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Pause between two changes of a ledger by one host: near the cap, so that a
/// refusal rests on a count that is at most a second old with the store's
/// answer and one repetition; and elsewhere.
constexpr std::chrono::milliseconds kPauseNearCap{ 250 };
constexpr std::chrono::seconds kPauseElsewhere{ 5 };

/// Share of the cap from which on a ledger counts as near it: a flood fills the
/// other half within seconds.
constexpr double kNearCap = 0.5;

/// How long a ledger without jobs of this host is looked after: rows of hosts
/// that are gone are removed meanwhile.
constexpr std::chrono::seconds kQuietAfter{ 120 };

/// A host with jobs on a capped route stores its rows at least this often, and
/// so learns of a ledger that someone else has spoiled.
constexpr std::chrono::seconds kLongestPause{ 10 };

/// How long a row's job must be unknown to be taken for one that was removed
/// after its retention. Mirrors of jobs are some seconds old at most.
constexpr std::chrono::seconds kGoneAfter{ 60 };

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
    const bool isQuiet = update.running_.empty() && update.closed_.empty() &&
                         !update.isUnderWay_ &&
                         aNow - update.usedAt_ > kQuietAfter;
    entry = isQuiet ? updates_.erase(entry) : std::next(entry);
  }
}

base::Duration
LedgerWriter::PauseFor(const std::string& aLedger,
                       const LedgerUpdate& aUpdate) const
{
  // The view may be from before a flood; jobs are spread evenly over the hosts
  // that run them, so the own ones tell of the others'.
  const std::uint64_t waiting = std::max(
    shared_.ledgers_.Of(aLedger).ledger_.Total(),
    aUpdate.mostSince_ * std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const bool isNear =
    static_cast<double>(waiting) > kNearCap * static_cast<double>(aUpdate.cap_);
  return isNear ? base::Duration(kPauseNearCap)
                : base::Duration(kPauseElsewhere);
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
  if (update.isUnderWay_ || aNow < update.nextAt_) {
    return;
  }
  update.nextAt_ = aNow + pause;
  const batch::TokenLedger corrected = Corrected(aLedger, aOwn, aNow);
  const bool isOverdue =
    !update.running_.empty() && aNow - update.committedAt_ >= kLongestPause;
  if (corrected != shared_.ledgers_.Of(aLedger).ledger_ ||
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
  aUpdate.mostSince_ = std::max(aUpdate.mostSince_, tokens);
  std::set_difference(aUpdate.running_.begin(),
                      aUpdate.running_.end(),
                      running.begin(),
                      running.end(),
                      std::inserter(aUpdate.closed_, aUpdate.closed_.end()));
  aUpdate.running_ = std::move(running);
}

batch::TokenLedger
LedgerWriter::Corrected(const std::string& aLedger,
                        const std::vector<WaitingBatchJob>& aOwn,
                        base::Instant aNow)
{
  batch::TokenLedger ledger = shared_.ledgers_.Of(aLedger).ledger_;
  for (const auto& [job, tokens] :
       shared_.ledgers_.Of(aLedger).ledger_.Entries()) {
    if (IsToBeRemoved(job, aNow)) {
      ledger.Set(job, 0);
    }
  }
  for (const WaitingBatchJob& own : aOwn) {
    if (own.ledger_ != aLedger) {
      continue;
    }
    // A row never grows: after a takeover items run again that a server has
    // finished already. A job without a row was accepted when the route had no
    // cap.
    const std::uint64_t row = ledger.Of(own.job_).value_or(own.tokens_);
    ledger.Set(own.job_, std::min(row, own.tokens_));
  }
  return ledger;
}

bool
LedgerWriter::IsToBeRemoved(const std::string& aJob, base::Instant aNow)
{
  const batch::BatchJob* job = jobs_.Find(aJob);
  if (job == nullptr) {
    const auto since = unknownSince_.try_emplace(aJob, aNow).first->second;
    return aNow - since > kGoneAfter && hosts_.OwnerFor(aJob) == ownName_;
  }
  unknownSince_.erase(aJob);
  const bool isMine =
    job->state_.owner_ == ownName_ ||
    (!hosts_.IsLive(job->state_.owner_) && hosts_.OwnerFor(aJob) == ownName_);
  return !job->IsOpen() && isMine;
}

void
LedgerWriter::Commit(const std::string& aLedger,
                     const batch::TokenLedger& aContent)
{
  const std::string key = jobs_.Keys().LedgerOf(aLedger);
  const std::string value = batch::EncodeLedger(aContent);
  metadata::Transaction transaction;
  transaction.expectations_.push_back(
    { key, shared_.ledgers_.Of(aLedger).revision_ });
  transaction.writes_.push_back({ key, value, 0 });
  updates_[aLedger].isUnderWay_ = true;
  store_.Commit(
    transaction,
    [this, aLedger, value, closed = updates_[aLedger].closed_](
      const metadata::TransactionResponse& aResponse) {
      using metadata::StoreStatus;
      LedgerUpdate& update = updates_[aLedger];
      update.isUnderWay_ = false;
      const base::Instant now = base::MonotonicNow();
      if (aResponse.status_ == StoreStatus::Ok) {
        update.committedAt_ = now;
        update.mostSince_ = 0;
        std::erase_if(update.closed_, [&closed](const std::string& aJob) {
          return closed.contains(aJob);
        });
        shared_.ledgers_.Update(aLedger, value, aResponse.revision_, now);
        return;
      }
      if (aResponse.status_ == StoreStatus::Conflict) {
        UpdateCachedLedger(shared_, jobs_.Keys(), aLedger, aResponse);
        // With the present one, at the next look.
        update.nextAt_ = now;
      }
    });
}

} // namespace pumiceturn::gateway
