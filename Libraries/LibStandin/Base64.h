#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::standin {

/// @return the bytes in standard base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

/// @return the bytes, or nothing if the text is no padded base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace pumiceturn::standin
