#pragma once

#include "platform/Standin/ServerStandin.h"

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace pumiceturn::adapter {

/// @return the complete event stream that a caller gets from a ServerStandin,
///         or the rest of it after an event.
inline std::string
WholeStream(std::string_view aVersion = ServerStandin::kDefaultVersion,
            std::uint64_t aAfterEvent = 0)
{
  std::string text;
  for (std::uint64_t id = aAfterEvent + 1; id <= ServerStandin::kEventCount;
       ++id) {
    text += fmt::format(
      "id: {}\ndata: {}\n\n", id, ServerStandin::EventData(id, aVersion));
  }
  return text;
}

/// @return the complete output of an item that ran at a ServerStandin.
inline std::string
WholeOutput(std::string_view aVersion = ServerStandin::kDefaultVersion)
{
  std::string text;
  for (std::uint64_t id = 1; id <= ServerStandin::kEventCount; ++id) {
    text += (id > 1 ? "\n" : "") + ServerStandin::EventData(id, aVersion);
  }
  return text;
}

} // namespace pumiceturn::adapter
