#include "LibLoad/OnlineCall.h"

#include "LibBase/ResultCode.h"
#include "LibClient/StatusDecoder.h"

namespace pumiceturn::load {

namespace {

constexpr std::size_t kRounds = 3;
constexpr std::chrono::milliseconds kPauseBetweenRounds{ 300 };

} // namespace

/// One RPC. Deletes itself when the RPC is over.
class OnlineCall::Attempt final
  : public grpc::ClientReadReactor<caller::CallEvent>
{
public:
  explicit Attempt(std::shared_ptr<OnlineCall> aCall)
    : call_(std::move(aCall))
  {
  }

  void Start()
  {
    call_->channels_.Prepare(context_, call_->timeout_);
    call_->stubs_[call_->entry_]->async()->Call(
      &context_, &call_->request_, this);
    StartRead(&event_);
    StartCall();
  }

  void OnReadDone(bool aIsRead) override
  {
    if (!aIsRead) {
      return;
    }
    call_->Take(event_);
    if (call_->isBroken_) {
      context_.TryCancel();
    }
    StartRead(&event_);
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    const std::shared_ptr<OnlineCall> call = std::move(call_);
    delete this;
    call->OnDone(aStatus);
  }

private:
  std::shared_ptr<OnlineCall> call_;
  grpc::ClientContext context_;
  caller::CallEvent event_;
};

OnlineCall::OnlineCall(const client::EntryChannels& aChannels,
                       const Stubs& aStubs,
                       caller::CallRequest aRequest,
                       std::chrono::milliseconds aTimeout,
                       std::size_t aEntry,
                       Events aEvents)
  : channels_(aChannels)
  , stubs_(aStubs)
  , request_(std::move(aRequest))
  , timeout_(aTimeout)
  , events_(std::move(aEvents))
  , entry_(aEntry % aStubs.size())
{
}

void
OnlineCall::Start()
{
  ++attempts_;
  assembler_.BeginAttempt();
  auto* attempt = new Attempt(shared_from_this());
  attempt->Start();
}

void
OnlineCall::Take(const caller::CallEvent& aEvent)
{
  std::string_view added;
  if (aEvent.has_accepted()) {
    // After a lost entry the next one says duplicate, which is no news.
    end_.duplicate_ =
      end_.accepted_ ? end_.duplicate_ : aEvent.accepted().duplicate();
    end_.accepted_ = true;
  } else if (aEvent.has_chunk()) {
    isBroken_ = !assembler_.AddChunk(aEvent.chunk(), added);
  } else if (aEvent.has_finished()) {
    (void)assembler_.Finish(aEvent.finished(), added);
    end_.finished_ = true;
    end_.outcome_ = aEvent.finished().outcome();
  }
  if (!added.empty()) {
    events_.onChunk_(aEvent.has_chunk() ? aEvent.chunk().tokens()
                                        : aEvent.finished().tokens());
  }
}

void
OnlineCall::OnDone(const grpc::Status& aStatus)
{
  if (end_.finished_) {
    Finish(end_.outcome_);
    return;
  }
  grpc::Status status = aStatus;
  if (isBroken_) {
    status = { grpc::StatusCode::DATA_LOSS, "a chunk is missing" };
  } else if (status.ok()) {
    status = { grpc::StatusCode::UNAVAILABLE, "the stream ended early" };
  }
  const bool mayRetry = attempts_ < kRounds * stubs_.size();
  if (!mayRetry || !client::ShouldTryNextEntry(status)) {
    Finish(client::OutcomeOf(status));
    return;
  }
  entry_ = (entry_ + 1) % stubs_.size();
  if (attempts_ % stubs_.size() != 0) {
    Start();
    return;
  }
  const auto resume = std::chrono::system_clock::now() + kPauseBetweenRounds;
  pauses_.push_back(std::make_unique<grpc::Alarm>());
  pauses_.back()->Set(resume,
                      [call = shared_from_this()](bool) { call->Start(); });
}

void
OnlineCall::Finish(const caller::Outcome& aOutcome)
{
  end_.outcome_ = aOutcome;
  end_.text_ = assembler_.Text();
  // An alarm keeps its callback, and that keeps this call.
  pauses_.clear();
  events_.onEnd_(end_);
}

} // namespace pumiceturn::load
