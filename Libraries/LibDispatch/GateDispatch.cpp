#include "LibDispatch/Events.h"
#include "LibDispatch/Gate.h"
#include "LibDispatch/Preemption.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::ResultCode;

namespace {

// Credits beyond the free places, as a share of all places: enough that the
// next item is here when a place falls free, few enough that it is given back
// at little cost when online takes the place.
constexpr std::uint32_t kPipelineShare = 8;
constexpr std::uint32_t kUngatedFactor = 2;

std::uint32_t
PipelineOf(std::uint32_t aPlaces)
{
  return std::max(aPlaces / kPipelineShare, 1U);
}

} // namespace

void
Gate::Dispatch(Moment aMoment)
{
  if (engineDown_ || !broken_.empty()) {
    return;
  }
  while (StartHeld(aMoment) || StartOnline(aMoment) || StartBatch(aMoment)) {
  }
  GrantCredits(aMoment);
}

bool
Gate::HasRoomForOnline() const
{
  // A place that a batch stream is leaving counts as free: the engine admits at
  // its next step, and by then that stream is gone.
  return !IsGated(options_.policy_) ||
         onlineRunning_ + batchRunning_ < limit_.Current();
}

bool
Gate::HasRoomForBatch(base::Instant aNow) const
{
  if (!IsGated(options_.policy_)) {
    return true;
  }
  return AtEngineCount() + Headroom(aNow) < limit_.Current();
}

std::uint32_t
Gate::Headroom(base::Instant aNow) const
{
  const std::uint32_t burst =
    bursts_.Headroom(limit_.Current(), estimate_.Step(), aNow);
  return HeadroomOf(options_.policy_, burst);
}

// Suspects never share an endpoint: if two of them were there when it crashed,
// it could not be told which one to blame, and an innocent one might end up
// refused. What became quarantined while it waited is not run at all.
// @return whether the run was refused or held back.
bool
Gate::Screen(Run& aRun, Moment aMoment)
{
  const ContentStanding standing =
    standingOf_(aRun.order_.fingerprint_, aMoment);
  if (standing == ContentStanding::Quarantined) {
    Stop(aRun, ResultCode::Quarantined, aMoment);
    return true;
  }
  aRun.isSuspect_ = standing == ContentStanding::Suspect;
  if (!aRun.isSuspect_ || suspectsAtEngine_ == 0) {
    return false;
  }
  queue_.Remove(aRun);
  SetPhase(aRun, RunPhase::Held);
  held_.push_back(&aRun);
  return true;
}

bool
Gate::StartHeld(Moment aMoment)
{
  if (held_.empty() || suspectsAtEngine_ > 0) {
    return false;
  }
  Run& run = *held_.front();
  if (Screen(run, aMoment)) {
    return true;
  }
  if (run.IsOnline() ? !(HasRoomForOnline() || MakeRoom(run, aMoment))
                     : !HasRoomForBatch(aMoment.now_)) {
    return false;
  }
  held_.erase(held_.begin());
  Start(run, aMoment);
  return true;
}

bool
Gate::StartOnline(Moment aMoment)
{
  Run* run = queue_.FirstOnline();
  if (run == nullptr) {
    return false;
  }
  if (Screen(*run, aMoment)) {
    return true;
  }
  while (!HasRoomForOnline()) {
    if (!MakeRoom(*run, aMoment)) {
      return false;
    }
  }
  if (IsTooLate(*run, aMoment.now_)) {
    Stop(*run, ResultCode::DeadlineTooShort, aMoment);
    return true;
  }
  NoteQueuedStart(aMoment.now_);
  queue_.Remove(*run);
  Start(*run, aMoment);
  return true;
}

// A run that cannot end in time would take its place from one that can. Only
// what has waited is judged: on a free engine there is nobody to lose by it.
bool
Gate::IsTooLate(const Run& aRun, base::Instant aNow) const
{
  const base::Duration expected =
    estimate_.ExpectedRun(aRun.order_.maxTokens_) * kRunMarginPercent / 100;
  return aRun.arrived_ < aNow && aRun.deadline_ - aNow < expected;
}

void
Gate::NoteQueuedStart(base::Instant aNow)
{
  if (queue_.OnlineCount() > 1) {
    estimate_.OnQueuedStart(aNow);
  } else {
    estimate_.OnQueueEmpty();
  }
}

bool
Gate::StartBatch(Moment aMoment)
{
  Run* run = queue_.FirstBatch();
  if (run == nullptr || !HasRoomForBatch(aMoment.now_)) {
    return false;
  }
  if (Screen(*run, aMoment)) {
    return true;
  }
  queue_.Remove(*run);
  Start(*run, aMoment);
  return true;
}

bool
Gate::MakeRoom(const Run& aFor, Moment aMoment)
{
  if (!MayPreempt(options_.policy_) ||
      options_.resumption_ == Resumption::None ||
      onlineRunning_ >= limit_.Current()) {
    return false;
  }
  Run* victim = ChooseVictim(atEngine_, estimate_, aMoment.now_);
  if (victim == nullptr) {
    return false;
  }
  const base::Duration slack = SlackOf(*victim, estimate_, aMoment.now_);
  SetPhase(*victim, RunPhase::Yielding);
  victim->preempted_ = aMoment.now_;
  ++victim->preemptions_;
  NoteDecision(kRunPreempted,
               victim->order_.run_,
               aFor.peer_,
               ResultCode::Preempted,
               slack,
               aMoment.now_);
  actions_.emplace_back(CancelStream{ victim->Stream() });
  return true;
}

void
Gate::Start(Run& aRun, Moment aMoment)
{
  NoteDecision(kRunStarted,
               aRun.order_.run_,
               aRun.peer_,
               ResultCode::Ok,
               aMoment.now_ - aRun.arrived_,
               aMoment.now_);
  ++aRun.generation_;
  aRun.started_ = aMoment.now_;
  aRun.lastToken_ = aMoment.now_;
  aRun.hasFirstToken_ = false;
  EnterEngine(aRun);
  StartStream start;
  start.stream_ = aRun.Stream();
  start.kind_ = aRun.order_.kind_;
  start.payload_ = aRun.order_.payload_;
  start.prefix_ = aRun.order_.prefix_;
  start.maxTokens_ = aRun.order_.maxTokens_;
  start.resumeTokens_ = aRun.tokens_;
  if (aRun.deadline_ != base::Instant::max()) {
    start.timeLeft_ = aRun.deadline_ - aMoment.now_;
  }
  actions_.emplace_back(std::move(start));
}

void
Gate::GrantCredits(Moment aMoment)
{
  if (intake_ == Intake::Draining || !grants_.HasDemand() ||
      answerBytes_ > options_.maxAnswerBytes_) {
    return;
  }
  const GateLoad load = Load(aMoment.now_);
  const std::uint32_t places = IsGated(options_.policy_)
                                 ? load.limit_ + PipelineOf(load.limit_)
                                 : load.limit_ * kUngatedFactor;
  const std::uint32_t taken = AtEngineCount() + load.onlineWaiting_ +
                              load.batchWaiting_ + load.headroom_ +
                              load.creditsOutstanding_ +
                              static_cast<std::uint32_t>(held_.size());
  if (taken >= places) {
    return;
  }
  const std::vector<GrantBook::Grant> grants = grants_.Allocate(places - taken);
  for (const GrantBook::Grant& grant : grants) {
    NoteDecision(kCreditsGranted,
                 {},
                 grant.owner_,
                 ResultCode::Ok,
                 base::Duration{},
                 aMoment.now_);
    Send(grant.owner_, wire::BatchGrant{ options_.service_, grant.granted_ });
  }
}

void
Gate::SetPhase(Run& aRun, RunPhase aPhase)
{
  CountAtEngine(aRun, -1);
  aRun.phase_ = aPhase;
  CountAtEngine(aRun, 1);
}

void
Gate::CountAtEngine(const Run& aRun, int aStep)
{
  switch (aRun.phase_) {
    case RunPhase::Running:
      (aRun.IsOnline() ? onlineRunning_ : batchRunning_) += aStep;
      return;
    case RunPhase::Yielding:
    case RunPhase::Stopping:
      leaving_ += aStep;
      return;
    default:
      return;
  }
}

void
Gate::EnterEngine(Run& aRun)
{
  aRun.engineIndex_ = atEngine_.size();
  atEngine_.push_back(&aRun);
  suspectsAtEngine_ += aRun.isSuspect_ ? 1 : 0;
  aRun.mayHaveRun_ = true;
  SetPhase(aRun, RunPhase::Running);
}

void
Gate::LeaveEngine(Run& aRun)
{
  Run* last = atEngine_.back();
  atEngine_[aRun.engineIndex_] = last;
  last->engineIndex_ = aRun.engineIndex_;
  atEngine_.pop_back();
  aRun.engineIndex_ = Run::kNotAtEngine;
  suspectsAtEngine_ -= aRun.isSuspect_ ? 1 : 0;
}

} // namespace pumiceturn::dispatch
