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

/// Stores the results of the jobs that this host runs, those of a short while
/// together: a call is charged whatever it holds. Results that are due soon
/// don't wait for others. Belongs to the event thread.
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

  /// This host runs a job from now on.
  void Begin(const batch::BatchJob& aJob);

  /// This host runs a job no longer.
  void Forget(const std::string& aJob) { entries_.erase(aJob); }

  /// @param aDueAt When the result must be readable.
  void Add(const std::string& aJob,
           batch::ItemResult aResult,
           base::Instant aDueAt,
           base::Instant aNow);

  /// @return whether a call is under way, or was and has no known outcome.
  [[nodiscard]] bool IsStoring(const std::string& aJob) const;

  /// Stores what is due.
  void Tick(base::Instant aNow);

  /// Adds what isn't stored yet to the call that hands a job over.
  /// @return whether the job has all its results with that.
  [[nodiscard]] bool AddTo(metadata::Transaction& aTransaction,
                           const batch::BatchJob& aJob);

private:
  struct Entry
  {
    std::vector<batch::ItemResult> unstored_{};
    std::vector<batch::ItemResult> storing_{}; ///< In the call under way.
    std::uint32_t nextPosition_ = 0;
    bool callUnderWay_ = false;
    base::Instant storeAt_{}; ///< Of what is unstored.
    base::Instant retryAt_{};
  };

  /// A page of one job's results in a call.
  struct PageWrite
  {
    std::string job_;
    std::string pageKey_;
    std::string stateKey_;
    batch::BatchJobState state_; ///< As it is afterwards.
    bool finishes_ = false;
  };

  [[nodiscard]] bool MayStore(const Entry& aEntry, base::Instant aNow) const;
  [[nodiscard]] std::size_t StoreTogether(base::Instant aNow);
  void StoreAlone(const std::string& aJob, Entry& aEntry);
  [[nodiscard]] PageWrite AddPage(metadata::Transaction& aTransaction,
                                  const batch::BatchJob& aJob,
                                  Entry& aEntry);
  void OnResponseTogether(const std::vector<PageWrite>& aWrites,
                          const metadata::TransactionResponse& aResponse);
  void OnResponse(const PageWrite& aWrite,
                  const metadata::TransactionResponse& aResponse);
  void NoteStored(Entry& aEntry,
                  const PageWrite& aWrite,
                  std::uint64_t aStateRevision);

  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
  StoredHandler onStored_;
  std::map<std::string, Entry> entries_; ///< By job.
};

} // namespace pumiceturn::gateway
