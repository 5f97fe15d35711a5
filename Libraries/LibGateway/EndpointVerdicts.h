#pragma once

#include "LibBase/Time.h"
#include "LibGateway/SharedState.h"

namespace pumiceturn::gateway {

/// Evaluates which endpoints fail more often than the others, and logs the
/// changes. Called several times per second, on the event thread.
void
UpdateEndpointVerdicts(SharedState& aShared, base::Instant aNow);

} // namespace pumiceturn::gateway
