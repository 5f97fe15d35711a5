#pragma once

#include "LibGateway/LotLoader.h"
#include "LibGateway/PeerCallers.h"
#include "LibGateway/Shared.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibLots/HostSet.h"
#include "LibLots/LotTable.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Answers the callers' calls on accepted lots: gives a lot's results by
/// position, its items' bodies, and ends it. Any host answers
/// for any lot: from memory where it runs the lot, else by asking the host that
/// runs it, else from the store; where that can't tell, the caller is told to
/// come back. Belongs to the event thread.
class LotDesk
{
public:
  LotDesk(Shared& aShared,
          metadata::StoreClient& aStore,
          lots::LotTable& aLots,
          LotLoader& aLoader,
          const lots::HostSet& aHosts,
          const metadata::StoreHealth& aHealth,
          std::string aOwnName,
          PeerCallers& aCallers);

  /// Answers a call of a caller. What belongs to another organisation is not
  /// there for it.
  void Handle(const std::shared_ptr<httpstream::Exchange>& aExchange,
              const LotCall& aCall,
              const CallerName& aCaller);

  /// Answers a call that another host passes on, from memory alone.
  void HandlePassedOn(const std::shared_ptr<httpstream::Exchange>& aExchange,
                      const LotCall& aCall);

  /// A lot's keys have changed: readers that wait for results may go on.
  void OnLotChanged(const std::string& aLot);

  /// Answers readers whose wait is over.
  void Tick(base::Instant aNow);

  /// Called with each lot whose state was changed or read here.
  void SetOnStateRead(std::function<void(const std::string&)> aCallback)
  {
    onStateRead_ = std::move(aCallback);
  }

private:
  struct Reader
  {
    std::shared_ptr<httpstream::Exchange> exchange_;
    std::uint32_t position_ = 0;
    base::Instant until_;
  };

  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  /// Calls back with the lot's state known, or answers the caller that there is
  /// no such lot for it, or that this can't be told now.
  void WithState(const ExchangePtr& aExchange,
                 const std::string& aLot,
                 const CallerName& aCaller,
                 std::function<void(const lots::Lot&)> aUse);

  /// @return whether the lot is the caller's; answers it where it isn't.
  [[nodiscard]] bool IsAllowed(const ExchangePtr& aExchange,
                               const lots::Lot& aLot,
                               const CallerName& aCaller) const;
  void AnswerNone(httpstream::Exchange& aExchange,
                  const CallerName& aCaller) const;

  /// Answers a reading call by the first way that works: memory, the host that
  /// runs the lot, the store.
  void Read(const ExchangePtr& aExchange,
            const std::string& aLot,
            const LotCall& aCall,
            const CallerName& aCaller);
  void PassOn(const ExchangePtr& aExchange,
              const std::string& aLot,
              const std::string& aAddress,
              const LotCall& aCall);
  void ReadFromStore(const ExchangePtr& aExchange,
                     const std::string& aLot,
                     const LotCall& aCall);

  /// Answers from a loaded lot.
  void AnswerLoaded(const ExchangePtr& aExchange,
                    const lots::Lot& aLot,
                    const LotCall& aCall,
                    bool aMayWait);
  void AnswerResults(const ExchangePtr& aExchange,
                     const lots::Lot& aLot,
                     const ReadResults& aCall,
                     bool aMayWait);
  static void AnswerBody(const ExchangePtr& aExchange,
                         const lots::Lot& aLot,
                         const ReadItemBody& aCall);
  void AnswerComeBack(httpstream::Exchange& aExchange) const;
  void End(const std::shared_ptr<httpstream::Exchange>& aExchange,
           const lots::Lot& aLot,
           std::uint32_t aTriesLeft);
  void SendResults(httpstream::Exchange& aExchange,
                   const lots::Lot& aLot,
                   std::uint32_t aPosition) const;

  Shared& shared_;
  metadata::StoreClient& store_;
  lots::LotTable& lots_;
  LotLoader& loader_;
  const lots::HostSet& hosts_;
  const metadata::StoreHealth& health_;
  std::string ownName_;
  PeerCallers& callers_; ///< To the hosts that run lots.
  std::function<void(const std::string&)> onStateRead_;
  std::unordered_map<std::string, std::vector<Reader>> readers_;
};

} // namespace pumiceturn::gateway
