#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>

namespace pumiceturn::httpstream {

/// Who opened a connection.
enum class Initiator : std::uint8_t
{
  ThisHost,
  Peer, ///< May take what it is sent as slowly as it likes.
};

/// Disables Nagle's algorithm, and sets TCP_USER_TIMEOUT and keep-alive
/// probes. Without these a connection to an unreachable host hangs for minutes.
void
TuneSocket(boost::asio::ip::tcp::socket& aSocket, Initiator aInitiator);

/// Closes the socket and ignores errors. Does nothing if it is already closed.
void
CloseSocket(boost::asio::ip::tcp::socket& aSocket);

/// Sets whether closing the socket resets the connection and discards unsent
/// bytes; this holds also if the process is killed.
void
SetResetsOnClose(boost::asio::ip::tcp::socket& aSocket, bool aResets);

/// @return the number of bytes received that haven't been read; 0 if the socket
///         is closed.
[[nodiscard]] std::size_t
CountUnreadBytes(const boost::asio::ip::tcp::socket& aSocket);

/// @return the number of bytes written that the peer's kernel hasn't
///         acknowledged; 0 if the socket is closed.
[[nodiscard]] std::size_t
CountUnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket);

} // namespace pumiceturn::httpstream
