#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace pumiceturn::gateway {

/// Parses an address of the form IP:PORT.
/// @return std::nullopt if it is malformed.
std::optional<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

} // namespace pumiceturn::gateway
