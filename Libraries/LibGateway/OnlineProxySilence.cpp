#include "LibGateway/OnlineProxy.h"

#include "LibGateway/Events.h"

#include <utility>

// The part of OnlineProxy that handles endpoints that are silent.

namespace pumiceturn::gateway {

namespace {

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

} // namespace pumiceturn::gateway
