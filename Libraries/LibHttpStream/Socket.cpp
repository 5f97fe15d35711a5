#include "LibHttpStream/Socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pumiceturn::httpstream {

namespace {

/// Unacknowledged bytes for this long mean that the path is gone. Longer than
/// one retransmission (about 1 s), shorter than the users' 3 s contact bound.
constexpr unsigned kUserTimeoutMs = 2500;

/// Keep-alive probes notice a connection that went silent while it was idle.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

} // namespace

void
TuneSocket(boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  // A socket that refuses an option still works; it only notices losses later.
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int handle = aSocket.native_handle();
  const auto set = [handle](int aLevel, int aName, int aValue) {
    (void)::setsockopt(handle, aLevel, aName, &aValue, sizeof(aValue));
  };
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUserTimeoutMs));
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void
CloseSocket(boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.close(ignored);
}

} // namespace pumiceturn::httpstream
