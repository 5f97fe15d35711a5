#pragma once

#include "LibDispatch/Run.h"
#include "LibDispatch/WaitEstimate.h"

#include <span>

namespace pumiceturn::dispatch {

/// @return how long a batch run may be paused and still finish by its due time;
/// Duration::max() without a due time.
base::Duration
SlackOf(const Run& aRun, const WaitEstimate& aEstimate, base::Instant aNow);

/// Chooses the batch stream to preempt: the one with the lowest ratio of lost
/// work (prompt and tokens to be processed again on resumption) to slack.
/// Each earlier preemption of a run raises its ratio. Non-idempotent runs are
/// never chosen, because a resumed stream is a second request to the engine.
/// @param aAtEngine Runs at the engine.
/// @return null if no run can be preempted.
Run*
ChooseVictim(std::span<Run* const> aAtEngine,
             const WaitEstimate& aEstimate,
             base::Instant aNow);

} // namespace pumiceturn::dispatch
