#include "LibGateway/OnlineProxy.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

// The part of OnlineProxy that handles endpoints that are silent, or that send
// bytes without end.

namespace pumiceturn::gateway {

namespace {

/// Maximum time between two reads of a stream before it is resumed at another
/// endpoint.
constexpr std::chrono::milliseconds kGapTimeout{ 900 };

/// Subtracted from the pause that a route allows: the time that the first event
/// from the other endpoint takes.
constexpr std::chrono::milliseconds kResumeMargin{ 100 };

/// Lower bound of the time between two events of a stream, so that the usual
/// variation isn't mistaken for a stall.
constexpr std::chrono::milliseconds kMinGapTimeout{ 200 };

std::string_view
NameOf(fleet::SilenceAction aAction)
{
  switch (aAction) {
    case fleet::SilenceAction::KeepWaiting:
      return "wait";
    case fleet::SilenceAction::Move:
      return "move";
    case fleet::SilenceAction::GiveUp:
      break;
  }
  return "give_up";
}

/// @return the time between two events of a route's streams after which one is
///         resumed at another endpoint.
base::Duration
StallTimeout(const fleet::Route& aRoute)
{
  if (aRoute.maxPause_ <= base::Duration::zero()) {
    return kGapTimeout;
  }
  return std::clamp<base::Duration>(
    aRoute.maxPause_ - kResumeMargin, kMinGapTimeout, kGapTimeout);
}

} // namespace

httpstream::SilenceDecision
OnlineProxy::OnSilence(const httpstream::Silence& aSilence)
{
  const fleet::SilentAttempt silent{ aSilence.duration_,
                                     FindReplacement(),
                                     shared_.endpoints_.IsReplaced(
                                       attempt_->Endpoint()) };
  const fleet::SilenceAction action = fleet::DecideOnSilence(silent);
  if (std::exchange(loggedSilence_, action) != action) {
    LogSilence(aSilence, action);
  }
  if (action != fleet::SilenceAction::Move) {
    replacement_.reset();
  }
  return action == fleet::SilenceAction::KeepWaiting
           ? httpstream::SilenceDecision::KeepWaiting
           : httpstream::SilenceDecision::EndCall;
}

fleet::Replacement
OnlineProxy::FindReplacement()
{
  replacement_.reset();
  if (!MayTryAgain() || IsRefusedForCrashes()) {
    return fleet::Replacement::None;
  }
  replacement_ = ChooseEndpoint(fleet::Evidence::Sending);
  if (replacement_ && replacement_->hasSlot_) {
    return fleet::Replacement::FreeSlot;
  }
  replacement_ = ChooseEndpoint(fleet::Evidence::NotSilent);
  return replacement_ ? fleet::Replacement::Uncertain
                      : fleet::Replacement::None;
}

void
OnlineProxy::LogSilence(const httpstream::Silence& aSilence,
                        fleet::SilenceAction aAction)
{
  const fleet::ServiceActivity activity = shared_.endpoints_.ActivityOf(
    attempt_->Endpoint().service_, base::MonotonicNow());
  base::Log(kAttemptSilent,
            { { "request", call_.requestId_ },
              { "endpoint", attempt_->Endpoint().id_ },
              { "action", NameOf(aAction) },
              { "to", replacement_ ? replacement_->endpoint_.id_ : "" },
              { "silent_ms", base::ToMs(aSilence.duration_) },
              { "own_delay_ms", base::ToMs(aSilence.ownDelay_) },
              { "unread_bytes", aSilence.unreadBytes_ },
              { "silent_endpoints", activity.silent_ },
              { "active_endpoints", activity.active_ },
              { "attempt", triedEndpoints_.size() },
              { "max_attempts", route_.maxAttempts_ },
              { "last_event", stream_.LastEvent() },
              { "left_ms", base::ToMs(TimeLeft()) } });
  shared_.metrics_
    .GetCounter("pumiceturn_silent_attempts_total",
                "Attempts whose endpoint was silent, by what was done.",
                fmt::format("action=\"{}\"", NameOf(aAction)))
    .Add();
}

bool
OnlineProxy::RejectFaultyResponse(bool aHasAdvanced)
{
  const bool isStuck = progress_.RecordRead(aHasAdvanced, base::MonotonicNow());
  const bool isFaulty =
    isStuck || stream_.IsEventTooLarge() || stream_.HasEventElsewhere();
  if (isFaulty) {
    attempt_->Reject();
  }
  return isFaulty;
}

void
OnlineProxy::SetGapTimeouts(httpstream::Call& aCall) const
{
  // The last attempt has no other endpoint to resume at. Endpoints that don't
  // report their pace don't share their machines and stall for good.
  const bool canResume = route_.kind_ == fleet::RequestKind::Stream &&
                         CountedAttempts() + 1 < route_.maxAttempts_ &&
                         shared_.endpoints_.Paces().IsEnabled();
  aCall.gapTimeout_ = canResume ? StallTimeout(route_) : kGapTimeout;
  aCall.firstGapTimeout_ = kGapTimeout;
}

} // namespace pumiceturn::gateway
