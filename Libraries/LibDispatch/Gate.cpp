#include "LibDispatch/Gate.h"

#include "LibDispatch/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

constexpr std::uint32_t kLeastRetryAfterMs = 50;
constexpr std::uint32_t kRetryAfterDownMs = 1000;

// An owner that is lost for so long has been taken over, and its waiting items
// are given out by the one that did.
constexpr base::Duration kKeepWaitingOfLost{ std::chrono::seconds{ 10 } };

std::uint32_t
RetryAfterMs(ResultCode aCode, base::Duration aExpectedWait)
{
  if (aCode == ResultCode::NoEndpoint) {
    return kRetryAfterDownMs;
  }
  const auto wait = static_cast<std::uint32_t>(base::ToMs(aExpectedWait));
  return std::max(wait, kLeastRetryAfterMs);
}

} // namespace

Gate::Gate(Options aOptions, StandingOf aStandingOf)
  : options_(std::move(aOptions))
  , standingOf_(std::move(aStandingOf))
  , limit_(options_.limit_)
  , bursts_(options_.bursts_)
  , engineDown_(!options_.startsUp_)
{
  SetPartitionCount(options_.partitionCount_);
}

Actions
Gate::SetLimit(ConcurrencyLimit::Options aLimit, Moment aMoment)
{
  limit_.SetOptions(aLimit);
  Dispatch(aMoment);
  return TakeActions();
}

void
Gate::SetPartitionCount(std::uint32_t aCount)
{
  if (epochs_.size() != aCount) {
    epochs_.assign(aCount, 0);
  }
}

void
Gate::SetKeepers(std::vector<std::string> aKeepers)
{
  keepers_ = std::move(aKeepers);
}

Actions
Gate::SetIntake(Intake aIntake, Moment aMoment)
{
  if (intake_ == aIntake) {
    return {};
  }
  intake_ = aIntake;
  NoteDecision(
    kDrainChanged, {}, {}, ResultCode::Ok, base::Duration{}, aMoment.now_);
  actions_.emplace_back(SpreadHeartbeat{});
  if (intake_ == Intake::Draining) {
    // Batch that has not begun loses nothing by going elsewhere; online that
    // was taken in is answered here.
    EndWaiting(Urgency::Batch, ResultCode::Draining, aMoment);
    OfferUnheard(aMoment.now_);
    OfferLate(aMoment);
  }
  Dispatch(aMoment);
  return TakeActions();
}

Actions
Gate::OnStartRun(const std::string& aPeer,
                 wire::StartRun aOrder,
                 Moment aMoment)
{
  if (!aOrder.online_) {
    grants_.OnCreditUsed(aPeer);
  }
  if (AnswerRepeated(aPeer, aOrder)) {
    return TakeActions();
  }
  const ResultCode code = CheckOrder(aOrder, aMoment);
  if (code != ResultCode::Ok) {
    Refuse(aPeer, aOrder, code, aMoment);
    return TakeActions();
  }
  if (!aOrder.online_) {
    grants_.OnRunTaken(aPeer);
  }
  const wire::RunId id = aOrder.run_;
  Admit(aPeer, std::move(aOrder), aMoment);
  Dispatch(aMoment);
  NoteIfQueued(id, aPeer, aMoment);
  return TakeActions();
}

// A message can be delivered again after its link was replaced, and a sender
// that heard nothing asks again. The same run is never begun twice: whoever
// asks gets what there is.
bool
Gate::AnswerRepeated(const std::string& aPeer, const wire::StartRun& aOrder)
{
  const auto found = runs_.find(aOrder.run_);
  if (found != runs_.end()) {
    found->second.peer_ = aPeer;
    if (found->second.phase_ == RunPhase::Finished) {
      SendAnswer(found->second, 0);
    }
    return true;
  }
  if (const wire::RunEnded* ended = memory_.Find(aOrder.run_)) {
    Send(aPeer, *ended);
    return true;
  }
  return false;
}

ResultCode
Gate::CheckOrder(const wire::StartRun& aOrder, Moment aMoment)
{
  // Another attempt at a non-idempotent item may have run here, as far as this
  // process can know; the caller would see the effect twice. So it is not begun
  // again, whatever became of the first one.
  if (!aOrder.idempotent_ && memory_.HasItem(aOrder.run_)) {
    return ResultCode::OutcomeUnknown;
  }
  if (intake_ == Intake::Draining) {
    return ResultCode::Draining;
  }
  if (aOrder.service_ != options_.service_) {
    return ResultCode::UnknownService;
  }
  if (IsOldEpoch(aOrder)) {
    return ResultCode::StaleFence;
  }
  const ContentStanding standing = standingOf_(aOrder.fingerprint_, aMoment);
  if (standing == ContentStanding::Quarantined) {
    return ResultCode::Quarantined;
  }
  if (engineDown_) {
    return ResultCode::NoEndpoint;
  }
  if (answerBytes_ > options_.maxAnswerBytes_) {
    return ResultCode::Overloaded;
  }
  if (aOrder.online_) {
    return CheckOnline(aOrder, aMoment.now_);
  }
  return queue_.BatchCount() < options_.maxQueuedBatch_
           ? ResultCode::Ok
           : ResultCode::Overloaded;
}

ResultCode
Gate::CheckOnline(const wire::StartRun& aOrder, base::Instant aNow) const
{
  if (queue_.OnlineCount() >= options_.maxQueuedOnline_) {
    return ResultCode::Overloaded;
  }
  if (aOrder.deadlineMs_ == 0) {
    return ResultCode::Ok;
  }
  const base::Duration left = std::chrono::milliseconds{ aOrder.deadlineMs_ };
  const base::Duration run =
    estimate_.ExpectedRun(aOrder.maxTokens_) * kRunMarginPercent / 100;
  const base::Duration wait =
    std::chrono::milliseconds{ Load(aNow).expectedWaitMs_ };
  if (wait > base::Duration::zero() && wait + run > left) {
    return ResultCode::Overloaded;
  }
  return ResultCode::Ok;
}

// An owner that was paused past its takeover still gives out runs of the epoch
// it had. Its records are refused at the keepers; here its runs are, so that
// they take no place from the present owner's.
bool
Gate::IsOldEpoch(const wire::StartRun& aOrder)
{
  if (aOrder.fence_ == 0 || epochs_.empty()) {
    return false;
  }
  const std::uint32_t partition = base::PartitionOf(
    aOrder.run_.job_, static_cast<std::uint32_t>(epochs_.size()));
  std::uint64_t& highest = epochs_[partition];
  if (aOrder.fence_ < highest) {
    return true;
  }
  highest = aOrder.fence_;
  return false;
}

void
Gate::Admit(const std::string& aPeer, wire::StartRun aOrder, Moment aMoment)
{
  Run& run = runs_[aOrder.run_];
  run.order_ = std::move(aOrder);
  run.peer_ = aPeer;
  run.starter_ = aPeer;
  run.arrived_ = aMoment.now_;
  if (!run.order_.idempotent_) {
    memory_.RememberItem(run.order_.run_);
  }
  if (run.order_.deadlineMs_ != 0) {
    run.deadline_ =
      aMoment.now_ + std::chrono::milliseconds{ run.order_.deadlineMs_ };
    run.deadlineEntry_ = deadlines_.emplace(run.deadline_, &run);
  }
  if (run.IsOnline()) {
    bursts_.OnArrival(aMoment.now_);
    queue_.PushOnline(run);
    return;
  }
  if (run.order_.dueUnixMs_ != 0) {
    run.due_ =
      aMoment.now_ + (base::FromUnixMs(run.order_.dueUnixMs_) - aMoment.wall_);
  }
  queue_.PushBatch(run,
                   run.due_ - estimate_.ExpectedWork(run.order_.maxTokens_));
}

void
Gate::NoteIfQueued(const wire::RunId& aRun,
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
  NoteDecision(kRunQueued, aRun, aPeer, ResultCode::Ok, wait, aMoment.now_);
}

void
Gate::Refuse(const std::string& aPeer,
             const wire::StartRun& aOrder,
             ResultCode aCode,
             Moment aMoment)
{
  const GateLoad load = Load(aMoment.now_);
  const base::Duration wait = std::chrono::milliseconds{ load.expectedWaitMs_ };
  wire::RunEnded ended;
  ended.run_ = aOrder.run_;
  ended.code_ = aCode;
  ended.ran_ = aCode == ResultCode::OutcomeUnknown ? Ran::Unknown : Ran::NotRun;
  ended.retryAfterMs_ = RetryAfterMs(aCode, wait);
  NoteDecision(kRunRefused, aOrder.run_, aPeer, aCode, wait, aMoment.now_);
  memory_.Remember(ended);
  Send(aPeer, std::move(ended));
}

Actions
Gate::OnCancelRun(const std::string& aPeer,
                  const wire::CancelRun& aCancel,
                  Moment aMoment)
{
  const auto found = runs_.find(aCancel.run_);
  if (found == runs_.end()) {
    if (memory_.Find(aCancel.run_) == nullptr) {
      // The order may still be on its way over an older link: it is refused
      // when it comes.
      wire::RunEnded ended;
      ended.run_ = aCancel.run_;
      ended.code_ = ResultCode::Cancelled;
      ended.ran_ = Ran::Unknown;
      memory_.Remember(ended);
    }
    Send(aPeer, *memory_.Find(aCancel.run_));
    return TakeActions();
  }
  found->second.peer_ = aPeer;
  Stop(found->second, ResultCode::Cancelled, aMoment);
  Dispatch(aMoment);
  return TakeActions();
}

void
Gate::Stop(Run& aRun, ResultCode aCode, Moment aMoment)
{
  switch (aRun.phase_) {
    case RunPhase::Waiting:
    case RunPhase::Held:
      if (aRun.mayHaveRun_) {
        EndRun(aRun, aCode, Ran::Ran, {}, aMoment);
      } else {
        EndNotRun(aRun, aCode, {}, aMoment);
      }
      return;
    case RunPhase::Running:
      SetPhase(aRun, RunPhase::Stopping);
      aRun.stopCode_ = aCode;
      actions_.emplace_back(CancelStream{ aRun.Stream() });
      return;
    case RunPhase::Yielding:
      SetPhase(aRun, RunPhase::Stopping);
      aRun.stopCode_ = aCode;
      return;
    case RunPhase::Finished:
      // The end was first; what is recorded is the owner's to decide.
      SendAnswer(aRun, aRun.parts_.size());
      return;
    case RunPhase::Stopping:
    case RunPhase::Broken:
      return;
  }
}

Actions
Gate::OnAttachRun(const std::string& aPeer,
                  const wire::AttachRun& aAttach,
                  Moment aMoment)
{
  const auto found = runs_.find(aAttach.run_);
  if (found != runs_.end()) {
    found->second.peer_ = aPeer;
    SendAnswer(found->second, aAttach.receivedSequence_);
    return TakeActions();
  }
  if (const wire::RunEnded* ended = memory_.Find(aAttach.run_)) {
    Send(aPeer, *ended);
    return TakeActions();
  }
  wire::RunEnded ended;
  ended.run_ = aAttach.run_;
  ended.code_ = ResultCode::EndpointLost;
  ended.ran_ = Ran::Unknown;
  NoteDecision(kRunRefused,
               aAttach.run_,
               aPeer,
               ResultCode::EndpointLost,
               base::Duration{},
               aMoment.now_);
  memory_.Remember(ended);
  Send(aPeer, std::move(ended));
  return TakeActions();
}

// Chunks go to the one that asked for them; anyone else gets the answer whole.
void
Gate::SendAnswer(const Run& aRun, std::uint64_t aReceivedSequence)
{
  if (aRun.peer_ == aRun.starter_) {
    for (std::size_t index = aReceivedSequence; index < aRun.parts_.size();
         ++index) {
      const AnswerPart& part = aRun.parts_[index];
      Send(
        aRun.peer_,
        wire::Chunk{ aRun.order_.run_, index + 1, part.text_, part.tokens_ });
    }
  }
  if (aRun.phase_ == RunPhase::Finished) {
    Send(aRun.peer_, EndFor(aRun, aRun.peer_));
  }
}

Actions
Gate::OnBatchDemand(const std::string& aPeer,
                    const wire::BatchDemand& aDemand,
                    Moment aMoment)
{
  if (aDemand.service_ != options_.service_) {
    return {};
  }
  grants_.OnDemand(aPeer, aDemand.waiting_, aDemand.slackMs_);
  Dispatch(aMoment);
  return TakeActions();
}

Actions
Gate::OnLinkUp(const std::string& aPeer, Moment aMoment)
{
  lostPeers_.erase(aPeer);
  grants_.OnLinkUp(aPeer);
  Dispatch(aMoment);
  return TakeActions();
}

void
Gate::OnLinkLost(const std::string& aPeer, Moment aMoment)
{
  lostPeers_.try_emplace(aPeer, aMoment.now_ + kKeepWaitingOfLost);
  grants_.OnLinkLost(aPeer);
}

Actions
Gate::OnPeerReplaced(const std::string& aPeer, Moment aMoment)
{
  DropWaitingBatchOf(aPeer, aMoment);
  Dispatch(aMoment);
  return TakeActions();
}

void
Gate::DropWaitingBatchOf(std::string_view aPeer, Moment aMoment)
{
  std::vector<Run*> dropped;
  for (auto& [id, run] : runs_) {
    const bool hasNotBegun =
      run.phase_ == RunPhase::Waiting || run.phase_ == RunPhase::Held;
    if (run.peer_ == aPeer && hasNotBegun && !run.mayHaveRun_ &&
        !run.IsOnline()) {
      dropped.push_back(&run);
    }
  }
  for (Run* run : dropped) {
    EndNotRun(*run, ResultCode::Disconnected, {}, aMoment);
  }
}

void
Gate::DropWaitingBatchOfLost(Moment aMoment)
{
  for (auto& [peer, dropAt] : lostPeers_) {
    if (dropAt <= aMoment.now_) {
      dropAt = base::Instant::max();
      DropWaitingBatchOf(peer, aMoment);
    }
  }
}

GateLoad
Gate::Load(base::Instant aNow) const
{
  GateLoad load;
  load.onlineRunning_ = onlineRunning_;
  load.batchRunning_ = batchRunning_;
  load.yielding_ = leaving_;
  load.onlineWaiting_ = queue_.OnlineCount();
  load.batchWaiting_ = queue_.BatchCount();
  load.limit_ = limit_.Current();
  load.headroom_ = Headroom(aNow);
  load.creditsOutstanding_ = grants_.Outstanding();
  load.unrecorded_ = static_cast<std::uint32_t>(offers_.size());
  load.draining_ = intake_ == Intake::Draining;
  load.engineDown_ = engineDown_;
  if (load.onlineWaiting_ > 0 || !HasRoomForOnline()) {
    const base::Duration wait =
      estimate_.ExpectedWait(load.onlineWaiting_ + 1, load.limit_);
    load.expectedWaitMs_ = static_cast<std::uint32_t>(base::ToMs(wait));
  }
  return load;
}

bool
Gate::IsIdle() const
{
  return runs_.empty();
}

void
Gate::Send(const std::string& aPeer, wire::Message aMessage)
{
  if (lostPeers_.contains(aPeer)) {
    return; // It re-attaches when its link is up again.
  }
  actions_.emplace_back(SendMessage{ aPeer, std::move(aMessage) });
}

void
Gate::NoteDecision(const base::Event& aEvent,
                   const wire::RunId& aRun,
                   const std::string& aPeer,
                   ResultCode aCode,
                   base::Duration aWeighedWait,
                   base::Instant aNow)
{
  actions_.emplace_back(
    LogDecision{ &aEvent, aRun, aPeer, aCode, aWeighedWait, Load(aNow) });
}

Actions
Gate::TakeActions()
{
  return std::exchange(actions_, {});
}

} // namespace pumiceturn::dispatch
