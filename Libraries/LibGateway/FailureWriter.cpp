#include "LibGateway/FailureWriter.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Interval between two transactions of a host per registered host; all hosts
/// together make at most 40 transactions per second, a tenth of the store's
/// limit on writes.
constexpr std::chrono::milliseconds kIntervalPerHost{ 25 };

/// Maximum number of jobs in one transaction. Each takes two expectations and
/// one write, and the store allows 32 entries.
constexpr std::size_t kMaxJobs = 10;

/// Delay before a failed write is retried.
constexpr std::chrono::milliseconds kRetryDelay{ 300 };

/// Delay after the job's state has changed, so that the watch can report it.
constexpr std::chrono::seconds kStateChangeDelay{ 3 };

const metadata::StoreItem*
FindItem(const metadata::TransactionResponse& aResponse,
         const std::string& aKey)
{
  const auto found = std::find_if(
    aResponse.current_.begin(),
    aResponse.current_.end(),
    [&aKey](const metadata::StoreItem& aItem) { return aItem.key_ == aKey; });
  return found == aResponse.current_.end() ? nullptr : &*found;
}

/// @return whether a key has the revision that a transaction expected.
bool
IsUnchanged(const metadata::StoreItem* aItem, std::uint64_t aExpected)
{
  return (aItem == nullptr ? 0 : aItem->revision_) == aExpected;
}

} // namespace

FailureWriter::FailureWriter(metadata::StoreClient& aStore,
                             batch::BatchJobTable& aJobs,
                             StoredHandler aOnStored)
  : store_(aStore)
  , jobs_(aJobs)
  , onStored_(std::move(aOnStored))
{
}

void
FailureWriter::Add(const std::string& aJob,
                   const batch::FailureCounts& aFailures)
{
  batch::MergeFailures(unstored_[aJob].failures_, aFailures);
}

FailureWriter::RecordWrite
FailureWriter::MakeWrite(const batch::BatchJob& aJob,
                         const Unstored& aUnstored) const
{
  RecordWrite write;
  write.job_ = aJob.id_;
  write.key_ = jobs_.Keys().MakeKey({ aJob.id_, batch::KeyKind::Failures, 0 });
  write.expectedRevision_ = aJob.failuresRevision_;
  write.stateKey_ = jobs_.Keys().StateKey(aJob.id_);
  write.stateRevision_ = aJob.stateRevision_;
  write.failures_ = aJob.failures_;
  batch::MergeFailures(write.failures_, aUnstored.failures_);
  return write;
}

void
FailureWriter::Store(std::size_t aHostCount, base::Instant aNow)
{
  if (isStoring_ || aNow - lastStoreAt_ < kIntervalPerHost * aHostCount) {
    return;
  }
  metadata::Transaction transaction;
  std::vector<RecordWrite> writes;
  for (const auto& [id, unstored] : unstored_) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (job == nullptr || unstored.retryAt_ > aNow ||
        writes.size() == kMaxJobs) {
      continue;
    }
    RecordWrite write = MakeWrite(*job, unstored);
    // A former owner, or a write that takes effect late, must not lower a
    // count.
    transaction.expectations_.push_back(
      { write.stateKey_, write.stateRevision_ });
    transaction.expectations_.push_back(
      { write.key_, write.expectedRevision_ });
    transaction.writes_.push_back(
      { write.key_, batch::EncodeFailures(write.failures_), 0 });
    writes.push_back(std::move(write));
  }
  if (writes.empty()) {
    return;
  }
  lastStoreAt_ = aNow;
  isStoring_ = true;
  store_.Commit(
    transaction,
    lifetime_.Guard([this, writes = std::move(writes)](
                      const metadata::TransactionResponse& aResponse) {
      isStoring_ = false;
      OnResponse(writes, aResponse);
    }));
}

void
FailureWriter::OnResponse(const std::vector<RecordWrite>& aWrites,
                          const metadata::TransactionResponse& aResponse)
{
  for (const RecordWrite& write : aWrites) {
    if (jobs_.Find(write.job_) == nullptr) {
      unstored_.erase(write.job_);
      continue;
    }
    switch (aResponse.status_) {
      case metadata::StoreStatus::Ok:
        RecordStored(write, aResponse.revision_);
        break;
      case metadata::StoreStatus::Conflict:
        OnConflict(write, aResponse);
        break;
      default:
        base::Log(kItemFailuresNotStored,
                  { { "lot", write.job_ },
                    { "status", static_cast<int>(aResponse.status_) } });
        RetryAfter(write.job_, kRetryDelay);
    }
  }
}

void
FailureWriter::RecordStored(const RecordWrite& aWrite, std::uint64_t aRevision)
{
  base::Log(kItemFailuresStored,
            { { "lot", aWrite.job_ },
              { "items", aWrite.failures_.size() },
              { "revision", aRevision } });
  jobs_.Apply(aWrite.key_, batch::EncodeFailures(aWrite.failures_), aRevision);
  const auto unstored = unstored_.find(aWrite.job_);
  if (unstored != unstored_.end() &&
      batch::HasAllFailures(aWrite.failures_, unstored->second.failures_)) {
    unstored_.erase(unstored);
  }
  onStored_(aWrite.job_, aWrite.failures_);
}

void
FailureWriter::OnConflict(const RecordWrite& aWrite,
                          const metadata::TransactionResponse& aResponse)
{
  const metadata::StoreItem* record = FindItem(aResponse, aWrite.key_);
  const metadata::StoreItem* state = FindItem(aResponse, aWrite.stateKey_);
  if (!IsUnchanged(state, aWrite.stateRevision_) ||
      (record == nullptr && aWrite.expectedRevision_ != 0)) {
    base::Log(kItemFailuresNotStored,
              { { "lot", aWrite.job_ },
                { "status", static_cast<int>(aResponse.status_) } });
    RetryAfter(aWrite.job_, kStateChangeDelay);
    return;
  }
  // Another job of the transaction conflicts, or an earlier write of this host
  // took effect without a response.
  if (record != nullptr) {
    jobs_.Apply(record->key_, record->value_, record->revision_);
  }
}

void
FailureWriter::RetryAfter(const std::string& aJob, base::Duration aDelay)
{
  if (const auto unstored = unstored_.find(aJob); unstored != unstored_.end()) {
    unstored->second.retryAt_ = base::MonotonicNow() + aDelay;
  }
}

} // namespace pumiceturn::gateway
