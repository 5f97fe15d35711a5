#pragma once

#include "LibDispatch/Action.h"
#include "LibDispatch/BurstTracker.h"
#include "LibDispatch/ConcurrencyLimit.h"
#include "LibDispatch/CreditLedger.h"
#include "LibDispatch/Policy.h"
#include "LibDispatch/Run.h"
#include "LibDispatch/RunHistory.h"
#include "LibDispatch/RunQueue.h"
#include "LibDispatch/WaitEstimate.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::dispatch {

/// Quarantine status of a request's content.
enum class ContentStatus : std::uint8_t
{
  Clear,
  Suspect,     ///< In flight during a crash; never runs beside another suspect.
  Quarantined, ///< Refused.
};

/// Whether a cancelled stream can be resumed at the endpoint.
enum class Resumption : std::uint8_t
{
  Possible, ///< Model engines.
  None,     ///< Plain services.
};

enum class TrafficClass : std::uint8_t
{
  Online,
  Batch,
};

/// Whether the agent accepts new work.
enum class AdmissionState : std::uint8_t
{
  Open,
  Draining,
};

/// Schedules the requests of one endpoint: decides which run, wait, are refused
/// or are preempted, and keeps results until their owner reports that they are
/// stored durably (recorded). Does no I/O:
/// each input returns the resulting actions, which the caller must execute in
/// order. Not thread-safe.
class EndpointScheduler
{
public:
  struct Options
  {
    std::string service_;
    Policy policy_ = BurstHeadroom{};
    Resumption resumption_ = Resumption::Possible;
    ConcurrencyLimit::Options limit_;
    BurstTracker::Options bursts_;
    std::uint32_t maxQueuedOnline_ = 256;
    /// Maximum number of queued batch runs; reached only if owners send runs
    /// without a credit.
    std::uint32_t maxQueuedBatch_ = 256;
    /// New work is refused while the partial and the unrecorded responses
    /// together exceed this.
    std::size_t maxResponseBytes_ = std::size_t{ 16 } << 20U;
    /// 0 if unknown; the epochs of runs are not checked then.
    std::uint32_t partitionCount_ = 0;
    /// Whether the engine is initially assumed to be up.
    bool isEngineInitiallyUp_ = true;
  };

  /// Returns the status of the content with a fingerprint at the given time.
  using ContentStatusLookup =
    std::function<ContentStatus(std::uint64_t aFingerprint, Moment aMoment)>;

  EndpointScheduler(Options aOptions, ContentStatusLookup aContentStatusOf);

  /// Changes the concurrency limit of the endpoint.
  Actions SetLimit(ConcurrencyLimit::Options aLimit, Moment aMoment);
  void SetResumption(Resumption aResumption)
  {
    options_.resumption_ = aResumption;
  }
  void SetPartitionCount(std::uint32_t aCount);

  /// @param aKeepers Keepers whose link is up. Results that their receiver does
  /// not record are sent to one of them.
  void SetKeepers(std::vector<std::string> aKeepers);

  /// Starts or stops draining. Draining refuses new work and ends queued batch
  /// runs that have not started; other runs continue.
  Actions SetAdmissionState(AdmissionState aState, Moment aMoment);

  /// Queues or starts a run, or refuses it with a RunEnded message. A duplicate
  /// of a known run starts nothing: its sender becomes the receiver of the
  /// result, and gets the result at once if the run has ended.
  Actions OnStartRun(const std::string& aPeer,
                     wire::StartRun aRequest,
                     Moment aMoment);

  /// Cancels a run. If the run is unknown, a StartRun that arrives later is
  /// refused.
  Actions OnCancelRun(const std::string& aPeer,
                      const wire::CancelRun& aCancel,
                      Moment aMoment);

  /// Makes the peer the receiver of the run's result. The peer that started the
  /// run also gets the chunks after receivedSequence_. An unknown run ends as
  /// EndpointLost.
  Actions OnAttachRun(const std::string& aPeer,
                      const wire::AttachRun& aAttach,
                      Moment aMoment);

  /// Releases the result of a run, or cancels the run if the result of another
  /// attempt was recorded first.
  Actions OnRunRecorded(const wire::RunRecorded& aRecorded, Moment aMoment);

  /// Updates the number of batch items that wait at the peer.
  Actions OnBatchDemand(const std::string& aPeer,
                        const wire::BatchDemand& aDemand,
                        Moment aMoment);

  Actions OnLinkUp(const std::string& aPeer, Moment aMoment);

  /// The peer's queued batch runs are dropped if its link stays down for 10 s.
  void OnLinkLost(const std::string& aPeer, Moment aMoment);

  /// The peer's process was restarted: drops its queued batch runs that have
  /// not started.
  Actions OnPeerReplaced(const std::string& aPeer, Moment aMoment);

  /// Appends the next chunk of a stream's response.
  Actions OnChunk(const StreamId& aStream,
                  ResponseChunk aChunk,
                  Moment aMoment);
  Actions OnStreamEnded(const StreamId& aStream,
                        const StreamEnd& aEnd,
                        Moment aMoment);

  /// The engine responded to a probe; resumes dispatch.
  Actions OnEngineUp(Moment aMoment);

  /// Handles deadlines, unrecorded results, lost peers, crash checks and engine
  /// probes. Must be called every kTickInterval.
  Actions OnTick(Moment aMoment);

  /// Percentage of the expected run time that must fit before a deadline. Above
  /// 100, as run times vary.
  static constexpr std::int64_t kRunTimePercent = 130;

  static constexpr base::Duration kTickInterval{ std::chrono::milliseconds{
    50 } };

  /// @return the current load, with the wait that a new online request can
  /// expect.
  [[nodiscard]] SchedulerLoad Load(base::Instant aNow) const;

  /// @return whether no run is queued, running or unrecorded.
  [[nodiscard]] bool IsIdle() const;

private:
  // EndpointScheduler.cpp: requests of peers.
  [[nodiscard]] wire::ResultCode CheckAdmission(const wire::StartRun& aRequest,
                                                Moment aMoment);
  [[nodiscard]] wire::ResultCode CheckOnline(const wire::StartRun& aRequest,
                                             base::Instant aNow) const;
  // The fence of a run is the epoch of the partition at the run's owner.
  [[nodiscard]] bool IsStaleEpoch(const wire::StartRun& aRequest);
  [[nodiscard]] bool ReplyIfDuplicate(const std::string& aPeer,
                                      const wire::StartRun& aRequest);
  void Admit(const std::string& aPeer, wire::StartRun aRequest, Moment aMoment);
  void LogIfQueued(const wire::RunId& aRun,
                   const std::string& aPeer,
                   Moment aMoment);
  void DropQueuedBatchOf(std::string_view aPeer, Moment aMoment);
  void DropQueuedBatchOfLostPeers(Moment aMoment);
  void Refuse(const std::string& aPeer,
              const wire::StartRun& aRequest,
              wire::ResultCode aCode,
              Moment aMoment);
  void SendResponse(const Run& aRun, std::uint64_t aReceivedSequence);
  void Stop(Run& aRun, wire::ResultCode aCode, Moment aMoment);

  // EndpointSchedulerStreams.cpp: events from the engine.
  Run* FindStream(const StreamId& aStream);
  void AddTokenSample(Run& aRun, base::Instant aNow);
  void Requeue(Run& aRun, Moment aMoment);
  void OnCancelled(Run& aRun, const StreamEnd& aEnd, Moment aMoment);
  void OnNotSent(Run& aRun, const StreamEnd& aEnd, Moment aMoment);
  void OnBroken(Run& aRun, const StreamEnd& aEnd, Moment aMoment);
  void FinishCrashCheck(Moment aMoment);
  void EndBrokenRuns(wire::ResultCode aCode, Moment aMoment);
  void SetEngineDown(Moment aMoment);
  void EndQueuedRuns(TrafficClass aClass,
                     wire::ResultCode aCode,
                     Moment aMoment);
  void EndPreemptedRuns(Moment aMoment);
  void OnEngineActivity(Moment aMoment);
  void StopExpiredRuns(Moment aMoment);

  // EndpointSchedulerDispatch.cpp: choice of the next run.
  void Dispatch(Moment aMoment);
  bool ScreenContent(Run& aRun, Moment aMoment);
  // The HandleNext...() functions return whether a run was started, refused or
  // held back.
  bool HandleNextHeld(Moment aMoment);
  bool HandleNextOnline(Moment aMoment);
  [[nodiscard]] bool CannotMeetDeadline(const Run& aRun,
                                        base::Instant aNow) const;
  void AddQueuedStartSample(base::Instant aNow);
  bool HandleNextBatch(Moment aMoment);
  bool PreemptBatchFor(const Run& aRequester, Moment aMoment);
  void Start(Run& aRun, Moment aMoment);
  void GrantCredits(Moment aMoment);
  [[nodiscard]] bool HasPlaceForOnline() const;
  [[nodiscard]] std::uint32_t Headroom(base::Instant aNow) const;
  [[nodiscard]] bool HasPlaceForBatch(base::Instant aNow) const;

  // EndpointSchedulerResults.cpp: ended runs and their results.
  void EndAsNotRun(Run& aRun,
                   wire::ResultCode aCode,
                   const std::string& aDetail,
                   Moment aMoment);
  void EndRun(Run& aRun,
              wire::ResultCode aCode,
              wire::Ran aRan,
              const std::string& aDetail,
              Moment aMoment);
  void RetainResult(Run& aRun, base::Instant aNow);
  void ResendResult(Run& aRun, Moment aMoment);
  void ResendDueResults(Moment aMoment);
  void MakeResultsOfLostPeersDue(base::Instant aNow);
  [[nodiscard]] wire::RunEnded MakeRunEnded(const Run& aRun,
                                            const std::string& aPeer) const;
  void RemoveFromLists(Run& aRun);
  void EraseRun(Run& aRun);

  void SetPhase(Run& aRun, RunPhase aPhase);
  void CountAtEngine(const Run& aRun, int aDelta);
  void EnterEngine(Run& aRun);
  void LeaveEngine(Run& aRun);
  void Send(const std::string& aPeer, wire::Message aMessage);
  void LogEvent(const base::Event& aEvent,
                const wire::RunId& aRun,
                const std::string& aPeer,
                wire::ResultCode aCode,
                base::Duration aDuration,
                base::Instant aNow);
  [[nodiscard]] std::uint32_t AtEngineCount() const
  {
    return static_cast<std::uint32_t>(atEngine_.size());
  }
  [[nodiscard]] Actions TakeActions();

  Options options_;
  ContentStatusLookup contentStatusOf_;
  ConcurrencyLimit limit_;
  BurstTracker bursts_;
  WaitEstimate estimate_;
  CreditLedger creditLedger_;
  RunHistory history_;
  RunQueue queue_;

  std::unordered_map<wire::RunId, Run> runs_;
  std::vector<Run*> atEngine_;
  std::vector<Run*> held_;
  std::vector<Run*> broken_;
  std::multimap<base::Instant, Run*> deadlines_;
  /// Unrecorded results by the time at which they are sent again.
  std::multimap<base::Instant, Run*> unrecordedResults_;
  /// Peers whose link is down, with the time at which their queued batch runs
  /// are ended.
  std::map<std::string, base::Instant, std::less<>> lostPeers_;
  std::vector<std::string> keepers_;
  /// Highest epoch seen, by partition.
  std::vector<std::uint64_t> highestEpochs_;

  std::uint32_t onlineRunning_ = 0;
  std::uint32_t batchRunning_ = 0;
  std::uint32_t cancelling_ = 0;
  std::uint32_t suspectsAtEngine_ = 0;
  std::size_t responseBytes_ = 0;
  std::size_t nextKeeper_ = 0;
  base::Instant crashCheckStart_;
  base::Instant downSince_;
  base::Instant lastProbe_;
  AdmissionState admissionState_ = AdmissionState::Open;
  bool engineDown_ = false;
  Actions actions_;
};

} // namespace pumiceturn::dispatch
