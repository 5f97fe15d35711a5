#pragma once

#include "LibBase/Strand.h"
#include "LibJobLog/ClaimDecision.h"
#include "LibJobLog/LogPorts.h"
#include "LibJobLog/LogService.h"
#include "LibJobLog/PartitionOwner.h"
#include "LibJobLog/PartitionReplica.h"
#include "LibJobLog/SwapQueue.h"

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::joblog {

/// What the partitions of a host share.
struct LogShared
{
  LogShared(const LogOptions& aOptions,
            const LogPorts& aPorts,
            LogService::Handlers aHandlers)
    : options_(aOptions)
    , ports_(aPorts)
    , handlers_(std::move(aHandlers))
  {
  }

  LogOptions options_;
  LogPorts ports_;
  LogService::Handlers handlers_;
  std::string incarnation_; ///< Of this process, for write ids.
  std::unique_ptr<SegmentStore> store_;
  std::shared_ptr<SwapQueue> swaps_;
  std::atomic<bool> isLeaving_{ false };
  std::atomic<bool> isStopped_{ false };
  std::atomic<std::uint64_t> ownedCount_{ 0 };
};

/// One partition on this host: carries out what its copy and its owner decide.
/// All work and all calls of handlers run in order on a strand; the public
/// functions may be called from any thread.
class PartitionHost : public std::enable_shared_from_this<PartitionHost>
{
public:
  PartitionHost(std::uint32_t aPartition, std::shared_ptr<LogShared> aShared);

  void OnRecord(const partition::PartitionRecord& aRecord,
                std::shared_ptr<const FleetView> aFleet);
  /// Tells that the key-value service was read and has no record.
  void OnNoRecord();
  void OnSwap(SwapOutcome aOutcome, std::shared_ptr<const FleetView> aFleet);
  void OnMessage(const std::string& aPeer, wire::Message aMessage);
  void OnLinkUp(const std::string& aPeer);
  void Append(std::vector<std::string> aRecords, LogService::Appended aDone);
  void Trim(std::uint64_t aBeforeSequence);
  void HandOver(std::shared_ptr<const FleetView> aFleet);
  void Tick(std::shared_ptr<const FleetView> aFleet);

  [[nodiscard]] bool IsOwned() const { return isOwned_; }
  [[nodiscard]] std::uint64_t Epoch() const { return epoch_; }
  /// @return whether Tick() may have something to do with the same fleet.
  [[nodiscard]] bool NeedsTick() const { return needsTick_; }

private:
  struct SelfDelivery
  {
    wire::Message message_;
  };

  using Work = std::variant<ReplicaAction, OwnerAction, SelfDelivery>;

  struct Appending
  {
    std::uint64_t firstSequence_ = 0;
    std::uint64_t lastSequence_ = 0;
    LogService::Appended done_;
  };

  template<typename Task>
  void Post(Task aTask);
  void Run(PartitionReplica::Actions aActions);
  void Run(PartitionOwner::Actions aActions);
  void Drain();
  void RunWork(Work aWork);
  void Deliver(const std::string& aPeer, wire::Message aMessage);
  void SendTo(const std::string& aPeer, wire::Message aMessage);
  void OnStored(base::ResultCode aCode,
                std::uint64_t aFirstSequence,
                const std::vector<LogPosition>& aPositions);
  void SendLogTo(const SendLog& aSend);
  void AnswerFetch(const std::string& aPeer, const wire::FetchLog& aFetch);
  void Replay(std::uint64_t aEpoch,
              std::uint64_t aFromSequence,
              std::uint64_t aLastSequence);
  void ReportDamage(const base::Failure& aFailure);
  void DecideOwnership(const FleetView& aFleet);
  void NoteOwner(const FleetView& aFleet);
  void NoteState();

  // One overload for each action.
  void Do(StoreEntries aAction);
  void Do(const StoreState& aAction);
  void Do(const StoreReset& aAction);
  void Do(SendMessage aAction);
  void Do(const SwapRecord& aAction);
  void Do(const LoadLog& aAction);
  void Do(const SendLog& aAction);
  void Do(const ReplayLog& aAction);
  void Do(const ReportOwned& aAction);
  void Do(const ReportReleased& aAction);
  void Do(const CompleteAppend& aAction);

  const std::uint32_t partition_;
  const std::shared_ptr<LogShared> shared_;
  base::Strand strand_;

  // On the strand alone.
  PartitionReplica replica_;
  PartitionOwner owner_;
  bool isRecordKnown_ = false;
  bool isServedElsewhere_ = false;
  base::Instant nextYieldAt_{};
  base::Instant unfitUntil_{};
  std::list<Work> work_;
  bool isDraining_ = false;
  std::uint64_t nextToken_ = 1;
  std::map<std::uint64_t, Appending> appending_;
  std::map<std::uint64_t, LogPosition> positions_;

  std::atomic<bool> isOwned_{ false };
  std::atomic<std::uint64_t> epoch_{ 0 };
  std::atomic<bool> needsTick_{ true };
};

} // namespace pumiceturn::joblog
