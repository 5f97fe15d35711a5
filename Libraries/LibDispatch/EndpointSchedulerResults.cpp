#include "LibDispatch/EndpointScheduler.h"
#include "LibDispatch/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

constexpr base::Duration kInitialOfferInterval{ std::chrono::seconds{ 5 } };
constexpr base::Duration kMaxOfferInterval{ std::chrono::seconds{ 60 } };
constexpr base::Duration kUnrecordedResultTtl{ std::chrono::hours{ 1 } };
constexpr std::uint32_t kMaxOfferDoublings = 4;

base::Duration
OfferInterval(std::uint32_t aOffers)
{
  const std::uint32_t doublings = std::min(aOffers, kMaxOfferDoublings);
  return std::min(kInitialOfferInterval * (1U << doublings), kMaxOfferInterval);
}

std::string
FullResponse(const Run& aRun)
{
  if (aRun.chunks_.empty()) {
    return aRun.text_;
  }
  std::string response;
  response.reserve(aRun.responseBytes_);
  for (const ResponseChunk& chunk : aRun.chunks_) {
    response += chunk.text_;
  }
  return response;
}

} // namespace

void
EndpointScheduler::EndAsNotRun(Run& aRun,
                               ResultCode aCode,
                               const std::string& aDetail,
                               Moment aMoment)
{
  history_.RemoveItem(aRun.request_.run_);
  const SchedulerLoad load = Load(aMoment.now_);
  wire::RunEnded ended;
  ended.run_ = aRun.request_.run_;
  ended.code_ = aCode;
  ended.ran_ = Ran::NotRun;
  ended.retryAfterMs_ = load.expectedWaitMs_;
  ended.detail_ = aDetail;
  RecordDecision(kRunRefused,
                 aRun.request_.run_,
                 aRun.peer_,
                 aCode,
                 aMoment.now_ - aRun.arrived_,
                 aMoment.now_);
  const std::string peer = aRun.peer_;
  EraseRun(aRun);
  history_.RecordEnd(ended);
  Send(peer, std::move(ended));
}

void
EndpointScheduler::EndRun(Run& aRun,
                          ResultCode aCode,
                          Ran aRan,
                          const std::string& aDetail,
                          Moment aMoment)
{
  const bool mustNotRepeat = !aRun.request_.idempotent_ && aRan == Ran::Unknown;
  wire::RunEnded& end = aRun.end_;
  end.run_ = aRun.request_.run_;
  end.code_ = mustNotRepeat ? ResultCode::OutcomeUnknown : aCode;
  end.ran_ = aRan;
  end.lastSequence_ = aRun.chunks_.size();
  end.tokens_ = aRun.tokens_;
  end.detail_ = aDetail;
  RecordDecision(kRunEnded,
                 end.run_,
                 aRun.peer_,
                 end.code_,
                 aMoment.now_ - aRun.arrived_,
                 aMoment.now_);
  if (end.code_ == ResultCode::Ok) {
    RetainResult(aRun, aMoment.now_);
    return;
  }
  wire::RunEnded ended = end;
  const std::string peer = aRun.peer_;
  EraseRun(aRun);
  history_.RecordEnd(ended);
  Send(peer, std::move(ended));
}

// Keeps the result until it is reported as recorded, because the receiver may
// fail right after receiving it.
void
EndpointScheduler::RetainResult(Run& aRun, base::Instant aNow)
{
  Detach(aRun);
  SetPhase(aRun, RunPhase::Finished);
  aRun.request_.payload_ = {};
  aRun.finished_ = aNow;
  aRun.offerEntry_ = offers_.emplace(aNow + OfferInterval(0), &aRun);
  if (!aRun.IsOnline()) {
    creditLedger_.OnRunRemoved(aRun.starter_);
  }
  Send(aRun.peer_, MakeRunEnded(aRun, aRun.peer_));
}

wire::RunEnded
EndpointScheduler::MakeRunEnded(const Run& aRun, const std::string& aPeer) const
{
  wire::RunEnded ended = aRun.end_;
  const bool hasChunks = aRun.request_.wantChunks_ && aPeer == aRun.starter_;
  if (!hasChunks) {
    ended.text_ = FullResponse(aRun);
  }
  return ended;
}

Actions
EndpointScheduler::OnRunRecorded(const wire::RunRecorded& aRecorded,
                                 Moment aMoment)
{
  const auto found = runs_.find(aRecorded.run_);
  if (found == runs_.end()) {
    return {};
  }
  Run& run = found->second;
  if (run.phase_ != RunPhase::Finished) {
    // The result of another attempt was recorded first.
    Stop(run, ResultCode::Cancelled, aMoment);
    Dispatch(aMoment);
    return DrainActions();
  }
  wire::RunEnded ended;
  ended.run_ = aRecorded.run_;
  ended.code_ = ResultCode::EndpointLost;
  ended.ran_ = Ran::Unknown;
  ended.detail_ = "recorded before";
  EraseRun(run);
  history_.RecordEnd(ended);
  return DrainActions();
}

void
EndpointScheduler::OfferDueResults(Moment aMoment)
{
  while (!offers_.empty() && offers_.begin()->first <= aMoment.now_) {
    Run& run = *offers_.begin()->second;
    offers_.erase(offers_.begin());
    run.offerEntry_.reset();
    if (aMoment.now_ - run.finished_ >= kUnrecordedResultTtl) {
      RecordDecision(kResultDropped,
                     run.request_.run_,
                     run.peer_,
                     ResultCode::NotRecorded,
                     aMoment.now_ - run.finished_,
                     aMoment.now_);
      EraseRun(run);
      continue;
    }
    OfferResult(run, aMoment);
  }
}

// Sends the result to its receiver again, because the first message may have
// been lost with a link. If the receiver is lost, or a previous offer failed,
// sends the complete response to a keeper, which forwards it to the owner of
// the job's partition.
void
EndpointScheduler::OfferResult(Run& aRun, Moment aMoment)
{
  const bool isLost = lostPeers_.contains(aRun.peer_);
  const bool askKeeper = (isLost || aRun.offerCount_ > 0) && !keepers_.empty();
  std::string receiver = aRun.peer_;
  if (askKeeper) {
    receiver = keepers_[nextKeeper_ % keepers_.size()];
    ++nextKeeper_;
  }
  ++aRun.offerCount_;
  aRun.offerEntry_ =
    offers_.emplace(aMoment.now_ + OfferInterval(aRun.offerCount_), &aRun);
  RecordDecision(kResultOffered,
                 aRun.request_.run_,
                 receiver,
                 ResultCode::Ok,
                 aMoment.now_ - aRun.finished_,
                 aMoment.now_);
  Send(receiver, MakeRunEnded(aRun, receiver));
}

void
EndpointScheduler::ScheduleUndeliveredOffers(base::Instant aNow)
{
  std::vector<Run*> undelivered;
  for (const auto& [time, run] : offers_) {
    if (lostPeers_.contains(run->peer_)) {
      undelivered.push_back(run);
    }
  }
  for (Run* run : undelivered) {
    offers_.erase(*run->offerEntry_);
    run->offerEntry_ = offers_.emplace(aNow, run);
  }
}

void
EndpointScheduler::Detach(Run& aRun)
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
EndpointScheduler::EraseRun(Run& aRun)
{
  Detach(aRun);
  if (!aRun.IsOnline() && aRun.phase_ != RunPhase::Finished) {
    creditLedger_.OnRunRemoved(aRun.starter_);
  }
  SetPhase(aRun, RunPhase::Finished);
  responseBytes_ -= aRun.responseBytes_;
  const wire::RunId run = aRun.request_.run_;
  runs_.erase(run);
}

} // namespace pumiceturn::dispatch
