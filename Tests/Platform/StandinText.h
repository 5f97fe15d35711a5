#pragma once

#include "platform/Standin/ServerStandin.h"

#include <fmt/format.h>

#include <string>

namespace pumiceturn::adapter {

/// @return the complete event stream that a caller gets from a ServerStandin.
inline std::string
WholeStream()
{
  std::string text;
  for (std::uint64_t id = 1; id <= ServerStandin::kEventCount; ++id) {
    text +=
      fmt::format("id: {}\ndata: {}\n\n", id, ServerStandin::EventData(id));
  }
  return text;
}

/// @return the complete output of an item that ran at a ServerStandin.
inline std::string
WholeOutput()
{
  std::string text;
  for (std::uint64_t id = 1; id <= ServerStandin::kEventCount; ++id) {
    text += (id > 1 ? "\n" : "") + ServerStandin::EventData(id);
  }
  return text;
}

} // namespace pumiceturn::adapter
