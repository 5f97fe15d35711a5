#pragma once

#include "LibDispatch/Run.h"
#include "LibDispatch/WaitEstimate.h"

#include <span>

namespace pumiceturn::dispatch {

/// @return time that remains before a batch run must go on to be done when due.
base::Duration
SlackOf(const Run& aRun, const WaitEstimate& aEstimate, base::Instant aNow);

/// Chooses the batch stream to give way: the one whose loss (prompt and tokens
/// that must be read again to resume it) takes the smallest part of its slack.
/// Earlier preemptions count against choosing it again. A non-idempotent run is
/// never chosen, because a resumed stream is a second request to the engine.
/// @param aAtEngine Runs at the engine.
/// @return null if none may give way.
Run*
ChooseVictim(std::span<Run* const> aAtEngine,
             const WaitEstimate& aEstimate,
             base::Instant aNow);

} // namespace pumiceturn::dispatch
