#include "LibLoad/OnlineLoad.h"

#include "LibBase/ResultCode.h"
#include "LibClient/StatusDecoder.h"
#include "LibStandin/EngineAnswer.h"

#include <fmt/format.h>

namespace pumiceturn::load {

namespace {

using base::ResultCode;

/// Beyond a call's deadline, time in which the entry can say how it ended.
constexpr std::chrono::milliseconds kDeadlineGrace{ 10'000 };

/// Results read back at once.
constexpr std::size_t kReadBackWindow = 64;

/// Times that a result is asked for while an entry is not reached, or the
/// request still runs.
constexpr int kReadBackAttempts = 20;
constexpr std::chrono::milliseconds kReadBackPause{ 500 };

} // namespace

OnlineLoad::OnlineLoad(Options aOptions,
                       const client::EntryChannels& aChannels,
                       std::span<const Arrival> aArrivals,
                       Recorder& aRecorder)
  : options_(std::move(aOptions))
  , channels_(aChannels)
  , arrivals_(aArrivals)
  , recorder_(aRecorder)
  , states_(aArrivals.size())
{
  for (std::size_t entry = 0; entry < channels_.Count(); ++entry) {
    stubs_.push_back(channels_.MakeCallerStub(entry));
  }
}

caller::CallRequest
OnlineLoad::MakeRequest(std::size_t aArrival) const
{
  const Arrival& arrival = arrivals_[aArrival];
  const OnlineStream& stream =
    options_.plan_.online(static_cast<int>(arrival.stream_));
  caller::CallRequest request;
  request.set_service(options_.plan_.service());
  request.set_kind(stream.kind());
  request.set_request_key(fmt::format("load-{}-{}", options_.runId_, aArrival));
  request.set_deadline_ms(stream.deadline_ms());
  request.set_max_tokens(stream.max_tokens());
  request.set_prompt(arrival.prompt_);
  return request;
}

std::chrono::milliseconds
OnlineLoad::CallTimeout(std::size_t aArrival) const
{
  const std::uint32_t stream = arrivals_[aArrival].stream_;
  const std::uint32_t own =
    options_.plan_.online(static_cast<int>(stream)).deadline_ms();
  return std::chrono::milliseconds{
    own == 0 ? options_.limits_[stream].deadlineMs_ : own
  } + kDeadlineGrace;
}

std::string
OnlineLoad::Expected(std::size_t aArrival) const
{
  const std::uint32_t stream = arrivals_[aArrival].stream_;
  const std::uint32_t own =
    options_.plan_.online(static_cast<int>(stream)).max_tokens();
  return standin::EngineAnswerText(
    arrivals_[aArrival].prompt_,
    own == 0 ? options_.limits_[stream].maxTokens_ : own);
}

void
OnlineLoad::Send(std::size_t aArrival)
{
  recorder_.AddStart(arrivals_[aArrival].at_);
  SendOnce(aArrival, false);
  if (!arrivals_[aArrival].isResent_) {
    return;
  }
  const std::lock_guard lock(mutex_);
  ++inFlight_;
  resends_.push_back(std::make_unique<grpc::Alarm>());
  resends_.back()->Set(std::chrono::system_clock::now() +
                         arrivals_[aArrival].resendAfter_,
                       [this, aArrival](bool) {
                         SendOnce(aArrival, true);
                         const std::lock_guard endLock(mutex_);
                         --inFlight_;
                         ended_.notify_all();
                       });
}

void
OnlineLoad::SendOnce(std::size_t aArrival, bool aIsResend)
{
  {
    const std::lock_guard lock(mutex_);
    ++inFlight_;
  }
  OnlineCall::Events events;
  if (aIsResend) {
    events.onChunk_ = [](std::uint32_t) {};
  } else {
    events.onChunk_ = [this, aArrival](std::uint32_t aTokens) {
      OnChunk(aArrival, aTokens);
    };
  }
  events.onEnd_ = [this, aArrival, aIsResend](const OnlineEnd& aEnd) {
    OnEnd(aArrival, aIsResend, aEnd);
  };
  // A resend goes through another entry than the call did.
  std::make_shared<OnlineCall>(channels_,
                               stubs_,
                               MakeRequest(aArrival),
                               CallTimeout(aArrival),
                               aArrival + (aIsResend ? 1 : 0),
                               std::move(events))
    ->Start();
}

void
OnlineLoad::OnChunk(std::size_t aArrival, std::uint32_t aTokens)
{
  const base::Instant now = base::MonotonicNow();
  const Arrival& arrival = arrivals_[aArrival];
  recorder_.AddOnlineTokens(aTokens, now);
  bool isFirst = false;
  base::Instant before;
  {
    const std::lock_guard lock(mutex_);
    State& state = states_[aArrival];
    isFirst = !state.hasFirstToken_;
    before = state.lastToken_;
    state.hasFirstToken_ = true;
    state.lastToken_ = now;
  }
  if (isFirst) {
    recorder_.AddFirstToken(arrival, now);
  } else {
    recorder_.AddGap(arrival.phase_, now - before);
  }
}

void
OnlineLoad::OnEnd(std::size_t aArrival, bool aIsResend, const OnlineEnd& aEnd)
{
  const bool isAnswered = aEnd.finished_ && aEnd.outcome_.code() == 0;
  const bool isNotRun = aEnd.outcome_.ran() == caller::RAN_NOT_RUN;
  if (isAnswered && aEnd.text_ != Expected(aArrival)) {
    recorder_.Update([](Counts& aCounts) { ++aCounts.mixedUp_; });
  }
  if (!aIsResend) {
    recorder_.AddCode(aEnd.outcome_.code());
    if (!isAnswered && isNotRun) {
      recorder_.AddRefused(arrivals_[aArrival].at_);
    }
  }
  const std::lock_guard lock(mutex_);
  State& state = states_[aArrival];
  state.accepted_ = state.accepted_ || aEnd.accepted_ || aEnd.finished_;
  state.answered_ = state.answered_ || isAnswered;
  state.newlyAccepted_ += aEnd.accepted_ && !aEnd.duplicate_ ? 1 : 0;
  state.refusedNotRun_ = state.refusedNotRun_ || (!isAnswered && isNotRun);
  state.unknown_ = state.unknown_ || (!isAnswered && !isNotRun);
  --inFlight_;
  ended_.notify_all();
}

std::size_t
OnlineLoad::InFlight() const
{
  const std::lock_guard lock(mutex_);
  return inFlight_;
}

bool
OnlineLoad::WaitForEnd(base::Instant aLatest)
{
  std::unique_lock lock(mutex_);
  return ended_.wait_until(lock, aLatest, [this] { return inFlight_ == 0; });
}

bool
OnlineLoad::MustReadBack(const State& aState) const
{
  return aState.accepted_ || aState.unknown_;
}

void
OnlineLoad::ReadBack()
{
  for (std::size_t index = 0; index < arrivals_.size(); ++index) {
    std::unique_lock lock(mutex_);
    const State& state = states_[index];
    if (state.newlyAccepted_ > 1) {
      recorder_.Update([](Counts& aCounts) { ++aCounts.doubled_; });
    }
    if (!MustReadBack(state)) {
      recorder_.Update([&](Counts& aCounts) {
        aCounts.refusedNotRun_ += state.refusedNotRun_ ? 1 : 0;
      });
      continue;
    }
    ended_.wait(lock, [this] { return inFlight_ < kReadBackWindow; });
    ++inFlight_;
    lock.unlock();
    ReadBackOne(index);
  }
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return inFlight_ == 0; });
}

namespace {

/// One reading back, with the pauses between its attempts.
struct ReadBackCall
{
  std::unique_ptr<grpc::ClientContext> context_;
  caller::GetResultRequest request_;
  caller::ItemResult result_;
  int attempts_ = 0;
  std::vector<std::unique_ptr<grpc::Alarm>> pauses_;
  std::function<void(const grpc::Status&)> onEnd_;
};

void
StartReadBack(const std::shared_ptr<ReadBackCall>& aCall,
              const client::EntryChannels& aChannels,
              const Stubs& aStubs,
              std::chrono::milliseconds aTimeout)
{
  aCall->context_ = std::make_unique<grpc::ClientContext>();
  aChannels.Prepare(*aCall->context_, aTimeout);
  const std::size_t entry =
    static_cast<std::size_t>(aCall->attempts_) % aStubs.size();
  ++aCall->attempts_;
  const auto again = [aCall, &aChannels, &aStubs, aTimeout](bool) {
    StartReadBack(aCall, aChannels, aStubs, aTimeout);
  };
  aStubs[entry]->async()->GetResult(
    aCall->context_.get(),
    &aCall->request_,
    &aCall->result_,
    [aCall, again](const grpc::Status& aStatus) {
      const auto code =
        static_cast<ResultCode>(client::OutcomeOf(aStatus).code());
      const bool mayChange = !aStatus.ok() && code != ResultCode::NotFound &&
                             code != ResultCode::Expired;
      if (mayChange && aCall->attempts_ < kReadBackAttempts) {
        aCall->pauses_.push_back(std::make_unique<grpc::Alarm>());
        aCall->pauses_.back()->Set(
          std::chrono::system_clock::now() + kReadBackPause, again);
        return;
      }
      aCall->pauses_.clear();
      // The context holds the channel, and the run may end with onEnd_. A
      // channel that dies on its own callback thread takes down the queue that
      // this thread polls, and the process aborts.
      aCall->context_.reset();
      aCall->onEnd_(aStatus);
    });
}

} // namespace

void
OnlineLoad::ReadBackOne(std::size_t aArrival)
{
  auto call = std::make_shared<ReadBackCall>();
  call->request_.set_request_key(MakeRequest(aArrival).request_key());
  // The call outlives its own callbacks, so a plain pointer is enough there.
  call->onEnd_ =
    [this, aArrival, raw = call.get()](const grpc::Status& aStatus) {
      OnReadBack(aArrival, aStatus, raw->result_);
    };
  StartReadBack(call, channels_, stubs_, options_.timeout_);
}

void
OnlineLoad::OnReadBack(std::size_t aArrival,
                       const grpc::Status& aStatus,
                       const caller::ItemResult& aResult)
{
  const auto code = static_cast<ResultCode>(client::OutcomeOf(aStatus).code());
  const bool hasFailed = aResult.outcome().code() != 0;
  const bool isMixedUp =
    aStatus.ok() && !hasFailed && aResult.text() != Expected(aArrival);
  const std::lock_guard lock(mutex_);
  const State& state = states_[aArrival];
  recorder_.Update([&](Counts& aCounts) {
    aCounts.mixedUp_ += isMixedUp ? 1 : 0;
    if (aStatus.ok()) {
      ++aCounts.accepted_;
      ++aCounts.completed_;
      aCounts.failed_ += hasFailed ? 1 : 0;
    } else if (state.accepted_) {
      ++aCounts.accepted_;
      ++(code == ResultCode::StillRunning ? aCounts.unfinished_
                                          : aCounts.lost_);
    } else {
      ++aCounts.unknown_;
    }
  });
  --inFlight_;
  ended_.notify_all();
}

std::vector<std::string_view>
OnlineLoad::NotRunPrompts() const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string_view> prompts;
  for (std::size_t index = 0; index < states_.size(); ++index) {
    const State& state = states_[index];
    if (state.refusedNotRun_ && !MustReadBack(state)) {
      prompts.emplace_back(arrivals_[index].prompt_);
    }
  }
  return prompts;
}

} // namespace pumiceturn::load
