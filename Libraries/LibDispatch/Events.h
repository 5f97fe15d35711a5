#pragma once

#include "LibBase/Log.h"

/// Events of the agent's decisions, 80xx.
namespace pumiceturn::dispatch {

inline constexpr base::Event kRunStarted{
  8001,
  "run_started",
  base::LogLevel::Info,
  "A request was sent to the engine, with the load that was weighed."
};
inline constexpr base::Event kRunQueued{
  8002,
  "run_queued",
  base::LogLevel::Info,
  "A request waits at the agent for room at the engine."
};
inline constexpr base::Event kRunRefused{
  8003,
  "run_refused",
  base::LogLevel::Info,
  "A request was refused before anything reached the engine."
};
inline constexpr base::Event kRunPreempted{
  8004,
  "run_preempted",
  base::LogLevel::Info,
  "A batch stream gives its place to an online request and goes on later."
};
inline constexpr base::Event kRunEnded{ 8005,
                                        "run_ended",
                                        base::LogLevel::Info,
                                        "A run ended; its result is kept until "
                                        "it is recorded." };
inline constexpr base::Event kEngineCrashed{
  8006,
  "engine_crashed",
  base::LogLevel::Error,
  "All streams at the engine broke at once; their contents are suspect."
};
inline constexpr base::Event kEngineUp{
  8007,
  "engine_up",
  base::LogLevel::Info,
  "The engine answers again; dispatch goes on."
};
inline constexpr base::Event kResultOffered{
  8008,
  "result_offered",
  base::LogLevel::Info,
  "A result that was not recorded in time is offered again or to a keeper."
};
inline constexpr base::Event kResultDropped{
  8009,
  "result_dropped",
  base::LogLevel::Error,
  "A result that nobody recorded for an hour was dropped."
};
inline constexpr base::Event kDrainChanged{
  8010,
  "drain_changed",
  base::LogLevel::Info,
  "The agent began to refuse new work, or takes it again."
};
inline constexpr base::Event kCreditsGranted{
  8011,
  "credits_granted",
  base::LogLevel::Debug,
  "Batch credits were granted to the owners of waiting items."
};
inline constexpr base::Event kEngineDown{
  8012,
  "engine_down",
  base::LogLevel::Warning,
  "The engine takes no connection; requests are refused as not run."
};

} // namespace pumiceturn::dispatch
