#include "LibGateway/OnlineProxy.h"

#include "LibGateway/Events.h"
#include "LibGateway/StreamReport.h"

#include <array>
#include <utility>

// The part of OnlineProxy that gets the rest of a stream, which only endpoints
// of one software version have.

namespace pumiceturn::gateway {

namespace {

/// Pauses before the rest of a stream is tried again. Slots become free within
/// tens of milliseconds, and callers leave a stream after 2 s without an event.
constexpr std::array<std::chrono::milliseconds, 4> kSlotPauses{
  std::chrono::milliseconds{ 50 },
  std::chrono::milliseconds{ 100 },
  std::chrono::milliseconds{ 200 },
  std::chrono::milliseconds{ 400 }
};

} // namespace

bool
OnlineProxy::MayHaveRest() const
{
  return attempt_->Framing() == httpstream::ResponseFraming::ConnectionEnd &&
         IsRetryable() && stream_.Origin() && stream_.HasAdvanced() &&
         stream_.CanGoOn() && TimeLeft() >= kMinAttemptTime;
}

void
OnlineProxy::AskForRest()
{
  hasUnmarkedEnd_ = true;
  if (!shared_.endpoints_.MayGetRests(attempt_->Endpoint().Incarnation(),
                                      base::MonotonicNow())) {
    AskAnotherForRest();
    return;
  }
  isAskingForRest_ = true;
  ++uncountedAttempts_;
  shared_.metrics_
    .GetCounter("pumiceturn_rests_asked_for_total",
                "Streams that ended only with their connection, and whose "
                "endpoint was asked for a rest.")
    .Add();
  fleet::EndpointChoice choice;
  choice.endpoint_ = attempt_->Endpoint();
  Send(choice);
}

bool
OnlineProxy::EndQuestionForRest(httpstream::CallOutcome aOutcome)
{
  using httpstream::CallOutcome;
  const bool wasAsking = std::exchange(isAskingForRest_, false);
  const bool isComplete = aOutcome == CallOutcome::Complete;
  if (!wasAsking || !hasUnmarkedEnd_ || (isComplete && isEventStream_)) {
    return false;
  }
  const bool isOtherProcess = isComplete && responseInfo_.isMisdirected_;
  const bool isFull = isComplete && responseInfo_.wasNotRun_ && !isOtherProcess;
  if (isFull && PauseBefore(&OnlineProxy::AskForRest)) {
    return true;
  }
  base::Log(kAttemptFailed,
            { { "request", call_.requestId_ },
              { "endpoint", triedEndpoints_.back() },
              { "cause", isComplete ? "status" : NameOf(aOutcome) },
              { "status", isComplete ? head_->result_int() : 0 },
              { "last_event", stream_.LastEvent() } });
  // If the process broke the question off or is another one, it didn't live on.
  // Else it doesn't say whether there is a rest, and another endpoint may.
  hasUnmarkedEnd_ = aOutcome != CallOutcome::Broken &&
                    aOutcome != CallOutcome::NotConnected && !isOtherProcess;
  AskAnotherForRest();
  return true;
}

void
OnlineProxy::AskAnotherForRest()
{
  const bool mayBeLostToCrash = lastBroken_ && !isLostToCrash_;
  if (mayBeLostToCrash && CountedAttempts() >= route_.maxAttempts_) {
    CheckForCrash();
  } else {
    TryNextEndpoint();
  }
}

bool
OnlineProxy::WaitForSlot()
{
  const bool isRest = stream_.HasBegun() && stream_.CanGoOn();
  if (!isRest || passedOver_.empty() ||
      CountedAttempts() >= route_.maxAttempts_) {
    return false;
  }
  passedOver_.clear();
  // Without any endpoint, its version is gone.
  if (!ChooseEndpoint(fleet::Evidence::None) ||
      !PauseBefore(&OnlineProxy::TryNextEndpoint)) {
    return false;
  }
  undeliveredAttempts_ = 0;
  return true;
}

bool
OnlineProxy::PauseBefore(void (OnlineProxy::*aStep)())
{
  if (slotWaits_ == kSlotPauses.size() ||
      TimeLeft() <= kSlotPauses.at(slotWaits_) + kMinAttemptTime) {
    return false;
  }
  const std::chrono::milliseconds pause = kSlotPauses.at(slotWaits_++);
  base::Log(kRestWaits,
            { { "request", call_.requestId_ },
              { "service", stream_.Origin()->service_ },
              { "software", stream_.Origin()->version_ },
              { "after_event", stream_.LastEvent() },
              { "may_be_whole", hasUnmarkedEnd_ },
              { "pause_ms", pause.count() } });
  shared_.metrics_
    .GetCounter("pumiceturn_rests_waited_total",
                "Pauses of rests of streams whose endpoints were full or "
                "couldn't be reached.")
    .Add();
  slotTimer_.expires_after(pause);
  slotTimer_.async_wait(
    [weak = weak_from_this(), aStep](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && !self->isFinished_) {
        ((*self).*aStep)();
      }
    });
  return true;
}

} // namespace pumiceturn::gateway
