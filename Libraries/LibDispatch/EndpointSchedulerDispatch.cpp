#include "LibDispatch/EndpointScheduler.h"
#include "LibDispatch/Events.h"
#include "LibDispatch/Preemption.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::ResultCode;

namespace {

// Grants credits for 1/8 more runs than there are places, so that the next item
// is already queued when a place becomes free.
constexpr std::uint32_t kCreditPipelineDivisor = 8;
constexpr std::uint32_t kPassThroughCreditFactor = 2;

std::uint32_t
PipelineCredits(std::uint32_t aPlaces)
{
  return std::max(aPlaces / kCreditPipelineDivisor, 1U);
}

} // namespace

void
EndpointScheduler::Dispatch(Moment aMoment)
{
  if (engineDown_ || !broken_.empty()) {
    return;
  }
  while (StartHeld(aMoment) || StartOnline(aMoment) || StartBatch(aMoment)) {
  }
  GrantCredits(aMoment);
}

bool
EndpointScheduler::HasRoomForOnline() const
{
  // The place of a cancelled stream counts as free: the engine admits at its
  // next step, when the stream has ended.
  return !QueuesAtAgent(options_.policy_) ||
         onlineRunning_ + batchRunning_ < limit_.Current();
}

bool
EndpointScheduler::HasRoomForBatch(base::Instant aNow) const
{
  if (!QueuesAtAgent(options_.policy_)) {
    return true;
  }
  return AtEngineCount() + Headroom(aNow) < limit_.Current();
}

std::uint32_t
EndpointScheduler::Headroom(base::Instant aNow) const
{
  const std::uint32_t burst =
    bursts_.Headroom(limit_.Current(), estimate_.StepTime(), aNow);
  return HeadroomOf(options_.policy_, burst);
}

// Refuses a run whose content was quarantined while it waited, and holds back a
// suspect while another one is at the engine: if two suspects ran during a
// crash, the one that caused it could not be identified.
// @return whether the run was refused or held back.
bool
EndpointScheduler::ScreenContent(Run& aRun, Moment aMoment)
{
  const ContentStatus status =
    contentStatusOf_(aRun.request_.fingerprint_, aMoment);
  if (status == ContentStatus::Quarantined) {
    Stop(aRun, ResultCode::Quarantined, aMoment);
    return true;
  }
  aRun.isSuspect_ = status == ContentStatus::Suspect;
  if (!aRun.isSuspect_ || suspectsAtEngine_ == 0) {
    return false;
  }
  queue_.Remove(aRun);
  SetPhase(aRun, RunPhase::Held);
  held_.push_back(&aRun);
  return true;
}

bool
EndpointScheduler::StartHeld(Moment aMoment)
{
  if (held_.empty() || suspectsAtEngine_ > 0) {
    return false;
  }
  Run& run = *held_.front();
  if (ScreenContent(run, aMoment)) {
    return true;
  }
  if (run.IsOnline() ? !(HasRoomForOnline() || PreemptBatchFor(run, aMoment))
                     : !HasRoomForBatch(aMoment.now_)) {
    return false;
  }
  held_.erase(held_.begin());
  Start(run, aMoment);
  return true;
}

bool
EndpointScheduler::StartOnline(Moment aMoment)
{
  Run* run = queue_.FirstOnline();
  if (run == nullptr) {
    return false;
  }
  if (ScreenContent(*run, aMoment)) {
    return true;
  }
  while (!HasRoomForOnline()) {
    if (!PreemptBatchFor(*run, aMoment)) {
      return false;
    }
  }
  if (CannotMeetDeadline(*run, aMoment.now_)) {
    Stop(*run, ResultCode::DeadlineTooShort, aMoment);
    return true;
  }
  RecordQueuedStart(aMoment.now_);
  queue_.Remove(*run);
  Start(*run, aMoment);
  return true;
}

// Starting a run that cannot finish in time would delay runs that can. A run
// that starts on arrival delays no other run, so it is not checked.
bool
EndpointScheduler::CannotMeetDeadline(const Run& aRun, base::Instant aNow) const
{
  const base::Duration expected =
    estimate_.ExpectedRunTime(aRun.request_.maxTokens_) * kRunMarginPercent /
    100;
  return aRun.arrived_ < aNow && aRun.deadline_ - aNow < expected;
}

void
EndpointScheduler::RecordQueuedStart(base::Instant aNow)
{
  if (queue_.OnlineCount() > 1) {
    estimate_.OnQueuedStart(aNow);
  } else {
    estimate_.OnQueueEmpty();
  }
}

bool
EndpointScheduler::StartBatch(Moment aMoment)
{
  Run* run = queue_.FirstBatch();
  if (run == nullptr || !HasRoomForBatch(aMoment.now_)) {
    return false;
  }
  if (ScreenContent(*run, aMoment)) {
    return true;
  }
  queue_.Remove(*run);
  Start(*run, aMoment);
  return true;
}

bool
EndpointScheduler::PreemptBatchFor(const Run& aRequester, Moment aMoment)
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
  SetPhase(*victim, RunPhase::Preempting);
  victim->preempted_ = aMoment.now_;
  ++victim->preemptions_;
  RecordDecision(kRunPreempted,
                 victim->request_.run_,
                 aRequester.peer_,
                 ResultCode::Preempted,
                 slack,
                 aMoment.now_);
  actions_.emplace_back(CancelStream{ victim->Stream() });
  return true;
}

void
EndpointScheduler::Start(Run& aRun, Moment aMoment)
{
  RecordDecision(kRunStarted,
                 aRun.request_.run_,
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
  start.kind_ = aRun.request_.kind_;
  start.payload_ = aRun.request_.payload_;
  start.prefix_ = aRun.request_.prefix_;
  start.maxTokens_ = aRun.request_.maxTokens_;
  start.resumeTokens_ = aRun.tokens_;
  if (aRun.deadline_ != base::Instant::max()) {
    start.timeLeft_ = aRun.deadline_ - aMoment.now_;
  }
  actions_.emplace_back(std::move(start));
}

void
EndpointScheduler::GrantCredits(Moment aMoment)
{
  if (admissionState_ == AdmissionState::Draining ||
      !creditLedger_.HasDemand() ||
      responseBytes_ > options_.maxUnrecordedBytes_) {
    return;
  }
  const SchedulerLoad load = Load(aMoment.now_);
  const std::uint32_t places = QueuesAtAgent(options_.policy_)
                                 ? load.limit_ + PipelineCredits(load.limit_)
                                 : load.limit_ * kPassThroughCreditFactor;
  const std::uint32_t taken = AtEngineCount() + load.onlineWaiting_ +
                              load.batchWaiting_ + load.headroom_ +
                              load.creditsOutstanding_ +
                              static_cast<std::uint32_t>(held_.size());
  if (taken >= places) {
    return;
  }
  const std::vector<CreditLedger::Grant> grants =
    creditLedger_.Allocate(places - taken);
  for (const CreditLedger::Grant& grant : grants) {
    RecordDecision(kCreditsGranted,
                   {},
                   grant.owner_,
                   ResultCode::Ok,
                   base::Duration{},
                   aMoment.now_);
    Send(grant.owner_, wire::BatchGrant{ options_.service_, grant.granted_ });
  }
}

void
EndpointScheduler::SetPhase(Run& aRun, RunPhase aPhase)
{
  CountAtEngine(aRun, -1);
  aRun.phase_ = aPhase;
  CountAtEngine(aRun, 1);
}

void
EndpointScheduler::CountAtEngine(const Run& aRun, int aStep)
{
  switch (aRun.phase_) {
    case RunPhase::Running:
      (aRun.IsOnline() ? onlineRunning_ : batchRunning_) += aStep;
      return;
    case RunPhase::Preempting:
    case RunPhase::Stopping:
      cancelling_ += aStep;
      return;
    default:
      return;
  }
}

void
EndpointScheduler::EnterEngine(Run& aRun)
{
  aRun.engineIndex_ = atEngine_.size();
  atEngine_.push_back(&aRun);
  suspectsAtEngine_ += aRun.isSuspect_ ? 1 : 0;
  aRun.mayHaveRun_ = true;
  SetPhase(aRun, RunPhase::Running);
}

void
EndpointScheduler::LeaveEngine(Run& aRun)
{
  Run* last = atEngine_.back();
  atEngine_[aRun.engineIndex_] = last;
  last->engineIndex_ = aRun.engineIndex_;
  atEngine_.pop_back();
  aRun.engineIndex_ = Run::kNotAtEngine;
  suspectsAtEngine_ -= aRun.isSuspect_ ? 1 : 0;
}

} // namespace pumiceturn::dispatch
