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
inline constexpr base::Event kOrderSent{
  8103,
  "order_sent",
  base::LogLevel::Info,
  "The engine was ordered to load what is declared."
};
inline constexpr base::Event kOrdersSuperseded{
  8104,
  "orders_superseded",
  base::LogLevel::Warning,
  "Another agent process or a newer configuration gives this engine its orders."
};

} // namespace pumiceturn::agent
