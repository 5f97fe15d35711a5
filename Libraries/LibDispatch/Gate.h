#pragma once

#include "LibDispatch/Action.h"
#include "LibDispatch/BurstTracker.h"
#include "LibDispatch/ConcurrencyLimit.h"
#include "LibDispatch/GrantBook.h"
#include "LibDispatch/Policy.h"
#include "LibDispatch/Run.h"
#include "LibDispatch/RunMemory.h"
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

/// What is known about a request's content.
enum class ContentStanding : std::uint8_t
{
  Clear,
  Suspect,     ///< Crashed an endpoint once: runs beside no other suspect.
  Quarantined, ///< Is not run.
};

/// Whether a stream can be ended at the endpoint and gone on with later.
enum class Resumption : std::uint8_t
{
  Possible, ///< Model engines.
  None,     ///< Plain services.
};

enum class Urgency : std::uint8_t
{
  Online,
  Batch,
};

/// Whether the agent takes new work.
enum class Intake : std::uint8_t
{
  Open,
  Draining,
};

/// Decides for one endpoint what runs, what waits, what is refused and what
/// gives way, and keeps answers until they are recorded. Does no I/O: each
/// input returns the actions that follow from it, to be done in their order.
/// Not thread-safe.
class Gate
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
    std::uint32_t maxQueuedBatch_ = 256; ///< Runs without a valid credit.
    std::size_t maxAnswerBytes_ = std::size_t{ 16 } << 20U; ///< Unrecorded.
    std::uint32_t partitionCount_ = 0; ///< 0: unknown, epochs go unchecked.
    bool startsUp_ = true; ///< Whether the engine is taken to answer.
  };

  using StandingOf =
    std::function<ContentStanding(std::uint64_t aFingerprint, Moment aMoment)>;

  Gate(Options aOptions, StandingOf aStandingOf);

  /// Changes what the declarations say of the endpoint.
  Actions SetLimit(ConcurrencyLimit::Options aLimit, Moment aMoment);
  void SetResumption(Resumption aResumption)
  {
    options_.resumption_ = aResumption;
  }
  void SetPartitionCount(std::uint32_t aCount);

  /// @param aKeepers Keepers whose link is up; results that their receiver does
  /// not record are offered to them.
  void SetKeepers(std::vector<std::string> aKeepers);

  /// Refuses new work, or takes it again. What was taken goes on.
  Actions SetIntake(Intake aIntake, Moment aMoment);

  Actions OnStartRun(const std::string& aPeer,
                     wire::StartRun aOrder,
                     Moment aMoment);
  Actions OnCancelRun(const std::string& aPeer,
                      const wire::CancelRun& aCancel,
                      Moment aMoment);
  Actions OnAttachRun(const std::string& aPeer,
                      const wire::AttachRun& aAttach,
                      Moment aMoment);
  Actions OnRunRecorded(const wire::RunRecorded& aRecorded, Moment aMoment);
  Actions OnBatchDemand(const std::string& aPeer,
                        const wire::BatchDemand& aDemand,
                        Moment aMoment);

  Actions OnLinkUp(const std::string& aPeer, Moment aMoment);
  void OnLinkLost(const std::string& aPeer, Moment aMoment);

  /// The peer's process is another: what it asked for and has not begun is
  /// dropped.
  Actions OnPeerReplaced(const std::string& aPeer, Moment aMoment);

  /// A part of a stream's answer, in order.
  Actions OnTokens(const StreamId& aStream, AnswerPart aPart, Moment aMoment);
  Actions OnStreamEnded(const StreamId& aStream,
                        const StreamEnd& aEnd,
                        Moment aMoment);
  Actions OnEngineUp(Moment aMoment);

  /// Deadlines, late offers, crash checks. Every kTickInterval.
  Actions OnTick(Moment aMoment);

  /// Time allowed for a run over the expected one, as runs differ.
  static constexpr std::int64_t kRunMarginPercent = 130;

  static constexpr base::Duration kTickInterval{ std::chrono::milliseconds{
    50 } };

  [[nodiscard]] GateLoad Load(base::Instant aNow) const;

  /// @return whether nothing runs, waits, or has an unrecorded result.
  [[nodiscard]] bool IsIdle() const;

private:
  // Gate.cpp: what is asked of the agent.
  [[nodiscard]] wire::ResultCode CheckOrder(const wire::StartRun& aOrder,
                                            Moment aMoment);
  [[nodiscard]] wire::ResultCode CheckOnline(const wire::StartRun& aOrder,
                                             base::Instant aNow) const;
  [[nodiscard]] bool IsOldEpoch(const wire::StartRun& aOrder);
  [[nodiscard]] bool AnswerRepeated(const std::string& aPeer,
                                    const wire::StartRun& aOrder);
  void Admit(const std::string& aPeer, wire::StartRun aOrder, Moment aMoment);
  void NoteIfQueued(const wire::RunId& aRun,
                    const std::string& aPeer,
                    Moment aMoment);
  void DropWaitingBatchOf(std::string_view aPeer, Moment aMoment);
  void DropWaitingBatchOfLost(Moment aMoment);
  void Refuse(const std::string& aPeer,
              const wire::StartRun& aOrder,
              wire::ResultCode aCode,
              Moment aMoment);
  void SendAnswer(const Run& aRun, std::uint64_t aReceivedSequence);
  void Stop(Run& aRun, wire::ResultCode aCode, Moment aMoment);

  // GateStreams.cpp: what comes from the engine.
  Run* FindStream(const StreamId& aStream);
  void NoteToken(Run& aRun, base::Instant aNow);
  void Requeue(Run& aRun, Moment aMoment);
  void OnCancelled(Run& aRun, const StreamEnd& aEnd, Moment aMoment);
  void OnNotSent(Run& aRun, const StreamEnd& aEnd, Moment aMoment);
  void OnBroken(Run& aRun, const StreamEnd& aEnd, Moment aMoment);
  void ConcludeCrashCheck(Moment aMoment);
  void EndBroken(wire::ResultCode aCode, Moment aMoment);
  void SetEngineDown(Moment aMoment);
  void EndWaiting(Urgency aUrgency, wire::ResultCode aCode, Moment aMoment);
  void EndInterrupted(Moment aMoment);
  void NoteEngineLives(Moment aMoment);
  void StopPastDeadline(Moment aMoment);

  // GateDispatch.cpp: who goes next.
  void Dispatch(Moment aMoment);
  bool Screen(Run& aRun, Moment aMoment);
  bool StartHeld(Moment aMoment);
  bool StartOnline(Moment aMoment);
  [[nodiscard]] bool IsTooLate(const Run& aRun, base::Instant aNow) const;
  void NoteQueuedStart(base::Instant aNow);
  bool StartBatch(Moment aMoment);
  bool MakeRoom(const Run& aFor, Moment aMoment);
  void Start(Run& aRun, Moment aMoment);
  void GrantCredits(Moment aMoment);
  [[nodiscard]] bool HasRoomForOnline() const;
  [[nodiscard]] std::uint32_t Headroom(base::Instant aNow) const;
  [[nodiscard]] bool HasRoomForBatch(base::Instant aNow) const;

  // GateResults.cpp: ends and their records.
  void EndNotRun(Run& aRun,
                 wire::ResultCode aCode,
                 const std::string& aDetail,
                 Moment aMoment);
  void EndRun(Run& aRun,
              wire::ResultCode aCode,
              wire::Ran aRan,
              const std::string& aDetail,
              Moment aMoment);
  void KeepResult(Run& aRun, base::Instant aNow);
  void Offer(Run& aRun, Moment aMoment);
  void OfferLate(Moment aMoment);
  void OfferUnheard(base::Instant aNow);
  [[nodiscard]] wire::RunEnded EndFor(const Run& aRun,
                                      const std::string& aPeer) const;
  void Detach(Run& aRun);
  void Forget(Run& aRun);

  void SetPhase(Run& aRun, RunPhase aPhase);
  void CountAtEngine(const Run& aRun, int aStep);
  void EnterEngine(Run& aRun);
  void LeaveEngine(Run& aRun);
  void Send(const std::string& aPeer, wire::Message aMessage);
  void NoteDecision(const base::Event& aEvent,
                    const wire::RunId& aRun,
                    const std::string& aPeer,
                    wire::ResultCode aCode,
                    base::Duration aWeighedWait,
                    base::Instant aNow);
  [[nodiscard]] std::uint32_t AtEngineCount() const
  {
    return static_cast<std::uint32_t>(atEngine_.size());
  }
  [[nodiscard]] Actions TakeActions();

  Options options_;
  StandingOf standingOf_;
  ConcurrencyLimit limit_;
  BurstTracker bursts_;
  WaitEstimate estimate_;
  GrantBook grants_;
  RunMemory memory_;
  RunQueue queue_;

  std::unordered_map<wire::RunId, Run> runs_;
  std::vector<Run*> atEngine_;
  std::vector<Run*> held_;
  std::vector<Run*> broken_;
  std::multimap<base::Instant, Run*> deadlines_;
  std::multimap<base::Instant, Run*> offers_;
  std::map<std::string, base::Instant, std::less<>>
    lostPeers_; ///< When to drop what they have waiting.
  std::vector<std::string> keepers_;
  std::vector<std::uint64_t> epochs_;

  std::uint32_t onlineRunning_ = 0;
  std::uint32_t batchRunning_ = 0;
  std::uint32_t leaving_ = 0;
  std::uint32_t suspectsAtEngine_ = 0;
  std::size_t answerBytes_ = 0;
  std::size_t nextKeeper_ = 0;
  base::Instant crashCheckSince_;
  base::Instant downSince_;
  base::Instant lastProbe_;
  Intake intake_ = Intake::Open;
  bool engineDown_ = false;
  Actions actions_;
};

} // namespace pumiceturn::dispatch
