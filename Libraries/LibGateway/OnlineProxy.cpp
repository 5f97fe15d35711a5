#include "LibGateway/OnlineProxy.h"

#include "LibBase/Ids.h"
#include "LibGateway/Events.h"
#include "LibHttpStream/Status.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Wait for the first byte from an endpoint before a request that may run again
/// goes to another: three times the latency objective, so that a full engine's
/// queue isn't taken for a silent one.
constexpr std::chrono::milliseconds kFirstByteTimeout{ 1000 };

/// Longest pause within a stream before it goes on elsewhere. Callers count a
/// pause of over 400 ms as late and leave after about 3 s.
constexpr std::chrono::milliseconds kGapTimeout{ 900 };

/// Longest wait for the first byte of a request that was queued knowingly:
/// callers leave a stream after somewhat over 3 s without an event.
constexpr std::chrono::milliseconds kLongestFirstByteTimeout{ 2500 };

/// Endpoints that may fail to accept a connection before a request is refused.
constexpr std::uint32_t kMaxFailedConnects = 3;

/// The rest of a caller's time that can't hold a run any more.
constexpr std::chrono::milliseconds kLeastUsefulTime{ 30 };

/// Unsent bytes at which reading from the endpoint pauses, so that a slow
/// caller can't fill the memory.
constexpr std::size_t kMaxUnsentBytes = 262144;

constexpr unsigned kFirstServerError = 500;

std::string_view
NameOf(ProxyOutcome aEnd)
{
  switch (aEnd) {
    case ProxyOutcome::Answered:
      return "answered";
    case ProxyOutcome::NotRun:
      return "not_run";
    case ProxyOutcome::Failed:
      return "failed";
    case ProxyOutcome::BrokenOff:
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

std::string_view
NameOf(httpstream::CallOutcome aEnd)
{
  switch (aEnd) {
    case httpstream::CallOutcome::Complete:
      return "complete";
    case httpstream::CallOutcome::NotConnected:
      return "not_connected";
    case httpstream::CallOutcome::Broken:
      return "broken";
    case httpstream::CallOutcome::TimedOut:
      return "silent";
    case httpstream::CallOutcome::Malformed:
      break;
  }
  return "unintelligible";
}

/// Names what is asked: such a request comes again with the same path and body.
std::uint64_t
HashContent(const httpstream::Request& aRequest)
{
  return base::HashBytes(aRequest.body(),
                         base::HashBytes(httpstream::TargetOf(aRequest)));
}

bool
IsEventStream(const httpstream::ResponseHead& aHead)
{
  return httpstream::ValueOf(aHead, "Content-Type")
    .starts_with("text/event-stream");
}

} // namespace

OnlineProxy::OnlineProxy(SharedState& aShared,
                         const boost::asio::any_io_executor& aExecutor,
                         std::shared_ptr<httpstream::Exchange> aExchange,
                         fleet::Route aRoute,
                         CallerName aCaller,
                         const PreemptBatch& aPreemptBatch)
  : shared_(aShared)
  , deadlineTimer_(aExecutor)
  , exchange_(std::move(aExchange))
  , route_(std::move(aRoute))
  , caller_(std::move(aCaller))
  , preemptBatch_(aPreemptBatch)
  , call_(aShared.codec_.ReadOnline(exchange_->GetRequest()))
  , content_(HashContent(exchange_->GetRequest()))
  , lastEvent_(call_.lastEvent_)
{
  const base::Duration allowed =
    call_.clientTimeout_ ? std::min(*call_.clientTimeout_, route_.timeout_)
                         : route_.timeout_;
  deadline_ = exchange_->ReceivedAt() + allowed;
}

void
OnlineProxy::Start()
{
  const auto self = shared_from_this();
  exchange_->OnCallerDisconnected([weak = weak_from_this()] {
    if (const auto proxy = weak.lock()) {
      proxy->Finish(ProxyOutcome::CallerDisconnected);
    }
  });
  exchange_->OnDrained([weak = weak_from_this()] {
    if (const auto proxy = weak.lock(); proxy && proxy->run_) {
      proxy->run_->SetPaused(false);
    }
  });
  deadlineTimer_.expires_after(TimeLeft());
  // The timer holds the proxy until it has ended.
  deadlineTimer_.async_wait([self](const boost::system::error_code& aError) {
    if (!aError) {
      self->OnTimeUp();
    }
  });
  TryNext();
}

base::Duration
OnlineProxy::TimeLeft() const
{
  return std::max(deadline_ - base::MonotonicNow(), base::Duration::zero());
}

bool
OnlineProxy::MayRunAgain() const
{
  return route_.kind_ == fleet::RequestKind::Idempotent ||
         (route_.kind_ == fleet::RequestKind::Stream && route_.isResumable_);
}

void
OnlineProxy::TryNext()
{
  if (ended_) {
    return;
  }
  const bool isStreaming = exchange_->IsStreaming();
  if (IsSuspect()) {
    base::Log(kRequestSuspect,
              { { "request", call_.requestId_ }, { "content", content_ } });
    if (isStreaming) {
      exchange_->Abort();
    } else {
      exchange_->Respond(
        httpstream::MakeResponse(httpstream::kStatusBadGateway, {}));
    }
    Finish(ProxyOutcome::Suspect);
    return;
  }
  if (tried_.size() >= route_.maxAttempts_ ||
      failedConnects_ >= kMaxFailedConnects || TimeLeft() < kLeastUsefulTime) {
    if (isStreaming) {
      exchange_->Abort();
      Finish(ProxyOutcome::BrokenOff);
    } else if (mayHaveRun_) {
      exchange_->Respond(
        httpstream::MakeResponse(httpstream::kStatusBadGateway, {}));
      Finish(ProxyOutcome::Failed);
    } else {
      AnswerNotRun();
    }
    return;
  }
  const std::string& service =
    fleet::RouteTable::ChooseService(route_, NextRandom(shared_.random_));
  const auto choice =
    shared_.endpoints_.Choose({ service, fleet::WorkClass::Online, tried_ },
                              base::MonotonicNow(),
                              shared_.random_);
  if (!choice) {
    // Counts as the last try: no other endpoint is left.
    tried_.resize(route_.maxAttempts_);
    TryNext();
    return;
  }
  if (!Admit(*choice)) {
    return;
  }
  if (choice->preemptsBatch_) {
    preemptBatch_(*choice);
  }
  Send(*choice);
}

bool
OnlineProxy::Admit(const fleet::EndpointChoice& aChoice)
{
  expectedWait_ = base::Duration::zero();
  if (aChoice.preemptsBatch_) {
    return true;
  }
  const fleet::AdmissionRequest request{
    aChoice.endpoint_.service_, route_.name_,      aChoice.running_,
    aChoice.endpoint_.slots_,   route_.objective_, call_.clientTimeout_
  };
  const fleet::Admission admission =
    shared_.admission_.Check(request, NextRandom(shared_.random_));
  expectedWait_ = admission.expectedWait_;
  // Who was sent once is never sent away: a refusal would come late.
  if (!admission.retryAfter_ || !tried_.empty() || mayHaveRun_) {
    return true;
  }
  base::Log(kRequestNotAdmitted,
            { { "request", call_.requestId_ },
              { "route", route_.name_ },
              { "endpoint", aChoice.endpoint_.id_ },
              { "running", aChoice.running_ },
              { "candidates", aChoice.candidates_ },
              { "wait_ms", base::ToMs(admission.expectedWait_) },
              { "objective_ms", base::ToMs(route_.objective_) },
              { "come_back_ms", base::ToMs(*admission.retryAfter_) } });
  exchange_->Respond(shared_.codec_.MakeNotRun(*admission.retryAfter_));
  Finish(ProxyOutcome::NotRun);
  return false;
}

void
OnlineProxy::Send(const fleet::EndpointChoice& aChoice)
{
  head_.reset();
  body_.clear();
  splitter_.Clear();
  base::Log(kRequestSent,
            { { "request", call_.requestId_ },
              { "route", route_.name_ },
              { "endpoint", aChoice.endpoint_.id_ },
              { "running", aChoice.running_ },
              { "candidates", aChoice.candidates_ },
              { "preempts", aChoice.preemptsBatch_ },
              { "attempt", tried_.size() + 1 },
              { "version", shared_.routes_.Version() },
              { "left_ms", base::ToMs(TimeLeft()) } });
  ForwardOptions options;
  options.endpoint_ = aChoice.endpoint_.id_;
  options.clientTimeout_ = TimeLeft();
  options.lastEvent_ = lastEvent_;
  options.caller_ = caller_;
  const httpstream::Request request =
    shared_.codec_.MakeEndpointRequest(exchange_->GetRequest(), options);
  httpstream::Call call;
  call.bytes_ = httpstream::Serialize(request);
  call.echoField_ = shared_.codec_.EchoField();
  call.echoValue_ = call_.requestId_;
  call.isHead_ = request.method() == boost::beast::http::verb::head;
  if (MayRunAgain()) {
    call.firstByteTimeout_ = std::min<base::Duration>(
      kFirstByteTimeout + expectedWait_, kLongestFirstByteTimeout);
    call.gapTimeout_ = kGapTimeout;
  }
  tried_.push_back(aChoice.endpoint_.id_);
  runIsRetry_ = shared_.suspects_.IsSuspect(content_);
  runFirstEvent_ = lastEvent_;
  run_ = std::make_shared<EndpointAttempt>(
    shared_, aChoice.endpoint_, fleet::WorkClass::Online);
  run_->Start(std::move(call), *this);
}

void
OnlineProxy::OnHead(const httpstream::ResponseHead& aHead)
{
  responseInfo_ = shared_.codec_.ReadAnswer(aHead);
  isEventStream_ = aHead.result_int() == 200 && IsEventStream(aHead);
  head_ = aHead;
}

void
OnlineProxy::OnBody(std::string_view aBytes)
{
  if (!isEventStream_) {
    body_.append(aBytes);
    return;
  }
  splitter_.Append(aBytes);
  PassEvents();
  if (exchange_->UnsentBytes() > kMaxUnsentBytes && run_) {
    run_->SetPaused(true);
  }
}

void
OnlineProxy::PassEvents()
{
  std::string whole;
  while (const auto event = splitter_.Next()) {
    // A resumed run that repeats an event must not double it for the caller.
    if (event->id_ != 0 && event->id_ <= lastEvent_) {
      continue;
    }
    lastEvent_ = event->id_;
    whole.append(event->raw_);
  }
  if (whole.empty()) {
    return;
  }
  if (!exchange_->IsStreaming()) {
    firstPieceAt_ = base::MonotonicNow();
    exchange_->BeginStream(*head_);
  }
  exchange_->SendChunk(whole);
}

void
OnlineProxy::OnEnd(httpstream::CallOutcome aEnd)
{
  const auto self = shared_from_this();
  if (ended_) {
    return;
  }
  if (aEnd == httpstream::CallOutcome::NotConnected) {
    // Nothing was sent: this endpoint doesn't count as one that got it.
    ++failedConnects_;
    base::Log(kAttemptFailed,
              { { "request", call_.requestId_ },
                { "endpoint", run_->Endpoint().id_ },
                { "cause", NameOf(aEnd) } });
    tried_.pop_back();
    TryNext();
    return;
  }
  if (aEnd == httpstream::CallOutcome::Complete) {
    OnWholeAnswer();
    return;
  }
  OnBroken(aEnd);
}

void
OnlineProxy::OnWholeAnswer()
{
  if (isEventStream_) {
    if (splitter_.Remainder() > 0) {
      // The framing ended well, but within an event.
      OnBroken(httpstream::CallOutcome::Broken);
      return;
    }
    if (!exchange_->IsStreaming()) {
      exchange_->BeginStream(*head_);
    }
    const base::Instant now = base::MonotonicNow();
    shared_.suspects_.RecordAnswered(content_, now);
    if (firstPieceAt_ && tried_.size() == 1) {
      shared_.admission_.RecordSlotTime(run_->Endpoint().service_,
                                        now - *firstPieceAt_);
    }
    exchange_->EndStream();
    Finish(ProxyOutcome::Answered);
    return;
  }
  if (responseInfo_.isCertainlyNotRun_) {
    OnRefused();
    return;
  }
  shared_.suspects_.RecordAnswered(content_, base::MonotonicNow());
  const bool isServerError = head_->result_int() >= kFirstServerError;
  mayHaveRun_ = true;
  if (exchange_->IsStreaming() ||
      (isServerError && MayRunAgain() && tried_.size() < route_.maxAttempts_)) {
    base::Log(kAttemptFailed,
              { { "request", call_.requestId_ },
                { "endpoint", tried_.back() },
                { "cause", "status" },
                { "status", head_->result_int() } });
    TryNext();
    return;
  }
  httpstream::Response answer;
  answer.result(head_->result_int());
  httpstream::CopyEndToEndFields(*head_, answer);
  answer.body() = std::move(body_);
  exchange_->Respond(std::move(answer));
  Finish(ProxyOutcome::Answered);
}

void
OnlineProxy::OnRefused()
{
  base::Log(kAttemptFailed,
            { { "request", call_.requestId_ },
              { "endpoint", tried_.back() },
              { "cause", "refused" },
              { "status", head_->result_int() } });
  if (responseInfo_.isMisdirected_) {
    // Like a failed connection: the endpoint itself didn't get the request.
    ++failedConnects_;
    tried_.pop_back();
  }
  TryNext();
}

void
OnlineProxy::OnBroken(httpstream::CallOutcome aEnd)
{
  mayHaveRun_ = true;
  base::Log(kAttemptFailed,
            { { "request", call_.requestId_ },
              { "endpoint", tried_.back() },
              { "cause", NameOf(aEnd) },
              { "last_event", lastEvent_ } });
  NoteSuspect(aEnd);
  if (MayRunAgain()) {
    TryNext();
    return;
  }
  if (exchange_->IsStreaming()) {
    exchange_->Abort();
    Finish(ProxyOutcome::BrokenOff);
    return;
  }
  exchange_->Respond(
    httpstream::MakeResponse(httpstream::kStatusBadGateway, {}));
  Finish(ProxyOutcome::Failed);
}

void
OnlineProxy::NoteSuspect(httpstream::CallOutcome aEnd)
{
  // A run that made events was not crashed by its own beginning.
  if (aEnd != httpstream::CallOutcome::Broken || lastEvent_ > runFirstEvent_) {
    return;
  }
  shared_.suspects_.RecordBroken(
    { content_, tried_.back(), runIsRetry_, base::MonotonicNow() });
}

bool
OnlineProxy::IsSuspect() const
{
  if (shared_.suspects_.IsEmpty()) {
    return false;
  }
  const base::Instant now = base::MonotonicNow();
  return shared_.suspects_.IsRefused(
    content_,
    now,
    [this, now](const std::string& aEndpoint, base::Instant aMoment) {
      return shared_.endpoints_.HasSurvived(aEndpoint, aMoment, now);
    });
}

void
OnlineProxy::OnTimeUp()
{
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  if (exchange_->IsStreaming()) {
    exchange_->Abort();
  } else {
    exchange_->Respond(
      httpstream::MakeResponse(httpstream::kStatusGatewayTimeout, {}));
  }
  Finish(ProxyOutcome::TimedOut);
}

void
OnlineProxy::AnswerNotRun()
{
  exchange_->Respond(
    shared_.codec_.MakeNotRun(fleet::AdmissionControl::RetryAfter(
      TimeLeft(), NextRandom(shared_.random_))));
  Finish(ProxyOutcome::NotRun);
}

void
OnlineProxy::Finish(ProxyOutcome aEnd)
{
  if (std::exchange(ended_, true)) {
    return;
  }
  if (const auto run = std::exchange(run_, nullptr)) {
    run->Cancel();
  }
  if (aEnd == ProxyOutcome::NotRun && caller_) {
    shared_.rateLimiter_.Refund(*caller_);
  }
  const base::Instant now = base::MonotonicNow();
  const base::Duration first =
    firstPieceAt_.value_or(now) - exchange_->ReceivedAt();
  base::Log(kRequestEnded,
            { { "request", call_.requestId_ },
              { "route", route_.name_ },
              { "organisation", caller_.value_or(std::string()) },
              { "end", NameOf(aEnd) },
              { "attempts", tried_.size() },
              { "first_ms", base::ToMs(first) },
              { "total_ms", base::ToMs(now - exchange_->ReceivedAt()) },
              { "last_event", lastEvent_ } });
  const std::string label =
    fmt::format("route=\"{}\",end=\"{}\"", route_.name_, NameOf(aEnd));
  shared_.metrics_
    .GetCounter("pumiceturn_online_requests_total", "Ended requests.", label)
    .Add();
  shared_.metrics_
    .GetHistogram("pumiceturn_online_first_piece_seconds",
                  "Arrival to first piece or final answer.")
    .Record(std::chrono::duration<double>(first).count());
  deadlineTimer_.cancel();
}

} // namespace pumiceturn::gateway
