#pragma once

#include "LibBase/Time.h"

#include <Caller.pb.h>
#include <LoadPlan.pb.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::load {

/// What runs at a moment of a plan.
enum class Phase : std::uint8_t
{
  WarmUp,   ///< Not measured.
  Alone,    ///< Online calls alone.
  Together, ///< Online calls and batch.
};

/// One online call that the plan intends.
struct Arrival
{
  base::Duration at_{}; ///< Since the plan's start.
  Phase phase_ = Phase::WarmUp;
  std::uint32_t stream_ = 0; ///< Index of its stream in the plan.
  bool isResent_ = false;    ///< Sent again with the same key.
  base::Duration resendAfter_{};
  std::string prompt_;
};

/// All that a plan sends.
struct Schedule
{
  std::vector<Arrival> arrivals_;                  ///< By time.
  std::vector<std::vector<caller::JobItem>> lots_; ///< As in the plan.
};

/// @return the phase of a moment.
Phase
PhaseAt(const LoadPlan& aPlan, base::Duration aMoment);

/// @return how long arrivals go on.
base::Duration
LengthOf(const LoadPlan& aPlan);

/// Draws all arrivals and prompts from the plan's seed.
/// @param aRunId Part of each prompt, so that a second run of the plan is not
/// taken for a repetition of the first one.
/// @return the same schedule for the same plan and id.
Schedule
MakeSchedule(const LoadPlan& aPlan, std::string_view aRunId);

} // namespace pumiceturn::load
