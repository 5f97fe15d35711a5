#include "LibDispatch/EndpointScheduler.h"
#include "LibDispatch/Events.h"
#include "LibDispatch/Preemption.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::ResultCode;

namespace {

// Credits are granted for 1/8 more runs than there are places, so that the next
// item is already queued when a place becomes free. More would cost more to
// return when online requests take the place.
constexpr std::uint32_t kCreditPipelineDivisor = 8;
// With PassThrough the engine queues, so credits are granted for twice as many
// runs as there are places.
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
  while (HandleNextHeld(aMoment) || HandleNextOnline(aMoment) ||
         HandleNextBatch(aMoment)) {
  }
  GrantCredits(aMoment);
}

bool
EndpointScheduler::HasPlaceForOnline() const
{
  // The place of a cancelled stream counts as free, because the engine admits
  // new requests only at its next step, and by then the stream has ended.
  return !QueuesAtAgent(options_.policy_) ||
         onlineRunning_ + batchRunning_ < limit_.Current();
}

bool
EndpointScheduler::HasPlaceForBatch(base::Instant aNow) const
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
EndpointScheduler::HandleNextHeld(Moment aMoment)
{
  if (held_.empty() || suspectsAtEngine_ > 0) {
    return false;
  }
  Run& run = *held_.front();
  if (ScreenContent(run, aMoment)) {
    return true;
  }
  if (run.IsOnline() ? !(HasPlaceForOnline() || PreemptBatchFor(run, aMoment))
                     : !HasPlaceForBatch(aMoment.now_)) {
    return false;
  }
  held_.erase(held_.begin());
  Start(run, aMoment);
  return true;
}

bool
EndpointScheduler::HandleNextOnline(Moment aMoment)
{
  Run* run = queue_.FirstOnline();
  if (run == nullptr) {
    return false;
  }
  if (ScreenContent(*run, aMoment)) {
    return true;
  }
  while (!HasPlaceForOnline()) {
    if (!PreemptBatchFor(*run, aMoment)) {
      return false;
    }
  }
  if (CannotMeetDeadline(*run, aMoment.now_)) {
    Stop(*run, ResultCode::DeadlineTooShort, aMoment);
    return true;
  }
  AddQueuedStartSample(aMoment.now_);
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
    estimate_.ExpectedRunTime(aRun.request_.maxTokens_) * kRunTimePercent / 100;
  return aRun.arrivedAt_ < aNow && aRun.deadline_ - aNow < expected;
}

void
EndpointScheduler::AddQueuedStartSample(base::Instant aNow)
{
  if (queue_.OnlineCount() > 1) {
    estimate_.OnQueuedStart(aNow);
  } else {
    estimate_.OnQueueEmpty();
  }
}

bool
EndpointScheduler::HandleNextBatch(Moment aMoment)
{
  Run* run = queue_.FirstBatch();
  if (run == nullptr || !HasPlaceForBatch(aMoment.now_)) {
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
  victim->preemptedAt_ = aMoment.now_;
  ++victim->preemptions_;
  LogEvent(kRunPreempted,
           victim->request_.run_,
           aRequester.receiver_,
           ResultCode::Preempted,
           slack,
           aMoment.now_);
  actions_.emplace_back(CancelStream{ victim->Stream() });
  return true;
}

void
EndpointScheduler::Start(Run& aRun, Moment aMoment)
{
  LogEvent(kRunStarted,
           aRun.request_.run_,
           aRun.receiver_,
           ResultCode::Ok,
           aMoment.now_ - aRun.arrivedAt_,
           aMoment.now_);
  ++aRun.generation_;
  aRun.startedAt_ = aMoment.now_;
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
      !creditLedger_.HasUnmetDemand() ||
      responseBytes_ > options_.maxResponseBytes_) {
    return;
  }
  const SchedulerLoad load = Load(aMoment.now_);
  const std::uint32_t maxAccepted =
    QueuesAtAgent(options_.policy_)
      ? load.places_ + PipelineCredits(load.places_)
      : load.places_ * kPassThroughCreditFactor;
  const std::uint32_t accepted = AtEngineCount() + load.onlineWaiting_ +
                                 load.batchWaiting_ + load.headroom_ +
                                 load.creditsOutstanding_ +
                                 static_cast<std::uint32_t>(held_.size());
  if (accepted >= maxAccepted) {
    return;
  }
  const std::vector<CreditLedger::Grant> grants =
    creditLedger_.Allocate(maxAccepted - accepted);
  for (const CreditLedger::Grant& grant : grants) {
    LogEvent(kCreditsGranted,
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
EndpointScheduler::CountAtEngine(const Run& aRun, int aDelta)
{
  switch (aRun.phase_) {
    case RunPhase::Running:
      (aRun.IsOnline() ? onlineRunning_ : batchRunning_) += aDelta;
      return;
    case RunPhase::Preempting:
    case RunPhase::Stopping:
      cancelling_ += aDelta;
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
