#include "LibGateway/EndpointAttempt.h"

#include "LibGateway/Events.h"
#include "LibHttpStream/Status.h"

#include <fmt/format.h>

#include <utility>

// The part of EndpointAttempt that finds out whether a response is whole whose
// end nothing but the end of its connection marks.

namespace pumiceturn::gateway {

namespace {

/// How long an endpoint may take to accept the connection that shows that it
/// runs, and then to answer. A SYN that is lost is sent again after 1 s.
constexpr std::chrono::milliseconds kEndCheckTimeout{ 1200 };

/// After how long the check of an endpoint is made once more: it may end its
/// responses in order a moment before its process ends.
constexpr std::chrono::milliseconds kSecondCheckDelay{ 300 };

httpstream::CallOutcome
OutcomeOf(fleet::UnmarkedEnd aEnd)
{
  switch (aEnd) {
    case fleet::UnmarkedEnd::Whole:
      return httpstream::CallOutcome::Complete;
    case fleet::UnmarkedEnd::BrokenOff:
      return httpstream::CallOutcome::Broken;
    case fleet::UnmarkedEnd::Unconfirmed:
      break;
  }
  return httpstream::CallOutcome::Unconfirmed;
}

} // namespace

bool
EndpointAttempt::IsWholeByHead() const
{
  // Nobody reads the body of a refusal, or of an item's failure.
  return framing_ == httpstream::ResponseFraming::Length || wasNotRun_ ||
         (workClass_ == fleet::WorkClass::Batch && !isSuccess_);
}

void
EndpointAttempt::CheckUnmarkedEnd()
{
  probe_ = std::make_shared<LivenessProbe>(shared_.pool_.GetExecutor(),
                                           shared_.codec_);
  probe_->Start(
    { .endpoint_ = endpoint_.id_,
      .address_ = endpoint_.address_,
      .connectTimeout_ = kEndCheckTimeout,
      .holdTime_ = kEndCheckTimeout,
      .startedAtMs_ = processStartedAtMs_,
      .mustNameItself_ = true,
      .healthPath_ = shared_.routes_.HealthPathOf(endpoint_.service_) },
    [weak = weak_from_this()](const LivenessAnswer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnEndChecked(aAnswer);
      }
    });
}

void
EndpointAttempt::OnEndChecked(const LivenessAnswer& aAnswer)
{
  // Where starts are told, the process is known only if it was asked before.
  const bool isSenderKnown = processStartedAtMs_ == 0 || request_.needsProcess_;
  const fleet::UnmarkedEnd end =
    fleet::Judge(aAnswer.check_,
                 isSenderKnown ? fleet::Sender::Known : fleet::Sender::Unknown);
  if (end == fleet::UnmarkedEnd::Whole && !isCheckedAgain_ &&
      NeedsSecondCheck(aAnswer)) {
    CheckAgainLater();
    return;
  }
  base::Log(kUnmarkedEndChecked,
            { { "endpoint", endpoint_.id_ },
              { "born_ms", processStartedAtMs_ },
              { "left_ms", base::ToMs(timeLimit_ - ranFor_) },
              { "check", NameOf(aAnswer.check_) },
              { "asked_for", aAnswer.isReport_ ? "report" : "health" },
              { "status", aAnswer.status_ },
              { "answered_by", aAnswer.answeredBy_ },
              { "took_ms", base::ToMs(base::MonotonicNow() - endedAt_) },
              { "whole", end == fleet::UnmarkedEnd::Whole } });
  shared_.metrics_
    .GetCounter("pumiceturn_unmarked_ends_total",
                "Responses that ended only with their connection, by what a "
                "check of the endpoint found.",
                fmt::format("check=\"{}\"", NameOf(aAnswer.check_)))
    .Add();
  End(OutcomeOf(end));
}

bool
EndpointAttempt::IsLeaving(const LivenessAnswer& aAnswer) const
{
  const bool isHealthy =
    aAnswer.isReport_ || aAnswer.status_ == httpstream::kStatusOk;
  return !isHealthy || shared_.endpoints_.IsLeaving(endpoint_.Incarnation());
}

bool
EndpointAttempt::NeedsSecondCheck(const LivenessAnswer& aAnswer) const
{
  // Nobody can ask for the rest of such a stream. Its events have been passed
  // on, so only its end waits.
  const bool isOnlyProof = isEventStream_ && !request_.needsProcess_;
  return isOnlyProof || IsLeaving(aAnswer);
}

void
EndpointAttempt::CheckAgainLater()
{
  isCheckedAgain_ = true;
  recheckTimer_.expires_after(kSecondCheckDelay);
  recheckTimer_.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self && self->observer_ != nullptr) {
        self->CheckUnmarkedEnd();
      }
    });
}

} // namespace pumiceturn::gateway
