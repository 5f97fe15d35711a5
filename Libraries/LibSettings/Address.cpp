#include "LibSettings/Address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace pumiceturn::settings {

namespace {

bool
IsIpNumber(const std::string& aText, int aFamily)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(aFamily, aText.c_str(), bytes.data()) == 1;
}

} // namespace

std::optional<Address>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view portText = aText.substr(colon + 1);
  Address address;
  const char* end = portText.data() + portText.size();
  const auto [stop, error] =
    std::from_chars(portText.data(), end, address.port_);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  std::string_view ip = aText.substr(0, colon);
  const bool isBracketed =
    ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (isBracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  address.ip_ = ip;
  if (!IsIpNumber(address.ip_, isBracketed ? AF_INET6 : AF_INET)) {
    return std::nullopt;
  }
  return address;
}

} // namespace pumiceturn::settings
