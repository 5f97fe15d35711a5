#include "LibGateway/OnlineProxy.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/Events.h"
#include "LibGateway/StreamReport.h"
#include "LibHttpStream/Status.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Maximum wait for an endpoint's first byte before a retryable request is sent
/// to another endpoint. Well above the usual latency objectives, so that a
/// queue isn't mistaken for a hang.
constexpr std::chrono::milliseconds kFirstByteTimeout{ 1000 };

/// Upper bound of the first-byte timeout including the expected wait for a
/// slot; callers disconnect after about 3 s without an event.
constexpr std::chrono::milliseconds kMaxFirstByteTimeout{ 2500 };

/// Largest response that is buffered as a whole, and the largest stream.
/// Endpoints send under 200 KB.
constexpr std::size_t kMaxBufferedBytes = 1024ULL * 1024;
constexpr std::uint64_t kMaxStreamBytes = 16ULL * 1024 * 1024;

constexpr unsigned kFirstServerError = 500;

std::string_view
NameOf(ProxyOutcome aOutcome)
{
  switch (aOutcome) {
    case ProxyOutcome::Responded:
      return "answered";
    case ProxyOutcome::NotRun:
      return "not_run";
    case ProxyOutcome::Failed:
      return "failed";
    case ProxyOutcome::StreamAborted:
      return "broken_off";
    case ProxyOutcome::TimedOut:
      return "timed_out";
    case ProxyOutcome::Suspect:
      return "suspect";
    case ProxyOutcome::CallerDisconnected:
      break;
  }
  return "caller_gone";
}

} // namespace

OnlineProxy::OnlineProxy(SharedState& aShared,
                         const boost::asio::any_io_executor& aExecutor,
                         std::shared_ptr<httpstream::Exchange> aExchange,
                         fleet::Route aRoute,
                         OrganisationName aCaller,
                         StreamOrigins& aOrigins,
                         const PreemptBatch& aPreemptBatch)
  : shared_(aShared)
  , deadlineTimer_(aExecutor)
  , exchange_(std::move(aExchange))
  , route_(std::move(aRoute))
  , caller_(std::move(aCaller))
  , origins_(aOrigins)
  , preemptBatch_(aPreemptBatch)
  , call_(aShared.codec_.ReadCallerFields(exchange_->GetRequest()))
  , slotTimer_(aExecutor)
  , features_(FeaturesOf(exchange_->GetRequest(), call_))
  , stream_(call_.lastEvent_)
{
  const base::Duration allowed =
    call_.callerTimeout_ ? std::min(*call_.callerTimeout_, route_.timeout_)
                         : route_.timeout_;
  deadline_ = exchange_->ReceivedAt() + allowed;
}

void
OnlineProxy::Start()
{
  const auto self = shared_from_this();
  shared_.outputBudget_.AddStream();
  exchange_->SetOnCallerDisconnected([weak = weak_from_this()] {
    if (const auto proxy = weak.lock()) {
      proxy->Finish(ProxyOutcome::CallerDisconnected);
    }
  });
  exchange_->SetOnAllWritten([weak = weak_from_this()] {
    if (const auto proxy = weak.lock(); proxy && proxy->attempt_) {
      proxy->attempt_->SetPaused(false);
    }
  });
  deadlineTimer_.expires_after(TimeLeft());
  // The timer's handler keeps the proxy alive until it has finished.
  deadlineTimer_.async_wait([self](const boost::system::error_code& aError) {
    if (!aError) {
      self->OnDeadline();
    }
  });
  if (route_.kind_ == fleet::RequestKind::Stream && stream_.HasBegun()) {
    FindOrigin();
  } else {
    TryNextEndpoint();
  }
}

base::Duration
OnlineProxy::TimeLeft() const
{
  return std::max(deadline_ - base::MonotonicNow(), base::Duration::zero());
}

bool
OnlineProxy::IsRetryable() const
{
  return route_.kind_ == fleet::RequestKind::Idempotent ||
         (route_.kind_ == fleet::RequestKind::Stream && route_.isResumable_);
}

void
OnlineProxy::LogIfNotContinued() const
{
  if (!stream_.Origin() || hasUnmarkedEnd_) {
    return;
  }
  base::Log(kStreamNotContinued,
            { { "request", call_.requestId_ },
              { "service", stream_.Origin()->service_ },
              { "software", stream_.Origin()->version_ },
              { "after_event", stream_.LastEvent() },
              { "tried", triedEndpoints_.size() },
              { "passed_over", passedOver_.size() },
              { "waits", slotWaits_ } });
}

void
OnlineProxy::EndWithoutAttempt()
{
  if (hasUnmarkedEnd_) {
    CompleteStream();
  } else if (exchange_->IsStreaming()) {
    exchange_->Abort();
    Finish(ProxyOutcome::StreamAborted);
  } else if (mayHaveRun_) {
    exchange_->Respond(
      httpstream::MakeResponse(httpstream::kStatusBadGateway, {}));
    Finish(ProxyOutcome::Failed);
  } else {
    RespondUnavailable();
  }
}

void
OnlineProxy::Send(const fleet::EndpointChoice& aChoice)
{
  head_.reset();
  body_.clear();
  isFromOtherEndpoint_ = false;
  progress_.Reset();
  stream_.BeginAttempt(aChoice.endpoint_);
  base::Log(
    kRequestSent,
    { { "request", call_.requestId_ },
      { "route", route_.name_ },
      { "service", aChoice.endpoint_.service_ },
      { "endpoint", aChoice.endpoint_.id_ },
      { "running", aChoice.inFlight_ },
      { "candidates", aChoice.candidates_ },
      { "preempts", aChoice.preemptsBatch_ },
      { "attempt", triedEndpoints_.size() + 1 },
      { "software", aChoice.endpoint_.softwareVersion_ },
      { "born_ms", aChoice.endpoint_.startedAtMs_ },
      { "registration_age_ms",
        base::ToMs(base::MonotonicNow() - aChoice.registrationReadAt_) },
      { "after_event", stream_.LastEvent() },
      { "resumes", LoggedResumedId() },
      { "version", shared_.routes_.Version() },
      { "left_ms", base::ToMs(TimeLeft()) } });
  const base::Duration firstByteTimeout = std::min<base::Duration>(
    kFirstByteTimeout + expectedWait_, kMaxFirstByteTimeout);
  httpstream::Call call;
  if (IsRetryable()) {
    call.firstByteTimeout_ = firstByteTimeout;
    SetGapTimeouts(call);
  }
  if (caller_ && !isCountedForShare_) {
    isCountedForShare_ = true;
    shared_.fairShare_.CountStart(*caller_);
  }
  loggedSilence_.reset();
  sentAt_ = base::MonotonicNow();
  triedEndpoints_.push_back(aChoice.endpoint_.id_);
  if (const auto feature = std::exchange(trialFeature_, std::nullopt)) {
    base::Log(kCrashTrial,
              { { "request", call_.requestId_ },
                { "feature", ToString(*feature) },
                { "endpoint", aChoice.endpoint_.id_ } });
    shared_.crashes_.BeginTrial(*feature, sentAt_);
  }
  attempt_ = std::make_shared<EndpointAttempt>(
    shared_, aChoice.endpoint_, fleet::WorkClass::Online);
  attempt_->SetSilenceTimeout(firstByteTimeout);
  attempt_->Start(
    { [this, endpoint = aChoice.endpoint_.id_, call = std::move(call)] {
       return MakeCall(endpoint, call);
     },
      NeedsProcess(),
      firstByteTimeout,
      call_.requestId_ },
    *this);
}

bool
OnlineProxy::NeedsProcess() const
{
  return route_.kind_ == fleet::RequestKind::Stream &&
         (route_.isResumable_ || stream_.HasBegun());
}

EndpointCall
OnlineProxy::MakeCall(const std::string& aEndpoint,
                      const httpstream::Call& aTimeouts) const
{
  ForwardOptions options;
  options.endpoint_ = aEndpoint;
  // Endpoints are told whole milliseconds.
  options.callerTimeout_ =
    std::chrono::floor<std::chrono::milliseconds>(TimeLeft());
  options.lastEvent_ = stream_.LastEvent();
  options.caller_ = caller_;
  const httpstream::Request request =
    shared_.codec_.MakeEndpointRequest(exchange_->GetRequest(), options);
  httpstream::Call call = aTimeouts;
  call.bytes_ = httpstream::Serialize(request);
  call.echoField_ = shared_.codec_.EchoField();
  call.echoValue_ = call_.requestId_;
  call.limits_.maxBodyBytes_ = kMaxStreamBytes;
  call.isHeadRequest_ = request.method() == boost::beast::http::verb::head;
  return { std::move(call), options.callerTimeout_ };
}

void
OnlineProxy::OnHead(const httpstream::ResponseHead& aHead)
{
  responseInfo_ = shared_.codec_.ReadResponseInfo(aHead);
  // With another status, it isn't the rest of a stream.
  isEventStream_ = aHead.result_int() == httpstream::kStatusOk &&
                   httpstream::IsEventStream(aHead);
  head_ = aHead;
  isFromOtherEndpoint_ =
    isEventStream_ && !stream_.OnHead(responseInfo_.responderId_);
}

void
OnlineProxy::OnBody(std::string_view aBytes)
{
  if (!isEventStream_) {
    body_.append(aBytes);
    if (body_.size() > kMaxBufferedBytes) {
      attempt_->Reject();
    }
    return;
  }
  const std::string events =
    isFromOtherEndpoint_ ? std::string() : stream_.TakeEvents(aBytes);
  Forward(events);
  if (isFinished_ || RejectFaultyResponse(!events.empty())) {
    return;
  }
  if (exchange_->UnsentBytes() > shared_.outputBudget_.MaxUnsentPerStream() &&
      attempt_) {
    attempt_->SetPaused(true);
  }
}

void
OnlineProxy::Forward(const std::string& aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  hasUnmarkedEnd_ = false;
  if (!exchange_->IsStreaming()) {
    firstEventAt_ = base::MonotonicNow();
    exchange_->BeginStream(*head_);
    RecordOrigin();
  }
  exchange_->SendChunk(aEvents);
}

void
OnlineProxy::OnEnd(httpstream::CallOutcome aOutcome)
{
  const auto self = shared_from_this();
  if (isFinished_) {
    return;
  }
  if (head_ && isEventStream_) {
    ReportStreamEnd(shared_,
                    *attempt_,
                    { call_.requestId_,
                      aOutcome,
                      stream_.LastEventBeforeAttempt(),
                      stream_.EventCounts(),
                      stream_.HasPartialEvent() });
  }
  if (EndQuestionForRest(aOutcome)) {
    return;
  }
  if (aOutcome == httpstream::CallOutcome::NotConnected) {
    // Nothing was sent, so this doesn't count as an attempt. An endpoint of
    // another process isn't chosen again for now.
    undeliveredAttempts_ += attempt_->HasMetOtherProcess() ? 0 : 1;
    base::Log(kAttemptFailed,
              { { "request", call_.requestId_ },
                { "endpoint", attempt_->Endpoint().id_ },
                { "cause", NameOf(aOutcome) } });
    passedOver_.push_back(std::move(triedEndpoints_.back()));
    triedEndpoints_.pop_back();
    TryNextEndpoint();
    return;
  }
  if (aOutcome == httpstream::CallOutcome::Complete) {
    OnCompleteResponse();
    return;
  }
  OnAttemptBroken(aOutcome);
}

void
OnlineProxy::OnCompleteResponse()
{
  if (isEventStream_) {
    if (stream_.HasPartialEvent() || isFromOtherEndpoint_) {
      // The body is complete by its framing but ends within an event, or isn't
      // of the endpoint chosen.
      OnAttemptBroken(httpstream::CallOutcome::Broken);
      return;
    }
    if (!exchange_->IsStreaming()) {
      exchange_->BeginStream(*head_);
    }
    if (MayHaveRest()) {
      AskForRest();
    } else {
      CompleteStream();
    }
    return;
  }
  if (responseInfo_.wasNotRun_) {
    OnAttemptRefused();
    return;
  }
  const bool isServerError = head_->result_int() >= kFirstServerError;
  if (!isServerError) {
    shared_.crashes_.RecordAnswered(features_, base::MonotonicNow());
  }
  mayHaveRun_ = true;
  if (exchange_->IsStreaming() || (isServerError && IsRetryable() &&
                                   CountedAttempts() < route_.maxAttempts_)) {
    base::Log(kAttemptFailed,
              { { "request", call_.requestId_ },
                { "endpoint", triedEndpoints_.back() },
                { "cause", "status" },
                { "status", head_->result_int() } });
    TryNextEndpoint();
    return;
  }
  httpstream::Response response;
  response.result(head_->result_int());
  httpstream::CopyEndToEndFields(*head_, response);
  response.body() = std::move(body_);
  exchange_->Respond(std::move(response));
  Finish(ProxyOutcome::Responded);
}

void
OnlineProxy::CompleteStream()
{
  const base::Instant now = base::MonotonicNow();
  shared_.crashes_.RecordAnswered(features_, now);
  if (firstEventAt_ && triedEndpoints_.size() == 1) {
    shared_.admission_.RecordSlotTime(attempt_->Endpoint().service_,
                                      now - *firstEventAt_);
  }
  exchange_->EndStream();
  Finish(ProxyOutcome::Responded);
}

void
OnlineProxy::OnAttemptRefused()
{
  base::Log(kAttemptFailed,
            { { "request", call_.requestId_ },
              { "endpoint", triedEndpoints_.back() },
              { "cause", "refused" },
              { "status", head_->result_int() } });
  if (stream_.HasBegun() && !responseInfo_.isMisdirected_) {
    // It has room again once another request there ends.
    ++undeliveredAttempts_;
    passedOver_.push_back(std::move(triedEndpoints_.back()));
    triedEndpoints_.pop_back();
  } else if (responseInfo_.isMisdirected_ || mayHaveRun_) {
    // Another process at the address rejects all requests for the endpoint, so
    // it isn't asked again. What ran elsewhere must go on.
    ++undeliveredAttempts_;
    ++uncountedAttempts_;
  } else {
    ++refusedAttempts_;
  }
  TryNextEndpoint();
}

void
OnlineProxy::OnAttemptBroken(httpstream::CallOutcome aOutcome)
{
  mayHaveRun_ = true;
  base::Log(kAttemptFailed,
            { { "request", call_.requestId_ },
              { "endpoint", triedEndpoints_.back() },
              { "cause", NameOf(aOutcome) },
              { "last_event", stream_.LastEvent() },
              { "started_at", attempt_->Endpoint().startedAtMs_ },
              { "had_begun", head_.has_value() },
              { "ran_ms", base::ToMs(base::MonotonicNow() - sentAt_) },
              { "parts", LoggedParts(call_.sharedParts_) } });
  shared_.metrics_
    .GetCounter(
      "pumiceturn_broken_attempts_total",
      "Online attempts that failed after they were sent, by whether the "
      "response had begun.",
      head_ ? "begun=\"true\"" : "begun=\"false\"")
    .Add();
  RecordBroken(aOutcome);
  if (IsRetryable()) {
    const bool mayBeCrash =
      aOutcome == httpstream::CallOutcome::Broken && !isLostToCrash_;
    if (mayBeCrash) {
      lastBroken_ = attempt_->Endpoint();
    }
    if (mayBeCrash && CountedAttempts() >= route_.maxAttempts_) {
      CheckForCrash();
    } else {
      TryNextEndpoint();
    }
    return;
  }
  if (exchange_->IsStreaming()) {
    exchange_->Abort();
    Finish(ProxyOutcome::StreamAborted);
    return;
  }
  exchange_->Respond(
    httpstream::MakeResponse(httpstream::kStatusBadGateway, {}));
  Finish(ProxyOutcome::Failed);
}

void
OnlineProxy::OnDeadline()
{
  if (isFinished_) {
    return;
  }
  const auto self = shared_from_this();
  if (hasUnmarkedEnd_) {
    CompleteStream();
    return;
  }
  if (exchange_->IsStreaming()) {
    exchange_->Abort();
  } else {
    exchange_->Respond(
      httpstream::MakeResponse(httpstream::kStatusGatewayTimeout, {}));
  }
  Finish(ProxyOutcome::TimedOut);
}

void
OnlineProxy::Finish(ProxyOutcome aOutcome)
{
  if (std::exchange(isFinished_, true)) {
    return;
  }
  shared_.outputBudget_.RemoveStream();
  if (const auto attempt = std::exchange(attempt_, nullptr)) {
    attempt->Cancel();
  }
  if (const auto check = std::exchange(crashCheck_, nullptr)) {
    check->Cancel();
  }
  if (std::exchange(isCountedForShare_, false)) {
    shared_.fairShare_.CountEnd(*caller_);
  }
  const bool wasRefused =
    aOutcome == ProxyOutcome::NotRun ||
    (aOutcome == ProxyOutcome::Suspect && triedEndpoints_.empty());
  if (wasRefused && caller_) {
    shared_.rateLimiter_.Refund(*caller_, admittedAt_);
  }
  const base::Instant now = base::MonotonicNow();
  const base::Duration first =
    firstEventAt_.value_or(now) - exchange_->ReceivedAt();
  base::Log(kRequestEnded,
            { { "request", call_.requestId_ },
              { "route", route_.name_ },
              { "organisation", caller_.value_or(std::string()) },
              { "end", NameOf(aOutcome) },
              { "attempts", triedEndpoints_.size() },
              { "first_ms", base::ToMs(first) },
              { "total_ms", base::ToMs(now - exchange_->ReceivedAt()) },
              { "last_event", stream_.LastEvent() } });
  const std::string label =
    fmt::format("route=\"{}\",end=\"{}\"", route_.name_, NameOf(aOutcome));
  shared_.metrics_
    .GetCounter("pumiceturn_online_requests_total", "Ended requests.", label)
    .Add();
  shared_.metrics_
    .GetHistogram("pumiceturn_online_first_piece_seconds",
                  "Arrival to first piece or final answer.")
    .Record(std::chrono::duration<double>(first).count());
  deadlineTimer_.cancel();
  slotTimer_.cancel();
}

} // namespace pumiceturn::gateway
