#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::configuration {

inline constexpr base::Event kInstalled{
  4101,
  "configuration_installed",
  base::LogLevel::Info,
  "A configuration is in force in this process."
};

} // namespace pumiceturn::configuration
