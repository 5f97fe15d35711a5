#include "Tests/PlatformSoak/FaultProxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace pumiceturn::adapter {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Interval at which a blocked direction checks whether it may continue.
constexpr std::chrono::milliseconds kPollInterval{ 10 };

constexpr std::size_t kBufferBytes = 16384;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void>
Wait(asio::any_io_executor aExecutor, std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(aExecutor, aTime);
  co_await timer.async_wait(kNoThrow);
}

void
Close(tcp::socket& aSocket, bool aIsReset)
{
  boost::system::error_code ignored;
  if (aIsReset) {
    aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  aSocket.close(ignored);
}

} // namespace

std::chrono::milliseconds
FaultProxy::Fault::DrawDelay()
{
  std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(
    0, maxJitter_.count());
  return delay_ + std::chrono::milliseconds(jitter(random_));
}

FaultProxy::FaultProxy(asio::io_context& aContext, const tcp::endpoint& aTarget)
  : context_(aContext)
  , acceptor_(aContext, { asio::ip::address_v4::loopback(), 0 })
  , target_(aTarget)
{
  asio::co_spawn(aContext, Accept(), asio::detached);
}

void
FaultProxy::BlockOpenConnections()
{
  for (const auto& entry : connections_) {
    if (const auto connection = entry.lock()) {
      connection->isBlocked_ = true;
    }
  }
}

void
FaultProxy::ResetConnections()
{
  for (const auto& entry : std::exchange(connections_, {})) {
    if (const auto connection = entry.lock()) {
      Close(connection->caller_, true);
      Close(connection->target_, true);
    }
  }
}

asio::awaitable<void>
FaultProxy::Accept()
{
  while (true) {
    auto [error, socket] = co_await acceptor_.async_accept(kNoThrow);
    if (error) {
      co_return;
    }
    std::erase_if(connections_,
                  [](const auto& aEntry) { return aEntry.expired(); });
    auto connection = std::make_shared<Connection>(std::move(socket), context_);
    connections_.push_back(connection);
    Relay(connection);
  }
}

void
FaultProxy::Relay(const ConnectionPtr& aConnection)
{
  aConnection->target_.async_connect(
    target_, [this, aConnection](const boost::system::error_code& aError) {
      if (aError) {
        Close(aConnection->caller_, true);
        return;
      }
      for (const Direction direction :
           { Direction::Forward, Direction::Back }) {
        asio::co_spawn(
          context_, Pump(aConnection, fault_, direction), asio::detached);
      }
    });
}

asio::awaitable<void>
FaultProxy::Pump(ConnectionPtr aConnection,
                 FaultPtr aFault,
                 Direction aDirection)
{
  const bool isForward = aDirection == Direction::Forward;
  tcp::socket& from = isForward ? aConnection->caller_ : aConnection->target_;
  tcp::socket& to = isForward ? aConnection->target_ : aConnection->caller_;
  std::array<char, kBufferBytes> data{};
  while (true) {
    auto [error, bytes] =
      co_await from.async_read_some(asio::buffer(data), kNoThrow);
    if (const auto delay = aFault->DrawDelay(); delay.count() > 0) {
      co_await Wait(from.get_executor(), delay);
    }
    while (from.is_open() &&
           (aConnection->isBlocked_ ||
            (isForward ? aFault->isForwardBlocked_ : aFault->isBackBlocked_))) {
      co_await Wait(from.get_executor(), kPollInterval);
    }
    if (error) {
      Close(to, error != asio::error::eof);
      Close(from, false);
      co_return;
    }
    auto [failure, written] =
      co_await asio::async_write(to, asio::buffer(data, bytes), kNoThrow);
    if (failure) {
      Close(from, true);
      co_return;
    }
  }
}

} // namespace pumiceturn::adapter
