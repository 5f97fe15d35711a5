#include "LibGateway/OnlineProxy.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/Events.h"
#include "LibHttpStream/Status.h"

#include <variant>

// The part of OnlineProxy that decides whether a request may be sent.

namespace pumiceturn::gateway {

namespace {

/// Endpoints that have crashed under a feature from which on requests with it
/// aren't sent to a second one.
constexpr std::size_t kMaxCrashesToRetry = 2;

} // namespace

bool
OnlineProxy::Admit(const fleet::EndpointChoice& aChoice)
{
  expectedWait_ = base::Duration::zero();
  if (aChoice.preemptsBatch_) {
    return true;
  }
  const fleet::AdmissionRequest request{
    aChoice.endpoint_.service_,
    route_.name_,
    aChoice.inFlight_,
    aChoice.endpoint_.slots_,
    route_.objective_,
    call_.callerTimeout_,
    shared_.routes_.RankOf(route_, caller_.value_or(std::string())),
    aChoice.speed_
  };
  const fleet::AdmissionDecision admission =
    shared_.admission_.Check(request, NextRandom(shared_.random_));
  expectedWait_ = admission.expectedWait_;
  // A request that was already sent to an endpoint isn't rejected any more: its
  // caller has already waited, as has one that resumes a stream.
  if (!admission.retryAfter_ || !triedEndpoints_.empty() || mayHaveRun_ ||
      stream_.HasBegun()) {
    return true;
  }
  base::Log(kRequestNotAdmitted,
            { { "request", call_.requestId_ },
              { "route", route_.name_ },
              { "endpoint", aChoice.endpoint_.id_ },
              { "running", aChoice.inFlight_ },
              { "candidates", aChoice.candidates_ },
              { "wait_ms", base::ToMs(admission.expectedWait_) },
              { "objective_ms", base::ToMs(route_.objective_) },
              { "come_back_ms", base::ToMs(*admission.retryAfter_) } });
  RejectNotRun(*admission.retryAfter_);
  return false;
}

bool
OnlineProxy::AdmitByShare(const std::string& aService)
{
  const bool isFirstAttempt = triedEndpoints_.empty() && !mayHaveRun_;
  if (!caller_ || !isFirstAttempt || isCountedForShare_) {
    return true;
  }
  const base::Instant now = base::MonotonicNow();
  const fleet::ServiceLoad load = shared_.endpoints_.LoadOf(aService, now);
  const fleet::ShareDecision decision =
    shared_.fairShare_.Check(*caller_, load, now);
  if (decision.isAdmitted_) {
    return true;
  }
  const base::Duration retryAfter = fleet::AdmissionControl::RetryAfter(
    call_.callerTimeout_, NextRandom(shared_.random_));
  base::Log(kRequestOverShare,
            { { "request", call_.requestId_ },
              { "organisation", *caller_ },
              { "in_flight", decision.inFlight_ },
              { "share", decision.level_ },
              { "running", load.inFlight_ },
              { "slots", load.slots_ },
              { "come_back_ms", base::ToMs(retryAfter) } });
  shared_.metrics_
    .GetCounter("pumiceturn_requests_over_share_total",
                "Requests beyond their organisation's share in a shortage.",
                fmt::format("organisation=\"{}\"", *caller_))
    .Add();
  RejectNotRun(retryAfter);
  return false;
}

void
OnlineProxy::RejectNotRun(base::Duration aRetryAfter)
{
  exchange_->Respond(shared_.codec_.MakeUnavailable(aRetryAfter));
  Finish(ProxyOutcome::NotRun);
}

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
OnlineProxy::RespondUnavailable()
{
  RejectNotRun(fleet::AdmissionControl::RetryAfter(
    TimeLeft(), NextRandom(shared_.random_)));
}

} // namespace pumiceturn::gateway
