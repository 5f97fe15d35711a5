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

/// Routing input of one request.
struct RouteRequest
{
  std::string_view service_;
  std::uint64_t prefix_ = 0;
  bool suspect_ = false;
  bool isRetry_ = false;
  std::span<const std::string> tried_;
};

/// Why no endpoint was chosen, and when the caller may retry.
struct NoRoute
{
  base::ResultCode code_ = base::ResultCode::NoEndpoint;
  std::uint32_t retryAfterMs_ = 0;
};

/// This entry's routing state for each service: subset, load and retry budget.
/// Does no I/O. Not thread-safe.
class EndpointRouter
{
public:
  struct Options
  {
    std::string host_;
    std::string failureDomain_;
    std::size_t subsetSize_ = 20;
    routing::Policy policy_ = routing::PowerOfTwoChoices{};
    routing::RetryBudget::Limits retryLimits_;
    std::uint64_t seed_ = 0;
  };

  /// An endpoint that the host must keep a link to.
  struct Link
  {
    std::string endpoint_;
    std::string address_;
  };

  /// Retry delay sent to callers if no endpoint has reported its expected wait.
  static constexpr std::uint32_t kDefaultRetryAfterMs = 1000;

  explicit EndpointRouter(Options aOptions);

  /// Applies the endpoints of a configuration.
  /// @param aIsDrained Returns whether an endpoint was drained by operators or
  /// is leaving according to the host list.
  /// @return the links to all endpoints in the subsets.
  std::vector<Link> SetConfiguration(
    const configuration::Snapshot& aConfiguration,
    const std::function<bool(const std::string&)>& aIsDrained);

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
               routing::RunOutcome aOutcome,
               base::Instant aNow);

  /// @return whether the service is declared and at least one of its endpoints
  /// is linked and neither drained nor draining.
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
