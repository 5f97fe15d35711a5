#include "LibGateway/EndpointAddress.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace pumiceturn::gateway {

std::optional<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address =
    boost::asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace pumiceturn::gateway
