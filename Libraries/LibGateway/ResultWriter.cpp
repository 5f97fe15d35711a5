#include "LibGateway/ResultWriter.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Maximum time for which results are collected before they are stored. Readers
/// poll about twice a second.
constexpr std::chrono::milliseconds kMaxStoreDelay{ 500 };

/// Results due within this time are stored immediately.
constexpr std::chrono::seconds kDueSoon{ 2 };

/// Maximum size of a page of results before encoding. The store limits values
/// to 1 MB in base64.
constexpr std::size_t kMaxPageBytes = 500000;

/// Maximum number of jobs in one transaction. Each takes up to two expectations
/// and two writes, and the store allows 32 entries.
constexpr std::size_t kMaxJobs = 8;

/// Delay before a failed write is retried.
constexpr std::chrono::milliseconds kRetryDelay{ 300 };

/// Delay after a conflict, so that the watch can report the job's owner.
constexpr std::chrono::seconds kConflictDelay{ 3 };

/// Removes and returns as many results as fit into one page.
std::vector<batch::ItemResult>
PopPage(std::vector<batch::ItemResult>& aResults)
{
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (
    count < aResults.size() &&
    (count == 0 || bytes + aResults[count].output_.size() < kMaxPageBytes)) {
    bytes += aResults[count].output_.size();
    ++count;
  }
  const auto end = aResults.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<batch::ItemResult> page(std::make_move_iterator(aResults.begin()),
                                      std::make_move_iterator(end));
  aResults.erase(aResults.begin(), end);
  return page;
}

} // namespace

void
ResultWriter::Begin(const batch::BatchJob& aJob)
{
  JobResults entry;
  entry.nextPosition_ = static_cast<std::uint32_t>(aJob.results_.size());
  entries_[aJob.id_] = std::move(entry);
}

void
ResultWriter::Add(const std::string& aJob,
                  batch::ItemResult aResult,
                  base::Instant aDueAt,
                  base::Instant aNow)
{
  JobResults& entry = entries_[aJob];
  const bool isDueSoon = aDueAt - aNow < kDueSoon;
  const base::Instant storeAt = isDueSoon ? aNow : aNow + kMaxStoreDelay;
  entry.storeAt_ =
    entry.unstored_.empty() ? storeAt : std::min(entry.storeAt_, storeAt);
  entry.unstored_.push_back(std::move(aResult));
}

bool
ResultWriter::IsStoring(const std::string& aJob) const
{
  const auto entry = entries_.find(aJob);
  return entry != entries_.end() && !entry->second.storing_.empty();
}

bool
ResultWriter::CanStore(const JobResults& aEntry, base::Instant aNow) const
{
  const bool hasAny = !aEntry.unstored_.empty() || !aEntry.storing_.empty();
  return hasAny && !aEntry.isCallPending_ && aEntry.retryAt_ <= aNow;
}

void
ResultWriter::Tick(base::Instant aNow)
{
  const bool isAnyDue =
    std::any_of(entries_.begin(), entries_.end(), [&](const auto& aEntry) {
      return CanStore(aEntry.second, aNow) && aEntry.second.storeAt_ <= aNow;
    });
  if (!isAnyDue) {
    return;
  }
  for (auto& [job, entry] : entries_) {
    // A page that may already be stored is written alone, so that the response
    // shows whether it is.
    if (CanStore(entry, aNow) && !entry.storing_.empty()) {
      StoreOne(job, entry);
    }
  }
  while (StoreCombined(aNow) > 0) {
  }
}

std::size_t
ResultWriter::StoreCombined(base::Instant aNow)
{
  metadata::Transaction transaction;
  std::vector<PageWrite> writes;
  std::size_t bytes = 0;
  for (auto& [id, entry] : entries_) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (job == nullptr || !CanStore(entry, aNow) || writes.size() == kMaxJobs ||
        bytes >= kMaxPageBytes) {
      continue;
    }
    writes.push_back(AddPage(transaction, *job, entry));
    for (const batch::ItemResult& result : entry.storing_) {
      bytes += result.output_.size();
    }
  }
  if (!writes.empty()) {
    store_.Commit(
      transaction,
      [this, writes](const metadata::TransactionResponse& aResponse) {
        OnCombinedResponse(writes, aResponse);
      });
  }
  return writes.size();
}

void
ResultWriter::StoreOne(const std::string& aJob, JobResults& aEntry)
{
  const batch::BatchJob* job = jobs_.Find(aJob);
  if (job == nullptr) {
    return;
  }
  metadata::Transaction transaction;
  const PageWrite write = AddPage(transaction, *job, aEntry);
  store_.Commit(transaction,
                [this, write](const metadata::TransactionResponse& aResponse) {
                  OnResponse(write, aResponse);
                });
}

ResultWriter::PageWrite
ResultWriter::AddPage(metadata::Transaction& aTransaction,
                      const batch::BatchJob& aJob,
                      JobResults& aEntry)
{
  // A write without a response may take effect seconds later. The same page is
  // written to the same position until its outcome is known, so a write that
  // takes effect late changes nothing.
  if (aEntry.storing_.empty()) {
    aEntry.storing_ = PopPage(aEntry.unstored_);
  }
  aEntry.isCallPending_ = true;
  PageWrite write;
  write.job_ = aJob.id_;
  write.pageKey_ = jobs_.Keys().MakeKey(
    { aJob.id_, batch::KeyKind::Results, aEntry.nextPosition_ });
  write.stateKey_ = jobs_.Keys().StateKey(aJob.id_);
  write.state_ = aJob.state_;
  write.completesJob_ =
    aEntry.nextPosition_ + aEntry.storing_.size() >= aJob.state_.itemCount_;
  write.state_.isFinished_ = write.completesJob_;
  aTransaction.expectations_.push_back(
    { write.stateKey_, aJob.stateRevision_ });
  aTransaction.expectations_.push_back({ write.pageKey_, 0 });
  aTransaction.writes_.push_back(
    { write.pageKey_, batch::EncodeResults(aEntry.storing_), 0 });
  if (write.completesJob_) {
    aTransaction.writes_.push_back(
      { write.stateKey_, batch::EncodeState(write.state_), 0 });
  }
  return write;
}

void
ResultWriter::OnCombinedResponse(const std::vector<PageWrite>& aWrites,
                                 const metadata::TransactionResponse& aResponse)
{
  const bool isConflict =
    aResponse.status_ == metadata::StoreStatus::Conflict && aWrites.size() > 1;
  for (const PageWrite& write : aWrites) {
    if (!isConflict) {
      OnResponse(write, aResponse);
      continue;
    }
    // A conflict of one job failed the whole transaction, so each job is
    // written separately.
    const auto entry = entries_.find(write.job_);
    if (entry != entries_.end()) {
      entry->second.isCallPending_ = false;
      StoreOne(write.job_, entry->second);
    }
  }
}

void
ResultWriter::OnResponse(const PageWrite& aWrite,
                         const metadata::TransactionResponse& aResponse)
{
  using metadata::StoreStatus;
  const auto found = entries_.find(aWrite.job_);
  if (found == entries_.end()) {
    return;
  }
  JobResults& entry = found->second;
  entry.isCallPending_ = false;
  if (aResponse.status_ == StoreStatus::Ok) {
    RecordStored(entry, aWrite, aResponse.revision_);
    return;
  }
  // After a conflict, the page may have been stored by an earlier attempt
  // without a response.
  std::uint64_t stateRevision = 0;
  bool isStored = false;
  for (const metadata::StoreItem& item : aResponse.current_) {
    isStored =
      isStored || (item.key_ == aWrite.pageKey_ &&
                   item.value_ == batch::EncodeResults(entry.storing_));
    if (item.key_ == aWrite.stateKey_) {
      stateRevision = item.revision_;
    }
  }
  if (aResponse.status_ == StoreStatus::Conflict && isStored) {
    RecordStored(entry, aWrite, stateRevision);
    return;
  }
  base::Log(kResultsNotStored,
            { { "lot", aWrite.job_ },
              { "position", entry.nextPosition_ },
              { "status", static_cast<int>(aResponse.status_) } });
  // A conflict usually means that the job was taken over or cancelled; the
  // watch will report which.
  const bool isConflict = aResponse.status_ == StoreStatus::Conflict;
  entry.retryAt_ =
    base::MonotonicNow() +
    (isConflict ? base::Duration(kConflictDelay) : base::Duration(kRetryDelay));
}

void
ResultWriter::RecordStored(JobResults& aEntry,
                           const PageWrite& aWrite,
                           std::uint64_t aStateRevision)
{
  base::Log(kResultsStored,
            { { "lot", aWrite.job_ },
              { "position", aEntry.nextPosition_ },
              { "count", aEntry.storing_.size() } });
  jobs_.Apply(
    aWrite.pageKey_, batch::EncodeResults(aEntry.storing_), aStateRevision);
  aEntry.nextPosition_ += static_cast<std::uint32_t>(aEntry.storing_.size());
  aEntry.storing_.clear();
  if (aWrite.completesJob_) {
    jobs_.Apply(
      aWrite.stateKey_, batch::EncodeState(aWrite.state_), aStateRevision);
  }
  onStored_(aWrite.job_);
}

bool
ResultWriter::AddUnstored(metadata::Transaction& aTransaction,
                          const batch::BatchJob& aJob)
{
  const auto found = entries_.find(aJob.id_);
  if (found == entries_.end() || found->second.unstored_.empty() ||
      !found->second.storing_.empty()) {
    return false;
  }
  JobResults& entry = found->second;
  const std::string key = jobs_.Keys().MakeKey(
    { aJob.id_, batch::KeyKind::Results, entry.nextPosition_ });
  const std::vector<batch::ItemResult> page = PopPage(entry.unstored_);
  aTransaction.expectations_.push_back({ key, 0 });
  aTransaction.writes_.push_back({ key, batch::EncodeResults(page), 0 });
  return entry.nextPosition_ + page.size() >= aJob.state_.itemCount_;
}

} // namespace pumiceturn::gateway
