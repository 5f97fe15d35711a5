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

/// What one job of this host has waiting.
struct WaitingBatchJob
{
  std::string job_;
  std::string ledger_;
  std::uint64_t cap_ = 0;    ///< Of the ledger.
  std::uint64_t tokens_ = 0; ///< 0: nothing is left of it.
};

/// Keeps this host's rows in the ledgers of capped routes true: lowers those of
/// the jobs that it runs, and removes those of closed ones. A row that is too
/// high makes an entry host refuse a job that fits, so rows follow quickly
/// where a ledger is near its cap, and seldom elsewhere, as each change is a
/// call that is charged. Belongs to the event thread.
class LedgerWriter
{
public:
  LedgerWriter(SharedState& aShared,
               metadata::StoreClient& aStore,
               const batch::BatchJobTable& aJobs,
               const batch::HostSet& aHosts,
               std::string aOwnName);

  /// @param aOwn Jobs that this host runs, with what waits of each.
  void Tick(const std::vector<WaitingBatchJob>& aOwn, base::Instant aNow);

private:
  struct LedgerUpdate
  {
    std::uint64_t cap_ = 0;
    base::Instant nextAt_{};
    base::Instant committedAt_{};
    base::Instant usedAt_{};      ///< By jobs of this host.
    std::uint64_t mostSince_ = 0; ///< Own tokens at their most since then.
    bool isUnderWay_ = false;
    std::set<std::string> running_; ///< Own jobs at the last look.
    /// Jobs of this host with nothing left, until a ledger without their rows
    /// is stored. The view alone doesn't tell: it may be older than a row.
    std::set<std::string> closed_;
  };

  void Update(const std::string& aLedger,
              const std::vector<WaitingBatchJob>& aOwn,
              base::Instant aNow);
  static void RecordOwn(LedgerUpdate& aUpdate,
                      const std::string& aLedger,
                      const std::vector<WaitingBatchJob>& aOwn);
  [[nodiscard]] batch::TokenLedger Corrected(
    const std::string& aLedger,
    const std::vector<WaitingBatchJob>& aOwn,
    base::Instant aNow);
  [[nodiscard]] bool IsToBeRemoved(const std::string& aJob, base::Instant aNow);
  void Commit(const std::string& aLedger, const batch::TokenLedger& aContent);
  [[nodiscard]] base::Duration PauseFor(const std::string& aLedger,
                                        const LedgerUpdate& aUpdate) const;

  SharedState& shared_;
  metadata::StoreClient& store_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  /// By ledger. One that has been quiet for long is forgotten.
  std::unordered_map<std::string, LedgerUpdate> updates_;
  /// Jobs with a row that are not known here, since when.
  std::unordered_map<std::string, base::Instant> unknownSince_;
};

} // namespace pumiceturn::gateway
