#include "LibGateway/OnlineProxy.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/Events.h"
#include "LibHttpStream/Status.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

// The part of OnlineProxy that handles requests that may crash endpoints, and
// endpoints that crashed.

namespace pumiceturn::gateway {

namespace {

/// Endpoints that have crashed under a feature from which on requests with it
/// aren't sent to a second one.
constexpr std::size_t kMaxCrashesToRetry = 2;

/// How long an endpoint that runs may take to accept a connection.
constexpr std::chrono::milliseconds kCrashProbeTimeout{ 100 };

} // namespace

void
OnlineProxy::RecordBroken(httpstream::CallOutcome aOutcome)
{
  // What another process at the address sends says nothing about a crash.
  if (aOutcome != httpstream::CallOutcome::Broken || isFromOtherEndpoint_) {
    return;
  }
  RecordBrokenAttempt(shared_,
                      { attempt_->Endpoint().Incarnation(),
                        features_,
                        sentAt_,
                        base::MonotonicNow() });
}

bool
OnlineProxy::AdmitByCrashes()
{
  struct Visitor
  {
    OnlineProxy& proxy_;

    bool operator()(const fleet::NotSuspected& /*aNone*/) const { return true; }
    bool operator()(const fleet::Suspected& aSuspicion) const
    {
      return proxy_.AdmitSuspected(aSuspicion);
    }
    bool operator()(const fleet::CrashesEndpoints& aRefusal) const
    {
      return proxy_.AdmitTrial(aRefusal);
    }
  };
  suspectFeature_.reset();
  crashedEndpoints_.clear();
  trialFeature_.reset();
  return std::visit(Visitor{ *this },
                    shared_.crashes_.Assess(features_, base::MonotonicNow()));
}

bool
OnlineProxy::AdmitSuspected(const fleet::Suspected& aSuspicion)
{
  // Another request may clear the feature. This one has done its share.
  if (mayHaveRun_ &&
      aSuspicion.crashedEndpoints_.size() >= kMaxCrashesToRetry) {
    EndWithoutAttempt();
    return false;
  }
  suspectFeature_ = aSuspicion.feature_;
  crashedEndpoints_ = aSuspicion.crashedEndpoints_;
  return true;
}

bool
OnlineProxy::AdmitTrial(const fleet::CrashesEndpoints& aRefusal)
{
  if (aRefusal.isTrialDue_ && triedEndpoints_.empty() && !mayHaveRun_) {
    suspectFeature_ = aRefusal.feature_;
    trialFeature_ = aRefusal.feature_;
    return true;
  }
  ReportRefusal(shared_, call_.requestId_, aRefusal);
  if (exchange_->IsStreaming()) {
    exchange_->Abort();
  } else if (mayHaveRun_) {
    exchange_->Respond(
      httpstream::MakeResponse(httpstream::kStatusBadGateway, {}));
  } else {
    exchange_->Respond(shared_.codec_.MakeUnavailable(RetryAfter(aRefusal)));
  }
  Finish(ProxyOutcome::Suspect);
  return false;
}

bool
OnlineProxy::IsRefusedForCrashes() const
{
  return std::holds_alternative<fleet::CrashesEndpoints>(
    shared_.crashes_.Assess(features_, base::MonotonicNow()));
}

void
OnlineProxy::CheckForCrash()
{
  crashProbe_ = std::make_shared<LivenessProbe>(deadlineTimer_.get_executor(),
                                                shared_.codec_);
  crashProbe_->Start({ attempt_->Endpoint().id_,
                       attempt_->Endpoint().address_,
                       kCrashProbeTimeout,
                       kCrashProbeTimeout,
                       NeedsProcess() ? attempt_->Endpoint().startedAtMs_ : 0 },
                     [weak = weak_from_this()](const LivenessAnswer& aAnswer) {
                       const auto proxy = weak.lock();
                       if (!proxy || proxy->isFinished_) {
                         return;
                       }
                       proxy->crashProbe_.reset();
                       proxy->OnCrashChecked(aAnswer);
                     });
}

void
OnlineProxy::OnCrashChecked(const LivenessAnswer& aAnswer)
{
  isLostToCrash_ = aAnswer.check_ == fleet::EndpointCheck::Unreachable ||
                   aAnswer.check_ == fleet::EndpointCheck::OtherProcess;
  base::Log(kCrashChecked,
            { { "request", call_.requestId_ },
              { "endpoint", attempt_->Endpoint().id_ },
              { "born_ms", attempt_->Endpoint().startedAtMs_ },
              { "check", fleet::NameOf(aAnswer.check_) },
              { "counted", CountedAttempts() },
              { "max_attempts", route_.maxAttempts_ },
              { "ended", isLostToCrash_ } });
  if (isLostToCrash_) {
    shared_.metrics_
      .GetCounter("pumiceturn_attempts_beyond_maximum_total",
                  "Attempts granted beyond a route's maximum, by what showed "
                  "that the endpoint's process had ended.",
                  fmt::format("proof=\"{}\"", fleet::NameOf(aAnswer.check_)))
      .Add();
  }
  TryNextEndpoint();
}

} // namespace pumiceturn::gateway
