#pragma once

#include "LibGateway/DiskThread.h"
#include "LibGateway/Shared.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibLots/HeldLotFiles.h"
#include "LibLots/HostSet.h"
#include "LibLots/LotTable.h"
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

/// Keeps lots on this host's disk that were accepted while the store could not
/// take them, and stores them once it can. Several hosts keep each lot, and any
/// of them stores it; a lot that is stored already stays as it is. Belongs to
/// the event thread.
class HeldLots
{
public:
  /// Begins the target of a peer's call that brings a lot.
  static constexpr std::string_view kTargetPrefix = "/held/";

  /// @param aFolder    Where the files are.
  /// @param aCapShare  Part of a route's cap that lots kept on all disks may
  ///   have beyond it, as the ledger can't be asked.
  /// @param aCopies    Hosts that keep each lot.
  /// @param aRetention Lots older than this are dropped: they were stored by
  ///   another host and are removed from the store by now.
  HeldLots(boost::asio::io_context& aContext,
           Shared& aShared,
           metadata::StoreClient& aStore,
           const metadata::StoreHealth& aHealth,
           const lots::LotTable& aLots,
           const lots::HostSet& aHosts,
           std::string aOwnName,
           const std::filesystem::path& aFolder,
           base::Duration aRetention,
           double aCapShare,
           std::size_t aCopies);

  /// Reads what a former process of this host has kept.
  void Start();

  /// Keeps a lot that a peer brings, and answers once it is on the disk.
  void Hold(const std::shared_ptr<httpstream::Exchange>& aExchange);

  /// Takes no more lots: the host leaves.
  void SetLeaving() { isLeaving_ = true; }

  /// Stores what can be stored.
  void Tick(base::Instant aNow, base::WallTime aWallNow);

  [[nodiscard]] bool IsEmpty() const { return held_.empty(); }
  [[nodiscard]] std::size_t Count() const { return held_.size(); }

private:
  struct Entry
  {
    lots::HeldLot lot_;
    std::uint64_t tokens_ = 0;
    base::Instant since_;
    base::Instant tryAt_;
    bool isWritten_ = false;
    /// Those who brought it and wait for the write under way.
    std::vector<std::shared_ptr<httpstream::Exchange>> waiting_{};
  };

  /// A lot on a capped route that this host kept until it was stored.
  struct StoredLot
  {
    std::string ledger_;
    std::uint64_t tokens_ = 0;
    base::Instant at_;
  };

  void OnWritten(const std::string& aLot, const lots::WriteOutcome& aOutcome);

  /// @return the lot's route, if it bounds the tokens that may wait.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const lots::HeldLot& aLot) const;
  /// @return the name of the lot's ledger, empty where its route has no cap.
  [[nodiscard]] std::string LedgerOf(const lots::HeldLot& aLot) const;
  [[nodiscard]] std::uint64_t TokensOf(const lots::HeldLot& aLot) const;

  /// @return whether another organisation has a lot under the same id.
  [[nodiscard]] bool IsAnothers(const lots::HeldLot& aLot) const;

  /// @return whether a lot may be kept here by its route's cap.
  [[nodiscard]] bool IsWithinCap(const lots::HeldLot& aLot,
                                 std::uint64_t aTokens) const;
  void Store(Entry& aEntry, base::Instant aNow);
  /// @param aLedger The ledger that was part of the call, though a
  ///   configuration may have changed its route's cap since; empty: none was.
  void OnStored(const std::string& aLot,
                const std::string& aLedger,
                const metadata::TransactionReply& aReply);
  void Drop(const std::string& aLot, std::string_view aReason);
  [[nodiscard]] std::size_t Bytes() const;

  Shared& shared_;
  metadata::StoreClient& store_;
  const metadata::StoreHealth& health_;
  const lots::LotTable& lots_;
  const lots::HostSet& hosts_;
  std::string ownName_;
  base::Duration retention_;
  double capShare_;
  std::size_t copies_;
  /// Used on the disk's thread only, as the thread ends before it.
  lots::HeldLotFiles files_;
  DiskThread disk_;
  std::map<std::string, Entry> held_;
  std::vector<StoredLot> stored_; ///< Lately.
  bool isLeaving_ = false;
};

} // namespace pumiceturn::gateway
