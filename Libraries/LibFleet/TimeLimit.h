#pragma once

#include "LibBase/Time.h"

namespace pumiceturn::fleet {

/// @param aLimit How long an endpoint may work on a request, as it was told.
/// @param aSince Time since the request was sent.
/// @return whether the endpoint may have stopped because the limit has passed,
///         by its own clock. It starts to count later than the sender, but its
///         clock may count whole milliseconds and be somewhat faster.
[[nodiscard]] bool
MayHavePassed(base::Duration aLimit, base::Duration aSince);

} // namespace pumiceturn::fleet
