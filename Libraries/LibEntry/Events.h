#pragma once

#include "LibBase/Log.h"

namespace pumiceturn::entry {

using base::LogLevel;

inline constexpr base::Event kRoutingDecision{
  7001,
  "routing_decision",
  LogLevel::Info,
  "An endpoint was chosen for a request; the fields show the inputs of the "
  "decision."
};
inline constexpr base::Event kNotRouted{
  7002,
  "not_routed",
  LogLevel::Warning,
  "No endpoint was chosen for a request; the code gives the reason."
};
inline constexpr base::Event kSubsetChosen{
  7003,
  "subset_chosen",
  LogLevel::Info,
  "The subset of a service's endpoints that this host connects to was chosen."
};
inline constexpr base::Event kCallFailed{
  7004,
  "call_refused",
  LogLevel::Info,
  "An online call failed without a durable result."
};
inline constexpr base::Event kContentQuarantined{
  7005,
  "content_blamed",
  LogLevel::Warning,
  "A request crashed a second endpoint; its content was quarantined."
};
inline constexpr base::Event kEntryStarted{
  7006,
  "entry_started",
  LogLevel::Info,
  "The entry started serving callers and operators at this address."
};
inline constexpr base::Event kEntryDraining{
  7007,
  "entry_draining",
  LogLevel::Info,
  "The entry started draining: it refuses new calls and finishes open ones."
};
inline constexpr base::Event kJobSubmitted{
  7008,
  "lot_submitted",
  LogLevel::Info,
  "The owner of the partition accepted a job or already had it."
};
inline constexpr base::Event kJobRefused{ 7009,
                                          "lot_refused",
                                          LogLevel::Info,
                                          "A job was refused." };
inline constexpr base::Event kOperatorOrder{
  7010,
  "operator_order",
  LogLevel::Info,
  "An operator changed the configuration, drained a host or returned it to "
  "service, or lifted a quarantine."
};

} // namespace pumiceturn::entry
