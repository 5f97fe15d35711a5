#pragma once

#include "LibLoad/LotRun.h"

#include <LoadPlan.pb.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::load {

/// A fault order that was posted, for the report.
struct PostedFault
{
  base::Duration at_{}; ///< Since the plan's start.
  std::string address_;
  std::string order_;
  bool isAnswered_ = false; ///< A stand-in that is told to crash cannot answer.
};

/// Posts a plan's fault orders to the stand-ins at their moments. Blocks until
/// the last one, or until stopped; then what is still switched on is switched
/// off.
/// @return what was posted.
std::vector<PostedFault>
RunFaults(const LoadPlan& aPlan, base::Instant aStart, StopSignal& aStop);

/// Tokens that the engine stand-ins have generated so far.
struct EngineTokens
{
  std::uint64_t tokens_ = 0;
  bool isKnown_ = false; ///< All stand-ins answered, and there was one.
};

EngineTokens
ReadEngineTokens(const LoadPlan& aPlan);

/// @return how many of the prompts an engine stand-in of the plan has taken in.
std::uint64_t
CountRun(const LoadPlan& aPlan, std::span<const std::string_view> aPrompts);

} // namespace pumiceturn::load
