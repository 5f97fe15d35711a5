#pragma once

#include "LibBase/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace pumiceturn::standin {

/// What the engine stand-in does wrong. JSON names of POST /standin/faults in
/// brackets.
struct EngineFaults
{
  double slowFactor_ = 1.0;        ///< [slow_factor] Steps take so much longer.
  bool hang_ = false;              ///< [hang] No step begins; nothing is said.
  bool rejectCompletions_ = false; ///< [reject_completions] HTTP 503.
  bool ignoreFence_ = false;       ///< [ignore_fence] Obeys stale orders.
  base::Duration loadLag_{};       ///< [load_lag_ms] Age of the load report.
  base::Duration eventDelay_{};    ///< [event_delay_ms] Age of cache events.
  std::uint64_t loseOneOf_ = 0;    ///< [event_lose_one_of] 0: lose none.
  base::Duration crashRestart_{
    std::chrono::milliseconds{ 500 } ///< [crash_restart_ms] Refuses so long
                                     ///< after a crash.
  };
};

struct EngineStats
{
  std::uint64_t submitted_ = 0; ///< Streams taken in.
  std::uint64_t finished_ = 0;
  std::uint64_t cancelled_ = 0; ///< By order or by a closed connection.
  std::uint64_t tokens_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t orders_ = 0; ///< Orders obeyed.
  std::uint64_t staleOrders_ = 0;
  std::uint64_t running_ = 0;
  std::uint64_t waiting_ = 0;
};

/// @param aChange JSON object; keys that it lacks stay as they are.
/// @return the faults with the change; throws nlohmann::json::exception on a
/// wrong type.
EngineFaults
ApplyFaults(EngineFaults aFaults, const nlohmann::json& aChange);

nlohmann::json
ToJson(const EngineFaults& aFaults);

nlohmann::json
ToJson(const EngineStats& aStats);

} // namespace pumiceturn::standin
