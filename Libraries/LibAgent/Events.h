#pragma once

#include "LibBase/Log.h"

/// Events of the agent's configuration and engine commands, 8101 to 8199.
namespace pumiceturn::agent {

inline constexpr base::Event kEndpointNotDeclared{
  8101,
  "service_unknown",
  base::LogLevel::Warning,
  "The current configuration does not declare this agent's service or "
  "endpoint."
};
inline constexpr base::Event kEndpointDeclared{
  8102,
  "endpoint_declared",
  base::LogLevel::Info,
  "The agent applied the declaration of its endpoint."
};
inline constexpr base::Event kCommandSent{
  8103,
  "order_sent",
  base::LogLevel::Info,
  "The agent tried to send a command to load a declared model or adapter to "
  "the engine; the code shows the result."
};
inline constexpr base::Event kCommandsSuperseded{
  8104,
  "orders_superseded",
  base::LogLevel::Warning,
  "This process stopped sending engine commands: another agent process or a "
  "newer configuration has taken over."
};

} // namespace pumiceturn::agent
