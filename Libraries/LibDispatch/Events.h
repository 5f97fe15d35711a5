#pragma once

#include "LibBase/Log.h"

/// Events of the agent's scheduling decisions, 8001 to 8099.
namespace pumiceturn::dispatch {

inline constexpr base::Event kRunStarted{
  8001,
  "run_started",
  base::LogLevel::Info,
  "A request was sent to the engine. The fields show the load at that time."
};
inline constexpr base::Event kRunQueued{
  8002,
  "run_queued",
  base::LogLevel::Info,
  "A request waits at the agent for a free place at the engine."
};
inline constexpr base::Event kRunRefused{
  8003,
  "run_refused",
  base::LogLevel::Info,
  "A request was refused or ended before anything reached the engine, or a "
  "peer asked for a run that is unknown here."
};
inline constexpr base::Event kRunPreempted{
  8004,
  "run_preempted",
  base::LogLevel::Info,
  "A batch stream was preempted by an online request and resumes later."
};
inline constexpr base::Event kRunEnded{
  8005,
  "run_ended",
  base::LogLevel::Info,
  "A run ended. A successful result is kept until it is recorded."
};
inline constexpr base::Event kEngineCrashed{
  8006,
  "engine_crashed",
  base::LogLevel::Error,
  "All streams at the engine broke at the same time; the content of "
  "their requests is marked as suspect."
};
inline constexpr base::Event kEngineUp{
  8007,
  "engine_up",
  base::LogLevel::Info,
  "The engine responds again; dispatch resumes."
};
inline constexpr base::Event kResultOffered{
  8008,
  "result_offered",
  base::LogLevel::Info,
  "A result that was not recorded in time was sent again to its receiver or to "
  "a keeper."
};
inline constexpr base::Event kResultDropped{
  8009,
  "result_dropped",
  base::LogLevel::Error,
  "A result that was not recorded within an hour was dropped."
};
inline constexpr base::Event kDrainChanged{
  8010,
  "drain_changed",
  base::LogLevel::Info,
  "The agent started or stopped draining."
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
  "The engine accepts no connections; requests are refused without being "
  "sent."
};

} // namespace pumiceturn::dispatch
