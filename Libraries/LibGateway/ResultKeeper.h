#pragma once

#include "LibBase/Time.h"
#include "LibLots/LotTable.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pumiceturn::gateway {

/// Stores the results of the lots that this host runs, those of a short while
/// together: a call is charged whatever it holds. Results that are due soon
/// don't wait for others. Belongs to the event thread.
class ResultKeeper
{
public:
  /// Called with each lot whose results were stored.
  using StoredHandler = std::function<void(const std::string&)>;

  ResultKeeper(metadata::StoreClient& aStore,
               lots::LotTable& aLots,
               StoredHandler aOnStored)
    : store_(aStore)
    , lots_(aLots)
    , onStored_(std::move(aOnStored))
  {
  }

  /// This host runs a lot from now on.
  void Begin(const lots::Lot& aLot);

  /// This host runs a lot no longer.
  void Forget(const std::string& aLot) { entries_.erase(aLot); }

  /// @param aDueAt When the result must be readable.
  void Add(const std::string& aLot,
           lots::ItemResult aResult,
           base::Instant aDueAt,
           base::Instant aNow);

  /// @return whether a call is under way, or was and has no known outcome.
  [[nodiscard]] bool IsStoring(const std::string& aLot) const;

  /// Stores what is due.
  void Tick(base::Instant aNow);

  /// Adds what isn't stored yet to the call that hands a lot over.
  /// @return whether the lot has all its results with that.
  [[nodiscard]] bool AddTo(metadata::Transaction& aTransaction,
                           const lots::Lot& aLot);

private:
  struct Entry
  {
    std::vector<lots::ItemResult> unstored_{};
    std::vector<lots::ItemResult> storing_{}; ///< In the call under way.
    std::uint32_t nextPosition_ = 0;
    bool callUnderWay_ = false;
    base::Instant storeAt_{}; ///< Of what is unstored.
    base::Instant retryAt_{};
  };

  /// A page of one lot's results in a call.
  struct PageWrite
  {
    std::string lot_;
    std::string pageKey_;
    std::string stateKey_;
    lots::LotState state_; ///< As it is afterwards.
    bool finishes_ = false;
  };

  [[nodiscard]] bool MayStore(const Entry& aEntry, base::Instant aNow) const;
  [[nodiscard]] std::size_t StoreTogether(base::Instant aNow);
  void StoreAlone(const std::string& aLot, Entry& aEntry);
  [[nodiscard]] PageWrite AddPage(metadata::Transaction& aTransaction,
                                  const lots::Lot& aLot,
                                  Entry& aEntry);
  void OnReplyTogether(const std::vector<PageWrite>& aWrites,
                       const metadata::TransactionReply& aReply);
  void OnReply(const PageWrite& aWrite,
               const metadata::TransactionReply& aReply);
  void NoteStored(Entry& aEntry,
                  const PageWrite& aWrite,
                  std::uint64_t aStateRevision);

  metadata::StoreClient& store_;
  lots::LotTable& lots_;
  StoredHandler onStored_;
  std::map<std::string, Entry> entries_; ///< By lot.
};

} // namespace pumiceturn::gateway
