#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <httplib.h>

namespace pumiceturn::endpoint {

/// What a failed exchange says about the request.
struct HttpFailure
{
  base::ResultCode code_ = base::ResultCode::Internal;
  base::Ran ran_ = base::Ran::Unknown;
};

/// Tells a request that certainly never left from one whose outcome is unknown.
/// Only a connection that was never made proves that no byte was sent; a broken
/// write may have delivered the whole request.
/// @param aError  The library's error.
/// @param aSilent How long nothing was heard before it.
/// @param aLimit  Read timeout of the exchange; the library reports it as a
///                plain read error.
HttpFailure
ClassifyError(httplib::Error aError,
              base::Duration aSilent,
              base::Duration aLimit);

} // namespace pumiceturn::endpoint
