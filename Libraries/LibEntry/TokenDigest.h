#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// @return lower-case hexadecimal SHA-256 of an access token, as declared.
std::string
DigestToken(std::string_view aToken);

} // namespace pumiceturn::entry
