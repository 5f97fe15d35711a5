#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::settings {

/// An address by IP number. Host names are not resolved anywhere.
struct Address
{
  std::string ip_; ///< Without the brackets of an IPv6 number.
  std::uint16_t port_ = 0;
};

/// @param aText `127.0.0.1:7101` or `[::1]:7101`.
/// @return nothing when the text is no IP number with a port.
std::optional<Address>
ParseAddress(std::string_view aText);

} // namespace pumiceturn::settings
