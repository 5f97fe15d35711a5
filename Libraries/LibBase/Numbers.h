#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace pumiceturn::base {

/// @return the whole text as a decimal number, nothing where it is none or
/// doesn't fit.
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace pumiceturn::base
