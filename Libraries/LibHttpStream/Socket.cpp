#include "LibHttpStream/Socket.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pumiceturn::httpstream {

namespace {

/// Longer than one TCP retransmission (about 1 s), shorter than the 3 s after
/// which the platform regards a host as out of contact.
constexpr unsigned kUserTimeoutMs = 2500;

/// The first probe of an idle connection follows after 2 s. The user timeout,
/// if there is one, applies to unanswered probes as well, so that an
/// unreachable host is detected within 3 to 4 s.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

} // namespace

void
TuneSocket(boost::asio::ip::tcp::socket& aSocket, Initiator aInitiator)
{
  boost::system::error_code ignored;
  // Errors are ignored: without an option the socket still works and only
  // detects a lost peer later.
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int handle = aSocket.native_handle();
  const auto set = [handle](int aLevel, int aName, int aValue) {
    (void)::setsockopt(handle, aLevel, aName, &aValue, sizeof(aValue));
  };
  // The kernel applies it also to a peer that is there but takes nothing for a
  // while. How long it may do so is a matter of the connection's own timeouts.
  if (aInitiator == Initiator::ThisHost) {
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUserTimeoutMs));
  }
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

void
SetResetsOnClose(boost::asio::ip::tcp::socket& aSocket, bool aResets)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger(aResets, 0), ignored);
}

std::size_t
CountUnreadBytes(const boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code error;
  const std::size_t bytes = aSocket.available(error);
  return error ? 0 : bytes;
}

std::size_t
CountUnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int bytes = 0;
  if (!aSocket.is_open() ||
      ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<std::size_t>(bytes);
}

} // namespace pumiceturn::httpstream
