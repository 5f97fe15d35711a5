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

/// Stores the results of the jobs that this host runs. Results are collected
/// for a short time, so that those of several jobs can be stored in one
/// transaction, as each call is charged whatever it contains; results that are
/// due soon are stored immediately. Must be used on the event thread.
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

  /// Prepares storing the results of a job; their positions follow those
  /// already stored.
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

  /// Adds up to a page of queued results to the transaction that hands a job
  /// over, unless an earlier write is pending or has no known outcome.
  /// @return whether this completes the job's results.
  [[nodiscard]] bool AddUnstored(metadata::Transaction& aTransaction,
                                 const batch::BatchJob& aJob);

private:
  struct JobResults
  {
    std::vector<batch::ItemResult> unstored_{};
    /// The page being stored, kept until the outcome of its write is known.
    std::vector<batch::ItemResult> storing_{};
    std::uint32_t nextPosition_ = 0;
    bool isCallPending_ = false;
    base::Instant storeAt_{}; ///< When unstored_ must be written.
    base::Instant retryAt_{};
  };

  /// A page of one job's results in a transaction.
  struct PageWrite
  {
    std::string job_;
    std::string pageKey_;
    std::string stateKey_;
    batch::BatchJobState state_; ///< State after the write.
    bool completesJob_ = false;
  };

  [[nodiscard]] bool CanStore(const JobResults& aEntry,
                              base::Instant aNow) const;
  [[nodiscard]] std::size_t StoreCombined(base::Instant aNow);
  void StoreOne(const std::string& aJob, JobResults& aEntry);
  [[nodiscard]] PageWrite AddPage(metadata::Transaction& aTransaction,
                                  const batch::BatchJob& aJob,
                                  JobResults& aEntry);
  void OnCombinedResponse(const std::vector<PageWrite>& aWrites,
                          const metadata::TransactionResponse& aResponse);
  void OnResponse(const PageWrite& aWrite,
                  const metadata::TransactionResponse& aResponse);
  void RecordStored(JobResults& aEntry,
                    const PageWrite& aWrite,
                    std::uint64_t aStateRevision);

  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  StoredHandler onStored_;
  std::map<std::string, JobResults> entries_; ///< Keyed by job ID.
};

} // namespace pumiceturn::gateway
