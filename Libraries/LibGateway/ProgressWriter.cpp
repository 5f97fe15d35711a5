#include "LibGateway/ProgressWriter.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Shortest time between two calls of a host: what a failure costs an item.
constexpr std::chrono::milliseconds kInterval{ 1000 };

/// Each host's share of the calls; all hosts together make 20 a second, a
/// twentieth of what the platform allows.
constexpr std::chrono::milliseconds kIntervalOfEachHost{ 50 };

/// Jobs in one call: an expectation and a write each, of the platform's 32.
constexpr std::size_t kMaxJobs = 15;

/// Output in one call. The store takes values up to 1 MB in base64.
constexpr std::size_t kMostBytes = 400000;

std::size_t
SizeOf(const BatchJobProgress& aJob)
{
  std::size_t bytes = 0;
  for (const auto& [item, run] : aJob.runs_) {
    bytes += item.size() + run.output_.size();
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
ProgressWriter::IsDue(std::size_t aHosts, base::Instant aNow) const
{
  const base::Duration interval =
    std::max<base::Duration>(kInterval, kIntervalOfEachHost * aHosts);
  return !isUnderWay_ && aNow - last_ >= interval;
}

bool
ProgressWriter::HasAdvanced(const BatchJobProgress& aJob) const
{
  const auto stored = stored_.find(aJob.job_);
  return std::any_of(
    aJob.runs_.begin(), aJob.runs_.end(), [&](const auto& aRun) {
      if (stored == stored_.end()) {
        return true;
      }
      const auto event = stored->second.events_.find(aRun.first);
      return event == stored->second.events_.end() ||
             event->second < aRun.second.lastEvent_;
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
    if (sent.size() == kMaxJobs || bytes + size > kMostBytes) {
      continue;
    }
    bytes += size;
    // A job that was closed or taken over gets no more progress: its keys may
    // be removed already.
    transaction.expectations_.push_back(
      { keys_.StateOf(job.job_), job.stateRevision_ });
    transaction.writes_.push_back(
      { keys_.MakeKey({ job.job_, batch::KeyPart::Progress, 0 }),
        batch::EncodeProgress(job.runs_),
        0 });
    sent.push_back(std::move(job));
  }
  if (sent.empty()) {
    return;
  }
  last_ = aNow;
  isUnderWay_ = true;
  store_.Commit(transaction,
                [this, sent = std::move(sent), aNow](
                  const metadata::TransactionResponse& aResponse) {
                  isUnderWay_ = false;
                  // After a failure the next call has newer progress; after a
                  // conflict the mirror tells which job is another's now.
                  if (aResponse.status_ != metadata::StoreStatus::Ok) {
                    return;
                  }
                  for (const BatchJobProgress& job : sent) {
                    NoteStored(job, aNow);
                  }
                });
}

void
ProgressWriter::NoteStored(const BatchJobProgress& aJob, base::Instant aNow)
{
  Stored& stored = stored_[aJob.job_];
  stored.at_ = aNow;
  stored.events_.clear();
  for (const auto& [item, run] : aJob.runs_) {
    stored.events_[item] = run.lastEvent_;
  }
}

} // namespace pumiceturn::gateway
