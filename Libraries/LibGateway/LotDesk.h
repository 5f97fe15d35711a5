#pragma once

#include "LibGateway/Shared.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibLots/HostSet.h"
#include "LibLots/LotTable.h"
#include "LibMetadata/StoreClient.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Answers the callers' calls on lots: accepts a lot once it is stored, gives
/// its results by position, its items' bodies, and ends it. Any host can answer
/// for any lot, from the copy of the store's keys held here; what isn't known
/// here is asked of the store, and where that can't tell, the caller is told to
/// come back. Belongs to the event thread.
class LotDesk
{
public:
  LotDesk(Shared& aShared,
          metadata::StoreClient& aStore,
          lots::LotTable& aLots,
          const lots::HostSet& aHosts,
          std::string aKeyPrefix,
          std::string aOwnName);

  /// Accepts a lot.
  void Submit(std::shared_ptr<httpstream::Exchange> aExchange,
              const std::string& aLot);

  /// Answers any other call.
  void Handle(std::shared_ptr<httpstream::Exchange> aExchange,
              const LotCall& aCall);

  /// A lot's keys have changed: readers that wait for results may go on.
  void OnLotChanged(const std::string& aLot);

  /// Answers readers whose wait is over.
  void Tick(base::Instant aNow);

  /// Called with each lot whose keys were read from the store directly.
  void SetOnLotRead(std::function<void(const std::string&)> aCallback)
  {
    onLotRead_ = std::move(aCallback);
  }

private:
  struct Submission;
  struct Reader
  {
    std::shared_ptr<httpstream::Exchange> exchange_;
    std::uint32_t position_ = 0;
    base::Instant until_;
  };

  void Answer(std::shared_ptr<httpstream::Exchange> aExchange,
              const ReadResults& aCall);
  void Answer(std::shared_ptr<httpstream::Exchange> aExchange,
              const ReadItemBody& aCall);
  void Answer(std::shared_ptr<httpstream::Exchange> aExchange,
              const EndLot& aCall);
  void Answer(std::shared_ptr<httpstream::Exchange> aExchange,
              const UnreadableCall& aCall);

  /// Calls back with the lot, reading it from the store if it isn't known here.
  /// Answers the caller itself where there is none.
  void WithLot(std::shared_ptr<httpstream::Exchange> aExchange,
               const std::string& aLot,
               std::function<void(const lots::Lot&)> aUse);
  void ReadLot(const std::string& aLot,
               const std::string& aAfterKey,
               std::function<void(metadata::StoreStatus)> aDone);
  void Commit(const std::shared_ptr<Submission>& aSubmission);
  void OnCommitted(const std::shared_ptr<Submission>& aSubmission,
                   metadata::StoreStatus aStatus);
  void End(const std::shared_ptr<httpstream::Exchange>& aExchange,
           const lots::Lot& aLot,
           std::uint32_t aTriesLeft);
  void SendResults(httpstream::Exchange& aExchange,
                   const lots::Lot& aLot,
                   std::uint32_t aPosition) const;
  [[nodiscard]] std::string KeyOf(const lots::LotKey& aKey) const
  {
    return keyPrefix_ + lots::MakeKey(aKey);
  }

  Shared& shared_;
  metadata::StoreClient& store_;
  lots::LotTable& lots_;
  const lots::HostSet& hosts_;
  std::string keyPrefix_;
  std::string ownName_;
  std::function<void(const std::string&)> onLotRead_;
  std::unordered_map<std::string, std::vector<Reader>> readers_;
};

} // namespace pumiceturn::gateway
