#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::base {

/// @return the bytes in base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

/// @return the bytes, or nothing where the text is not base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace pumiceturn::base
