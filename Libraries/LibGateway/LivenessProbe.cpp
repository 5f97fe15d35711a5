#include "LibGateway/LivenessProbe.h"

#include "LibGateway/EndpointAddress.h"

#include <utility>

namespace pumiceturn::gateway {

using fleet::EndpointCheck;

LivenessProbe::LivenessProbe(const boost::asio::any_io_executor& aExecutor,
                             const Codec& aCodec)
  : executor_(aExecutor)
  , codec_(aCodec)
  , connection_(std::make_shared<httpstream::ClientConnection>(aExecutor))
  , holdTimer_(aExecutor)
{
}

LivenessProbe::~LivenessProbe()
{
  connection_->Cancel();
}

void
LivenessProbe::Start(LivenessQuestion aQuestion, ResultHandler aHandler)
{
  question_ = std::move(aQuestion);
  handler_ = std::move(aHandler);
  GoOnWith(FirstStep());
}

LivenessProbe::Step
LivenessProbe::FirstStep() const
{
  if (question_.startedAtMs_ > 0) {
    return Step::Report;
  }
  if (!question_.mustNameItself_) {
    return Step::Watch;
  }
  return question_.healthPath_.empty() ? Step::Report : Step::Health;
}

void
LivenessProbe::GoOnWith(Step aStep)
{
  step_ = aStep;
  const auto address = ParseAddress(question_.address_);
  if (!address) {
    End(EndpointCheck::Unreachable);
    return;
  }
  connection_->Cancel();
  connection_ = std::make_shared<httpstream::ClientConnection>(executor_);
  connection_->Connect(*address,
                       question_.connectTimeout_,
                       [weak = weak_from_this()](bool aIsConnected) {
                         if (const auto self = weak.lock()) {
                           self->OnConnected(aIsConnected);
                         }
                       });
}

void
LivenessProbe::Cancel()
{
  handler_ = nullptr;
  holdTimer_.cancel();
  connection_->Cancel();
}

void
LivenessProbe::OnConnected(bool aIsConnected)
{
  if (!aIsConnected) {
    End(connection_->WasRefused() ? EndpointCheck::Refused
                                  : EndpointCheck::Unreachable);
    return;
  }
  switch (step_) {
    case Step::Report:
      AskForReport();
      break;
    case Step::Health:
      AskForHealth();
      break;
    case Step::Watch:
      Watch();
  }
}

void
LivenessProbe::AskForReport()
{
  processQuery_ = std::make_unique<ProcessQuery>(
    codec_,
    [](const httpstream::Silence& /*aSilence*/) {
      return httpstream::SilenceDecision::EndCall;
    },
    [this](const ProcessAnswer& aAnswer) { OnReport(aAnswer); });
  answer_.isReport_ = true;
  processQuery_->Start(
    *connection_, question_.endpoint_, question_.address_, question_.holdTime_);
}

void
LivenessProbe::OnReport(const ProcessAnswer& aAnswer)
{
  struct Visitor
  {
    LivenessProbe& probe_;

    void operator()(const ProcessStart& aStart) const
    {
      const std::int64_t expected = probe_.question_.startedAtMs_;
      if (expected == 0) {
        // The id may be that of several processes.
        probe_.End(EndpointCheck::Unnamed);
        return;
      }
      probe_.End(aStart.startedAtMs_ == expected ? EndpointCheck::SameProcess
                                                 : EndpointCheck::OtherProcess);
    }
    void operator()(const OtherInstanceAnswered& /*aNone*/) const
    {
      probe_.End(EndpointCheck::OtherProcess);
    }
    void operator()(const ProcessStartNotTold& aAnswer) const
    {
      probe_.OnReportWithoutStart(aAnswer);
    }
    void operator()(const ProcessQueryFailed& aFailure) const
    {
      probe_.OnEnd(aFailure.outcome_);
    }
  };
  const auto self = shared_from_this();
  std::visit(Visitor{ *this }, aAnswer);
}

void
LivenessProbe::OnReportWithoutStart(const ProcessStartNotTold& aAnswer)
{
  if (!question_.mustNameItself_) {
    GoOnWith(Step::Watch);
    return;
  }
  // The request names the endpoint, and other ones reject it.
  const bool isOfEndpoint = aAnswer.hasReport_ && question_.startedAtMs_ == 0;
  End(isOfEndpoint ? EndpointCheck::SameProcess : EndpointCheck::Unnamed);
}

void
LivenessProbe::AskForHealth()
{
  httpstream::Call call;
  call.bytes_ = httpstream::Serialize(codec_.MakeHealthRequest(
    question_.healthPath_, question_.endpoint_, question_.address_));
  // A process that is full holds the question back; its report needs no slot.
  question_.holdTime_ /= 2;
  call.firstByteTimeout_ = question_.holdTime_;
  call.gapTimeout_ = question_.holdTime_;
  connection_->Start(std::move(call), *this);
}

void
LivenessProbe::Watch()
{
  holdTimer_.expires_after(question_.holdTime_);
  holdTimer_.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->End(self->connection_->IsIdleAndOpen() ? EndpointCheck::Open
                                                     : EndpointCheck::Closed);
      }
    });
}

void
LivenessProbe::OnHead(const httpstream::ResponseHead& aHead)
{
  const auto self = shared_from_this();
  const ResponseInfo info = codec_.ReadResponseInfo(aHead);
  answer_.status_ = aHead.result_int();
  answer_.answeredBy_ = info.responderId_;
  if (info.responderId_ == question_.endpoint_) {
    End(EndpointCheck::SameProcess);
  } else if (!info.responderId_.empty() || info.isMisdirected_) {
    End(EndpointCheck::OtherProcess);
  } else {
    // A process that is full rejects the question like any request.
    GoOnWith(Step::Report);
  }
}

void
LivenessProbe::OnBody(std::string_view /*aBytes*/)
{
}

void
LivenessProbe::OnEnd(httpstream::CallOutcome aOutcome)
{
  switch (aOutcome) {
    case httpstream::CallOutcome::TimedOut:
      if (step_ == Step::Health) {
        GoOnWith(Step::Report);
      } else {
        End(EndpointCheck::Silent);
      }
      break;
    case httpstream::CallOutcome::Malformed:
      End(EndpointCheck::Unnamed);
      break;
    default:
      End(EndpointCheck::Closed);
  }
}

void
LivenessProbe::End(EndpointCheck aResult)
{
  connection_->Cancel();
  answer_.check_ = aResult;
  if (const auto handler = std::exchange(handler_, nullptr)) {
    handler(answer_);
  }
}

} // namespace pumiceturn::gateway
