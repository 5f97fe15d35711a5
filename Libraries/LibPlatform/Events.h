#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::platform {

inline constexpr base::Event kCallFailed{
  4001,
  "platform_call_failed",
  base::LogLevel::Warning,
  "A call to the platform's key-value service failed."
};
inline constexpr base::Event kOutcomeUnknown{
  4002,
  "platform_outcome_unknown",
  base::LogLevel::Warning,
  "A write's answer was lost; it may have taken effect."
};
inline constexpr base::Event kWatchLost{
  4003,
  "platform_watch_lost",
  base::LogLevel::Info,
  "A watch ended and is armed again after a wait."
};
inline constexpr base::Event kWatchBroken{
  4004,
  "platform_watch_broken",
  base::LogLevel::Warning,
  "A watch may have missed changes; its prefix is read again."
};
inline constexpr base::Event kHostListChanged{ 4005,
                                               "host_list_changed",
                                               base::LogLevel::Info,
                                               "A new host list is in use." };
inline constexpr base::Event kHostListUnreadable{
  4006,
  "host_list_unreadable",
  base::LogLevel::Warning,
  "The host list could not be read; the last good one stays in use."
};

} // namespace pumiceturn::platform
