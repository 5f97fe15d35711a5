#include "LibDispatch/Events.h"
#include "LibDispatch/Gate.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

constexpr base::Duration kFirstOffer{ std::chrono::seconds{ 5 } };
constexpr base::Duration kLongestOfferInterval{ std::chrono::seconds{ 60 } };
constexpr base::Duration kKeepUnrecorded{ std::chrono::hours{ 1 } };
constexpr std::uint32_t kMaxOfferDoublings = 4;

base::Duration
OfferInterval(std::uint32_t aOffers)
{
  const std::uint32_t doublings = std::min(aOffers, kMaxOfferDoublings);
  return std::min(kFirstOffer * (1U << doublings), kLongestOfferInterval);
}

std::string
WholeAnswer(const Run& aRun)
{
  if (aRun.parts_.empty()) {
    return aRun.text_;
  }
  std::string whole;
  whole.reserve(aRun.answerBytes_);
  for (const AnswerPart& part : aRun.parts_) {
    whole += part.text_;
  }
  return whole;
}

} // namespace

void
Gate::EndNotRun(Run& aRun,
                ResultCode aCode,
                const std::string& aDetail,
                Moment aMoment)
{
  memory_.ForgetItem(aRun.order_.run_);
  const GateLoad load = Load(aMoment.now_);
  wire::RunEnded ended;
  ended.run_ = aRun.order_.run_;
  ended.code_ = aCode;
  ended.ran_ = Ran::NotRun;
  ended.retryAfterMs_ = load.expectedWaitMs_;
  ended.detail_ = aDetail;
  NoteDecision(kRunRefused,
               aRun.order_.run_,
               aRun.peer_,
               aCode,
               aMoment.now_ - aRun.arrived_,
               aMoment.now_);
  const std::string peer = aRun.peer_;
  Forget(aRun);
  memory_.Remember(ended);
  Send(peer, std::move(ended));
}

void
Gate::EndRun(Run& aRun,
             ResultCode aCode,
             Ran aRan,
             const std::string& aDetail,
             Moment aMoment)
{
  const bool mustNotRepeat = !aRun.order_.idempotent_ && aRan == Ran::Unknown;
  wire::RunEnded& end = aRun.end_;
  end.run_ = aRun.order_.run_;
  end.code_ = mustNotRepeat ? ResultCode::OutcomeUnknown : aCode;
  end.ran_ = aRan;
  end.lastSequence_ = aRun.parts_.size();
  end.tokens_ = aRun.tokens_;
  end.detail_ = aDetail;
  NoteDecision(kRunEnded,
               end.run_,
               aRun.peer_,
               end.code_,
               aMoment.now_ - aRun.arrived_,
               aMoment.now_);
  if (end.code_ == ResultCode::Ok) {
    KeepResult(aRun, aMoment.now_);
    return;
  }
  wire::RunEnded ended = end;
  const std::string peer = aRun.peer_;
  Forget(aRun);
  memory_.Remember(ended);
  Send(peer, std::move(ended));
}

// The receiver may be lost right after the answer was sent, and a host that has
// acknowledged may be lost too, so the answer stays until someone says that it
// is durable.
void
Gate::KeepResult(Run& aRun, base::Instant aNow)
{
  Detach(aRun);
  SetPhase(aRun, RunPhase::Finished);
  aRun.order_.payload_ = {};
  aRun.finished_ = aNow;
  aRun.offerEntry_ = offers_.emplace(aNow + OfferInterval(0), &aRun);
  if (!aRun.IsOnline()) {
    grants_.OnRunGone(aRun.starter_);
  }
  Send(aRun.peer_, EndFor(aRun, aRun.peer_));
}

wire::RunEnded
Gate::EndFor(const Run& aRun, const std::string& aPeer) const
{
  wire::RunEnded ended = aRun.end_;
  const bool hasChunks = aRun.order_.wantChunks_ && aPeer == aRun.starter_;
  if (!hasChunks) {
    ended.text_ = WholeAnswer(aRun);
  }
  return ended;
}

Actions
Gate::OnRunRecorded(const wire::RunRecorded& aRecorded, Moment aMoment)
{
  const auto found = runs_.find(aRecorded.run_);
  if (found == runs_.end()) {
    return {};
  }
  Run& run = found->second;
  if (run.phase_ != RunPhase::Finished) {
    // Another attempt's result was first: what this one does is of no use.
    Stop(run, ResultCode::Cancelled, aMoment);
    Dispatch(aMoment);
    return TakeActions();
  }
  wire::RunEnded ended;
  ended.run_ = aRecorded.run_;
  ended.code_ = ResultCode::EndpointLost;
  ended.ran_ = Ran::Unknown;
  ended.detail_ = "recorded before";
  Forget(run);
  memory_.Remember(ended);
  return TakeActions();
}

void
Gate::OfferLate(Moment aMoment)
{
  while (!offers_.empty() && offers_.begin()->first <= aMoment.now_) {
    Run& run = *offers_.begin()->second;
    offers_.erase(offers_.begin());
    run.offerEntry_.reset();
    if (aMoment.now_ - run.finished_ >= kKeepUnrecorded) {
      NoteDecision(kResultDropped,
                   run.order_.run_,
                   run.peer_,
                   ResultCode::NotRecorded,
                   aMoment.now_ - run.finished_,
                   aMoment.now_);
      Forget(run);
      continue;
    }
    Offer(run, aMoment);
  }
}

// The receiver gets its end again, because the message may have been lost with
// a link. Where the receiver itself is lost, or has had its chance, a keeper
// gets the whole answer and passes it to the owner of the job's partition.
void
Gate::Offer(Run& aRun, Moment aMoment)
{
  const bool isLost = lostPeers_.contains(aRun.peer_);
  const bool askKeeper = (isLost || aRun.offers_ > 0) && !keepers_.empty();
  std::string receiver = aRun.peer_;
  if (askKeeper) {
    receiver = keepers_[nextKeeper_ % keepers_.size()];
    ++nextKeeper_;
  }
  ++aRun.offers_;
  aRun.offerEntry_ =
    offers_.emplace(aMoment.now_ + OfferInterval(aRun.offers_), &aRun);
  NoteDecision(kResultOffered,
               aRun.order_.run_,
               receiver,
               ResultCode::Ok,
               aMoment.now_ - aRun.finished_,
               aMoment.now_);
  Send(receiver, EndFor(aRun, receiver));
}

void
Gate::OfferUnheard(base::Instant aNow)
{
  std::vector<Run*> unheard;
  for (const auto& [time, run] : offers_) {
    if (lostPeers_.contains(run->peer_)) {
      unheard.push_back(run);
    }
  }
  for (Run* run : unheard) {
    offers_.erase(*run->offerEntry_);
    run->offerEntry_ = offers_.emplace(aNow, run);
  }
}

void
Gate::Detach(Run& aRun)
{
  if (aRun.IsAtEngine()) {
    LeaveEngine(aRun);
  }
  if (aRun.phase_ == RunPhase::Waiting) {
    queue_.Remove(aRun);
  }
  if (aRun.phase_ == RunPhase::Held) {
    std::erase(held_, &aRun);
  }
  if (aRun.deadlineEntry_) {
    deadlines_.erase(*aRun.deadlineEntry_);
    aRun.deadlineEntry_.reset();
  }
  if (aRun.offerEntry_) {
    offers_.erase(*aRun.offerEntry_);
    aRun.offerEntry_.reset();
  }
}

void
Gate::Forget(Run& aRun)
{
  Detach(aRun);
  if (!aRun.IsOnline() && aRun.phase_ != RunPhase::Finished) {
    grants_.OnRunGone(aRun.starter_);
  }
  SetPhase(aRun, RunPhase::Finished);
  answerBytes_ -= aRun.answerBytes_;
  const wire::RunId run = aRun.order_.run_;
  runs_.erase(run);
}

} // namespace pumiceturn::dispatch
