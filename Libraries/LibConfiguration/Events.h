#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::configuration {

inline constexpr base::Event kInstalled{
  4101,
  "configuration_installed",
  base::LogLevel::Info,
  "A configuration is in force in this process."
};

inline constexpr base::Event kWriteAccepted{
  4102,
  "configuration_write_accepted",
  base::LogLevel::Info,
  "A change of the configuration is in force."
};
inline constexpr base::Event kWriteRefused{
  4103,
  "configuration_write_refused",
  base::LogLevel::Info,
  "Another change came first; this one is not in force and never will be."
};
inline constexpr base::Event kWriteUnsettled{
  4104,
  "configuration_write_unsettled",
  base::LogLevel::Warning,
  "The key-value service did not say what became of a change."
};
inline constexpr base::Event kFetchDecided{
  4105,
  "configuration_fetch_decided",
  base::LogLevel::Info,
  "A higher version is fetched from the source given."
};
inline constexpr base::Event kFetchFailed{
  4106,
  "configuration_fetch_failed",
  base::LogLevel::Warning,
  "A source gave nothing new; another one is tried."
};
inline constexpr base::Event kPlatformBehind{
  4107,
  "configuration_platform_behind",
  base::LogLevel::Error,
  "The key-value service holds a lower version than this process, which keeps "
  "its own."
};

inline constexpr base::Event kCollectionFailed{
  4108,
  "configuration_collection_failed",
  base::LogLevel::Warning,
  "Old versions and parts could not be deleted; it is tried again later."
};

} // namespace pumiceturn::configuration
