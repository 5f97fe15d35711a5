#include "LibDispatch/EndpointScheduler.h"
#include "LibDispatch/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

constexpr base::Duration kInitialResendInterval{ std::chrono::seconds{ 5 } };
constexpr base::Duration kMaxResendInterval{ std::chrono::seconds{ 60 } };
constexpr base::Duration kUnrecordedResultTtl{ std::chrono::hours{ 1 } };
// Bounds the shift only; kMaxResendInterval is reached first.
constexpr std::uint32_t kMaxResendDoublings = 4;

base::Duration
ResendInterval(std::uint32_t aResends)
{
  const std::uint32_t doublings = std::min(aResends, kMaxResendDoublings);
  return std::min(kInitialResendInterval * (1U << doublings),
                  kMaxResendInterval);
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
  history_.RemoveItemThatDidNotRun(aRun.request_.run_);
  const SchedulerLoad load = Load(aMoment.now_);
  wire::RunEnded ended;
  ended.run_ = aRun.request_.run_;
  ended.code_ = aCode;
  ended.ran_ = Ran::NotRun;
  ended.retryAfterMs_ = load.expectedWaitMs_;
  ended.detail_ = aDetail;
  LogEvent(kRunRefused,
           aRun.request_.run_,
           aRun.receiver_,
           aCode,
           aMoment.now_ - aRun.arrivedAt_,
           aMoment.now_);
  const std::string peer = aRun.receiver_;
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
  LogEvent(kRunEnded,
           end.run_,
           aRun.receiver_,
           end.code_,
           aMoment.now_ - aRun.arrivedAt_,
           aMoment.now_);
  if (end.code_ == ResultCode::Ok) {
    RetainResult(aRun, aMoment.now_);
    return;
  }
  wire::RunEnded ended = end;
  const std::string peer = aRun.receiver_;
  EraseRun(aRun);
  history_.RecordEnd(ended);
  Send(peer, std::move(ended));
}

// Keeps the result until it is reported as recorded, because the receiver may
// fail right after receiving it.
void
EndpointScheduler::RetainResult(Run& aRun, base::Instant aNow)
{
  RemoveFromLists(aRun);
  SetPhase(aRun, RunPhase::Finished);
  aRun.request_.payload_ = {};
  aRun.finishedAt_ = aNow;
  aRun.resendEntry_ =
    unrecordedResults_.emplace(aNow + ResendInterval(0), &aRun);
  if (!aRun.IsOnline()) {
    creditLedger_.OnRunRemoved(aRun.starter_);
  }
  Send(aRun.receiver_, MakeRunEnded(aRun, aRun.receiver_));
}

wire::RunEnded
EndpointScheduler::MakeRunEnded(const Run& aRun, const std::string& aPeer) const
{
  wire::RunEnded ended = aRun.end_;
  const bool receiverHasChunks =
    aRun.request_.wantChunks_ && aPeer == aRun.starter_;
  if (!receiverHasChunks) {
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
    return TakeActions();
  }
  wire::RunEnded ended;
  ended.run_ = aRecorded.run_;
  ended.code_ = ResultCode::EndpointLost;
  ended.ran_ = Ran::Unknown;
  ended.detail_ = "the result of this run has already been recorded";
  EraseRun(run);
  history_.RecordEnd(ended);
  return TakeActions();
}

void
EndpointScheduler::ResendDueResults(Moment aMoment)
{
  while (!unrecordedResults_.empty() &&
         unrecordedResults_.begin()->first <= aMoment.now_) {
    Run& run = *unrecordedResults_.begin()->second;
    unrecordedResults_.erase(unrecordedResults_.begin());
    run.resendEntry_.reset();
    if (aMoment.now_ - run.finishedAt_ >= kUnrecordedResultTtl) {
      LogEvent(kResultDropped,
               run.request_.run_,
               run.receiver_,
               ResultCode::NotRecorded,
               aMoment.now_ - run.finishedAt_,
               aMoment.now_);
      EraseRun(run);
      continue;
    }
    ResendResult(run, aMoment);
  }
}

// Sends the result to its receiver again, because the first message may have
// been lost with a link. If the receiver is lost, or the result was sent
// again before and is still not recorded, sends the complete response to a
// keeper, which forwards it to the owner of the job's partition.
void
EndpointScheduler::ResendResult(Run& aRun, Moment aMoment)
{
  const bool isLost = lostPeers_.contains(aRun.receiver_);
  const bool sendToKeeper =
    (isLost || aRun.resendCount_ > 0) && !keepers_.empty();
  std::string receiver = aRun.receiver_;
  if (sendToKeeper) {
    receiver = keepers_[nextKeeper_ % keepers_.size()];
    ++nextKeeper_;
  }
  ++aRun.resendCount_;
  aRun.resendEntry_ = unrecordedResults_.emplace(
    aMoment.now_ + ResendInterval(aRun.resendCount_), &aRun);
  LogEvent(kResultOffered,
           aRun.request_.run_,
           receiver,
           ResultCode::Ok,
           aMoment.now_ - aRun.finishedAt_,
           aMoment.now_);
  Send(receiver, MakeRunEnded(aRun, receiver));
}

void
EndpointScheduler::MakeResultsOfLostPeersDue(base::Instant aNow)
{
  std::vector<Run*> undelivered;
  for (const auto& [time, run] : unrecordedResults_) {
    if (lostPeers_.contains(run->receiver_)) {
      undelivered.push_back(run);
    }
  }
  for (Run* run : undelivered) {
    unrecordedResults_.erase(*run->resendEntry_);
    run->resendEntry_ = unrecordedResults_.emplace(aNow, run);
  }
}

void
EndpointScheduler::RemoveFromLists(Run& aRun)
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
  if (aRun.resendEntry_) {
    unrecordedResults_.erase(*aRun.resendEntry_);
    aRun.resendEntry_.reset();
  }
}

void
EndpointScheduler::EraseRun(Run& aRun)
{
  RemoveFromLists(aRun);
  if (!aRun.IsOnline() && aRun.phase_ != RunPhase::Finished) {
    creditLedger_.OnRunRemoved(aRun.starter_);
  }
  SetPhase(aRun, RunPhase::Finished);
  responseBytes_ -= aRun.responseBytes_;
  const wire::RunId run = aRun.request_.run_;
  runs_.erase(run);
}

} // namespace pumiceturn::dispatch
