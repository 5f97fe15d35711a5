#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace pumiceturn::adapter {

/// @return the value of a field of a request's head; empty if it isn't there.
inline std::string
FieldOf(std::string_view aHead, std::string_view aName)
{
  const std::string start = fmt::format("\r\n{}: ", aName);
  const auto begin = aHead.find(start);
  if (begin == std::string_view::npos) {
    return {};
  }
  const auto value = aHead.substr(begin + start.size());
  return std::string(value.substr(0, value.find("\r\n")));
}

/// Resets a connection.
inline void
Reset(boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace pumiceturn::adapter
