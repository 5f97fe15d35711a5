#pragma once

#include <chrono>
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

/// What the environment selects of a soak.
struct SoakRun
{
  std::uint64_t seed_ = 1;
  std::chrono::seconds time_{ 0 };
};

/// @param aUsualSeconds Length if the environment doesn't set it.
inline SoakRun
ReadSoakRun(std::uint64_t aUsualSeconds)
{
  return { ReadNumber("PUMICETURN_SOAK_SEED", 1),
           std::chrono::seconds(
             ReadNumber("PUMICETURN_SOAK_SECONDS", aUsualSeconds)) };
}

} // namespace pumiceturn::adapter
