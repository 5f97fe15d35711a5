#pragma once

#include <string>
#include <string_view>

namespace pumiceturn::settings {

/// @return the lines that differ, with "- " before those removed and "+ "
/// before those added, and two lines around each change; empty when both are
/// the same.
std::string
DiffLines(std::string_view aBefore, std::string_view aAfter);

} // namespace pumiceturn::settings
