#include "LibHttpStream/Listener.h"

#include "LibHttpStream/Socket.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace pumiceturn::httpstream {

namespace asio = boost::asio;

namespace {

/// Must be well below the shortest timeout of ServerLimits.
constexpr std::chrono::milliseconds kTimeoutCheckInterval{ 500 };

/// Delay before retrying a failed accept(), e.g. while file descriptors are
/// exhausted.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

constexpr int kBacklog = 1024;

} // namespace

Listener::Listener(asio::io_context& aContext, Handler aHandler)
  : acceptor_(aContext)
  , timeoutTimer_(aContext)
  , handler_(std::move(aHandler))
{
}

Listener::~Listener()
{
  // Pending handlers keep the connections alive for longer.
  for (const auto& connection : connections_) {
    connection->Detach();
  }
}

boost::system::error_code
Listener::Open(const asio::ip::tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  acceptor_.open(aEndpoint.protocol(), error);
  if (error) {
    return error;
  }
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (acceptor_.bind(aEndpoint, error); error) {
    return error;
  }
  if (acceptor_.listen(kBacklog, error); error) {
    return error;
  }
  Accept();
  ScheduleTimeoutCheck();
  return {};
}

void
Listener::Accept()
{
  acceptor_.async_accept([this](const boost::system::error_code& aError,
                                asio::ip::tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (!aError) {
      auto connection =
        std::make_shared<ServerConnection>(std::move(aSocket), *this);
      connections_.insert(connection);
      connection->Start();
      Accept();
      return;
    }
    auto retryTimer = std::make_shared<asio::steady_timer>(
      acceptor_.get_executor(), kAcceptRetryDelay);
    retryTimer->async_wait(
      [this, retryTimer](const boost::system::error_code&) { Accept(); });
  });
}

void
Listener::ScheduleTimeoutCheck()
{
  timeoutTimer_.expires_after(kTimeoutCheckInterval);
  timeoutTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    const base::Instant now = base::MonotonicNow();
    const std::vector<std::shared_ptr<ServerConnection>> connections(
      connections_.begin(), connections_.end());
    for (const auto& connection : connections) {
      connection->CheckTimeouts(now);
    }
    lingering_.CloseExpired(now);
    ScheduleTimeoutCheck();
  });
}

void
Listener::CloseIdle()
{
  const std::vector<std::shared_ptr<ServerConnection>> connections(
    connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    connection->CloseIfIdle();
  }
}

void
Listener::Close()
{
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  timeoutTimer_.cancel();
}

std::size_t
Listener::BusyCount() const
{
  return static_cast<std::size_t>(std::count_if(
    connections_.begin(), connections_.end(), [](const auto& aConnection) {
      return !aConnection->IsIdle();
    }));
}

std::size_t
Listener::UnsentBytes() const
{
  return std::accumulate(connections_.begin(),
                         connections_.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aConnection) {
                           return aSum + aConnection->UnsentBytes();
                         });
}

std::uint16_t
Listener::Port() const
{
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void
Listener::OnRequest(std::shared_ptr<Exchange> aExchange)
{
  handler_(std::move(aExchange));
}

void
Listener::OnClosed(ServerConnection& aConnection, const ConnectionEnd& aEnd)
{
  connections_.erase(aConnection.shared_from_this());
  if (endHandler_) {
    endHandler_(aEnd);
  }
}

void
Listener::Linger(asio::ip::tcp::socket aSocket)
{
  lingering_.Add(std::move(aSocket), base::MonotonicNow());
}

} // namespace pumiceturn::httpstream
