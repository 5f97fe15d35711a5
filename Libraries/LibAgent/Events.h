#pragma once

#include "LibBase/Log.h"

/// Events of the agent's exchanges, 81xx.
namespace pumiceturn::agent {

inline constexpr base::Event kServiceUnknown{
  8101,
  "service_unknown",
  base::LogLevel::Warning,
  "The configuration in force does not declare this agent's endpoint."
};
inline constexpr base::Event kEndpointDeclared{
  8102,
  "endpoint_declared",
  base::LogLevel::Info,
  "The agent serves its endpoint as the configuration declares it."
};

} // namespace pumiceturn::agent
