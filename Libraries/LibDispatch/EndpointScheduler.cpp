#include "LibDispatch/EndpointScheduler.h"

#include "LibDispatch/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

constexpr std::uint32_t kMinRetryAfterMs = 50;
constexpr std::uint32_t kEngineDownRetryAfterMs = 1000;

// After this time another owner has taken over and sends the items again.
constexpr base::Duration kLostPeerQueueTimeout{ std::chrono::seconds{ 10 } };

std::uint32_t
RetryAfterMs(ResultCode aCode, base::Duration aExpectedWait)
{
  if (aCode == ResultCode::NoEndpoint) {
    return kEngineDownRetryAfterMs;
  }
  const auto wait = static_cast<std::uint32_t>(base::ToMs(aExpectedWait));
  return std::max(wait, kMinRetryAfterMs);
}

} // namespace

EndpointScheduler::EndpointScheduler(Options aOptions,
                                     ContentStatusLookup aContentStatusOf)
  : options_(std::move(aOptions))
  , contentStatusOf_(std::move(aContentStatusOf))
  , limit_(options_.limit_)
  , bursts_(options_.bursts_)
  , engineDown_(!options_.isEngineInitiallyUp_)
{
  SetPartitionCount(options_.partitionCount_);
}

Actions
EndpointScheduler::SetLimit(ConcurrencyLimit::Options aLimit, Moment aMoment)
{
  limit_.SetOptions(aLimit);
  Dispatch(aMoment);
  return TakeActions();
}

void
EndpointScheduler::SetPartitionCount(std::uint32_t aCount)
{
  if (highestEpochs_.size() != aCount) {
    highestEpochs_.assign(aCount, 0);
  }
}

void
EndpointScheduler::SetKeepers(std::vector<std::string> aKeepers)
{
  keepers_ = std::move(aKeepers);
}

Actions
EndpointScheduler::SetAdmissionState(AdmissionState aState, Moment aMoment)
{
  if (admissionState_ == aState) {
    return {};
  }
  admissionState_ = aState;
  LogEvent(
    kDrainChanged, {}, {}, ResultCode::Ok, base::Duration{}, aMoment.now_);
  actions_.emplace_back(BroadcastHeartbeat{});
  if (admissionState_ == AdmissionState::Draining) {
    // Batch runs that have not started can run elsewhere without loss; accepted
    // online runs complete here.
    EndQueuedRuns(TrafficClass::Batch, ResultCode::Draining, aMoment);
    MakeResultsOfLostPeersDue(aMoment.now_);
    ResendDueResults(aMoment);
  }
  Dispatch(aMoment);
  return TakeActions();
}

Actions
EndpointScheduler::OnStartRun(const std::string& aPeer,
                              wire::StartRun aRequest,
                              Moment aMoment)
{
  if (!aRequest.online_) {
    creditLedger_.OnCreditUsed(aPeer);
  }
  if (ReplyIfDuplicate(aPeer, aRequest)) {
    return TakeActions();
  }
  const ResultCode code = CheckAdmission(aRequest, aMoment);
  if (code != ResultCode::Ok) {
    Refuse(aPeer, aRequest, code, aMoment);
    return TakeActions();
  }
  if (!aRequest.online_) {
    creditLedger_.OnRunAccepted(aPeer);
  }
  const wire::RunId id = aRequest.run_;
  Admit(aPeer, std::move(aRequest), aMoment);
  Dispatch(aMoment);
  LogIfQueued(id, aPeer, aMoment);
  return TakeActions();
}

// A request may arrive twice, because the link was replaced or the sender
// retried. The same run is never started twice. If it has ended, its end is
// sent again.
bool
EndpointScheduler::ReplyIfDuplicate(const std::string& aPeer,
                                    const wire::StartRun& aRequest)
{
  const auto found = runs_.find(aRequest.run_);
  if (found != runs_.end()) {
    found->second.receiver_ = aPeer;
    if (found->second.phase_ == RunPhase::Finished) {
      SendResponse(found->second, 0);
    }
    return true;
  }
  if (const wire::RunEnded* ended = history_.Find(aRequest.run_)) {
    Send(aPeer, *ended);
    return true;
  }
  return false;
}

ResultCode
EndpointScheduler::CheckAdmission(const wire::StartRun& aRequest,
                                  Moment aMoment)
{
  // Another attempt at a non-idempotent item may have run here. Running it
  // again could duplicate its effect.
  if (!aRequest.idempotent_ && history_.MayHaveRun(aRequest.run_)) {
    return ResultCode::OutcomeUnknown;
  }
  if (admissionState_ == AdmissionState::Draining) {
    return ResultCode::Draining;
  }
  if (aRequest.service_ != options_.service_) {
    return ResultCode::UnknownService;
  }
  if (IsStaleEpoch(aRequest)) {
    return ResultCode::StaleFence;
  }
  const ContentStatus status = contentStatusOf_(aRequest.fingerprint_, aMoment);
  if (status == ContentStatus::Quarantined) {
    return ResultCode::Quarantined;
  }
  if (engineDown_) {
    return ResultCode::NoEndpoint;
  }
  if (responseBytes_ > options_.maxResponseBytes_) {
    return ResultCode::Overloaded;
  }
  if (aRequest.online_) {
    return CheckOnline(aRequest, aMoment.now_);
  }
  return queue_.BatchCount() < options_.maxQueuedBatch_
           ? ResultCode::Ok
           : ResultCode::Overloaded;
}

ResultCode
EndpointScheduler::CheckOnline(const wire::StartRun& aRequest,
                               base::Instant aNow) const
{
  if (queue_.OnlineCount() >= options_.maxQueuedOnline_) {
    return ResultCode::Overloaded;
  }
  if (aRequest.deadlineMs_ == 0) {
    return ResultCode::Ok;
  }
  const base::Duration timeLeft =
    std::chrono::milliseconds{ aRequest.deadlineMs_ };
  const base::Duration runTime =
    estimate_.ExpectedRunTime(aRequest.maxTokens_) * kRunTimePercent / 100;
  const base::Duration wait =
    std::chrono::milliseconds{ Load(aNow).expectedWaitMs_ };
  if (wait > base::Duration::zero() && wait + runTime > timeLeft) {
    return ResultCode::Overloaded;
  }
  return ResultCode::Ok;
}

// An owner that was paused during a takeover still sends runs of its old epoch.
// Keepers refuse to store its records. Its runs are refused here, so that they
// do not take places from runs of the current owner.
bool
EndpointScheduler::IsStaleEpoch(const wire::StartRun& aRequest)
{
  if (aRequest.fence_ == 0 || highestEpochs_.empty()) {
    return false;
  }
  const std::uint32_t partition = base::PartitionOf(
    aRequest.run_.job_, static_cast<std::uint32_t>(highestEpochs_.size()));
  std::uint64_t& highest = highestEpochs_[partition];
  if (aRequest.fence_ < highest) {
    return true;
  }
  highest = aRequest.fence_;
  return false;
}

void
EndpointScheduler::Admit(const std::string& aPeer,
                         wire::StartRun aRequest,
                         Moment aMoment)
{
  Run& run = runs_[aRequest.run_];
  run.request_ = std::move(aRequest);
  run.receiver_ = aPeer;
  run.starter_ = aPeer;
  run.arrivedAt_ = aMoment.now_;
  if (!run.request_.idempotent_) {
    history_.AddItemThatMayHaveRun(run.request_.run_);
  }
  if (run.request_.deadlineMs_ != 0) {
    run.deadline_ =
      aMoment.now_ + std::chrono::milliseconds{ run.request_.deadlineMs_ };
    run.deadlineEntry_ = deadlines_.emplace(run.deadline_, &run);
  }
  if (run.IsOnline()) {
    bursts_.OnArrival(aMoment.now_);
    queue_.PushOnline(run);
    return;
  }
  if (run.request_.dueUnixMs_ != 0) {
    run.due_ = aMoment.now_ +
               (base::FromUnixMs(run.request_.dueUnixMs_) - aMoment.wall_);
  }
  queue_.PushBatch(
    run, run.due_ - estimate_.ExpectedDecodeTime(run.request_.maxTokens_));
}

void
EndpointScheduler::LogIfQueued(const wire::RunId& aRun,
                               const std::string& aPeer,
                               Moment aMoment)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end() || found->second.phase_ != RunPhase::Waiting ||
      !found->second.IsOnline()) {
    return;
  }
  const base::Duration wait =
    std::chrono::milliseconds{ Load(aMoment.now_).expectedWaitMs_ };
  LogEvent(kRunQueued, aRun, aPeer, ResultCode::Ok, wait, aMoment.now_);
}

void
EndpointScheduler::Refuse(const std::string& aPeer,
                          const wire::StartRun& aRequest,
                          ResultCode aCode,
                          Moment aMoment)
{
  const SchedulerLoad load = Load(aMoment.now_);
  const base::Duration wait = std::chrono::milliseconds{ load.expectedWaitMs_ };
  wire::RunEnded ended;
  ended.run_ = aRequest.run_;
  ended.code_ = aCode;
  ended.ran_ = aCode == ResultCode::OutcomeUnknown ? Ran::Unknown : Ran::NotRun;
  ended.retryAfterMs_ = RetryAfterMs(aCode, wait);
  LogEvent(kRunRefused, aRequest.run_, aPeer, aCode, wait, aMoment.now_);
  history_.RecordEnd(ended);
  Send(aPeer, std::move(ended));
}

Actions
EndpointScheduler::OnCancelRun(const std::string& aPeer,
                               const wire::CancelRun& aCancel,
                               Moment aMoment)
{
  const auto found = runs_.find(aCancel.run_);
  if (found == runs_.end()) {
    if (history_.Find(aCancel.run_) == nullptr) {
      // The StartRun may still be in transit on an older link. With the end
      // in the history, the StartRun is answered with it and starts nothing.
      wire::RunEnded ended;
      ended.run_ = aCancel.run_;
      ended.code_ = ResultCode::Cancelled;
      ended.ran_ = Ran::Unknown;
      history_.RecordEnd(ended);
    }
    Send(aPeer, *history_.Find(aCancel.run_));
    return TakeActions();
  }
  found->second.receiver_ = aPeer;
  Stop(found->second, ResultCode::Cancelled, aMoment);
  Dispatch(aMoment);
  return TakeActions();
}

void
EndpointScheduler::Stop(Run& aRun, ResultCode aCode, Moment aMoment)
{
  switch (aRun.phase_) {
    case RunPhase::Waiting:
    case RunPhase::Held:
      if (aRun.mayHaveRun_) {
        EndRun(aRun, aCode, Ran::Ran, {}, aMoment);
      } else {
        EndAsNotRun(aRun, aCode, {}, aMoment);
      }
      return;
    case RunPhase::Running:
      SetPhase(aRun, RunPhase::Stopping);
      aRun.stopCode_ = aCode;
      actions_.emplace_back(CancelStream{ aRun.Stream() });
      return;
    case RunPhase::Preempting:
      SetPhase(aRun, RunPhase::Stopping);
      aRun.stopCode_ = aCode;
      return;
    case RunPhase::Finished:
      // The run finished before the cancel; the owner decides which result to
      // record.
      SendResponse(aRun, aRun.chunks_.size());
      return;
    case RunPhase::Stopping:
    case RunPhase::Broken:
      return;
  }
}

Actions
EndpointScheduler::OnAttachRun(const std::string& aPeer,
                               const wire::AttachRun& aAttach,
                               Moment aMoment)
{
  const auto found = runs_.find(aAttach.run_);
  if (found != runs_.end()) {
    found->second.receiver_ = aPeer;
    SendResponse(found->second, aAttach.receivedSequence_);
    return TakeActions();
  }
  if (const wire::RunEnded* ended = history_.Find(aAttach.run_)) {
    Send(aPeer, *ended);
    return TakeActions();
  }
  wire::RunEnded ended;
  ended.run_ = aAttach.run_;
  ended.code_ = ResultCode::EndpointLost;
  ended.ran_ = Ran::Unknown;
  LogEvent(kRunRefused,
           aAttach.run_,
           aPeer,
           ResultCode::EndpointLost,
           base::Duration{},
           aMoment.now_);
  history_.RecordEnd(ended);
  Send(aPeer, std::move(ended));
  return TakeActions();
}

// Sends chunks only to the peer that started the run; any other peer gets the
// complete response with the end.
void
EndpointScheduler::SendResponse(const Run& aRun,
                                std::uint64_t aReceivedSequence)
{
  if (aRun.receiver_ == aRun.starter_) {
    for (std::size_t index = aReceivedSequence; index < aRun.chunks_.size();
         ++index) {
      const ResponseChunk& chunk = aRun.chunks_[index];
      Send(aRun.receiver_,
           wire::Chunk{
             aRun.request_.run_, index + 1, chunk.text_, chunk.tokens_ });
    }
  }
  if (aRun.phase_ == RunPhase::Finished) {
    Send(aRun.receiver_, MakeRunEnded(aRun, aRun.receiver_));
  }
}

Actions
EndpointScheduler::OnBatchDemand(const std::string& aPeer,
                                 const wire::BatchDemand& aDemand,
                                 Moment aMoment)
{
  if (aDemand.service_ != options_.service_) {
    return {};
  }
  creditLedger_.SetDemand(aPeer, aDemand.waiting_, aDemand.slackMs_);
  Dispatch(aMoment);
  return TakeActions();
}

Actions
EndpointScheduler::OnLinkUp(const std::string& aPeer, Moment aMoment)
{
  lostPeers_.erase(aPeer);
  creditLedger_.OnLinkUp(aPeer);
  Dispatch(aMoment);
  return TakeActions();
}

void
EndpointScheduler::OnLinkLost(const std::string& aPeer, Moment aMoment)
{
  lostPeers_.try_emplace(aPeer, aMoment.now_ + kLostPeerQueueTimeout);
  creditLedger_.OnLinkLost(aPeer);
}

Actions
EndpointScheduler::OnPeerReplaced(const std::string& aPeer, Moment aMoment)
{
  DropQueuedBatchOf(aPeer, aMoment);
  Dispatch(aMoment);
  return TakeActions();
}

void
EndpointScheduler::DropQueuedBatchOf(std::string_view aPeer, Moment aMoment)
{
  std::vector<Run*> dropped;
  for (auto& [id, run] : runs_) {
    const bool isQueued =
      run.phase_ == RunPhase::Waiting || run.phase_ == RunPhase::Held;
    if (run.receiver_ == aPeer && isQueued && !run.mayHaveRun_ &&
        !run.IsOnline()) {
      dropped.push_back(&run);
    }
  }
  for (Run* run : dropped) {
    EndAsNotRun(*run, ResultCode::Disconnected, {}, aMoment);
  }
}

void
EndpointScheduler::DropQueuedBatchOfLostPeers(Moment aMoment)
{
  for (auto& [peer, dropAt] : lostPeers_) {
    if (dropAt <= aMoment.now_) {
      dropAt = base::Instant::max();
      DropQueuedBatchOf(peer, aMoment);
    }
  }
}

SchedulerLoad
EndpointScheduler::Load(base::Instant aNow) const
{
  SchedulerLoad load;
  load.onlineRunning_ = onlineRunning_;
  load.batchRunning_ = batchRunning_;
  load.cancelling_ = cancelling_;
  load.onlineWaiting_ = queue_.OnlineCount();
  load.batchWaiting_ = queue_.BatchCount();
  load.places_ = limit_.Current();
  load.headroom_ = Headroom(aNow);
  load.creditsOutstanding_ = creditLedger_.Outstanding();
  load.unrecordedResults_ =
    static_cast<std::uint32_t>(unrecordedResults_.size());
  load.draining_ = admissionState_ == AdmissionState::Draining;
  load.engineDown_ = engineDown_;
  if (load.onlineWaiting_ > 0 || !HasPlaceForOnline()) {
    const base::Duration wait =
      estimate_.ExpectedWait(load.onlineWaiting_ + 1, load.places_);
    load.expectedWaitMs_ = static_cast<std::uint32_t>(base::ToMs(wait));
  }
  return load;
}

bool
EndpointScheduler::IsIdle() const
{
  return runs_.empty();
}

void
EndpointScheduler::Send(const std::string& aPeer, wire::Message aMessage)
{
  if (lostPeers_.contains(aPeer)) {
    return; // The peer re-attaches when its link is up again.
  }
  actions_.emplace_back(SendMessage{ aPeer, std::move(aMessage) });
}

void
EndpointScheduler::LogEvent(const base::Event& aEvent,
                            const wire::RunId& aRun,
                            const std::string& aPeer,
                            ResultCode aCode,
                            base::Duration aDuration,
                            base::Instant aNow)
{
  actions_.emplace_back(
    LogDecision{ &aEvent, aRun, aPeer, aCode, aDuration, Load(aNow) });
}

Actions
EndpointScheduler::TakeActions()
{
  return std::exchange(actions_, {});
}

} // namespace pumiceturn::dispatch
