#include "LibEntry/EndpointRouter.h"

#include "LibEntry/Events.h"
#include "LibRouting/Subset.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pumiceturn::entry {

namespace {

std::string
JoinNames(std::span<const routing::EndpointDescription> aEndpoints)
{
  std::string joined;
  for (const routing::EndpointDescription& endpoint : aEndpoints) {
    joined += joined.empty() ? "" : ",";
    joined += endpoint.name_;
  }
  return joined;
}

} // namespace

EndpointRouter::EndpointRouter(Options aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
{
}

std::vector<EndpointRouter::Link>
EndpointRouter::SetConfiguration(
  const configuration::Snapshot& aConfiguration,
  const std::function<bool(const std::string&)>& aIsDrained)
{
  std::vector<Link> links;
  std::set<std::string, std::less<>> declared;
  for (const auto& service :
       aConfiguration.Content().declarations().services()) {
    declared.insert(service.name());
    std::vector<routing::SubsetCandidate> candidates;
    candidates.reserve(static_cast<std::size_t>(service.endpoints_size()));
    for (const auto& endpoint : service.endpoints()) {
      candidates.push_back({ endpoint.name(), endpoint.failure_domain() });
    }
    std::vector<routing::EndpointDescription> chosen;
    for (const std::size_t position : routing::ChooseSubset(
           options_.host_, candidates, options_.subsetSize_)) {
      const auto& endpoint = service.endpoints(static_cast<int>(position));
      chosen.push_back({ endpoint.name(),
                         endpoint.failure_domain(),
                         std::max<std::uint32_t>(endpoint.max_running(), 1) });
      links.push_back(Link{ endpoint.name(), endpoint.agent_address() });
    }
    auto& routes =
      services_
        .try_emplace(
          service.name(),
          ServiceRoutes{
            routing::EndpointChooser(options_.failureDomain_, options_.policy_),
            routing::RetryBudget(options_.retryLimits_) })
        .first->second;
    routes.chooser_.SetEndpoints(chosen);
    for (const routing::EndpointDescription& endpoint : chosen) {
      routes.chooser_.SetDrained(endpoint.name_, aIsDrained(endpoint.name_));
    }
    base::Log(kSubsetChosen,
              { { "service", service.name() },
                { "version", aConfiguration.Version() },
                { "declared", service.endpoints_size() },
                { "chosen", JoinNames(chosen) } });
  }
  std::erase_if(services_, [&declared](const auto& aItem) {
    return !declared.contains(aItem.first);
  });
  return links;
}

void
EndpointRouter::SetDrained(const std::string& aEndpoint, bool aIsDrained)
{
  for (auto& [name, routes] : services_) {
    routes.chooser_.SetDrained(aEndpoint, aIsDrained);
  }
}

void
EndpointRouter::OnLinkState(const std::string& aEndpoint,
                            wire::LinkState aState)
{
  for (auto& [name, routes] : services_) {
    switch (aState) {
      case wire::LinkState::Up:
        routes.chooser_.SetLinked(aEndpoint, true);
        break;
      case wire::LinkState::Lost:
        routes.chooser_.SetLinked(aEndpoint, false);
        break;
      case wire::LinkState::Replaced:
        routes.chooser_.OnProcessReplaced(aEndpoint);
        routes.chooser_.SetLinked(aEndpoint, true);
        break;
    }
  }
}

void
EndpointRouter::OnHeartbeat(const std::string& aEndpoint,
                            const wire::Heartbeat& aHeartbeat,
                            base::Instant aNow)
{
  for (auto& [name, routes] : services_) {
    routes.chooser_.OnHeartbeat(aEndpoint, aHeartbeat, aNow);
  }
}

std::variant<routing::Choice, NoRoute>
EndpointRouter::Choose(const RouteRequest& aRequest, base::Instant aNow)
{
  const auto found = services_.find(aRequest.service_);
  if (found == services_.end()) {
    return NoRoute{ base::ResultCode::NoEndpoint, kDefaultRetryAfterMs };
  }
  ServiceRoutes& routes = found->second;
  if (!aRequest.isRetry_) {
    routes.budget_.RecordFirstAttempt();
  }
  const routing::ChoiceRequest requested{ aRequest.prefix_,
                                          aRequest.suspect_,
                                          aRequest.tried_ };
  auto choice = routes.chooser_.Choose(requested, aNow, random_);
  if (!choice.has_value()) {
    return DescribeNoRoute(routes);
  }
  // The budget is consumed only if an endpoint is available, so that a fleet
  // without endpoints doesn't exhaust it.
  if (aRequest.isRetry_ && !routes.budget_.TryConsume()) {
    return NoRoute{ base::ResultCode::RetryBudgetSpent,
                    DescribeNoRoute(routes).retryAfterMs_ };
  }
  return std::move(*choice);
}

void
EndpointRouter::OnStarted(std::string_view aService,
                          std::string_view aEndpoint,
                          std::uint64_t aPrefix,
                          bool aIsSuspect)
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    found->second.chooser_.OnStarted(aEndpoint, aPrefix, aIsSuspect);
  }
}

void
EndpointRouter::OnEnded(std::string_view aService,
                        std::string_view aEndpoint,
                        bool aIsSuspect,
                        routing::RunOutcome aOutcome,
                        base::Instant aNow)
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    found->second.chooser_.OnEnded(aEndpoint, aIsSuspect, aOutcome, aNow);
  }
}

bool
EndpointRouter::HasEligible(std::string_view aService) const
{
  const auto found = services_.find(aService);
  return found != services_.end() && found->second.chooser_.HasEligible();
}

NoRoute
EndpointRouter::DescribeNoRoute(const ServiceRoutes& aRoutes) const
{
  const std::uint32_t wait = aRoutes.chooser_.MinExpectedWaitMs().value_or(0);
  return NoRoute{ base::ResultCode::NoEndpoint,
                  wait > 0 ? wait : kDefaultRetryAfterMs };
}

} // namespace pumiceturn::entry
