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
  Connect();
}

void
LivenessProbe::Connect()
{
  const auto address = ParseAddress(question_.address_);
  if (!address) {
    End(EndpointCheck::Unreachable);
    return;
  }
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
    End(EndpointCheck::Unreachable);
  } else if (question_.startedAtMs_ > 0) {
    AskForProcess();
  } else if (question_.healthRequest_.empty()) {
    Watch();
  } else {
    AskForHealth();
  }
}

void
LivenessProbe::AskForProcess()
{
  processQuery_ = std::make_unique<ProcessQuery>(
    codec_,
    [](const httpstream::Silence& /*aSilence*/) {
      return httpstream::SilenceDecision::EndCall;
    },
    [this](const ProcessAnswer& aAnswer) { OnProcessAnswer(aAnswer); });
  processQuery_->Start(*connection_, question_.address_, question_.holdTime_);
}

void
LivenessProbe::OnProcessAnswer(const ProcessAnswer& aAnswer)
{
  struct Visitor
  {
    LivenessProbe& probe_;

    void operator()(const ProcessStart& aStart) const
    {
      probe_.End(aStart.startedAtMs_ == probe_.question_.startedAtMs_
                   ? EndpointCheck::SameProcess
                   : EndpointCheck::OtherProcess);
    }
    void operator()(const ProcessStartNotTold& /*aNone*/) const
    {
      probe_.question_.startedAtMs_ = 0;
      probe_.connection_->Cancel();
      probe_.connection_ =
        std::make_shared<httpstream::ClientConnection>(probe_.executor_);
      probe_.Connect();
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
LivenessProbe::AskForHealth()
{
  httpstream::Call call;
  call.bytes_ = question_.healthRequest_;
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
        self->End(self->connection_->IsIdleAndOpen()
                    ? EndpointCheck::Open
                    : EndpointCheck::Unreachable);
      }
    });
}

void
LivenessProbe::OnHead(const httpstream::ResponseHead& aHead)
{
  End(question_.isFromEndpoint_(aHead) ? EndpointCheck::Answered
                                       : EndpointCheck::Unreachable);
}

void
LivenessProbe::OnBody(std::string_view /*aBytes*/)
{
}

void
LivenessProbe::OnEnd(httpstream::CallOutcome aOutcome)
{
  End(aOutcome == httpstream::CallOutcome::TimedOut
        ? EndpointCheck::Open
        : EndpointCheck::Unreachable);
}

void
LivenessProbe::End(EndpointCheck aResult)
{
  connection_->Cancel();
  if (const auto handler = std::exchange(handler_, nullptr)) {
    handler(aResult);
  }
}

} // namespace pumiceturn::gateway
