#include "Simulation.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::bench {

namespace {

constexpr base::Duration kLinkDelay{ 500 };
constexpr base::Duration kEngineDelay{ 200 };
constexpr std::int64_t kDueMs = 3600000;
constexpr std::uint32_t kDemand = 100000;
constexpr const char* kService = "origin-llm";
constexpr const char* kOwner = "keeper";
constexpr const char* kEntry = "entry";

std::string
NameOf(const dispatch::StreamId& aStream)
{
  return base::ToString(aStream.run_) + "/" +
         std::to_string(aStream.generation_);
}

dispatch::EndpointScheduler::Options
OptionsOf(const dispatch::Policy& aPolicy,
          double aHeadroomShare,
          const standin::EngineModelOptions& aEngine)
{
  dispatch::EndpointScheduler::Options options;
  options.service_ = kService;
  options.policy_ = aPolicy;
  options.bursts_.maxShare_ = aHeadroomShare;
  options.limit_.max_ = static_cast<std::uint32_t>(aEngine.maxRunning_);
  return options;
}

double
ToMs(base::Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// Online runs have even attempts here, batch runs odd ones.
constexpr std::uint32_t kOnlineAttempt = 2;
constexpr std::uint32_t kBatchAttempt = 1;

bool
IsOnline(const wire::RunId& aRun)
{
  return aRun.attempt_ == kOnlineAttempt;
}

} // namespace

Simulation::Simulation(dispatch::Policy aPolicy,
                       double aHeadroomShare,
                       standin::EngineModelOptions aEngine,
                       Workload aWorkload)
  : engineOptions_(std::move(aEngine))
  , workload_(aWorkload)
  , engine_(engineOptions_)
  , gate_(OptionsOf(aPolicy, aHeadroomShare, engineOptions_),
          [](std::uint64_t /*aFingerprint*/, dispatch::Moment /*aMoment*/) {
            return dispatch::ContentStatus::Clear;
          })
  , random_(aWorkload.seed_)
{
}

Outcome
Simulation::Run()
{
  ScheduleTick();
  ScheduleOnline();
  if (workload_.burstSize_ > 0) {
    ScheduleBurst();
  }
  if (workload_.hasBatch_) {
    After(base::Duration::zero(), [this] {
      Do(gate_.OnBatchDemand(kOwner, { kService, kDemand, kDueMs }, Now()));
    });
  }
  const base::Instant end = start_ + workload_.warmUp_ + workload_.length_;
  while (!events_.empty() && events_.top().time_ < end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    event.task_();
  }
  return outcome_;
}

void
Simulation::At(base::Instant aTime, Task aTask)
{
  events_.push(Event{ aTime, nextOrder_++, std::move(aTask) });
}

void
Simulation::After(base::Duration aDelay, Task aTask)
{
  At(now_ + aDelay, std::move(aTask));
}

dispatch::Moment
Simulation::Now() const
{
  return { now_, base::FromUnixMs(base::ToMs(now_.time_since_epoch())) };
}

bool
Simulation::IsMeasured() const
{
  return now_ >= start_ + workload_.warmUp_;
}

void
Simulation::ScheduleTick()
{
  After(dispatch::EndpointScheduler::kTickInterval, [this] {
    Do(gate_.OnTick(Now()));
    ScheduleTick();
  });
}

void
Simulation::ScheduleOnline()
{
  std::exponential_distribution<double> gap(workload_.onlinePerSecond_ / 1e6);
  After(base::Duration{ static_cast<std::int64_t>(gap(random_)) }, [this] {
    SendOnline();
    ScheduleOnline();
  });
}

void
Simulation::ScheduleBurst()
{
  After(workload_.burstEvery_, [this] {
    for (std::uint32_t request = 0; request < workload_.burstSize_; ++request) {
      SendOnline();
    }
    ScheduleBurst();
  });
}

void
Simulation::SendOnline()
{
  wire::StartRun order;
  const std::uint64_t job = nextJob_++;
  order.run_ = { base::MakeJobId(kService, std::to_string(job)),
                 0,
                 kOnlineAttempt };
  order.service_ = kService;
  order.online_ = true;
  order.wantChunks_ = true;
  order.deadlineMs_ = workload_.onlineDeadlineMs_;
  order.maxTokens_ = workload_.onlineTokens_;
  order.payload_ = std::to_string(job) + " ";
  order.payload_.resize(workload_.onlinePromptBytes_, 'o');
  online_[order.run_] = OnlineRequest{ now_, now_, false };
  Do(gate_.OnStartRun(kEntry, std::move(order), Now()));
}

void
Simulation::OnGrant(std::uint64_t aGranted)
{
  while (sentBatch_ < aGranted) {
    ++sentBatch_;
    After(kLinkDelay, [this] { SendBatch(); });
  }
}

void
Simulation::SendBatch()
{
  wire::StartRun order;
  const std::uint64_t job = nextJob_++;
  order.run_ = { base::MakeJobId(kService, std::to_string(job)),
                 0,
                 kBatchAttempt };
  order.service_ = kService;
  order.maxTokens_ = workload_.batchTokens_;
  order.dueUnixMs_ = base::ToUnixMs(Now().wall_) + kDueMs;
  order.payload_ = std::to_string(job) + " ";
  order.payload_.resize(workload_.batchPromptBytes_, 'b');
  Do(gate_.OnStartRun(kOwner, std::move(order), Now()));
}

void
Simulation::Do(dispatch::Actions aActions)
{
  for (dispatch::Action& action : aActions) {
    if (auto* start = std::get_if<dispatch::StartStream>(&action)) {
      After(kEngineDelay,
            [this, started = std::move(*start)] { Submit(started); });
    } else if (auto* cancel = std::get_if<dispatch::CancelStream>(&action)) {
      outcome_.preempted_ += IsMeasured() ? 1 : 0;
      After(workload_.cancelDelay_,
            [this, stream = cancel->stream_] { Cancel(stream); });
    } else if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
      if (const auto* end = std::get_if<wire::RunEnded>(&send->message_)) {
        OnEnd(*end);
      } else if (const auto* grant =
                   std::get_if<wire::BatchGrant>(&send->message_)) {
        After(kLinkDelay,
              [this, granted = grant->granted_] { OnGrant(granted); });
      } else if (const auto* chunk =
                   std::get_if<wire::Chunk>(&send->message_)) {
        NoteToken(chunk->run_);
      }
    }
  }
}

void
Simulation::NoteToken(const wire::RunId& aRun)
{
  OnlineRequest& request = online_.at(aRun);
  if (IsMeasured()) {
    auto& into =
      request.hasFirst_ ? outcome_.betweenTokensMs_ : outcome_.firstTokenMs_;
    const base::Instant since =
      request.hasFirst_ ? request.lastToken_ : request.arrived_;
    into.push_back(ToMs(now_ - since));
  }
  request.hasFirst_ = true;
  request.lastToken_ = now_;
}

void
Simulation::OnEnd(const wire::RunEnded& aEnd)
{
  const bool isOk = aEnd.code_ == base::ResultCode::Ok;
  if (IsMeasured()) {
    outcome_.refused_ += isOk ? 0 : 1;
    if (isOk) {
      ++(IsOnline(aEnd.run_) ? outcome_.onlineFinished_
                             : outcome_.batchFinished_);
    }
  }
  online_.erase(aEnd.run_);
  After(2 * kLinkDelay, [this, run = aEnd.run_] {
    Do(gate_.OnRunRecorded({ run }, Now()));
    Do(gate_.OnBatchDemand(
      kOwner, { kService, workload_.hasBatch_ ? kDemand : 0, kDueMs }, Now()));
  });
}

void
Simulation::Submit(const dispatch::StartStream& aStart)
{
  const std::string name = NameOf(aStart.stream_);
  streams_[name] = aStart.stream_;
  engine_.Submit(
    { name, aStart.payload_, aStart.maxTokens_, aStart.resumeTokens_ });
  (IsOnline(aStart.stream_.run_) ? onlineAtEngine_ : batchAtEngine_) += 1;
  if (!stepping_) {
    BeginStep();
  }
}

void
Simulation::Cancel(const dispatch::StreamId& aStream)
{
  const auto found = streams_.find(NameOf(aStream));
  if (found == streams_.end()) {
    return;
  }
  engine_.Cancel(found->first);
  streams_.erase(found);
  (IsOnline(aStream.run_) ? onlineAtEngine_ : batchAtEngine_) -= 1;
  After(kEngineDelay, [this, aStream] {
    dispatch::StreamEnd end;
    end.result_ = dispatch::StreamResult::Cancelled;
    end.ran_ = base::Ran::Unknown;
    Do(gate_.OnStreamEnded(aStream, end, Now()));
  });
}

void
Simulation::BeginStep()
{
  const base::Duration length = engine_.BeginStep();
  stepping_ = length > base::Duration::zero();
  outcome_.waitingSteps_ += IsMeasured() && engine_.Waiting() > 0 ? 1 : 0;
  if (!stepping_) {
    return;
  }
  if (outcome_.idleToFullMs_ == 0.0 && workload_.hasBatch_ &&
      engine_.Running() >= engineOptions_.maxRunning_) {
    outcome_.idleToFullMs_ = ToMs(now_ - start_);
  }
  After(length, [this, length] { EndStep(length); });
}

void
Simulation::EndStep(base::Duration aLength)
{
  // Streams that wait at the engine are not in this step, so online ones are
  // counted up to the places only as far as the model admits them.
  if (IsMeasured()) {
    const double seconds = std::chrono::duration<double>(aLength).count();
    const auto places = static_cast<double>(engineOptions_.maxRunning_);
    const auto running = static_cast<double>(engine_.Running());
    const double online =
      std::min(static_cast<double>(onlineAtEngine_), running);
    outcome_.totalPlaceSeconds_ += places * seconds;
    outcome_.onlinePlaceSeconds_ += online * seconds;
    outcome_.batchPlaceSeconds_ += (running - online) * seconds;
  }
  const std::vector<standin::Emission> emissions = engine_.EndStep();
  for (const standin::Emission& emission : emissions) {
    Deliver(emission);
  }
  BeginStep();
}

void
Simulation::Deliver(const standin::Emission& aEmission)
{
  const auto found = streams_.find(aEmission.id_);
  if (found == streams_.end()) {
    return;
  }
  const dispatch::StreamId stream = found->second;
  const bool isOnline = IsOnline(stream.run_);
  const bool isLast = !aEmission.finishReason_.empty();
  if (IsMeasured() && !aEmission.text_.empty()) {
    ++(isOnline ? outcome_.onlineTokens_ : outcome_.batchTokens_);
  }
  if (isLast) {
    streams_.erase(found);
    (isOnline ? onlineAtEngine_ : batchAtEngine_) -= 1;
  }
  After(kEngineDelay, [this, stream, text = aEmission.text_, isLast] {
    if (!text.empty()) {
      Do(gate_.OnChunk(stream, { text, 1 }, Now()));
    }
    if (isLast) {
      Do(gate_.OnStreamEnded(stream, {}, Now()));
    }
  });
}

} // namespace pumiceturn::bench
