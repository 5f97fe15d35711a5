#pragma once

#include "LibBase/Time.h"
#include "LibBatch/BatchJobTable.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Stores the results of the jobs that this host runs. Results are batched to
/// save store calls, except those that are due soon. Must be used on the event
/// thread.
class ResultWriter
{
public:
  /// Called with each job whose results were stored.
  using StoredHandler = std::function<void(const std::string&)>;

  ResultWriter(metadata::StoreClient& aStore,
               batch::BatchJobTable& aJobs,
               StoredHandler aOnStored)
    : store_(aStore)
    , jobs_(aJobs)
    , onStored_(std::move(aOnStored))
  {
  }

  /// Starts accepting results of a job, after those already in the store.
  void Begin(const batch::BatchJob& aJob);

  /// Discards the unstored results of a job.
  void Forget(const std::string& aJob) { entries_.erase(aJob); }

  /// Queues a result.
  /// @param aDueAt When the result must be readable.
  void Add(const std::string& aJob,
           batch::ItemResult aResult,
           base::Instant aDueAt,
           base::Instant aNow);

  /// @return whether a write is pending or has an unknown outcome.
  [[nodiscard]] bool IsStoring(const std::string& aJob) const;

  /// Stores queued results if any are due.
  void Tick(base::Instant aNow);

  /// Adds the queued results to the transaction that hands a job over.
  /// @return whether this completes the job's results.
  [[nodiscard]] bool AddUnstored(metadata::Transaction& aTransaction,
                                 const batch::BatchJob& aJob);

private:
  struct Entry
  {
    std::vector<batch::ItemResult> unstored_{};
    std::vector<batch::ItemResult> storing_{}; ///< In the pending write.
    std::uint32_t nextPosition_ = 0;
    bool isCallPending_ = false;
    base::Instant storeAt_{}; ///< When unstored_ is due.
    base::Instant retryAt_{};
  };

  /// A page of one job's results in a transaction.
  struct PageWrite
  {
    std::string job_;
    std::string pageKey_;
    std::string stateKey_;
    batch::BatchJobState state_; ///< State after the write.
    bool finishes_ = false;
  };

  [[nodiscard]] bool CanStore(const Entry& aEntry, base::Instant aNow) const;
  [[nodiscard]] std::size_t StoreBatch(base::Instant aNow);
  void StoreOne(const std::string& aJob, Entry& aEntry);
  [[nodiscard]] PageWrite AddPage(metadata::Transaction& aTransaction,
                                  const batch::BatchJob& aJob,
                                  Entry& aEntry);
  void OnBatchResponse(const std::vector<PageWrite>& aWrites,
                       const metadata::TransactionResponse& aResponse);
  void OnResponse(const PageWrite& aWrite,
                  const metadata::TransactionResponse& aResponse);
  void RecordStored(Entry& aEntry,
                    const PageWrite& aWrite,
                    std::uint64_t aStateRevision);

  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  StoredHandler onStored_;
  std::map<std::string, Entry> entries_; ///< Keyed by job ID.
};

} // namespace pumiceturn::gateway
