#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace pumiceturn::httpstream {

/// Disables Nagle's algorithm, and sets the kernel's user timeout and
/// keep-alive probes. Without these a connection to a partitioned peer hangs
/// for minutes.
void
TuneSocket(boost::asio::ip::tcp::socket& aSocket);

/// Closes the socket and ignores errors. Does nothing if it is already closed.
void
CloseSocket(boost::asio::ip::tcp::socket& aSocket);

} // namespace pumiceturn::httpstream
