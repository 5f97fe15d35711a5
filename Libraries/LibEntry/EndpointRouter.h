#pragma once

#include "LibBase/ResultCode.h"
#include "LibBase/Time.h"
#include "LibConfiguration/ConfigurationCache.h"
#include "LibRouting/EndpointChooser.h"
#include "LibRouting/RetryBudget.h"
#include "LibWire/LinkTable.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pumiceturn::entry {

/// What a request asks of routing.
struct RouteRequest
{
  std::string_view service_;
  std::uint64_t prefix_ = 0;
  bool suspect_ = false;
  bool isRetry_ = false;
  std::span<const std::string> tried_;
};

/// Why no endpoint takes a request, and when to come back.
struct NoRoute
{
  base::ResultCode code_ = base::ResultCode::NoEndpoint;
  std::uint32_t retryAfterMs_ = 0;
};

/// The endpoints of each service as this entry knows them: its subset, load,
/// retry budget. Does no I/O. Not thread-safe.
class EndpointRouter
{
public:
  struct Options
  {
    std::string host_;
    std::string failureDomain_;
    std::size_t subsetSize_ = 20;
    routing::Policy policy_ = routing::LeastOfTwo{};
    routing::RetryBudget::Limits retries_;
    std::uint64_t seed_ = 0;
  };

  /// Whom a host should keep a link to.
  struct Link
  {
    std::string endpoint_;
    std::string address_;
  };

  /// Advice to callers where nothing is known about the wait.
  static constexpr std::uint32_t kDefaultRetryAfterMs = 1000;

  explicit EndpointRouter(Options aOptions);

  /// Takes a configuration's endpoints.
  /// @param aIsLeaving Whether operators or the host list say that an endpoint
  /// leaves.
  /// @return the links of the subsets.
  std::vector<Link> SetConfiguration(
    const configuration::Snapshot& aConfiguration,
    const std::function<bool(const std::string&)>& aIsLeaving);

  void SetDrained(const std::string& aEndpoint, bool aIsDrained);
  void OnLinkState(const std::string& aEndpoint, wire::LinkState aState);
  void OnHeartbeat(const std::string& aEndpoint,
                   const wire::Heartbeat& aHeartbeat,
                   base::Instant aNow);

  std::variant<routing::Choice, NoRoute> Choose(const RouteRequest& aRequest,
                                                base::Instant aNow);
  void OnStarted(std::string_view aService,
                 std::string_view aEndpoint,
                 std::uint64_t aPrefix,
                 bool aIsSuspect);
  void OnEnded(std::string_view aService,
               std::string_view aEndpoint,
               bool aIsSuspect,
               routing::RunEnd aEnd,
               base::Instant aNow);

  /// @return whether a service is known; with none of it linked, calls are
  /// refused.
  [[nodiscard]] bool HasEligible(std::string_view aService) const;

private:
  struct ServiceRoutes
  {
    routing::EndpointChooser chooser_;
    routing::RetryBudget budget_;
  };

  [[nodiscard]] NoRoute DescribeNoRoute(const ServiceRoutes& aRoutes) const;

  Options options_;
  std::mt19937_64 random_;
  std::map<std::string, ServiceRoutes, std::less<>> services_;
};

} // namespace pumiceturn::entry
