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

/// Keeps jobs on this host's disk while the store is unavailable, and writes
/// them to the store later. Several hosts spool each job, and any of them may
/// store it; storing a job again has no effect. Must be used on the event
/// thread.
class BatchJobSpool
{
public:
  /// Prefix of the request target with which a peer sends a job.
  static constexpr std::string_view kTargetPrefix = "/held/";

  /// @param aFolder The folder of the spool files.
  /// @param aCapOverage Tokens that spooled jobs on all hosts may use beyond a
  ///   route's cap, as a share of the cap. Bounds the excess while the ledger
  ///   cannot be read.
  /// @param aCopies Number of hosts that spool each job.
  /// @param aRetention Jobs that are older than this when they are read from
  ///   disk at the start are dropped: another host has stored them while this
  ///   one was down, and they have since been removed from the store.
  BatchJobSpool(boost::asio::io_context& aContext,
                SharedState& aShared,
                metadata::StoreClient& aStore,
                const metadata::StoreHealth& aHealth,
                const batch::BatchJobTable& aJobs,
                const batch::HostSet& aHosts,
                std::string aOwnName,
                const std::filesystem::path& aFolder,
                base::Duration aRetention,
                double aCapOverage,
                std::size_t aCopies);

  /// Reads the jobs that a previous process has spooled. Tick() reads again
  /// after an error.
  void Start();

  /// Spools a job sent by a peer, and responds once it is on disk.
  void Spool(const std::shared_ptr<httpstream::Exchange>& aExchange);

  /// Rejects new jobs, because this host is shutting down.
  void SetDraining() { isDraining_ = true; }

  /// Stores spooled jobs when the store is available, and drops those that are
  /// stored or expired.
  void Tick(base::Instant aNow, base::WallTime aWallNow);

  /// @return whether this host's disk holds no job. False until the jobs of the
  ///   previous process have been read.
  [[nodiscard]] bool IsEmpty() const { return isRead_ && spooled_.empty(); }
  [[nodiscard]] std::size_t Count() const { return spooled_.size(); }

private:
  struct SpoolRecord
  {
    batch::SpooledJob job_;
    std::uint64_t tokens_ = 0;
    base::Instant spooledAt_;
    base::Instant nextAttemptAt_;
    bool isWritten_ = false;
    /// Whether the job was just read from disk, so that it may have been
    /// finished while the host was down. Any other job is dropped only once the
    /// store has it.
    bool isJustRead_ = false;
    /// Requests to respond to once the pending write is done.
    std::vector<std::shared_ptr<httpstream::Exchange>> pendingExchanges_{};
  };

  /// A job on a capped route that was recently removed from the spool, because
  /// it was stored or is too old.
  struct DroppedJob
  {
    std::string ledger_;
    std::uint64_t tokens_ = 0;
    base::Instant at_;
  };

  /// Spools a job that isn't spooled yet, unless there is no room for it or
  /// this host is shutting down.
  void SpoolNew(batch::SpooledJob aJob,
                const std::shared_ptr<httpstream::Exchange>& aExchange);
  void OnRead(batch::SpoolReadOutcome& aOutcome);
  void OnWritten(const std::string& aJob,
                 const batch::SpoolWriteOutcome& aOutcome);

  /// @return the job's route, or nullptr if it has no cap on waiting tokens.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const batch::SpooledJob& aJob) const;
  /// @return the name of the job's ledger, or an empty string if its route has
  ///   no cap.
  [[nodiscard]] std::string LedgerNameOf(const batch::SpooledJob& aJob) const;
  [[nodiscard]] std::uint64_t TokensOf(const batch::SpooledJob& aJob) const;

  /// @return whether the ID is used by another organisation's job.
  [[nodiscard]] bool BelongsToAnotherOrganisation(
    const batch::SpooledJob& aJob) const;

  /// @return whether spooling the job keeps within the share allowed beyond the
  ///   cap of its route.
  [[nodiscard]] bool FitsOverage(const batch::SpooledJob& aJob,
                                 std::uint64_t aTokens) const;
  void Store(SpoolRecord& aEntry, base::Instant aNow);
  /// @param aLedger Ledger that was part of the transaction; empty: none. The
  ///   route's cap may have changed since.
  void OnStoreResponse(const std::string& aJob,
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
  double capOverage_;
  std::size_t copies_;
  /// Used on the disk thread only. Declared before it, so that the thread ends
  /// first.
  batch::SpoolFiles files_;
  DiskThread disk_;
  std::map<std::string, SpoolRecord> spooled_;
  std::vector<DroppedJob>
    recentlyDropped_; ///< Dropped within the last kLedgerLag.
  bool isDraining_ = false;
  bool isRead_ = false; ///< Whether all jobs on disk have been read.
  bool isReading_ = false;
  base::Instant nextReadAt_; ///< After an error.
};

} // namespace pumiceturn::gateway
