#pragma once

#include "LibJobLog/ClaimDecision.h"
#include "LibJobLog/PartitionOwner.h"
#include "LibJobLog/PartitionReplica.h"

#include <fmt/format.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pumiceturn::joblog {

enum class Tracing : std::uint8_t
{
  Off,
  On, ///< Keeps a line for each thing that happens.
};

/// Three keepers, their disks, links and the key-value service around the
/// decision code of one partition, as a value that can be copied. Time passes
/// only when nothing else is left to do, or when a fault makes it pass early.
class ModelWorld
{
public:
  struct Limits
  {
    std::uint32_t copies_ = 2;
    std::uint32_t minCopies_ = 2;
    std::uint32_t appends_ = 3; ///< For each host that believes to be owner.
    bool trims_ = false;        ///< Owners trim up to what is acknowledged.
  };

  static constexpr std::size_t kHosts = 3;

  ModelWorld(Limits aLimits, Tracing aTracing);

  /// Does the next thing in the fixed order: messages, disks, watch, calls;
  /// then lets time pass.
  void Step();

  /// @return how many faults or other orders are possible now.
  [[nodiscard]] std::size_t CountFaults() const;
  void ApplyFault(std::size_t aIndex);

  /// Ends pauses, outages and crashes.
  void Heal();

  /// @return whether a host serves and got an append acknowledged since the
  /// last Heal().
  [[nodiscard]] bool Serves() const { return acknowledgedSinceHeal_; }

  /// @return the first broken rule, or empty.
  [[nodiscard]] const std::string& Violation() const { return violation_; }
  [[nodiscard]] const std::vector<std::string>& Trace() const { return trace_; }
  [[nodiscard]] std::size_t AcknowledgedCount() const
  {
    return acknowledged_.size();
  }
  [[nodiscard]] std::uint64_t CurrentEpoch() const { return record_.epoch_; }
  [[nodiscard]] std::string Describe() const;

private:
  struct DiskImage
  {
    CopySummary summary_;
    std::map<std::uint64_t, std::string> payloads_;
  };

  struct Host
  {
    std::string name_;
    bool isAlive_ = true;
    bool isPaused_ = false;
    bool refusesNext_ = false;
    bool isIsolated_ = false;
    std::uint32_t incarnation_ = 1;
    DiskImage disk_;
    std::deque<ReplicaAction> stores_;
    std::optional<partition::PartitionRecord> swap_;
    std::uint64_t seenRevision_ = 0;
    bool hasRead_ = false; ///< The record, since it started.
    std::uint32_t appended_ = 0;
    std::map<std::uint64_t, wire::LogEntry> tokens_;
    std::optional<PartitionReplica> replica_;
    std::optional<PartitionOwner> owner_;
  };

  struct Acknowledged
  {
    std::uint64_t epoch_ = 0;
    std::string payload_;
  };

  enum class FaultKind : std::uint8_t
  {
    DeliverOther, ///< A message that is not next in the fixed order.
    CutLink,      ///< All on its way between two hosts is lost.
    Crash,
    CrashWiped, ///< Comes back with an empty data folder; once a run.
    Restart,
    Pause,
    Resume,
    Isolate, ///< No peer is reached; the key-value service is.
    Rejoin,
    LoseAnswer, ///< A call to the key-value service takes effect unheard.
    FillQueue,  ///< The next frame to another host is refused.
    BeginOutage,
    PassTime,
  };

  struct Fault
  {
    FaultKind kind_ = FaultKind::PassTime;
    std::size_t first_ = 0;
    std::size_t second_ = 0;
  };

  void Boot(std::size_t aHost);
  void Crash(std::size_t aHost);
  void Rejoin(std::size_t aHost);
  [[nodiscard]] bool CanReach(std::size_t aFrom, std::size_t aTo) const;
  static bool Holds(const DiskImage& aDisk,
                    std::uint64_t aSequence,
                    const std::string& aPayload);
  [[nodiscard]] std::vector<Fault> Faults() const;
  void ApplyLinkFault(const Fault& aFault);
  void ApplyHostFault(const Fault& aFault);
  void ApplyServiceFault(const Fault& aFault);
  [[nodiscard]] FleetView ViewOf(std::size_t aHost) const;
  [[nodiscard]] bool CanRun(std::size_t aHost) const;
  bool DeliverFirst();
  void Deliver(std::size_t aFrom, std::size_t aTo);
  bool CompleteStore();
  bool DeliverWatch();
  bool ServeCall();
  void PassTime();
  void TickHost(std::size_t aHost);
  void Perform(std::size_t aHost, const PartitionReplica::Actions& aActions);
  void Perform(std::size_t aHost, const PartitionOwner::Actions& aActions);
  void PerformOwner(std::size_t aHost, const OwnerAction& aAction);
  void Send(std::size_t aFrom, const std::string& aTo, wire::Message aMessage);
  void SendLogFrom(std::size_t aHost, const SendLog& aSend);
  void AnswerFetch(std::size_t aHost,
                   std::size_t aFrom,
                   const wire::FetchLog& aFetch);
  static void ApplyStore(DiskImage& aDisk, const ReplicaAction& aAction);
  bool ApplySwap(const partition::PartitionRecord& aRecord);
  void RecordAcknowledged(std::size_t aHost, std::uint64_t aToken);
  void RecordRecovered(std::size_t aHost, std::uint64_t aEpoch);
  void CheckRecordedCopies();
  void Fail(std::string aWhat);
  template<typename... Arguments>
  void Note(fmt::format_string<Arguments...> aFormat, Arguments&&... aArguments)
  {
    if (tracing_ == Tracing::On) {
      trace_.push_back(
        fmt::format(aFormat, std::forward<Arguments>(aArguments)...));
    }
  }
  [[nodiscard]] std::size_t IndexOf(const std::string& aName) const;

  Limits limits_;
  Tracing tracing_;
  std::vector<Host> hosts_;
  std::map<std::pair<std::size_t, std::size_t>, std::deque<wire::Message>>
    links_;
  partition::PartitionRecord record_;
  std::uint64_t revision_ = 0;
  std::uint64_t nextToken_ = 1;
  bool isOutage_ = false;
  bool isWiped_ = false; ///< One disk was.
  base::Instant now_{};
  std::map<std::uint64_t, Acknowledged> acknowledged_;
  /// By epoch, what its owner's disk held when it began.
  std::map<std::uint64_t, DiskImage> recovered_;
  bool acknowledgedSinceHeal_ = false;
  std::string violation_;
  std::vector<std::string> trace_;
};

/// What an exploration saw.
struct Exploration
{
  std::uint64_t runs_ = 0;
  std::uint64_t states_ = 0; ///< Different ones, from which faults were tried.
  std::uint64_t acknowledged_ = 0;
  std::uint64_t highestEpoch_ = 0;
  std::string violation_; ///< Empty, or the broken rule and its trace.
};

struct ExplorationBounds
{
  std::uint32_t faults_ = 2;
  std::uint32_t firstFaultAt_ = 0; ///< Steps before the first fault.
  std::uint32_t faultSteps_ = 60;  ///< Steps at which faults are tried.
  std::uint32_t healedSteps_ = 400;
};

/// Tries every way to place up to a number of faults into the schedule.
Exploration
Explore(ModelWorld::Limits aLimits, ExplorationBounds aBounds);

} // namespace pumiceturn::joblog
