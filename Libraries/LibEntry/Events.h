#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::entry {

using base::LogLevel;

inline constexpr base::Event kRoutingDecision{
  7001,
  "routing_decision",
  LogLevel::Info,
  "An endpoint was chosen for a request, with what was weighed."
};
inline constexpr base::Event kNotRouted{
  7002,
  "not_routed",
  LogLevel::Warning,
  "No endpoint was chosen for a request, with the reason."
};
inline constexpr base::Event kSubsetChosen{
  7003,
  "subset_chosen",
  LogLevel::Info,
  "The endpoints that this host links to for a service."
};
inline constexpr base::Event kCallRefused{
  7004,
  "call_refused",
  LogLevel::Info,
  "A call ended without a durable result."
};
inline constexpr base::Event kContentBlamed{
  7005,
  "content_blamed",
  LogLevel::Warning,
  "A request crashed its endpoint a second time; its content is quarantined."
};
inline constexpr base::Event kEntryStarted{
  7006,
  "entry_started",
  LogLevel::Info,
  "The entry serves callers and operators at this address."
};
inline constexpr base::Event kEntryDraining{
  7007,
  "entry_draining",
  LogLevel::Info,
  "The entry refuses new calls and finishes those that run."
};
inline constexpr base::Event kLotSubmitted{
  7008,
  "lot_submitted",
  LogLevel::Info,
  "A lot was accepted by the owner of its partition, or was known to it."
};
inline constexpr base::Event kLotRefused{ 7009,
                                          "lot_refused",
                                          LogLevel::Info,
                                          "A lot was not accepted." };
inline constexpr base::Event kOperatorOrder{
  7010,
  "operator_order",
  LogLevel::Info,
  "An operator changed the configuration, a drain or the quarantine."
};

} // namespace pumiceturn::entry
