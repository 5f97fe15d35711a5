#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibBatch/SpoolFiles.h"
#include "LibGateway/DiskThread.h"
#include "LibGateway/SharedState.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::gateway {

/// Keeps jobs on this host's disk that were accepted while the store could not
/// take them, and stores them once it can. Several hosts keep each job, and any
/// of them stores it; a job that is stored already stays as it is. Belongs to
/// the event thread.
class BatchJobSpool
{
public:
  /// Begins the target of a peer's call that brings a job.
  static constexpr std::string_view kTargetPrefix = "/held/";

  /// @param aFolder    Where the files are.
  /// @param aCapShare  Part of a route's cap that jobs kept on all disks may
  ///   have beyond it, as the ledger can't be asked.
  /// @param aCopies    Hosts that keep each job.
  /// @param aRetention Jobs older than this are dropped: they were stored by
  ///   another host and are removed from the store by now.
  BatchJobSpool(boost::asio::io_context& aContext,
                SharedState& aShared,
                metadata::StoreClient& aStore,
                const metadata::StoreHealth& aHealth,
                const batch::BatchJobTable& aJobs,
                const batch::HostSet& aHosts,
                std::string aOwnName,
                const std::filesystem::path& aFolder,
                base::Duration aRetention,
                double aCapShare,
                std::size_t aCopies);

  /// Reads what a former process of this host has kept.
  void Start();

  /// Keeps a job that a peer brings, and answers once it is on the disk.
  void Spool(const std::shared_ptr<httpstream::Exchange>& aExchange);

  /// Takes no more jobs: the host leaves.
  void SetDraining() { isDraining_ = true; }

  /// Stores what can be stored.
  void Tick(base::Instant aNow, base::WallTime aWallNow);

  [[nodiscard]] bool IsEmpty() const { return spooled_.empty(); }
  [[nodiscard]] std::size_t Count() const { return spooled_.size(); }

private:
  struct Entry
  {
    batch::SpooledJob job_;
    std::uint64_t tokens_ = 0;
    base::Instant since_;
    base::Instant tryAt_;
    bool isWritten_ = false;
    /// Those who brought it and wait for the write under way.
    std::vector<std::shared_ptr<httpstream::Exchange>> waiting_{};
  };

  /// A job on a capped route that this host kept until it was stored.
  struct StoredBatchJob
  {
    std::string ledger_;
    std::uint64_t tokens_ = 0;
    base::Instant at_;
  };

  void OnWritten(const std::string& aJob, const batch::WriteOutcome& aOutcome);

  /// @return the job's route, if it bounds the tokens that may wait.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const batch::SpooledJob& aJob) const;
  /// @return the name of the job's ledger, empty where its route has no cap.
  [[nodiscard]] std::string LedgerOf(const batch::SpooledJob& aJob) const;
  [[nodiscard]] std::uint64_t TokensOf(const batch::SpooledJob& aJob) const;

  /// @return whether another organisation has a job under the same id.
  [[nodiscard]] bool IsAnothers(const batch::SpooledJob& aJob) const;

  /// @return whether a job may be kept here by its route's cap.
  [[nodiscard]] bool IsWithinCap(const batch::SpooledJob& aJob,
                                 std::uint64_t aTokens) const;
  void Store(Entry& aEntry, base::Instant aNow);
  /// @param aLedger The ledger that was part of the call, though a
  ///   configuration may have changed its route's cap since; empty: none was.
  void OnStored(const std::string& aJob,
                const std::string& aLedger,
                const metadata::TransactionResponse& aResponse);
  void Drop(const std::string& aJob, std::string_view aReason);
  [[nodiscard]] std::size_t Bytes() const;

  SharedState& shared_;
  metadata::StoreClient& store_;
  const metadata::StoreHealth& health_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  base::Duration retention_;
  double capShare_;
  std::size_t copies_;
  /// Used on the disk's thread only, as the thread ends before it.
  batch::SpoolFiles files_;
  DiskThread disk_;
  std::map<std::string, Entry> spooled_;
  std::vector<StoredBatchJob> stored_; ///< Lately.
  bool isDraining_ = false;
};

} // namespace pumiceturn::gateway
