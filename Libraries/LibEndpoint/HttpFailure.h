#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <httplib.h>

namespace pumiceturn::endpoint {

/// Result code of a failed HTTP exchange, and whether the request may have run.
struct HttpFailure
{
  base::ResultCode code_ = base::ResultCode::Internal;
  base::Ran ran_ = base::Ran::Unknown;
};

/// Distinguishes requests that were certainly not sent from those with an
/// unknown outcome. Only a failure to connect proves that nothing was sent; a
/// failed write may have delivered the whole request.
/// @param aError       Error reported by the HTTP library.
/// @param aIdleTime    Time since data was last received.
/// @param aReadTimeout Read timeout of the exchange. The library reports a
/// timeout as a read error, so it is recognised by aIdleTime.
HttpFailure
ClassifyError(httplib::Error aError,
              base::Duration aIdleTime,
              base::Duration aReadTimeout);

} // namespace pumiceturn::endpoint
