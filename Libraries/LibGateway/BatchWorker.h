#pragma once

#include "LibGateway/ItemRun.h"
#include "LibGateway/LedgerKeeper.h"
#include "LibGateway/LotLoader.h"
#include "LibGateway/ProgressKeeper.h"
#include "LibGateway/ResultKeeper.h"
#include "LibLots/HostSet.h"
#include "LibLots/ItemPace.h"
#include "LibLots/ItemSchedule.h"
#include "LibLots/LotTable.h"
#include "LibLots/StartOrder.h"
#include "LibMetadata/StoreClient.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pumiceturn::gateway {

/// Runs the items of the lots that this host owns: starts them where places
/// are idle, the most urgent lot first, stores their results, takes over lots
/// whose owner is gone, and hands its lots over when the host leaves. Belongs
/// to the event thread.
class BatchWorker
{
public:
  BatchWorker(boost::asio::io_context& aContext,
              Shared& aShared,
              metadata::StoreClient& aStore,
              lots::LotTable& aLots,
              LotLoader& aLoader,
              const lots::HostSet& aHosts,
              std::string aOwnName);

  /// Called with each lot that got results.
  void SetOnResults(std::function<void(const std::string&)> aCallback)
  {
    onResults_ = std::move(aCallback);
  }

  /// A lot's keys have changed in the store.
  void OnLotChanged(const std::string& aLot);

  /// Does what is due; called several times a second.
  void Tick(base::Instant aNow);

  /// @return what the lots that this host runs have waiting on capped routes,
  ///         and those that it left since the last call, with nothing.
  [[nodiscard]] std::vector<WaitingLot> TakeWaitingLots();

  /// Cancels one batch run at an endpoint, for online work.
  void Preempt(const std::string& aEndpoint);

  /// Hands over all lots, with what their runs have so far.
  /// @param aDone Called when each lot is handed over or the store refused.
  void HandOver(std::function<void()> aDone);

  [[nodiscard]] std::size_t RunCount() const { return runs_.size(); }

private:
  /// A lot that this host runs.
  struct OwnLot
  {
    lots::ItemSchedule schedule_;
    base::Instant acceptedAt_{}; ///< By the accepting host's clock of day.
    std::optional<base::Instant> routeMissingSince_{};
  };

  void Claim(const std::string& aLot);
  void Load(const std::string& aLot);
  void Take(const lots::Lot& aLot);
  void Leave(const std::string& aLot, std::string_view aReason);
  [[nodiscard]] bool IsOwn(const lots::Lot& aLot) const;

  /// @return nullptr where no route leads to the lot's items now.
  [[nodiscard]] const fleet::Route* RouteOf(const lots::Lot& aLot) const;

  /// @return the route of a lot, if it bounds the tokens that may wait.
  [[nodiscard]] const fleet::Route* CappedRouteOf(
    const std::string& aLot) const;
  void UpdateLimits(const lots::Lot& aLot, OwnLot& aOwn, base::Instant aNow);
  void StartRuns(base::Instant aNow);
  [[nodiscard]] std::vector<lots::StartCandidate> CollectCandidates(
    base::Instant aNow);
  [[nodiscard]] lots::ItemUrgency UrgencyOf(const lots::Lot& aLot,
                                            const OwnLot& aOwn,
                                            std::size_t aItem,
                                            std::uint64_t aLastEvent) const;
  [[nodiscard]] lots::ItemUrgency UrgencyOf(const ItemRun& aRun) const;

  /// @return whether there was a place for the item.
  bool StartOne(const lots::StartCandidate& aCandidate, base::Instant aNow);
  /// @return who sent a lot, as endpoints are told.
  [[nodiscard]] CallerName CallerOf(const lots::Lot& aLot) const;
  void NotePace(const ItemRun& aRun, lots::ItemRunEnd aEnd);
  void YieldToOnline(base::Instant aNow);
  void OnRunEnd(ItemRun& aRun, lots::ItemRunEnd aEnd);
  void RemoveRun(const ItemRun& aRun);
  [[nodiscard]] std::vector<LotProgress> CollectProgress() const;

  boost::asio::io_context& context_;
  Shared& shared_;
  metadata::StoreClient& store_;
  lots::LotTable& lots_;
  LotLoader& loader_;
  const lots::HostSet& hosts_;
  std::string ownName_;
  std::map<std::string, OwnLot> own_;
  std::unordered_map<std::string, base::Instant> claims_; ///< Under way.
  std::unordered_set<std::string> loading_;               ///< Under way.
  std::vector<WaitingLot> closedLots_; ///< On capped routes, to be told of.
  std::function<void(const std::string&)> onResults_;
  std::unordered_map<std::string, lots::ItemPace> paces_; ///< By route.
  double usualRuns_ = 0.0; ///< Runs at a time while items wait.
  std::vector<std::shared_ptr<ItemRun>> runs_;
  ResultKeeper results_;
  ProgressKeeper progressKeeper_;
  bool leaving_ = false;
};

} // namespace pumiceturn::gateway
