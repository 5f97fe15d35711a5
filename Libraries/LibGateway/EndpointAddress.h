#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace pumiceturn::gateway {

/// @return the address in "IP:PORT", or std::nullopt if the text isn't one.
std::optional<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

} // namespace pumiceturn::gateway
