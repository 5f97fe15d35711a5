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

/// Cumulative counts since the job service started.
struct JobCounts
{
  std::uint64_t acceptedOnline_ = 0;
  std::uint64_t acceptedItems_ = 0; ///< Items of accepted batch jobs.
  std::uint64_t duplicateSubmissions_ = 0;
  std::uint64_t keyConflicts_ = 0;
  std::uint64_t succeeded_ = 0;
  std::uint64_t failed_ = 0;
  /// Not recorded: the item has ended or its job does not exist.
  std::uint64_t resultsDropped_ = 0;
  std::uint64_t withdrawn_ = 0;
  std::uint64_t cancelledJobs_ = 0;
  std::uint64_t requeued_ = 0;
  std::uint64_t startedOrphans_ = 0;
  std::uint64_t startedBatchRuns_ = 0;
  std::uint64_t appendsFailed_ = 0;
  std::uint64_t lateJobs_ = 0; ///< Jobs finished after their due time.
  std::uint64_t expiredJobs_ = 0;
};

/// Serves the jobs of the partitions that this host owns: accepts and
/// deduplicates them, dispatches items to agents, records results and answers
/// queries. JobTable and BatchScheduler make the decisions under one lock; the
/// resulting calls to the ports are made after the lock is released.
/// Thread-safe.
class JobService : public std::enable_shared_from_this<JobService>
{
public:
  struct Options
  {
    /// Time after which the owner runs the requests of a lost entry.
    base::Duration entryGrace_{ std::chrono::seconds{ 5 } };
    /// Time after which the idempotent runs of a lost agent end as lost.
    base::Duration agentGrace_{ std::chrono::seconds{ 5 } };
    /// The same for non-idempotent runs. It is longer because they are not
    /// rerun, and their result may still be reported once the link is up again.
    base::Duration nonIdempotentGrace_{ std::chrono::seconds{ 60 } };
    /// Time after a takeover for agents to report runs of the previous owner.
    base::Duration settlingTime_{ std::chrono::seconds{ 1 } };
    /// Assumed maximum number of items of a batch job in flight at a takeover.
    /// That many items are not dispatched until the settling time has passed.
    /// If more were in flight, some may run twice.
    std::uint32_t maxInFlightAtTakeover_ = 256;
    base::Duration drainGrace_{ std::chrono::seconds{ 20 } };
    base::Duration expireInterval_{ std::chrono::seconds{ 1 } };
    std::size_t maxPageBytes_ = 1U << 20U;
    std::size_t maxCacheBytes_ = 8U << 20U;
  };

  static std::shared_ptr<JobService> Make(Ports aPorts, Options aOptions);

  JobService(Ports aPorts, Options aOptions);

  /// Sets the agents that serve a service.
  void SetAgents(const std::string& aService,
                 const std::vector<std::string>& aAgents);

  /// @return whether the link to an agent is up.
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

  /// Runs timeouts, retries, expiry and dispatch. To be called about ten times
  /// a second.
  void Tick();

  /// Stops accepting jobs and dispatching items. Partitions are handed over
  /// when all runs have ended or after drainGrace_.
  void BeginDrain();
  [[nodiscard]] bool IsDraining() const;
  /// @return whether all partitions have been handed over and no append is in
  /// flight.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] JobCounts Counts() const;
  [[nodiscard]] std::uint64_t WaitingItems() const;
  [[nodiscard]] std::uint64_t RunningItems() const;

private:
  using Lock = std::unique_lock<std::mutex>;
  /// Selects the runs of a lost agent to be ended.
  enum class RunsToEnd : std::uint8_t
  {
    Idempotent,
    All,
  };

  /// Whether a failed append is reported or retried.
  enum class FailureHandling : std::uint8_t
  {
    Report,
    Retry,
  };

  /// The partition of a job, or the reason why this host cannot serve it.
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
    jobs::DispatchedItem dispatch_;
  };

  /// A result to be read: its location, or the item if the result is a
  /// cancellation.
  struct ResultReference
  {
    jobs::ResultSource source_ = jobs::ResultSource::Recorded;
    jobs::ResultLocation location_;
    jobs::ItemLocation item_;
    std::uint32_t position_ = 0;
    /// Whether the item ran, if it was cancelled.
    base::Ran ranIfCancelled_ = base::Ran::Unknown;
  };

  Route RouteTo(const base::JobId& aJob);
  /// @return the partition, or null when it is not owned under this epoch.
  OwnedPartition* FindPartition(std::uint32_t aPartition, std::uint64_t aEpoch);
  void Send(const std::string& aPeer, wire::Message aMessage);
  void Handle(const std::string& aPeer, const wire::Message& aMessage);
  /// Keeps a message until HandleDeferred() is called for its job.
  void Defer(OwnedPartition& aPartition,
             const base::JobId& aJob,
             const std::string& aPeer,
             wire::Message aMessage);
  void HandleDeferred(OwnedPartition& aPartition, const base::JobId& aJob);
  /// Queues demand that has risen from zero, releases the lock and runs the
  /// outbox.
  void UnlockAndRunOutbox(Lock aLock);

  // Appending.
  void Append(std::uint32_t aPartition,
              std::vector<jobs::Record> aRecords,
              FailureHandling aFailureHandling,
              AppendCallback aCallback);
  void OnAppended(std::uint32_t aPartition,
                  std::uint64_t aEpoch,
                  const std::shared_ptr<std::vector<jobs::Record>>& aRecords,
                  FailureHandling aFailureHandling,
                  const AppendCallback& aCallback,
                  base::ResultCode aCode,
                  std::span<const joblog::LogPosition> aPositions);
  jobs::RecordEffects ApplyDurable(std::uint32_t aIndex,
                                   OwnedPartition& aPartition,
                                   const jobs::Record& aRecord,
                                   joblog::LogPosition aPosition);
  void OnResultsDurable(OwnedPartition& aPartition,
                        const jobs::ItemsEnded& aEnded,
                        const jobs::RecordEffects& aEffects);
  void OnJobAccepted(const jobs::Job& aJob);
  void StopOtherRuns(const OwnedPartition& aPartition,
                     const base::RunId& aEnded,
                     const jobs::Job* aJob);
  void OnJobFinished(const jobs::Job& aJob);
  void OnJobCancelled(OwnedPartition& aPartition, const jobs::Job& aJob);

  // Requests from entries.
  void Handle(const std::string& aPeer, const wire::RecordRequest& aRequest);
  void Handle(const std::string& aPeer, const wire::RecordResult& aResult);
  void Handle(const std::string& aPeer, const wire::SubmitFrame& aFrame);
  void Handle(const std::string& aPeer, const wire::GetJob& aRequest);
  void Handle(const std::string& aPeer, const wire::ReadResults& aRequest);
  void Handle(const std::string& aPeer, const wire::CancelJob& aRequest);
  void ReplyRunning(OwnedPartition& aPartition,
                    const std::string& aPeer,
                    const wire::RecordRequest& aRequest);
  void OnOnlineAppended(std::uint32_t aPartition,
                        const Requester& aRequester,
                        const base::JobId& aJob,
                        base::ResultCode aCode);
  void OnFrameAppended(std::uint32_t aPartition,
                       const Requester& aRequester,
                       const wire::JobDescription& aJob,
                       base::ResultCode aCode);
  void ReplyFinished(const Requester& aRequester,
                     const ResultReference& aReference);
  void ReplyRecorded(const Requester& aRequester,
                     const ResultReference& aReference,
                     const wire::ItemResult& aReported);
  void ReplyWaiters(OwnedPartition& aPartition,
                    const base::JobId& aJob,
                    const wire::RecordReply& aReply);
  wire::JobStatusReply StatusOf(const OwnedPartition& aPartition,
                                const base::JobId& aJob,
                                const std::string& aPartner) const;
  static ResultReference MakeResultReference(const jobs::Job& aJob,
                                             std::uint32_t aPosition);
  static std::optional<ResultReference> FindOnlineResult(
    const jobs::JobTable& aTable,
    const base::JobId& aJob);
  static std::vector<ResultReference> SelectPage(
    const jobs::JobTable& aTable,
    const wire::ReadResults& aRequest,
    bool& aEndsJob);
  base::Result<wire::ItemResult> ReadResult(const ResultReference& aReference);
  wire::ResultsPage ReadPage(const std::vector<ResultReference>& aReferences,
                             bool aEndsJob);

  // Runs at agents.
  void Handle(const std::string& aPeer, const wire::BatchGrant& aGrant);
  void Handle(const std::string& aPeer, const wire::RunEnded& aEnded);
  void Handle(const std::string& aPeer, const wire::RunRecorded& aRecorded);
  void Forward(const std::string& aPeer,
               std::uint32_t aPartition,
               const wire::RunEnded& aEnded);
  void HandleRunEnd(const std::string& aPeer,
                    const Route& aRoute,
                    const wire::RunEnded& aEnded);
  base::Outcome<wire::JobItem> ReadItemAt(const jobs::ItemLocation& aLocation);
  void ResolveNameAndRecord(const Route& aRoute, PendingResult aPending);
  void QueueResult(std::uint32_t aIndex,
                   OwnedPartition& aPartition,
                   PendingResult aPending);
  void AppendQueuedResults(std::uint32_t aIndex, OwnedPartition& aPartition);
  void OnResultsAppended(std::uint32_t aIndex,
                         std::uint64_t aEpoch,
                         const std::vector<PendingResult>& aPendingResults,
                         base::ResultCode aCode,
                         std::span<const jobs::RecordEffects> aEffects);
  void NotifyRecorded(const OwnedPartition& aPartition,
                      const PendingResult& aPending,
                      bool aIsFirst);
  void NotifyNotOwner(std::uint32_t aIndex, const PendingResult& aPending);
  void OnItemRequeued(const Route& aRoute,
                      const std::string& aPeer,
                      const wire::RunEnded& aEnded);
  void EndWithoutRun(const Route& aRoute,
                     const base::RunId& aRun,
                     base::ResultCode aCode,
                     base::Ran aRan,
                     std::string aDetail);
  void Dispatch();
  void DispatchService(const std::string& aService);
  void LoadPayload(const Route& aRoute,
                   const jobs::DispatchedItem& aDispatch,
                   jobs::RunInFlight aRun);
  void OnPayloadLoaded(const LoadingRun& aLoading,
                       const base::Outcome<wire::JobItem>& aItem);
  void StartLoadedRun(const Route& aRoute,
                      const LoadingRun& aLoading,
                      const wire::JobItem& aItem);
  void SendStart(const LoadingRun& aLoading, const wire::JobItem& aItem);
  void RequeueUnstarted(const LoadingRun& aLoading);
  void DropRun(const base::RunId& aRun);
  wire::StartRun MakeStart(const OwnedPartition& aPartition,
                           const base::RunId& aRun,
                           const wire::JobItem& aItem) const;
  void EndRunsOfAgent(const std::string& aAgent, RunsToEnd aRuns);
  void OnEntryLost(const std::string& aEntry);
  void HandleLostRunner(const Route& aRoute, const base::JobId& aJob);
  void DispatchOrphans();
  /// @return whether there are unfinished jobs.
  bool ResumeJobs(OwnedPartition& aPartition);
  void BeginServing(std::uint32_t aIndex, OwnedPartition& aPartition);
  void AddWaiting(const jobs::Job& aJob, std::uint32_t aItems);
  void SendDemand(const std::vector<jobs::DemandNotice>& aNotices);
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
  /// Online requests whose entry was lost and that wait for an agent to run
  /// them.
  std::set<base::JobId> orphans_;
  /// The agent that reported a run, for reports forwarded to another owner.
  std::unordered_map<base::RunId, std::string> forwarded_;
  JobCounts counts_;
  std::size_t appendsInFlight_ = 0;
  base::Instant nextExpiry_{};
  bool draining_ = false;
  bool handedOver_ = false;
  base::Instant drainDeadline_{};
};

} // namespace pumiceturn::keeper
