#include "LibEndpoint/HttpFailure.h"

namespace pumiceturn::endpoint {

HttpFailure
ClassifyError(httplib::Error aError,
              base::Duration aIdleTime,
              base::Duration aReadTimeout)
{
  switch (aError) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return { base::ResultCode::NoEndpoint, base::Ran::NotRun };
    case httplib::Error::Read:
    case httplib::Error::Write:
      if (aIdleTime >= aReadTimeout) {
        return { base::ResultCode::TimedOut, base::Ran::Unknown };
      }
      return { base::ResultCode::EndpointCrashed, base::Ran::Unknown };
    default:
      return { base::ResultCode::EndpointFailed, base::Ran::Unknown };
  }
}

} // namespace pumiceturn::endpoint
