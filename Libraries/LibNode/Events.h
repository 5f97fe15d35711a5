#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::node {

inline constexpr base::Event kProcessStarted{
  1001,
  "process_started",
  base::LogLevel::Info,
  "The process serves its functions."
};
inline constexpr base::Event kProcessDraining{
  1002,
  "process_draining",
  base::LogLevel::Info,
  "A shutdown was asked for: new work is refused, running work finishes."
};
inline constexpr base::Event kProcessStopped{ 1003,
                                              "process_stopped",
                                              base::LogLevel::Info,
                                              "The process ends." };
inline constexpr base::Event kGraceSpent{
  1004,
  "grace_spent",
  base::LogLevel::Warning,
  "Running work was left when the time allowed for a shutdown ended."
};
inline constexpr base::Event kLinkChanged{
  1005,
  "link_changed",
  base::LogLevel::Info,
  "A link to a peer came up, was lost, or leads to a new "
  "process of that name."
};
inline constexpr base::Event kMessageDropped{
  1006,
  "message_dropped",
  base::LogLevel::Warning,
  "A message for a function that this process does not have was dropped."
};

} // namespace pumiceturn::node
