#pragma once

#include "LibLoad/ConfigurationProbe.h"
#include "LibLoad/Recorder.h"
#include "LibLoad/StandinOrders.h"

#include <LoadPlan.pb.h>

#include <string>
#include <vector>

namespace pumiceturn::load {

/// All that a run gave.
struct RunOutcome
{
  Recorder::Snapshot recorded_;
  std::vector<PostedFault> faults_;
  std::vector<ConfigurationSpread> spreads_;
  std::uint64_t engineTokensTogether_ = 0; ///< Generated in the phase.
  bool hasEngineTokens_ = false;
  bool hasCheckedRefusals_ = false; ///< The engines were asked.
};

/// How batch used what online left.
struct BatchUse
{
  double itemsPerS_ = 0;
  double tokensPerS_ = 0;
  double idleTokensPerS_ = 0;      ///< Capacity less online's use; 0: unknown.
  double shareOfIdleCapacity_ = 0; ///< 0 where the capacity is unknown.
  double lengthS_ = 0;             ///< From the first lot to its last result.
};

/// @return batch throughput from the first lot's submission until the last
/// result, or the end of the plan's arrivals when batch outlasts them.
BatchUse
MeasureBatch(const LoadPlan& aPlan, const std::vector<Second>& aSeconds);

/// @return p99 of the first token with batch over that without; 0 where one of
/// them is missing.
double
HarmAtP99(const Recorder::Snapshot& aRecorded);

/// @return the report as JSON.
std::string
WriteJson(const LoadPlan& aPlan, const RunOutcome& aOutcome);

/// @return the report as one HTML page that refers to nothing outside itself.
std::string
WriteHtml(const LoadPlan& aPlan, const RunOutcome& aOutcome);

} // namespace pumiceturn::load
