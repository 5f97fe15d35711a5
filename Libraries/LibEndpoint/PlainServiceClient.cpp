#include "LibEndpoint/PlainServiceClient.h"

#include "LibEndpoint/ConnectionPool.h"
#include "LibEndpoint/HttpFailure.h"

namespace pumiceturn::endpoint {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpSuccessEnd = 300;
constexpr const char* kPayloadType = "application/octet-stream";
constexpr base::Duration kHealthTimeout{ std::chrono::seconds{ 2 } };

/// @return whether the response itself says where its body ends.
bool
IsEndMarked(const httplib::Response& aResponse)
{
  return aResponse.has_header("Content-Length") ||
         aResponse.has_header("Transfer-Encoding");
}

} // namespace

base::Result<PlainServiceClient>
PlainServiceClient::Make(const Options& aOptions)
{
  BOOST_LEAF_AUTO(address, ConnectionPool::ParseAddress(aOptions.address_));
  return PlainServiceClient(
    std::move(address.host_), address.port_, aOptions.connectTimeout_);
}

PlainCallEnd
PlainServiceClient::Call(std::string_view aPayload,
                         const std::string& aKey,
                         base::Duration aTimeout) const
{
  httplib::Client client(host_, port_);
  client.set_connection_timeout(std::min(connectTimeout_, aTimeout));
  client.set_read_timeout(aTimeout);
  client.set_tcp_nodelay(true);
  const httplib::Headers headers{ { "Request-Key", aKey } };
  const base::Instant begin = base::MonotonicNow();
  const httplib::Result result = client.Post(
    "/v1/call", headers, aPayload.data(), aPayload.size(), kPayloadType);
  PlainCallEnd end;
  if (!result) {
    const HttpFailure failure =
      ClassifyError(result.error(), base::MonotonicNow() - begin, aTimeout);
    end.code_ = failure.code_;
    end.ran_ = failure.ran_;
    end.detail_ = httplib::to_string(result.error());
    return end;
  }
  end.httpStatus_ = result->status;
  end.body_ = result->body;
  if (result->status < kHttpOk || result->status >= kHttpSuccessEnd) {
    end.code_ = base::ResultCode::EndpointFailed;
    end.ran_ = base::Ran::Unknown;
    end.detail_ = "HTTP status " + std::to_string(result->status);
  } else if (!IsEndMarked(*result) && !IsHealthy()) {
    // The kernel ends the connections of a killed process in order, too.
    end.code_ = base::ResultCode::EndpointCrashed;
    end.ran_ = base::Ran::Unknown;
    end.detail_ = "the service ended with its response, which has no length";
  }
  return end;
}

bool
PlainServiceClient::IsHealthy() const
{
  httplib::Client client(host_, port_);
  client.set_connection_timeout(connectTimeout_);
  client.set_read_timeout(kHealthTimeout);
  const httplib::Result result = client.Get("/healthz");
  return result && result->status == kHttpOk;
}

} // namespace pumiceturn::endpoint
