#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace pumiceturn::httpstream {

/// Disables Nagle's algorithm, and sets TCP_USER_TIMEOUT and keep-alive
/// probes. Without these a connection to an unreachable host hangs for minutes.
void
TuneSocket(boost::asio::ip::tcp::socket& aSocket);

/// Closes the socket and ignores errors. Does nothing if it is already closed.
void
CloseSocket(boost::asio::ip::tcp::socket& aSocket);

} // namespace pumiceturn::httpstream
