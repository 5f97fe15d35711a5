#include "LibDispatch/EndpointScheduler.h"
#include "LibDispatch/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

// A crashed process closes all its connections within milliseconds.
constexpr base::Duration kCrashWindow{ std::chrono::milliseconds{ 200 } };
// Data that arrives this long after a connection broke rules out a crash.
constexpr base::Duration kMinActivityDelay{ std::chrono::milliseconds{ 50 } };
constexpr base::Duration kProbeInterval{ std::chrono::milliseconds{ 100 } };
constexpr base::Duration kEngineDownQueueTimeout{ std::chrono::seconds{ 10 } };

} // namespace

Run*
EndpointScheduler::FindStream(const StreamId& aStream)
{
  const auto found = runs_.find(aStream.run_);
  if (found == runs_.end() || !found->second.IsAtEngine() ||
      found->second.generation_ != aStream.generation_) {
    return nullptr;
  }
  return &found->second;
}

Actions
EndpointScheduler::OnChunk(const StreamId& aStream,
                           ResponseChunk aChunk,
                           Moment aMoment)
{
  Run* run = FindStream(aStream);
  if (run == nullptr) {
    return {};
  }
  AddTokenSample(*run, aMoment.now_);
  OnEngineActivity(aMoment);
  run->tokens_ += aChunk.tokens_;
  run->responseBytes_ += aChunk.text_.size();
  responseBytes_ += aChunk.text_.size();
  if (!run->request_.wantChunks_) {
    run->text_ += aChunk.text_;
    return TakeActions();
  }
  run->chunks_.push_back(std::move(aChunk));
  if (run->receiver_ == run->starter_) {
    const ResponseChunk& chunk = run->chunks_.back();
    Send(
      run->receiver_,
      wire::Chunk{
        run->request_.run_, run->chunks_.size(), chunk.text_, chunk.tokens_ });
  }
  return TakeActions();
}

void
EndpointScheduler::AddTokenSample(Run& aRun, base::Instant aNow)
{
  const base::Duration delay = aNow - aRun.lastToken_;
  aRun.lastToken_ = aNow;
  if (aRun.hasFirstToken_) {
    estimate_.OnInterTokenDelay(delay);
    return;
  }
  aRun.hasFirstToken_ = true;
  limit_.OnFirstToken(delay, AtEngineCount());
  if (aRun.IsOnline()) {
    estimate_.OnFirstToken(delay);
  }
}

Actions
EndpointScheduler::OnStreamEnded(const StreamId& aStream,
                                 const StreamEnd& aEnd,
                                 Moment aMoment)
{
  Run* run = FindStream(aStream);
  if (run == nullptr) {
    return {};
  }
  if (aEnd.result_ == StreamResult::Broken) {
    OnBroken(*run, aEnd, aMoment);
    Dispatch(aMoment);
    return TakeActions();
  }
  LeaveEngine(*run);
  switch (aEnd.result_) {
    case StreamResult::Finished:
      if (run->IsOnline()) {
        estimate_.OnOnlineFinished(aMoment.now_ - run->startedAt_,
                                   run->tokens_);
      }
      EndRun(*run, ResultCode::Ok, Ran::Ran, aEnd.detail_, aMoment);
      OnEngineActivity(aMoment);
      break;
    case StreamResult::Cancelled:
      OnCancelled(*run, aEnd, aMoment);
      break;
    case StreamResult::NotSent:
      OnNotSent(*run, aEnd, aMoment);
      break;
    case StreamResult::Rejected:
      EndAsNotRun(*run, aEnd.code_, aEnd.detail_, aMoment);
      break;
    case StreamResult::Failed:
    case StreamResult::Broken:
      EndRun(*run, aEnd.code_, Ran::Unknown, aEnd.detail_, aMoment);
      break;
  }
  Dispatch(aMoment);
  return TakeActions();
}

void
EndpointScheduler::OnCancelled(Run& aRun, const StreamEnd& aEnd, Moment aMoment)
{
  const bool certainlyNotRun =
    aEnd.ran_ == Ran::NotRun && aRun.generation_ == 1;
  if (aRun.phase_ == RunPhase::Preempting) {
    aRun.mayHaveRun_ = !certainlyNotRun;
    bursts_.OnPreempted(aMoment.now_ - aRun.preemptedAt_, aMoment.now_);
    Requeue(aRun, aMoment);
    return;
  }
  const ResultCode code = aRun.phase_ == RunPhase::Stopping
                            ? aRun.stopCode_
                            : ResultCode::EndpointFailed;
  if (certainlyNotRun) {
    EndAsNotRun(aRun, code, aEnd.detail_, aMoment);
    return;
  }
  const Ran ran = aRun.tokens_ > 0 ? Ran::Ran : Ran::Unknown;
  EndRun(aRun, code, ran, aEnd.detail_, aMoment);
}

void
EndpointScheduler::Requeue(Run& aRun, Moment aMoment)
{
  SetPhase(aRun, RunPhase::Waiting);
  const std::uint32_t maxTokens =
    std::max(aRun.request_.maxTokens_, aRun.tokens_);
  const base::Instant latestStart =
    aRun.due_ - estimate_.ExpectedDecodeTime(maxTokens - aRun.tokens_);
  queue_.PushBatch(aRun, latestStart);
  LogEvent(kRunQueued,
           aRun.request_.run_,
           aRun.receiver_,
           ResultCode::Preempted,
           latestStart - aMoment.now_,
           aMoment.now_);
}

void
EndpointScheduler::OnNotSent(Run& aRun, const StreamEnd& aEnd, Moment aMoment)
{
  SetEngineDown(aMoment);
  if (aRun.phase_ == RunPhase::Stopping) {
    OnCancelled(aRun, aEnd, aMoment);
    return;
  }
  if (aRun.generation_ > 1) {
    Requeue(aRun, aMoment);
    return;
  }
  EndAsNotRun(aRun, ResultCode::NoEndpoint, aEnd.detail_, aMoment);
}

// Distinguishes an engine crash, which breaks all connections within
// kCrashWindow, from the failure of a single request. Only a crash marks the
// content of all requests in flight as suspect. Nothing is started until the
// check has finished.
void
EndpointScheduler::OnBroken(Run& aRun, const StreamEnd& aEnd, Moment aMoment)
{
  if (broken_.empty()) {
    crashCheckStart_ = aMoment.now_;
  }
  LeaveEngine(aRun);
  SetPhase(aRun, RunPhase::Broken);
  aRun.end_.detail_ = aEnd.detail_;
  broken_.push_back(&aRun);
  if (atEngine_.empty()) {
    FinishCrashCheck(aMoment);
  }
}

void
EndpointScheduler::FinishCrashCheck(Moment aMoment)
{
  if (!atEngine_.empty()) {
    EndBrokenRuns(ResultCode::EndpointFailed, aMoment);
    return;
  }
  std::vector<std::uint64_t> fingerprints;
  for (const Run* run : broken_) {
    if (run->request_.fingerprint_ != 0) {
      fingerprints.push_back(run->request_.fingerprint_);
    }
  }
  LogEvent(kEngineCrashed,
           broken_.front()->request_.run_,
           broken_.front()->receiver_,
           ResultCode::EndpointCrashed,
           aMoment.now_ - crashCheckStart_,
           aMoment.now_);
  // The heartbeat with the suspects must precede the ends of the runs, so that
  // peers do not retry suspect content at another endpoint as if it were clear.
  actions_.emplace_back(RecordCrash{ std::move(fingerprints) });
  actions_.emplace_back(BroadcastHeartbeat{});
  EndBrokenRuns(ResultCode::EndpointCrashed, aMoment);
  SetEngineDown(aMoment);
}

void
EndpointScheduler::EndBrokenRuns(ResultCode aCode, Moment aMoment)
{
  const std::vector<Run*> broken = std::exchange(broken_, {});
  for (Run* run : broken) {
    EndRun(*run, aCode, Ran::Unknown, run->end_.detail_, aMoment);
  }
}

void
EndpointScheduler::SetEngineDown(Moment aMoment)
{
  if (engineDown_) {
    return;
  }
  engineDown_ = true;
  downSince_ = aMoment.now_;
  lastProbe_ = aMoment.now_;
  LogEvent(kEngineDown,
           {},
           {},
           ResultCode::NoEndpoint,
           base::Duration{},
           aMoment.now_);
  actions_.emplace_back(BroadcastHeartbeat{});
  actions_.emplace_back(ProbeEngine{});
  // Runs that have not started can run at another endpoint.
  EndQueuedRuns(TrafficClass::Online, ResultCode::NoEndpoint, aMoment);
  EndQueuedRuns(TrafficClass::Batch, ResultCode::NoEndpoint, aMoment);
}

void
EndpointScheduler::EndQueuedRuns(TrafficClass aClass,
                                 ResultCode aCode,
                                 Moment aMoment)
{
  const bool isOnline = aClass == TrafficClass::Online;
  std::vector<Run*> ended;
  for (auto& [id, run] : runs_) {
    const bool isQueued =
      run.phase_ == RunPhase::Waiting || run.phase_ == RunPhase::Held;
    if (isQueued && !run.mayHaveRun_ && run.IsOnline() == isOnline) {
      ended.push_back(&run);
    }
  }
  for (Run* run : ended) {
    EndAsNotRun(*run, aCode, {}, aMoment);
  }
}

// Ends preempted runs when the engine has been down for longer than a restart
// takes, so that their owners run them elsewhere.
void
EndpointScheduler::EndPreemptedRuns(Moment aMoment)
{
  std::vector<Run*> preempted;
  for (auto& [id, run] : runs_) {
    if (run.phase_ == RunPhase::Waiting && run.mayHaveRun_) {
      preempted.push_back(&run);
    }
  }
  for (Run* run : preempted) {
    EndRun(*run, ResultCode::EndpointLost, Ran::Unknown, {}, aMoment);
  }
}

// Data that arrives well after a connection broke proves that the engine did
// not crash at that time.
void
EndpointScheduler::OnEngineActivity(Moment aMoment)
{
  if (!broken_.empty() &&
      aMoment.now_ - crashCheckStart_ >= kMinActivityDelay) {
    EndBrokenRuns(ResultCode::EndpointFailed, aMoment);
    Dispatch(aMoment);
  }
}

Actions
EndpointScheduler::OnEngineUp(Moment aMoment)
{
  if (!engineDown_) {
    return {};
  }
  engineDown_ = false;
  LogEvent(
    kEngineUp, {}, {}, ResultCode::Ok, aMoment.now_ - downSince_, aMoment.now_);
  actions_.emplace_back(BroadcastHeartbeat{});
  Dispatch(aMoment);
  return TakeActions();
}

void
EndpointScheduler::StopExpiredRuns(Moment aMoment)
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= aMoment.now_) {
    Run& run = *deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    run.deadlineEntry_.reset();
    const ResultCode code = run.mayHaveRun_ ? ResultCode::DeadlineExceeded
                                            : ResultCode::DeadlineTooShort;
    Stop(run, code, aMoment);
  }
}

Actions
EndpointScheduler::OnTick(Moment aMoment)
{
  if (!broken_.empty() && aMoment.now_ - crashCheckStart_ >= kCrashWindow) {
    FinishCrashCheck(aMoment);
  }
  if (engineDown_ && aMoment.now_ - lastProbe_ >= kProbeInterval) {
    lastProbe_ = aMoment.now_;
    actions_.emplace_back(ProbeEngine{});
  }
  if (engineDown_ && aMoment.now_ - downSince_ >= kEngineDownQueueTimeout) {
    EndPreemptedRuns(aMoment);
  }
  StopExpiredRuns(aMoment);
  DropQueuedBatchOfLostPeers(aMoment);
  ResendDueResults(aMoment);
  Dispatch(aMoment);
  return TakeActions();
}

} // namespace pumiceturn::dispatch
