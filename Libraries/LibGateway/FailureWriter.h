#pragma once

#include "LibBase/Lifetime.h"
#include "LibBatch/BatchJobTable.h"
#include "LibBatch/ItemFailures.h"
#include "LibMetadata/StoreClient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Stores how often the items of this host's jobs failed, so that the next
/// owner counts on. Writes at once, and for several jobs in one transaction if
/// more failures come while one is stored. Must be used on the event thread.
class FailureWriter
{
public:
  /// Called with a job and the failures that its record has.
  using StoredHandler =
    std::function<void(const std::string&, const batch::FailureCounts&)>;

  FailureWriter(metadata::StoreClient& aStore,
                batch::BatchJobTable& aJobs,
                StoredHandler aOnStored);

  /// Queues the failures of a job for its record.
  void Add(const std::string& aJob, const batch::FailureCounts& aFailures);

  /// Stores what is queued, unless a transaction is pending or the last one was
  /// too recent.
  /// @param aHostCount Number of registered hosts; the interval grows with it
  ///   to bound their combined call rate.
  void Store(std::size_t aHostCount, base::Instant aNow);

  /// Discards the queued failures of a job that this host no longer runs.
  void Forget(const std::string& aJob) { unstored_.erase(aJob); }

private:
  struct Unstored
  {
    batch::FailureCounts failures_;
    base::Instant retryAt_{};
  };

  /// The record of one job in a transaction.
  struct RecordWrite
  {
    std::string job_;
    std::string key_;
    std::uint64_t expectedRevision_ = 0;
    std::string stateKey_;
    std::uint64_t stateRevision_ = 0;
    batch::FailureCounts failures_;
  };

  [[nodiscard]] RecordWrite MakeWrite(const batch::BatchJob& aJob,
                                      const Unstored& aUnstored) const;
  void OnResponse(const std::vector<RecordWrite>& aWrites,
                  const metadata::TransactionResponse& aResponse);
  void OnConflict(const RecordWrite& aWrite,
                  const metadata::TransactionResponse& aResponse);
  void RecordStored(const RecordWrite& aWrite, std::uint64_t aRevision);
  void RetryAfter(const std::string& aJob, base::Duration aDelay);

  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  StoredHandler onStored_;
  std::map<std::string, Unstored> unstored_; ///< Keyed by job ID.
  base::Instant lastStoreAt_{};
  bool isStoring_ = false;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
