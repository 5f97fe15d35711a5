#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <string>
#include <string_view>

namespace pumiceturn::endpoint {

/// How a call of a plain service ended.
///
/// | code_           | ran_    | when |
/// |-----------------|---------|------|
/// | Ok              | Ran     | answered with a 2xx status |
/// | NoEndpoint      | NotRun  | no connection: no byte left for the service |
/// | EndpointFailed  | Unknown | answered with another status |
/// | EndpointCrashed | Unknown | the connection broke after sending |
/// | TimedOut        | Unknown | no answer in time |
struct PlainCallEnd
{
  base::ResultCode code_ = base::ResultCode::Ok;
  base::Ran ran_ = base::Ran::Ran;
  int httpStatus_ = 0; ///< 0 if there was none.
  std::string body_;
  std::string detail_;
};

/// Calls one plain service by POST /v1/call. Calls block. Thread-safe.
class PlainServiceClient
{
public:
  struct Options
  {
    std::string address_; ///< IP:port.
    base::Duration connectTimeout_{ std::chrono::seconds{ 1 } };
  };

  /// @return OutOfRange for a malformed address.
  static base::Result<PlainServiceClient> Make(const Options& aOptions);

  /// Sends one call, once. Each call has a connection of its own: on a reused
  /// one, a request that meets the service closing an idle connection would end
  /// as unknown, and a call that may not be repeated would be lost by it.
  /// @param aPayload Body, passed on as it is.
  /// @param aKey     Request key, sent in the header Request-Key.
  /// @param aTimeout Longest time to wait for the answer.
  [[nodiscard]] PlainCallEnd Call(std::string_view aPayload,
                                  const std::string& aKey,
                                  base::Duration aTimeout) const;

  [[nodiscard]] bool IsHealthy() const;

private:
  PlainServiceClient(std::string aHost, int aPort, base::Duration aTimeout)
    : host_(std::move(aHost))
    , port_(aPort)
    , connectTimeout_(aTimeout)
  {
  }

  std::string host_;
  int port_;
  base::Duration connectTimeout_;
};

} // namespace pumiceturn::endpoint
