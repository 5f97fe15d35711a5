#include "LibGateway/LivenessProbe.h"

#include "LibGateway/EndpointAddress.h"

#include <utility>

namespace pumiceturn::gateway {

using fleet::EndpointCheck;

LivenessProbe::LivenessProbe(const boost::asio::any_io_executor& aExecutor)
  : connection_(std::make_shared<httpstream::ClientConnection>(aExecutor))
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
  } else if (question_.healthRequest_.empty()) {
    Watch();
  } else {
    httpstream::Call call;
    call.bytes_ = question_.healthRequest_;
    call.firstByteTimeout_ = question_.holdTime_;
    call.gapTimeout_ = question_.holdTime_;
    connection_->Start(std::move(call), *this);
  }
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
