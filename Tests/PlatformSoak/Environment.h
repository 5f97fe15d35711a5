#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace pumiceturn::adapter {

/// @return the number in an environment variable, or a default.
inline std::uint64_t
ReadNumber(const char* aVariable, std::uint64_t aDefault)
{
  // NOLINTNEXTLINE(concurrency-mt-unsafe): there is one thread.
  const char* text = std::getenv(aVariable);
  return text != nullptr ? std::stoull(text) : aDefault;
}

} // namespace pumiceturn::adapter
