#pragma once

#include "LibBase/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::account {

/// A line that base::Log() wrote in the format LogFormat::KeyValue.
struct LogLine
{
  struct Field
  {
    std::string_view key_; ///< Points into the parsed text.
    std::string value_;
  };

  std::chrono::sys_seconds at_; ///< UTC, without the fraction.
  std::uint16_t event_ = 0;
  std::vector<Field> fields_; ///< In the order of the line.

  /// @return the value of a field, nullptr if the line has no such field.
  [[nodiscard]] const std::string* Find(std::string_view aKey) const;
};

/// Parses a line without its line end. The result points into the text.
/// @return MalformedMessage if the line has no time, no event or a field that
/// isn't key=value.
base::Result<LogLine>
ParseLogLine(std::string_view aText);

} // namespace pumiceturn::account
