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
  crashCheck_ = std::make_shared<CrashCheck>(
    shared_,
    deadlineTimer_.get_executor(),
    *lastBroken_,
    NeedsProcess() ? lastBroken_->startedAtMs_ : 0);
  crashCheck_->Start(
    [weak = weak_from_this()](const CrashCheckResult& aResult) {
      const auto proxy = weak.lock();
      if (proxy && !proxy->isFinished_) {
        proxy->OnCrashChecked(aResult);
      }
    });
}

void
OnlineProxy::OnCrashChecked(const CrashCheckResult& aResult)
{
  crashCheck_.reset();
  isLostToCrash_ = aResult.proof_.has_value();
  const std::string_view proof =
    aResult.proof_ ? fleet::NameOf(*aResult.proof_) : "none";
  base::Log(kCrashChecked,
            { { "request", call_.requestId_ },
              { "endpoint", lastBroken_->id_ },
              { "born_ms", lastBroken_->startedAtMs_ },
              { "proof", proof },
              { "last_check", fleet::NameOf(aResult.lastCheck_) },
              { "checks", aResult.checks_ },
              { "took_ms", base::ToMs(aResult.duration_) },
              { "counted", CountedAttempts() },
              { "max_attempts", route_.maxAttempts_ } });
  if (isLostToCrash_) {
    shared_.metrics_
      .GetCounter("pumiceturn_attempts_beyond_maximum_total",
                  "Attempts granted beyond a route's maximum, by what showed "
                  "that the endpoint's process had ended.",
                  fmt::format("proof=\"{}\"", proof))
      .Add();
  }
  TryNextEndpoint();
}

} // namespace pumiceturn::gateway
