#pragma once

#include <cstdint>

namespace pumiceturn::joblog {

/// Where a record's payload lies in this host's data folder.
struct LogPosition
{
  std::uint32_t segment_ = 0;
  std::uint32_t length_ = 0;
  std::uint64_t offset_ = 0;

  bool operator==(const LogPosition&) const = default;
};

} // namespace pumiceturn::joblog
