#include "LibGateway/EndpointAttempt.h"

#include "LibFleet/TimeLimit.h"
#include "LibGateway/EndpointAddress.h"
#include "LibGateway/Events.h"
#include "LibHttpStream/Status.h"

#include <fmt/format.h>

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Within a region, connecting takes a few milliseconds. Shorter than the 1 s
/// until TCP first retransmits a SYN: trying another endpoint is faster than
/// waiting for that.
constexpr std::chrono::milliseconds kConnectTimeout{ 250 };

constexpr unsigned kFirstServerError = 500;

/// How often one attempt asks for the endpoint's process. An endpoint may close
/// each connection after its answer.
constexpr std::uint32_t kMaxProcessQueries = 2;

std::string_view
NameOf(fleet::ProcessEvidence aEvidence)
{
  switch (aEvidence) {
    case fleet::ProcessEvidence::Told:
      return "told";
    case fleet::ProcessEvidence::ToldBefore:
      return "told_before";
    case fleet::ProcessEvidence::Untold:
      return "untold";
    case fleet::ProcessEvidence::NoStart:
      return "no_start";
    case fleet::ProcessEvidence::WordIgnored:
      return "word_ignored";
    case fleet::ProcessEvidence::None:
      break;
  }
  return "none";
}

} // namespace

EndpointAttempt::EndpointAttempt(SharedState& aShared,
                                 fleet::EndpointRecord aEndpoint,
                                 fleet::WorkClass aWorkClass)
  : shared_(aShared)
  , endpoint_(std::move(aEndpoint))
  , workClass_(aWorkClass)
  , recheckTimer_(shared_.pool_.GetExecutor())
{
}

EndpointAttempt::~EndpointAttempt()
{
  EndCounting();
}

void
EndpointAttempt::Start(AttemptRequest aRequest,
                       httpstream::CallObserver& aObserver)
{
  observer_ = &aObserver;
  request_ = std::move(aRequest);
  isCountedInFlight_ = true;
  startedAt_ = base::MonotonicNow();
  shared_.endpoints_.CountStart(endpoint_.Incarnation(), workClass_);
  Acquire();
}

void
EndpointAttempt::Acquire()
{
  const auto address = ParseAddress(endpoint_.address_);
  if (!address) {
    OnEnd(httpstream::CallOutcome::NotConnected);
    return;
  }
  auto acquired = shared_.pool_.Acquire(
    endpoint_.id_,
    *address,
    kConnectTimeout,
    [self = shared_from_this()](
      std::shared_ptr<httpstream::ClientConnection> aConnection) {
      self->OnConnection(std::move(aConnection));
    });
  // May still be opening: kept so that Cancel() can stop it.
  if (observer_ != nullptr && !connection_) {
    connection_ = std::move(acquired);
  }
}

void
EndpointAttempt::OnConnection(
  std::shared_ptr<httpstream::ClientConnection> aConnection)
{
  if (observer_ == nullptr) {
    return;
  }
  if (!aConnection) {
    OnEnd(httpstream::CallOutcome::NotConnected);
    return;
  }
  connection_ = std::move(aConnection);
  if (!request_.requestId_.empty() &&
      connection_->HasCarried(request_.requestId_)) {
    // The endpoint may send its former response once more.
    connection_->Cancel();
    connection_.reset();
    Acquire();
    return;
  }
  if (!request_.needsProcess_) {
    SendCall();
    return;
  }
  const fleet::ProcessEvidence evidence = shared_.endpoints_.ProcessEvidenceOf(
    endpoint_.Incarnation(), connection_->ConnectedAt(), base::MonotonicNow());
  // The next process may be there within milliseconds. Only an endpoint that
  // closes its connection after each answer can't do better.
  const bool isOutdated =
    evidence == fleet::ProcessEvidence::ToldBefore && processQueries_ == 0;
  if (evidence == fleet::ProcessEvidence::None || isOutdated) {
    AskForProcess();
    return;
  }
  ReportProcessEvidence(evidence);
  SendCall();
}

void
EndpointAttempt::ReportProcessEvidence(fleet::ProcessEvidence aEvidence)
{
  shared_.metrics_
    .GetCounter("pumiceturn_process_evidence_total",
                "Attempts that need the registered process, by what shows that "
                "their connection leads to it.",
                fmt::format("evidence=\"{}\"", NameOf(aEvidence)))
    .Add();
  if (aEvidence == fleet::ProcessEvidence::Told ||
      aEvidence == fleet::ProcessEvidence::NoStart) {
    return;
  }
  base::Log(
    kProcessAssumed,
    { { "endpoint", endpoint_.id_ },
      { "born_ms", shared_.endpoints_.StartOf(endpoint_.Incarnation()) },
      { "software", endpoint_.softwareVersion_ },
      { "evidence", NameOf(aEvidence) },
      { "connection_age_ms", base::ToMs(connection_->Age()) } });
}

void
EndpointAttempt::SendCall()
{
  EndpointCall call = request_.makeCall_();
  processStartedAtMs_ = shared_.endpoints_.StartOf(endpoint_.Incarnation());
  sentAt_ = base::BootNow();
  timeLimit_ = call.timeLimit_;
  connection_->Start(std::move(call.call_), *this);
}

void
EndpointAttempt::AskForProcess()
{
  if (++processQueries_ > kMaxProcessQueries) {
    OnProcessQueryFailed(httpstream::CallOutcome::Broken);
    return;
  }
  processAskedAt_ = base::MonotonicNow();
  processQuery_ = std::make_unique<ProcessQuery>(
    shared_.codec_,
    [this](const httpstream::Silence& aSilence) { return OnSilence(aSilence); },
    [this](const ProcessAnswer& aAnswer) { OnProcessAnswer(aAnswer); });
  processQuery_->Start(
    *connection_, endpoint_.id_, endpoint_.address_, request_.processTimeout_);
}

void
EndpointAttempt::OnProcessAnswer(const ProcessAnswer& aAnswer)
{
  struct Visitor
  {
    EndpointAttempt& attempt_;

    void operator()(const ProcessStart& aStart) const
    {
      const std::int64_t registered =
        attempt_.shared_.endpoints_.StartOf(attempt_.endpoint_.Incarnation());
      if (aStart.startedAtMs_ != registered) {
        attempt_.OnOtherProcess(aStart.startedAtMs_);
        return;
      }
      attempt_.shared_.endpoints_.RecordProcess(
        attempt_.endpoint_.Incarnation(), attempt_.processAskedAt_);
      attempt_.RecordActivity(base::MonotonicNow());
      attempt_.GoOnAfterAnswer();
    }
    void operator()(const ProcessStartNotTold& /*aNone*/) const
    {
      attempt_.shared_.endpoints_.RecordProcessUntold(
        attempt_.endpoint_.Incarnation(), attempt_.processAskedAt_);
      attempt_.GoOnAfterAnswer();
    }
    void operator()(const OtherInstanceAnswered& /*aNone*/) const
    {
      attempt_.OnProcessQueryFailed(httpstream::CallOutcome::Malformed);
    }
    void operator()(const ProcessQueryFailed& aFailure) const
    {
      attempt_.OnProcessQueryFailed(aFailure.outcome_);
    }
  };
  const auto self = shared_from_this();
  if (observer_ != nullptr) {
    std::visit(Visitor{ *this }, aAnswer);
  }
}

void
EndpointAttempt::GoOnAfterAnswer()
{
  if (connection_->IsReusable()) {
    SendCall();
    return;
  }
  connection_.reset();
  Acquire();
}

void
EndpointAttempt::OnOtherProcess(std::int64_t aStartedAtMs)
{
  hasMetOtherProcess_ = true;
  base::Log(
    kEndpointChanged,
    { { "endpoint", endpoint_.id_ },
      { "state", "other_process" },
      { "born_ms", shared_.endpoints_.StartOf(endpoint_.Incarnation()) },
      { "told_born_ms", aStartedAtMs },
      { "software", endpoint_.softwareVersion_ } });
  shared_.metrics_
    .GetCounter("pumiceturn_other_processes_met_total",
                "Attempts that weren't sent, as another process than the "
                "registered one answered under the endpoint's id.")
    .Add();
  if (shared_.endpoints_.RecordOtherProcess(
        endpoint_.Incarnation(), aStartedAtMs, base::MonotonicNow())) {
    base::Log(
      kEndpointChanged,
      { { "endpoint", endpoint_.id_ },
        { "state", "word_ignored" },
        { "born_ms", shared_.endpoints_.StartOf(endpoint_.Incarnation()) },
        { "told_born_ms", aStartedAtMs } });
  }
  EndUnsent();
}

void
EndpointAttempt::OnProcessQueryFailed(httpstream::CallOutcome aOutcome)
{
  const base::Instant now = base::MonotonicNow();
  if (aOutcome != httpstream::CallOutcome::TimedOut) {
    // A silence was recorded when it was noticed.
    shared_.endpoints_.RecordFailure(endpoint_.Incarnation(), now);
  }
  EndUnsent();
}

void
EndpointAttempt::EndUnsent()
{
  shared_.pool_.Release(endpoint_.id_, std::exchange(connection_, nullptr));
  EndCounting();
  if (auto* observer = std::exchange(observer_, nullptr)) {
    observer->OnEnd(httpstream::CallOutcome::NotConnected);
  }
}

void
EndpointAttempt::Cancel()
{
  observer_ = nullptr;
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->Cancel();
  }
  recheckTimer_.cancel();
  if (const auto probe = std::exchange(probe_, nullptr)) {
    probe->Cancel();
  }
  const bool wasSilent = isCountedInFlight_ && !hasResponse_ &&
                         base::MonotonicNow() - startedAt_ > silenceTimeout_;
  if (wasSilent && workClass_ == fleet::WorkClass::Online &&
      (!isSilent_ || isSilenceFailure_)) {
    shared_.endpoints_.Outliers().RecordOutcome(
      endpoint_.Incarnation(), true, base::MonotonicNow());
  }
  EndCounting();
}

void
EndpointAttempt::Reject()
{
  if (const auto connection = connection_) {
    connection->Reject();
  }
}

void
EndpointAttempt::SetPaused(bool aIsPaused)
{
  const base::Instant now = base::MonotonicNow();
  if (aIsPaused && !pausedAt_) {
    pausedAt_ = now;
  } else if (!aIsPaused && pausedAt_) {
    pausedSinceEvent_ += now - *pausedAt_;
    pausedAt_.reset();
  }
  SetStreaming(lastEventAt_ && !aIsPaused && isCountedInFlight_);
  if (connection_) {
    connection_->SetPaused(aIsPaused);
  }
}

void
EndpointAttempt::SetStreaming(bool aIsStreaming)
{
  if (std::exchange(isStreaming_, aIsStreaming) == aIsStreaming) {
    return;
  }
  if (aIsStreaming) {
    shared_.endpoints_.CountStreaming(endpoint_.Incarnation(),
                                      base::MonotonicNow());
  } else {
    shared_.endpoints_.CountNotStreaming(endpoint_.Incarnation());
  }
}

void
EndpointAttempt::EndCounting()
{
  SetStreaming(false);
  if (std::exchange(isCountedInFlight_, false)) {
    shared_.endpoints_.CountEnd(endpoint_.Incarnation(), workClass_);
  }
}

void
EndpointAttempt::OnHead(const httpstream::ResponseHead& aHead)
{
  RecordActivity(base::MonotonicNow());
  const ResponseInfo info = shared_.codec_.ReadResponseInfo(aHead);
  hasResponse_ = true;
  framing_ = connection_->Framing();
  isEventStream_ = httpstream::IsEventStream(aHead);
  wasNotRun_ = info.wasNotRun_;
  isServerError_ = !wasNotRun_ && aHead.result_int() >= kFirstServerError;
  isSuccess_ = boost::beast::http::to_status_class(aHead.result()) ==
               boost::beast::http::status_class::successful;
  if (info.load_) {
    shared_.endpoints_.RecordLoad(
      endpoint_.Incarnation(), *info.load_, base::MonotonicNow());
  }
  if (!info.responderId_.empty() && info.responderId_ != endpoint_.id_) {
    base::Log(kEndpointChanged,
              { { "endpoint", endpoint_.id_ },
                { "state", "replaced" },
                { "by", info.responderId_ } });
    shared_.endpoints_.RecordReplaced(endpoint_.Incarnation(),
                                      base::MonotonicNow());
  }
  if (observer_ != nullptr) {
    observer_->OnHead(aHead);
  }
}

void
EndpointAttempt::OnBody(std::string_view aBytes)
{
  const base::Instant now = base::MonotonicNow();
  RecordActivity(now);
  RecordEvent(now);
  ReportLaterProcess();
  SetStreaming(isEventStream_ && !pausedAt_);
  if (observer_ != nullptr) {
    observer_->OnBody(aBytes);
  }
}

void
EndpointAttempt::ReportLaterProcess()
{
  const auto later = shared_.endpoints_.LaterProcessOf(endpoint_.Incarnation());
  if (!later || std::exchange(isLaterProcessReported_, true)) {
    return;
  }
  base::Log(kLaterProcessRegistered,
            { { "endpoint", endpoint_.id_ },
              { "born_ms", endpoint_.startedAtMs_ },
              { "later_born_ms", *later },
              { "software", endpoint_.softwareVersion_ },
              { "ran_ms", base::ToMs(base::MonotonicNow() - startedAt_) },
              { "connection_age_ms", base::ToMs(connection_->Age()) } });
  shared_.metrics_
    .GetCounter("pumiceturn_responses_of_other_process_total",
                "Responses that went on after a later process was registered "
                "under their endpoint's id.")
    .Add();
}

void
EndpointAttempt::RecordActivity(base::Instant aNow)
{
  shared_.endpoints_.RecordActivity(endpoint_.Incarnation(), startedAt_, aNow);
  isSilent_ = false;
  if (std::exchange(isSilenceFailure_, false)) {
    shared_.endpoints_.RecordSuccess(endpoint_.Incarnation());
  }
}

httpstream::SilenceDecision
EndpointAttempt::OnSilence(const httpstream::Silence& aSilence)
{
  isSilent_ = true;
  if (!isSilenceFailure_) {
    isSilenceFailure_ = shared_.endpoints_.RecordSilence(
      endpoint_.Incarnation(), aSilence.duration_, base::MonotonicNow());
  }
  return observer_ != nullptr ? observer_->OnSilence(aSilence)
                              : httpstream::SilenceDecision::EndCall;
}

void
EndpointAttempt::RecordEvent(base::Instant aNow)
{
  if (!isEventStream_) {
    return;
  }
  // After a longer pause, the event probably arrived before reading resumed,
  // and the interval tells how slow its receiver is.
  if (lastEventAt_ && pausedSinceEvent_ * 2 <= aNow - *lastEventAt_) {
    shared_.endpoints_.RecordEventInterval(
      endpoint_.Incarnation(), aNow - *lastEventAt_, aNow);
  }
  lastEventAt_ = aNow;
  pausedSinceEvent_ = base::Duration::zero();
}

void
EndpointAttempt::RecordOutcome(httpstream::CallOutcome aOutcome)
{
  // Batch items that fail at every endpoint would be evidence against all of
  // them. A failed connection is avoided at once, without other evidence.
  const bool isComplete = aOutcome == httpstream::CallOutcome::Complete;
  const bool isExcusedSilence =
    aOutcome == httpstream::CallOutcome::TimedOut && !isSilenceFailure_;
  if (workClass_ != fleet::WorkClass::Online ||
      aOutcome == httpstream::CallOutcome::NotConnected ||
      aOutcome == httpstream::CallOutcome::Unconfirmed || isExcusedSilence ||
      (isComplete && wasNotRun_)) {
    return;
  }
  shared_.endpoints_.Outliers().RecordOutcome(endpoint_.Incarnation(),
                                              !isComplete || isServerError_,
                                              base::MonotonicNow());
}

void
EndpointAttempt::OnEnd(httpstream::CallOutcome aOutcome)
{
  const auto self = shared_from_this();
  if (connection_) {
    connectionAge_ = connection_->Age();
  }
  shared_.pool_.Release(endpoint_.id_, std::exchange(connection_, nullptr));
  EndCounting();
  ranFor_ = base::BootNow() - sentAt_;
  const bool isDoubtful =
    aOutcome == httpstream::CallOutcome::Complete && !IsWholeByHead();
  if (isDoubtful && isSuccess_ && fleet::MayHavePassed(timeLimit_, ranFor_)) {
    base::Log(kResponseEndedAtLimit,
              { { "endpoint", endpoint_.id_ },
                { "limit_ms", base::ToMs(timeLimit_) },
                { "ran_ms", base::ToMs(ranFor_) } });
    End(httpstream::CallOutcome::Unconfirmed);
  } else if (isDoubtful &&
             framing_ == httpstream::ResponseFraming::ConnectionEnd) {
    endedAt_ = base::MonotonicNow();
    CheckUnmarkedEnd();
  } else {
    End(aOutcome);
  }
}

void
EndpointAttempt::End(httpstream::CallOutcome aOutcome)
{
  probe_.reset();
  auto* observer = std::exchange(observer_, nullptr);
  RecordOutcome(aOutcome);
  const bool isComplete = aOutcome == httpstream::CallOutcome::Complete;
  const bool isIgnored =
    isServerError_ && shared_.endpoints_.Outliers().IsEnabled();
  if (isComplete && !isIgnored) {
    shared_.endpoints_.RecordSuccess(endpoint_.Incarnation());
  } else if (!isComplete && aOutcome != httpstream::CallOutcome::TimedOut &&
             aOutcome != httpstream::CallOutcome::Unconfirmed) {
    // A silence was recorded when it was noticed.
    shared_.endpoints_.RecordFailure(endpoint_.Incarnation(),
                                     base::MonotonicNow());
  }
  if (observer != nullptr) {
    observer->OnEnd(aOutcome);
  }
}

} // namespace pumiceturn::gateway
