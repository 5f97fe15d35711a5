#pragma once

#include "LibBase/Time.h"
#include "LibJobs/BatchScheduler.h"
#include "LibKeeper/Outbox.h"
#include "LibKeeper/OwnedPartition.h"
#include "LibKeeper/Ports.h"
#include "LibKeeper/RecordCache.h"
#include "LibWire/LinkTable.h"
#include "LibWire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::keeper {

/// What the job service counted since it began.
struct JobCounts
{
  std::uint64_t acceptedOnline_ = 0;
  std::uint64_t acceptedItems_ = 0; ///< Of lots.
  std::uint64_t duplicateSubmissions_ = 0;
  std::uint64_t keyConflicts_ = 0;
  std::uint64_t succeeded_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t resultsDropped_ = 0; ///< Came after the first.
  std::uint64_t withdrawn_ = 0;
  std::uint64_t cancelledJobs_ = 0;
  std::uint64_t requeued_ = 0;
  std::uint64_t orphansRun_ = 0;
  std::uint64_t batchStarted_ = 0;
  std::uint64_t appendsFailed_ = 0;
  std::uint64_t dueMissed_ = 0; ///< Jobs finished after their due time.
  std::uint64_t expiredJobs_ = 0;
};

/// Serves the jobs of the partitions that this host owns: accepts, dedups,
/// dispatches to agents, records, answers. Decisions are taken under one lock
/// by JobTable and BatchScheduler; what follows from them leaves through the
/// ports after the lock is released. Thread-safe.
class JobService : public std::enable_shared_from_this<JobService>
{
public:
  struct Options
  {
    /// A lost entry's requests go on without it after this time.
    base::Duration entryGrace_{ std::chrono::seconds{ 5 } };
    /// A lost agent's runs end as lost after this time.
    base::Duration agentGrace_{ std::chrono::seconds{ 5 } };
    /// The same for non-idempotent runs, which may not be run again: their
    /// result may still come when the link is back.
    base::Duration unknownEndGrace_{ std::chrono::seconds{ 60 } };
    /// After a takeover, agents may report what the former owner started.
    base::Duration settleTime_{ std::chrono::seconds{ 1 } };
    /// Most items of a lot that a former owner had out.
    std::uint32_t inFlightAtTakeover_ = 256;
    base::Duration drainGrace_{ std::chrono::seconds{ 20 } };
    base::Duration expireInterval_{ std::chrono::seconds{ 1 } };
    std::size_t maxPageBytes_ = 1U << 20U;
    std::size_t maxCacheBytes_ = 8U << 20U;
  };

  static std::shared_ptr<JobService> Make(Ports aPorts, Options aOptions);

  JobService(Ports aPorts, Options aOptions);

  /// Tells which agents serve a service.
  void SetAgents(const std::string& aService,
                 const std::vector<std::string>& aAgents);

  /// @return whether an agent's link is known to be up.
  [[nodiscard]] bool IsAgentUp(const std::string& aAgent) const;

  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// @name Handlers of the log
  /// @{
  void OnRecovering(std::uint32_t aPartition, std::uint64_t aEpoch);
  void OnReplay(std::uint32_t aPartition,
                std::uint64_t aSequence,
                joblog::LogPosition aPosition,
                std::string_view aRecord);
  void OnOwned(std::uint32_t aPartition, std::uint64_t aEpoch);
  void OnReleased(std::uint32_t aPartition);
  /// @}

  /// Does what is due. Call it about ten times a second.
  void Tick();

  void BeginDrain();
  [[nodiscard]] bool IsDraining() const;
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] JobCounts Counts() const;
  [[nodiscard]] std::uint64_t WaitingItems() const;
  [[nodiscard]] std::uint64_t RunningItems() const;

private:
  using Lock = std::unique_lock<std::mutex>;
  /// Which runs of a lost agent end.
  enum class Runs : std::uint8_t
  {
    Idempotent,
    All,
  };

  /// Whether records whose append failed are appended again.
  enum class OnFailure : std::uint8_t
  {
    Report,
    Retry,
  };

  struct Route
  {
    OwnedPartition* partition_ = nullptr;
    std::uint32_t index_ = 0;
    base::ResultCode code_ = base::ResultCode::Ok;
    std::string ownerHint_;
  };

  struct MessageVisitor;

  /// A run whose payload is being read from the log.
  struct LoadingRun
  {
    std::uint32_t partition_ = 0;
    std::uint64_t epoch_ = 0;
    jobs::Dispatch dispatch_;
  };

  /// A result that a reader asked for.
  struct WantedResult
  {
    jobs::ResultSource source_ = jobs::ResultSource::Recorded;
    jobs::ResultPlace place_;
    jobs::ItemPlace item_;
    std::uint32_t position_ = 0;
    base::Ran cancelledRan_ = base::Ran::Unknown;
  };

  Route RouteTo(const base::JobId& aJob);
  OwnedPartition* FindEpoch(std::uint32_t aPartition, std::uint64_t aEpoch);
  void Send(const std::string& aPeer, wire::Message aMessage);
  void Handle(const std::string& aPeer, const wire::Message& aMessage);
  void Hold(OwnedPartition& aPartition,
            const base::JobId& aJob,
            const std::string& aPeer,
            wire::Message aMessage);
  void ReleaseHeld(OwnedPartition& aPartition, const base::JobId& aJob);
  void Leave(Lock aLock);

  // Appending.
  void Append(std::uint32_t aPartition,
              std::vector<jobs::Record> aRecords,
              OnFailure aOnFailure,
              Settled aSettled);
  void OnAppended(std::uint32_t aPartition,
                  std::uint64_t aEpoch,
                  const std::shared_ptr<std::vector<jobs::Record>>& aRecords,
                  OnFailure aOnFailure,
                  const Settled& aSettled,
                  base::ResultCode aCode,
                  std::span<const joblog::LogPosition> aPositions);
  jobs::Applied ApplyDurable(std::uint32_t aIndex,
                             OwnedPartition& aPartition,
                             const jobs::Record& aRecord,
                             joblog::LogPosition aPosition);
  void AfterEnds(OwnedPartition& aPartition,
                 const jobs::ItemsEnded& aEnded,
                 const jobs::Applied& aApplied);
  void AfterAccepted(const jobs::Job& aJob);
  void StopOtherAttempt(const OwnedPartition& aPartition,
                        const base::RunId& aEnded,
                        const jobs::Job* aJob);
  void AfterFinished(const jobs::Job& aJob);
  void AfterCancelled(OwnedPartition& aPartition, const jobs::Job& aJob);

  // Requests of entries.
  void Handle(const std::string& aPeer, const wire::RecordRequest& aRequest);
  void Handle(const std::string& aPeer, const wire::RecordResult& aResult);
  void Handle(const std::string& aPeer, const wire::SubmitFrame& aFrame);
  void Handle(const std::string& aPeer, const wire::GetJob& aRequest);
  void Handle(const std::string& aPeer, const wire::ReadResults& aRequest);
  void Handle(const std::string& aPeer, const wire::CancelJob& aRequest);
  void AnswerRunning(OwnedPartition& aPartition,
                     const std::string& aPeer,
                     const wire::RecordRequest& aRequest);
  void SettleOnline(std::uint32_t aPartition,
                    const Asker& aAsker,
                    const base::JobId& aJob,
                    base::ResultCode aCode);
  void SettleFrame(std::uint32_t aPartition,
                   const Asker& aAsker,
                   const wire::JobDescription& aJob,
                   base::ResultCode aCode);
  void ReplyFinished(const Asker& aAsker, const WantedResult& aWanted);
  void ReplyRecorded(const Asker& aAsker,
                     const WantedResult& aWanted,
                     const wire::ItemResult& aReported);
  void ReplyWaiters(OwnedPartition& aPartition,
                    const base::JobId& aJob,
                    const wire::RecordReply& aReply);
  wire::JobStatusReply StatusOf(const OwnedPartition& aPartition,
                                const base::JobId& aJob,
                                const std::string& aPartner) const;
  static WantedResult Want(const jobs::Job& aJob, std::uint32_t aPosition);
  static std::optional<WantedResult> WantOnline(const jobs::JobTable& aTable,
                                                const base::JobId& aJob);
  static std::vector<WantedResult> WantPage(const jobs::JobTable& aTable,
                                            const wire::ReadResults& aRequest,
                                            bool& aEndsJob);
  base::Result<wire::ItemResult> ReadResult(const WantedResult& aWanted);
  wire::ResultsPage ReadPage(const std::vector<WantedResult>& aWanted,
                             bool aEndsJob);

  // Runs at agents.
  void Handle(const std::string& aPeer, const wire::BatchGrant& aGrant);
  void Handle(const std::string& aPeer, const wire::RunEnded& aEnded);
  void Handle(const std::string& aPeer, const wire::RunRecorded& aRecorded);
  void Forward(const std::string& aPeer,
               std::uint32_t aPartition,
               const wire::RunEnded& aEnded);
  void DecideEnded(const std::string& aPeer,
                   const Route& aRoute,
                   const wire::RunEnded& aEnded);
  base::Outcome<wire::JobItem> ReadItemAt(const jobs::ItemPlace& aPlace);
  void NameThenRecord(const Route& aRoute, WaitingEnd aEnd);
  void AddEnd(std::uint32_t aIndex,
              OwnedPartition& aPartition,
              WaitingEnd aEnd);
  void FlushEnds(std::uint32_t aIndex, OwnedPartition& aPartition);
  void SettleEnds(std::uint32_t aIndex,
                  std::uint64_t aEpoch,
                  const std::vector<WaitingEnd>& aEnds,
                  base::ResultCode aCode,
                  std::span<const jobs::Applied> aApplied);
  void NotifyEnd(const OwnedPartition& aPartition,
                 const WaitingEnd& aEnd,
                 bool aIsFirst);
  void NotifyMoved(std::uint32_t aIndex, const WaitingEnd& aEnd);
  void AfterRequeue(const Route& aRoute,
                    const std::string& aPeer,
                    const wire::RunEnded& aEnded);
  void EndWithoutRun(const Route& aRoute,
                     const base::RunId& aRun,
                     base::ResultCode aCode,
                     base::Ran aRan,
                     std::string aDetail);
  void Dispatch();
  void DispatchService(const std::string& aService);
  void Load(const Route& aRoute,
            const jobs::Dispatch& aDispatch,
            jobs::RunInFlight aRun);
  void OnLoaded(const LoadingRun& aLoading,
                const base::Outcome<wire::JobItem>& aItem);
  void StartLoaded(const Route& aRoute,
                   const LoadingRun& aLoading,
                   const wire::JobItem& aItem);
  void SendStart(const LoadingRun& aLoading, const wire::JobItem& aItem);
  void TakeBack(const LoadingRun& aLoading);
  void DropRun(const base::RunId& aRun);
  wire::StartRun MakeStart(const OwnedPartition& aPartition,
                           const base::RunId& aRun,
                           const wire::JobItem& aItem) const;
  void EndRunsAt(const std::string& aAgent, Runs aRuns);
  void OrphanRequestsOf(const std::string& aEntry);
  void OrphanRequest(const Route& aRoute, const base::JobId& aJob);
  void PlaceOrphans();
  bool ResumeLots(OwnedPartition& aPartition);
  void BeginServing(std::uint32_t aIndex, OwnedPartition& aPartition);
  void AddWaiting(const jobs::Job& aJob, std::uint32_t aItems);
  void TellDemand(const std::vector<jobs::DemandNotice>& aNotices);
  void TickPeers(base::Instant aNow);
  void TickPartitions(base::Instant aNow);
  void TickDrain(base::Instant aNow);

  const Ports ports_;
  const Options options_;
  RecordCache cache_;
  Outbox outbox_;

  mutable std::mutex mutex_;
  std::map<std::uint32_t, OwnedPartition> partitions_;
  jobs::BatchScheduler scheduler_;
  std::map<std::string, base::Instant> lostPeers_;
  /// Online requests that wait for an agent, run by this owner.
  std::set<base::JobId> orphans_;
  /// Who reported a run that was forwarded to its owner.
  std::unordered_map<base::RunId, std::string> forwarded_;
  JobCounts counts_;
  std::size_t appendsInFlight_ = 0;
  base::Instant nextExpiry_{};
  bool draining_ = false;
  bool handedOver_ = false;
  base::Instant drainDeadline_{};
};

} // namespace pumiceturn::keeper
