#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace pumiceturn::gateway {

/// @return the address of "IP:PORT", or nothing where the text is none.
std::optional<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

} // namespace pumiceturn::gateway
