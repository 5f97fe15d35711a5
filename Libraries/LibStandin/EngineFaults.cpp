#include "LibStandin/EngineFaults.h"

#include "LibStandin/JsonExchange.h"

namespace pumiceturn::standin {

using nlohmann::json;

EngineFaults
ApplyFaults(EngineFaults aFaults, const json& aChange)
{
  aFaults.slowFactor_ = aChange.value("slow_factor", aFaults.slowFactor_);
  aFaults.hang_ = aChange.value("hang", aFaults.hang_);
  aFaults.rejectCompletions_ =
    aChange.value("reject_completions", aFaults.rejectCompletions_);
  aFaults.ignoreFence_ = aChange.value("ignore_fence", aFaults.ignoreFence_);
  aFaults.loadLag_ = MillisecondsOf(aChange, "load_lag_ms", aFaults.loadLag_);
  aFaults.eventDelay_ =
    MillisecondsOf(aChange, "event_delay_ms", aFaults.eventDelay_);
  aFaults.loseOneOf_ = aChange.value("event_lose_one_of", aFaults.loseOneOf_);
  aFaults.crashRestart_ =
    MillisecondsOf(aChange, "crash_restart_ms", aFaults.crashRestart_);
  return aFaults;
}

json
ToJson(const EngineFaults& aFaults)
{
  return { { "slow_factor", aFaults.slowFactor_ },
           { "hang", aFaults.hang_ },
           { "reject_completions", aFaults.rejectCompletions_ },
           { "ignore_fence", aFaults.ignoreFence_ },
           { "load_lag_ms", base::ToMs(aFaults.loadLag_) },
           { "event_delay_ms", base::ToMs(aFaults.eventDelay_) },
           { "event_lose_one_of", aFaults.loseOneOf_ },
           { "crash_restart_ms", base::ToMs(aFaults.crashRestart_) } };
}

json
ToJson(const EngineStats& aStats)
{
  return {
    { "submitted", aStats.submitted_ }, { "finished", aStats.finished_ },
    { "cancelled", aStats.cancelled_ }, { "tokens", aStats.tokens_ },
    { "steps", aStats.steps_ },         { "crashes", aStats.crashes_ },
    { "orders", aStats.orders_ },       { "stale_orders", aStats.staleOrders_ },
    { "running", aStats.running_ },     { "waiting", aStats.waiting_ }
  };
}

} // namespace pumiceturn::standin
