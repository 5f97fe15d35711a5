#include "LibGateway/ProgressWriter.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Minimum interval between two transactions of a host. If the host fails, its
/// items lose their output since the last one.
constexpr std::chrono::milliseconds kInterval{ 1000 };

/// Interval per registered host; all hosts together make at most 20
/// transactions per second, a twentieth of the store's limit on writes.
constexpr std::chrono::milliseconds kIntervalPerHost{ 50 };

/// Maximum number of jobs in one transaction. Each takes one expectation and
/// one write, and the store allows 32 entries.
constexpr std::size_t kMaxJobs = 15;

/// Maximum total output in one transaction. The output of a single job must
/// also fit into a value, which the store limits to 1 MB in base64.
constexpr std::size_t kMaxBytes = 400000;

std::size_t
SizeOf(const BatchJobProgress& aJob)
{
  std::size_t bytes = 0;
  for (const auto& [item, partial] : aJob.outputs_) {
    bytes += item.size() + partial.output_.size();
  }
  return bytes;
}

} // namespace

ProgressWriter::ProgressWriter(metadata::StoreClient& aStore,
                               const batch::BatchJobKeySpace& aKeys)
  : store_(aStore)
  , keys_(aKeys)
{
}

bool
ProgressWriter::IsDue(std::size_t aHostCount, base::Instant aNow) const
{
  const base::Duration interval =
    std::max<base::Duration>(kInterval, kIntervalPerHost * aHostCount);
  return !isStoring_ && aNow - lastStoreAt_ >= interval;
}

bool
ProgressWriter::HasAdvanced(const BatchJobProgress& aJob) const
{
  const auto stored = stored_.find(aJob.job_);
  return std::any_of(
    aJob.outputs_.begin(), aJob.outputs_.end(), [&](const auto& aEntry) {
      if (stored == stored_.end()) {
        return true;
      }
      const auto event = stored->second.events_.find(aEntry.first);
      return event == stored->second.events_.end() ||
             event->second < aEntry.second.lastEvent_;
    });
}

base::Instant
ProgressWriter::StoredAt(const BatchJobProgress& aJob) const
{
  const auto stored = stored_.find(aJob.job_);
  return stored == stored_.end() ? base::Instant{} : stored->second.at_;
}

void
ProgressWriter::Store(std::vector<BatchJobProgress> aJobs, base::Instant aNow)
{
  std::erase_if(
    aJobs, [this](const BatchJobProgress& aJob) { return !HasAdvanced(aJob); });
  std::stable_sort(
    aJobs.begin(),
    aJobs.end(),
    [this](const BatchJobProgress& aLeft, const BatchJobProgress& aRight) {
      return StoredAt(aLeft) < StoredAt(aRight);
    });
  metadata::Transaction transaction;
  std::vector<BatchJobProgress> sent;
  std::size_t bytes = 0;
  for (BatchJobProgress& job : aJobs) {
    const std::size_t size = SizeOf(job);
    if (sent.size() == kMaxJobs || bytes + size > kMaxBytes) {
      continue;
    }
    bytes += size;
    // Expect the job's state to be unchanged: after it was closed or taken
    // over, its keys may already be removed.
    transaction.expectations_.push_back(
      { keys_.StateKey(job.job_), job.stateRevision_ });
    transaction.writes_.push_back(
      { keys_.MakeKey({ job.job_, batch::KeyKind::Progress, 0 }),
        batch::EncodeProgress(job.outputs_),
        0 });
    sent.push_back(std::move(job));
  }
  if (sent.empty()) {
    return;
  }
  lastStoreAt_ = aNow;
  isStoring_ = true;
  store_.Commit(
    transaction,
    lifetime_.Guard([this, sent = std::move(sent), aNow](
                      const metadata::TransactionResponse& aResponse) {
      isStoring_ = false;
      // After a failure, the next transaction stores newer
      // progress. After a conflict, the watch reports that the job
      // was closed or taken over.
      if (aResponse.status_ != metadata::StoreStatus::Ok) {
        return;
      }
      for (const BatchJobProgress& job : sent) {
        RecordStored(job, aNow);
      }
    }));
}

void
ProgressWriter::RecordStored(const BatchJobProgress& aJob, base::Instant aNow)
{
  Stored& stored = stored_[aJob.job_];
  stored.at_ = aNow;
  stored.events_.clear();
  for (const auto& [item, partial] : aJob.outputs_) {
    stored.events_[item] = partial.lastEvent_;
  }
}

} // namespace pumiceturn::gateway
