#include "LibDispatch/Events.h"
#include "LibDispatch/Gate.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::dispatch {

using base::Ran;
using base::ResultCode;

namespace {

// A process that dies closes all its connections within milliseconds.
constexpr base::Duration kCrashWindow{ std::chrono::milliseconds{ 200 } };
constexpr base::Duration kLifeSign{ std::chrono::milliseconds{ 50 } };
constexpr base::Duration kProbeInterval{ std::chrono::milliseconds{ 100 } };
constexpr base::Duration kKeepWaitingWhileDown{ std::chrono::seconds{ 10 } };

} // namespace

Run*
Gate::FindStream(const StreamId& aStream)
{
  const auto found = runs_.find(aStream.run_);
  if (found == runs_.end() || !found->second.IsAtEngine() ||
      found->second.generation_ != aStream.generation_) {
    return nullptr;
  }
  return &found->second;
}

Actions
Gate::OnTokens(const StreamId& aStream, AnswerPart aPart, Moment aMoment)
{
  Run* run = FindStream(aStream);
  if (run == nullptr) {
    return {};
  }
  NoteToken(*run, aMoment.now_);
  NoteEngineLives(aMoment);
  run->tokens_ += aPart.tokens_;
  run->answerBytes_ += aPart.text_.size();
  answerBytes_ += aPart.text_.size();
  if (!run->order_.wantChunks_) {
    run->text_ += aPart.text_;
    return TakeActions();
  }
  run->parts_.push_back(std::move(aPart));
  if (run->peer_ == run->starter_) {
    const AnswerPart& part = run->parts_.back();
    Send(run->peer_,
         wire::Chunk{
           run->order_.run_, run->parts_.size(), part.text_, part.tokens_ });
  }
  return TakeActions();
}

void
Gate::NoteToken(Run& aRun, base::Instant aNow)
{
  const base::Duration delay = aNow - aRun.lastToken_;
  aRun.lastToken_ = aNow;
  if (aRun.hasFirstToken_) {
    estimate_.OnBetweenTokens(delay);
    return;
  }
  aRun.hasFirstToken_ = true;
  limit_.OnFirstToken(delay, AtEngineCount());
  if (aRun.IsOnline()) {
    estimate_.OnFirstToken(delay);
  }
}

Actions
Gate::OnStreamEnded(const StreamId& aStream,
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
        estimate_.OnOnlineFinished(aMoment.now_ - run->started_, run->tokens_);
      }
      EndRun(*run, ResultCode::Ok, Ran::Ran, aEnd.detail_, aMoment);
      NoteEngineLives(aMoment);
      break;
    case StreamResult::Cancelled:
      OnCancelled(*run, aEnd, aMoment);
      break;
    case StreamResult::NotSent:
      OnNotSent(*run, aEnd, aMoment);
      break;
    case StreamResult::Rejected:
      EndNotRun(*run, aEnd.code_, aEnd.detail_, aMoment);
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
Gate::OnCancelled(Run& aRun, const StreamEnd& aEnd, Moment aMoment)
{
  const bool certainlyNotRun =
    aEnd.ran_ == Ran::NotRun && aRun.generation_ == 1;
  if (aRun.phase_ == RunPhase::Yielding) {
    aRun.mayHaveRun_ = !certainlyNotRun;
    bursts_.OnPreempted(aMoment.now_ - aRun.preempted_, aMoment.now_);
    Requeue(aRun, aMoment);
    return;
  }
  const ResultCode code = aRun.phase_ == RunPhase::Stopping
                            ? aRun.stopCode_
                            : ResultCode::EndpointFailed;
  if (certainlyNotRun) {
    EndNotRun(aRun, code, aEnd.detail_, aMoment);
    return;
  }
  const Ran ran = aRun.tokens_ > 0 ? Ran::Ran : Ran::Unknown;
  EndRun(aRun, code, ran, aEnd.detail_, aMoment);
}

void
Gate::Requeue(Run& aRun, Moment aMoment)
{
  SetPhase(aRun, RunPhase::Waiting);
  const std::uint32_t most = std::max(aRun.order_.maxTokens_, aRun.tokens_);
  const base::Instant latestStart =
    aRun.due_ - estimate_.ExpectedWork(most - aRun.tokens_);
  queue_.PushBatch(aRun, latestStart);
  NoteDecision(kRunQueued,
               aRun.order_.run_,
               aRun.peer_,
               ResultCode::Preempted,
               latestStart - aMoment.now_,
               aMoment.now_);
}

void
Gate::OnNotSent(Run& aRun, const StreamEnd& aEnd, Moment aMoment)
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
  EndNotRun(aRun, ResultCode::NoEndpoint, aEnd.detail_, aMoment);
}

// A crash of the engine shows as all of its connections breaking within a
// moment; one broken connection beside others that live is a failure of that
// request alone. The difference matters because a crash makes the contents of
// all requests in flight suspect. Nothing is started until it is known.
void
Gate::OnBroken(Run& aRun, const StreamEnd& aEnd, Moment aMoment)
{
  if (broken_.empty()) {
    crashCheckSince_ = aMoment.now_;
  }
  LeaveEngine(aRun);
  SetPhase(aRun, RunPhase::Broken);
  aRun.end_.detail_ = aEnd.detail_;
  broken_.push_back(&aRun);
  if (atEngine_.empty()) {
    ConcludeCrashCheck(aMoment);
  }
}

void
Gate::ConcludeCrashCheck(Moment aMoment)
{
  if (!atEngine_.empty()) {
    EndBroken(ResultCode::EndpointFailed, aMoment);
    return;
  }
  std::vector<std::uint64_t> fingerprints;
  for (const Run* run : broken_) {
    if (run->order_.fingerprint_ != 0) {
      fingerprints.push_back(run->order_.fingerprint_);
    }
  }
  NoteDecision(kEngineCrashed,
               broken_.front()->order_.run_,
               broken_.front()->peer_,
               ResultCode::EndpointCrashed,
               aMoment.now_ - crashCheckSince_,
               aMoment.now_);
  // Peers hear of the suspects before they hear of the ends, so that they do
  // not send the same content to the next endpoint as if it were clear.
  actions_.emplace_back(RecordCrash{ std::move(fingerprints) });
  actions_.emplace_back(SpreadHeartbeat{});
  EndBroken(ResultCode::EndpointCrashed, aMoment);
  SetEngineDown(aMoment);
}

void
Gate::EndBroken(ResultCode aCode, Moment aMoment)
{
  const std::vector<Run*> broken = std::exchange(broken_, {});
  for (Run* run : broken) {
    EndRun(*run, aCode, Ran::Unknown, run->end_.detail_, aMoment);
  }
}

void
Gate::SetEngineDown(Moment aMoment)
{
  if (engineDown_) {
    return;
  }
  engineDown_ = true;
  downSince_ = aMoment.now_;
  lastProbe_ = aMoment.now_;
  NoteDecision(kEngineDown,
               {},
               {},
               ResultCode::NoEndpoint,
               base::Duration{},
               aMoment.now_);
  actions_.emplace_back(SpreadHeartbeat{});
  actions_.emplace_back(ProbeEngine{});
  // What has not begun is better served elsewhere at once.
  EndWaiting(Urgency::Online, ResultCode::NoEndpoint, aMoment);
  EndWaiting(Urgency::Batch, ResultCode::NoEndpoint, aMoment);
}

void
Gate::EndWaiting(Urgency aUrgency, ResultCode aCode, Moment aMoment)
{
  const bool isOnline = aUrgency == Urgency::Online;
  std::vector<Run*> ended;
  for (auto& [id, run] : runs_) {
    const bool waits =
      run.phase_ == RunPhase::Waiting || run.phase_ == RunPhase::Held;
    if (waits && !run.mayHaveRun_ && run.IsOnline() == isOnline) {
      ended.push_back(&run);
    }
  }
  for (Run* run : ended) {
    EndNotRun(*run, aCode, {}, aMoment);
  }
}

// A preempted run waits through a short restart of the engine; after that its
// owner runs it elsewhere.
void
Gate::EndInterrupted(Moment aMoment)
{
  std::vector<Run*> interrupted;
  for (auto& [id, run] : runs_) {
    if (run.phase_ == RunPhase::Waiting && run.mayHaveRun_) {
      interrupted.push_back(&run);
    }
  }
  for (Run* run : interrupted) {
    EndRun(*run, ResultCode::EndpointLost, Ran::Unknown, {}, aMoment);
  }
}

// What arrives well after a connection broke was not sent by a process that
// had crashed then.
void
Gate::NoteEngineLives(Moment aMoment)
{
  if (!broken_.empty() && aMoment.now_ - crashCheckSince_ >= kLifeSign) {
    EndBroken(ResultCode::EndpointFailed, aMoment);
    Dispatch(aMoment);
  }
}

Actions
Gate::OnEngineUp(Moment aMoment)
{
  if (!engineDown_) {
    return {};
  }
  engineDown_ = false;
  NoteDecision(
    kEngineUp, {}, {}, ResultCode::Ok, aMoment.now_ - downSince_, aMoment.now_);
  actions_.emplace_back(SpreadHeartbeat{});
  Dispatch(aMoment);
  return TakeActions();
}

void
Gate::StopPastDeadline(Moment aMoment)
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
Gate::OnTick(Moment aMoment)
{
  if (!broken_.empty() && aMoment.now_ - crashCheckSince_ >= kCrashWindow) {
    ConcludeCrashCheck(aMoment);
  }
  if (engineDown_ && aMoment.now_ - lastProbe_ >= kProbeInterval) {
    lastProbe_ = aMoment.now_;
    actions_.emplace_back(ProbeEngine{});
  }
  if (engineDown_ && aMoment.now_ - downSince_ >= kKeepWaitingWhileDown) {
    EndInterrupted(aMoment);
  }
  StopPastDeadline(aMoment);
  DropWaitingBatchOfLost(aMoment);
  OfferLate(aMoment);
  Dispatch(aMoment);
  return TakeActions();
}

} // namespace pumiceturn::dispatch
