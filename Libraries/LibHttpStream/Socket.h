#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace pumiceturn::httpstream {

/// Sends small writes at once, and lets the kernel give up on a peer that does
/// not acknowledge: behind a partition a connection hangs for minutes without.
void
TuneSocket(boost::asio::ip::tcp::socket& aSocket);

/// Closes without an error for the caller to handle; a socket that is already
/// gone has nothing left to close.
void
CloseSocket(boost::asio::ip::tcp::socket& aSocket);

} // namespace pumiceturn::httpstream
