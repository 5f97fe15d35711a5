#include "LibGateway/OnlineProxy.h"

#include "LibGateway/Events.h"

// The part of OnlineProxy that decides whether a request may be sent.

namespace pumiceturn::gateway {

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
OnlineProxy::RespondUnavailable()
{
  RejectNotRun(fleet::AdmissionControl::RetryAfter(
    TimeLeft(), NextRandom(shared_.random_)));
}

} // namespace pumiceturn::gateway
