#include "LibGateway/LivenessProbe.h"

#include "LibGateway/EndpointAddress.h"

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// How long the connection is watched. The kernel of a process that ends closes
/// its connections one after the other, and the listening socket may be the
/// last; on a busy machine that takes tens of milliseconds.
constexpr std::chrono::milliseconds kHoldTime{ 100 };

} // namespace

LivenessProbe::LivenessProbe(const boost::asio::any_io_executor& aExecutor)
  : connection_(std::make_shared<httpstream::ClientConnection>(aExecutor))
  , holdTimer_(aExecutor)
{
}

void
LivenessProbe::Start(const std::string& aAddress,
                     base::Duration aTimeout,
                     ResultHandler aHandler)
{
  handler_ = std::move(aHandler);
  const auto address = ParseAddress(aAddress);
  if (!address) {
    End(false);
    return;
  }
  connection_->Connect(
    *address, aTimeout, [self = shared_from_this()](bool aIsConnected) {
      self->OnConnected(aIsConnected);
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
    End(false);
    return;
  }
  holdTimer_.expires_after(kHoldTime);
  holdTimer_.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->End(self->connection_->IsIdleAndOpen());
      }
    });
}

void
LivenessProbe::End(bool aIsAlive)
{
  connection_->Cancel();
  if (const auto handler = std::exchange(handler_, nullptr)) {
    handler(aIsAlive);
  }
}

} // namespace pumiceturn::gateway
