#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibGateway/SharedState.h"
#include "LibMetadata/StoreClient.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// The waiting tokens of one job of this host.
struct WaitingBatchJob
{
  std::string job_;
  std::string ledger_;
  std::uint64_t cap_ = 0;    ///< Token cap of the ledger.
  std::uint64_t tokens_ = 0; ///< 0: the job is closed.
};

/// Updates this host's rows in the ledgers of capped routes: decreases the rows
/// of its open jobs and removes those of closed ones. A row that is too high
/// causes hosts to reject jobs that would fit, so ledgers near their cap are
/// updated often, and others seldom to save store calls. Must be used on the
/// event thread.
class LedgerWriter
{
public:
  LedgerWriter(SharedState& aShared,
               metadata::StoreClient& aStore,
               const batch::BatchJobTable& aJobs,
               const batch::HostSet& aHosts,
               std::string aOwnName);

  /// Updates the ledgers that are due.
  /// @param aJobs Waiting tokens of this host's jobs.
  void Tick(const std::vector<WaitingBatchJob>& aJobs, base::Instant aNow);

private:
  struct LedgerRecord
  {
    std::uint64_t cap_ = 0;
    base::Instant nextAt_{};
    base::Instant committedAt_{};
    base::Instant usedAt_{}; ///< Last time this host had open jobs on it.
    std::uint64_t maxTokens_ =
      0; ///< Maximum tokens of this host's jobs since the last commit.
    bool isCommitting_ = false;
    std::set<std::string>
      openJobs_; ///< This host's open jobs at the last tick.
    /// Closed jobs, until a ledger without their rows is stored. A cached
    /// ledger without a job's row doesn't prove that the row is removed: it may
    /// have been read before the row was added.
    std::set<std::string> closedJobs_;
  };

  void Update(const std::string& aLedger,
              const std::vector<WaitingBatchJob>& aJobs,
              base::Instant aNow);
  static void RecordJobs(LedgerRecord& aRecord,
                         const std::string& aLedger,
                         const std::vector<WaitingBatchJob>& aJobs);
  [[nodiscard]] batch::TokenLedger MakeCorrected(
    const std::string& aLedger,
    const std::vector<WaitingBatchJob>& aJobs,
    base::Instant aNow);
  [[nodiscard]] bool ShouldRemove(const std::string& aJob, base::Instant aNow);
  void Commit(const std::string& aLedger, const batch::TokenLedger& aContent);
  [[nodiscard]] base::Duration IntervalFor(const std::string& aLedger,
                                           const LedgerRecord& aRecord) const;

  SharedState& shared_;
  metadata::StoreClient& store_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  /// Keyed by ledger name. Idle entries are removed.
  std::unordered_map<std::string, LedgerRecord> records_;
  /// When each job with a row but no known state was first seen.
  std::unordered_map<std::string, base::Instant> unknownSince_;
};

} // namespace pumiceturn::gateway
