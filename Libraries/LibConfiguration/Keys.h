#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Where a configuration is kept in the platform's key-value service.
namespace pumiceturn::configuration::keys {

/// The one key that is swapped to change the configuration.
inline std::string
Head(std::string_view aPrefix)
{
  return fmt::format("{}configuration/head", aPrefix);
}

/// An immutable part, named by its content.
inline std::string
Part(std::string_view aPrefix, std::uint64_t aDigest)
{
  return fmt::format("{}configuration/part/{:016x}", aPrefix, aDigest);
}

inline std::string
AllParts(std::string_view aPrefix)
{
  return fmt::format("{}configuration/part/", aPrefix);
}

/// The head as it was at a version. Padded, so that keys sort by version.
inline std::string
History(std::string_view aPrefix, std::uint64_t aVersion)
{
  return fmt::format("{}configuration/history/{:020}", aPrefix, aVersion);
}

inline std::string
AllHistory(std::string_view aPrefix)
{
  return fmt::format("{}configuration/history/", aPrefix);
}

} // namespace pumiceturn::configuration::keys
