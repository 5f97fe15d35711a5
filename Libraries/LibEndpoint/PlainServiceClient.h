#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// How a call of a plain service ended. Values of code_, with ran_ in brackets:
///
/// - Ok (Ran): the service responded with a 2xx status.
/// - NoEndpoint (NotRun): no connection was made, so nothing was sent.
/// - EndpointFailed (Unknown): the service responded with another status.
/// - EndpointCrashed (Unknown): the connection broke after sending, or ended
///   without a mark of the response's end, and the service is gone.
/// - TimedOut (Unknown): no response within the timeout.
struct PlainCallEnd
{
  base::ResultCode code_ = base::ResultCode::Ok;
  base::Ran ran_ = base::Ran::Ran;
  int httpStatus_ = 0; ///< 0 if no response was received.
  std::string body_;
  std::string detail_;
};

/// Client of one plain service (POST /v1/call). Calls block. Thread-safe.
class PlainServiceClient
{
public:
  struct Options
  {
    /// IP:port.
    std::string address_;
    base::Duration connectTimeout_{ std::chrono::seconds{ 1 } };
  };

  /// Creates a client without connecting.
  /// @return OutOfRange for a malformed address.
  static base::Result<PlainServiceClient> Make(const Options& aOptions);

  /// Sends one call without retrying. Each call uses a new connection: on a
  /// reused one, a request that is sent while the service closes the idle
  /// connection has an unknown outcome, and a non-idempotent call could not be
  /// retried.
  /// @param aPayload Request body, sent unchanged.
  /// @param aKey     Value of the Request-Key header.
  /// @param aTimeout Maximum time to wait for the response.
  [[nodiscard]] PlainCallEnd Call(std::string_view aPayload,
                                  const std::string& aKey,
                                  base::Duration aTimeout) const;

  /// @return whether the service responds to a health check.
  [[nodiscard]] bool IsHealthy() const;

private:
  PlainServiceClient(std::string aHost,
                     int aPort,
                     base::Duration aConnectTimeout)
    : host_(std::move(aHost))
    , port_(aPort)
    , connectTimeout_(aConnectTimeout)
  {
  }

  std::string host_;
  int port_;
  base::Duration connectTimeout_;
};

} // namespace pumiceturn::endpoint
