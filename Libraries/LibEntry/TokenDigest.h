#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// @return lower-case hexadecimal SHA-256 of an access token, as declared.
std::string
DigestToken(std::string_view aToken);

/// @return the hash that names a request's content in the quarantine table;
/// never 0.
std::uint64_t
MakeFingerprint(std::string_view aService, std::string_view aPayload);

} // namespace pumiceturn::entry
