#pragma once

#include "LibBase/Log.h"

/// Events of the agent's configuration and engine commands, 8101 to 8199.
namespace pumiceturn::agent {

inline constexpr base::Event kServiceUnknown{
  8101,
  "service_unknown",
  base::LogLevel::Warning,
  "The current configuration does not declare this agent's endpoint."
};
inline constexpr base::Event kEndpointDeclared{
  8102,
  "endpoint_declared",
  base::LogLevel::Info,
  "The agent serves its endpoint as the configuration declares it."
};
inline constexpr base::Event kOrderSent{
  8103,
  "order_sent",
  base::LogLevel::Info,
  "A command to load a declared model or adapter was sent to the engine."
};
inline constexpr base::Event kOrdersSuperseded{
  8104,
  "orders_superseded",
  base::LogLevel::Warning,
  "This process stopped sending engine commands: another agent process or a "
  "newer configuration has taken over."
};

} // namespace pumiceturn::agent
