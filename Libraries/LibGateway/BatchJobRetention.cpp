#include "LibGateway/BatchJobRetention.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// How often a host looks for jobs to remove.
constexpr std::chrono::seconds kLookInterval{ 5 };

/// Jobs that a host removes at a time: two calls each, spread over time.
constexpr std::size_t kMostAtOnce = 4;

/// Keys in one transaction, of the platform's 32.
constexpr std::size_t kMostRemovals = 30;

/// An open job is removed too when it is this many times as old: its route has
/// gone, or its sender never came back.
constexpr int kOpenJobFactor = 10;

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
BatchJobRetention::IsOver(const batch::BatchJob& aJob,
                          base::WallTime aWallNow) const
{
  const base::Duration age =
    aWallNow - base::FromUnixMs(aJob.state_.acceptedAtMs_);
  return age > (aJob.IsOpen() ? retention_ * kOpenJobFactor : retention_);
}

void
BatchJobRetention::Tick(base::Instant aNow, base::WallTime aWallNow)
{
  if (aNow < nextLook_) {
    return;
  }
  nextLook_ = aNow + kLookInterval;
  for (const std::string& id : jobs_.AllJobs()) {
    if (underWay_ >= kMostAtOnce) {
      return;
    }
    if (IsOver(*jobs_.Find(id), aWallNow) && hosts_.OwnerFor(id) == ownName_) {
      Remove(id);
    }
  }
}

void
BatchJobRetention::Remove(const std::string& aJob)
{
  ++underWay_;
  store_.Range(
    jobs_.Keys().DataOf(aJob),
    {},
    [this, aJob](metadata::RangeResponse aResponse) {
      if (aResponse.status_ != metadata::StoreStatus::Ok) {
        --underWay_;
        return;
      }
      const std::size_t count =
        std::min(aResponse.items_.size(), kMostRemovals);
      metadata::Transaction transaction;
      for (std::size_t index = 0; index < count; ++index) {
        transaction.removals_.push_back(
          std::move(aResponse.items_[index].key_));
      }
      // The state goes last: as long as it is there, a later look goes on.
      const bool isLast =
        count == aResponse.items_.size() && !aResponse.isTruncated_;
      if (isLast) {
        transaction.removals_.push_back(jobs_.Keys().StateOf(aJob));
      }
      base::Log(kBatchJobRemoved,
                { { "lot", aJob }, { "keys", count }, { "last", isLast } });
      store_.Commit(transaction, [this](const metadata::TransactionResponse&) {
        --underWay_;
      });
    });
}

} // namespace pumiceturn::gateway
