#include "LibGateway/BatchJobRetention.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Interval between scans for expired jobs.
constexpr std::chrono::seconds kScanInterval{ 5 };

/// Maximum number of jobs that a host removes concurrently. Each takes at least
/// two store calls, which are thus spread over time.
constexpr std::size_t kMaxConcurrentRemovals = 4;

/// Maximum number of data keys per transaction. The store allows 32 entries,
/// and the state key may be added.
constexpr std::size_t kMaxKeysPerTransaction = 30;

/// Multiple of the retention after which an open job is removed too: its route
/// was removed, or its submitter never returned.
constexpr int kOpenJobRetentionFactor = 10;

} // namespace

BatchJobRetention::BatchJobRetention(metadata::StoreClient& aStore,
                                     const batch::BatchJobTable& aJobs,
                                     const batch::HostSet& aHosts,
                                     std::string aOwnName,
                                     base::Duration aRetention)
  : store_(aStore)
  , jobs_(aJobs)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , retention_(aRetention)
{
}

bool
BatchJobRetention::IsExpired(const batch::BatchJob& aJob,
                             base::WallTime aWallNow) const
{
  const base::Duration age =
    aWallNow - base::FromUnixMs(aJob.state_.acceptedAtMs_);
  return age >
         (aJob.IsOpen() ? retention_ * kOpenJobRetentionFactor : retention_);
}

void
BatchJobRetention::Tick(base::Instant aNow, base::WallTime aWallNow)
{
  if (aNow < nextScan_) {
    return;
  }
  nextScan_ = aNow + kScanInterval;
  for (const std::string& id : jobs_.AllJobs()) {
    if (pendingRemovals_ >= kMaxConcurrentRemovals) {
      return;
    }
    if (IsExpired(*jobs_.Find(id), aWallNow) &&
        hosts_.AssignedOwner(id) == ownName_) {
      Remove(id);
    }
  }
}

void
BatchJobRetention::Remove(const std::string& aJob)
{
  ++pendingRemovals_;
  store_.Range(
    jobs_.Keys().DataPrefix(aJob),
    {},
    metadata::ReadConsistency::Linearizable,
    [this, aJob](metadata::RangeResponse aResponse) {
      if (aResponse.status_ != metadata::StoreStatus::Ok) {
        --pendingRemovals_;
        return;
      }
      const std::size_t count =
        std::min(aResponse.items_.size(), kMaxKeysPerTransaction);
      metadata::Transaction transaction;
      for (std::size_t index = 0; index < count; ++index) {
        transaction.removals_.push_back(
          std::move(aResponse.items_[index].key_));
      }
      // The state is removed last, so that later scans continue an incomplete
      // removal.
      const bool isLast =
        count == aResponse.items_.size() && !aResponse.isTruncated_;
      if (isLast) {
        transaction.removals_.push_back(jobs_.Keys().StateKey(aJob));
      }
      base::Log(kBatchJobRemoved,
                { { "lot", aJob }, { "keys", count }, { "last", isLast } });
      store_.Commit(transaction, [this](const metadata::TransactionResponse&) {
        --pendingRemovals_;
      });
    });
}

} // namespace pumiceturn::gateway
