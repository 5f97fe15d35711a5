#include "LibRouting/EndpointChooser.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::routing {

namespace {

/// Number of random draws before all eligible endpoints are scanned. The scan
/// is rarely needed: only when most endpoints are excluded or avoided.
constexpr int kMaxRandomDraws = 8;

bool
IsExcluded(std::string_view aName, std::span<const std::string> aExcluded)
{
  return std::find(aExcluded.begin(), aExcluded.end(), aName) !=
         aExcluded.end();
}

} // namespace

std::string_view
NameOf(ChoiceReason aReason)
{
  switch (aReason) {
    case ChoiceReason::LessLoaded:
      return "less_loaded";
    case ChoiceReason::PrefixHeld:
      return "prefix_held";
    case ChoiceReason::OnlyOne:
      return "only_one";
    case ChoiceReason::InTurn:
      return "in_turn";
    case ChoiceReason::AtRandom:
      break;
  }
  return "at_random";
}

EndpointChooser::EndpointChooser(std::string aFailureDomain, Policy aPolicy)
  : failureDomain_(std::move(aFailureDomain))
  , policy_(aPolicy)
{
}

void
EndpointChooser::SetEndpoints(std::span<const EndpointDescription> aEndpoints)
{
  std::vector<Endpoint> endpoints;
  endpoints.reserve(aEndpoints.size());
  std::unordered_map<std::string, std::size_t> positions;
  bool hasSamePositions = aEndpoints.size() == endpoints_.size();
  for (const EndpointDescription& description : aEndpoints) {
    Endpoint endpoint;
    if (const Endpoint* known = Find(description.name_)) {
      endpoint = *known;
    }
    hasSamePositions =
      hasSamePositions &&
      endpoints_[endpoints.size()].description_.name_ == description.name_;
    endpoint.description_ = description;
    positions.emplace(description.name_, endpoints.size());
    endpoints.push_back(std::move(endpoint));
  }
  endpoints_ = std::move(endpoints);
  positions_ = std::move(positions);
  if (!hasSamePositions) {
    prefixes_ = {}; // The estimate refers to endpoints by position.
  }
  RebuildEligibleAndTotals();
}

void
EndpointChooser::SetLinked(std::string_view aEndpoint, bool aIsLinked)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint != nullptr && endpoint->linked_ != aIsLinked) {
    endpoint->linked_ = aIsLinked;
    RebuildEligibleAndTotals();
  }
}

void
EndpointChooser::SetDrained(std::string_view aEndpoint, bool aIsDrained)
{
  if (Endpoint* endpoint = Find(aEndpoint)) {
    endpoint->drained_ = aIsDrained;
    RebuildEligibleAndTotals();
  }
}

void
EndpointChooser::OnHeartbeat(std::string_view aEndpoint,
                             const wire::Heartbeat& aHeartbeat,
                             base::Instant aNow)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  const std::uint32_t reported = aHeartbeat.running_ + aHeartbeat.queuedOnline_;
  endpoint->othersLoad_ =
    reported > endpoint->inFlight_ ? reported - endpoint->inFlight_ : 0;
  endpoint->expectedWaitMs_ = aHeartbeat.expectedWaitMs_;
  endpoint->draining_ = aHeartbeat.draining_;
  endpoint->reportedAt_ = aNow;
  if (aHeartbeat.capacity_ > 0) {
    endpoint->description_.capacity_ = aHeartbeat.capacity_;
  }
  const std::size_t position = positions_.at(std::string(aEndpoint));
  for (const std::uint64_t prefix : aHeartbeat.prefixesAdded_) {
    prefixes_.Add(position, prefix);
  }
  for (const std::uint64_t prefix : aHeartbeat.prefixesDropped_) {
    prefixes_.Drop(position, prefix);
  }
  RebuildEligibleAndTotals();
}

void
EndpointChooser::OnProcessReplaced(std::string_view aEndpoint)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->draining_ = false;
  endpoint->othersLoad_ = 0;
  endpoint->reportedAt_.reset();
  prefixes_.Clear(positions_.at(std::string(aEndpoint)));
  RebuildEligibleAndTotals();
}

void
EndpointChooser::OnStarted(std::string_view aEndpoint,
                           std::uint64_t aPrefix,
                           bool aIsSuspect)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  ++endpoint->inFlight_;
  endpoint->suspectsInFlight_ += aIsSuspect ? 1 : 0;
  totalLoad_ += IsEligible(*endpoint) ? 1 : 0;
  prefixes_.Add(positions_.at(std::string(aEndpoint)), aPrefix);
}

void
EndpointChooser::OnEnded(std::string_view aEndpoint,
                         bool aIsSuspect,
                         RunOutcome aOutcome,
                         base::Instant aNow)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr || endpoint->inFlight_ == 0) {
    return; // Started before the endpoint was removed and added again.
  }
  UpdateAvoidance(*endpoint, aOutcome, aNow);
  --endpoint->inFlight_;
  if (aIsSuspect && endpoint->suspectsInFlight_ > 0) {
    --endpoint->suspectsInFlight_;
  }
  if (IsEligible(*endpoint) && totalLoad_ > 0) {
    --totalLoad_;
  }
}

void
EndpointChooser::UpdateAvoidance(Endpoint& aEndpoint,
                                 RunOutcome aOutcome,
                                 base::Instant aNow)
{
  switch (aOutcome) {
    case RunOutcome::Answered:
      aEndpoint.consecutiveFailures_ = 0;
      aEndpoint.avoidedUntil_ = {};
      return;
    case RunOutcome::Failed: {
      const std::uint32_t doublings =
        std::min(aEndpoint.consecutiveFailures_, kMaxAvoidanceDoublings);
      aEndpoint.avoidedUntil_ =
        aNow + (kMinAvoidance * (std::int64_t{ 1 } << doublings));
      ++aEndpoint.consecutiveFailures_;
      return;
    }
    case RunOutcome::Abandoned:
      return;
  }
}

std::optional<Choice>
EndpointChooser::Choose(const ChoiceRequest& aRequest,
                        base::Instant aNow,
                        std::mt19937_64& aRandom)
{
  return std::visit(
    [&](auto& aPolicy) { return ChooseBy(aPolicy, aRequest, aNow, aRandom); },
    policy_);
}

bool
EndpointChooser::HasEligible() const
{
  return !eligible_.empty();
}

std::optional<std::uint32_t>
EndpointChooser::MinExpectedWaitMs() const
{
  std::optional<std::uint32_t> shortest;
  for (const std::size_t index : eligible_) {
    const Endpoint& endpoint = endpoints_[index];
    if (endpoint.reportedAt_.has_value()) {
      shortest = std::min(shortest.value_or(endpoint.expectedWaitMs_),
                          endpoint.expectedWaitMs_);
    }
  }
  return shortest;
}

std::uint32_t
EndpointChooser::InFlight(std::string_view aEndpoint) const
{
  const auto found = positions_.find(std::string(aEndpoint));
  return found == positions_.end() ? 0 : endpoints_[found->second].inFlight_;
}

EndpointChooser::Endpoint*
EndpointChooser::Find(std::string_view aName)
{
  const auto found = positions_.find(std::string(aName));
  return found == positions_.end() ? nullptr : &endpoints_[found->second];
}

bool
EndpointChooser::IsEligible(const Endpoint& aEndpoint)
{
  return aEndpoint.linked_ && !aEndpoint.drained_ && !aEndpoint.draining_;
}

bool
EndpointChooser::IsAllowedBy(const Endpoint& aEndpoint,
                             const ChoiceRequest& aRequest) const
{
  return !IsExcluded(aEndpoint.description_.name_, aRequest.excluded_);
}

double
EndpointChooser::EstimateLoad(const Endpoint& aEndpoint,
                              base::Instant aNow) const
{
  // The weight of a report decreases with its age. Treating an endpoint without
  // a recent report as idle would send most requests to it.
  double weight = 0.0;
  if (aEndpoint.reportedAt_.has_value()) {
    const auto age =
      static_cast<double>((aNow - *aEndpoint.reportedAt_).count());
    const auto horizon = static_cast<double>(kMaxReportAge.count());
    weight = std::clamp(1.0 - (age / horizon), 0.0, 1.0);
  }
  const double others =
    (weight * aEndpoint.othersLoad_) + ((1.0 - weight) * MeanOthersLoad());
  const std::uint32_t capacity =
    std::max<std::uint32_t>(aEndpoint.description_.capacity_, 1);
  return (aEndpoint.inFlight_ + others) / capacity;
}

double
EndpointChooser::MeanOthersLoad() const
{
  return static_cast<double>(totalOthersLoad_) /
         static_cast<double>(std::max<std::size_t>(eligible_.size(), 1));
}

double
EndpointChooser::MeanLoad() const
{
  return static_cast<double>(totalLoad_) /
         static_cast<double>(std::max<std::uint64_t>(totalCapacity_, 1));
}

void
EndpointChooser::RebuildEligibleAndTotals()
{
  eligible_.clear();
  totalLoad_ = 0;
  totalCapacity_ = 0;
  totalOthersLoad_ = 0;
  for (std::size_t index = 0; index < endpoints_.size(); ++index) {
    const Endpoint& endpoint = endpoints_[index];
    if (IsEligible(endpoint)) {
      eligible_.push_back(index);
      totalLoad_ += endpoint.inFlight_ + endpoint.othersLoad_;
      totalCapacity_ += endpoint.description_.capacity_;
      totalOthersLoad_ += endpoint.othersLoad_;
    }
  }
}

std::optional<std::size_t>
EndpointChooser::PickRandom(const ChoiceRequest& aRequest,
                            std::optional<std::size_t> aExcept,
                            base::Instant aNow,
                            std::mt19937_64& aRandom) const
{
  if (eligible_.empty()) {
    return std::nullopt;
  }
  const auto isUsable = [&](std::size_t aIndex) {
    return aIndex != aExcept && IsAllowedBy(endpoints_[aIndex], aRequest);
  };
  for (int draw = 0; draw < kMaxRandomDraws; ++draw) {
    const std::size_t index = eligible_[aRandom() % eligible_.size()];
    if (isUsable(index) && endpoints_[index].avoidedUntil_ <= aNow) {
      return index;
    }
  }
  std::optional<std::size_t> avoided;
  const std::size_t first = aRandom() % eligible_.size();
  for (std::size_t step = 0; step < eligible_.size(); ++step) {
    const std::size_t index = eligible_[(first + step) % eligible_.size()];
    if (!isUsable(index)) {
      continue;
    }
    if (endpoints_[index].avoidedUntil_ <= aNow) {
      return index;
    }
    avoided = index;
  }
  // Falls back to an avoided endpoint if there is no other.
  return avoided;
}

std::optional<std::size_t>
EndpointChooser::PickPrefixHolder(const PowerOfTwoChoices& aPolicy,
                                  const ChoiceRequest& aRequest,
                                  base::Instant aNow) const
{
  const double bound = aPolicy.affinityBound_ * MeanLoad();
  std::optional<std::size_t> best;
  double bestLoad = 0.0;
  for (const std::size_t index : prefixes_.HoldersOf(aRequest.prefix_)) {
    const Endpoint& endpoint = endpoints_[index];
    const bool isUsable = IsEligible(endpoint) &&
                          IsAllowedBy(endpoint, aRequest) &&
                          endpoint.avoidedUntil_ <= aNow;
    if (!isUsable) {
      continue;
    }
    const double load = EstimateLoad(endpoint, aNow);
    const double loadOfOneRequest =
      1.0 / std::max<std::uint32_t>(endpoint.description_.capacity_, 1);
    const bool isWithinBound = load <= bound + loadOfOneRequest;
    if (isWithinBound && (!best.has_value() || load < bestLoad)) {
      best = index;
      bestLoad = load;
    }
  }
  return best;
}

Choice
EndpointChooser::Describe(std::size_t aIndex,
                          ChoiceReason aReason,
                          base::Instant aNow) const
{
  const Endpoint& endpoint = endpoints_[aIndex];
  Choice choice;
  choice.endpoint_ = endpoint.description_.name_;
  choice.reason_ = aReason;
  choice.load_ = EstimateLoad(endpoint, aNow);
  choice.reportAge_ = endpoint.reportedAt_.has_value()
                        ? aNow - *endpoint.reportedAt_
                        : base::Duration::max();
  return choice;
}

std::optional<Choice>
EndpointChooser::ChooseBy(PowerOfTwoChoices& aPolicy,
                          const ChoiceRequest& aRequest,
                          base::Instant aNow,
                          std::mt19937_64& aRandom)
{
  if (!aRequest.suspect_) {
    if (const auto holder = PickPrefixHolder(aPolicy, aRequest, aNow)) {
      return Describe(*holder, ChoiceReason::PrefixHeld, aNow);
    }
  }
  const auto first = PickRandom(aRequest, std::nullopt, aNow, aRandom);
  if (!first.has_value()) {
    return std::nullopt;
  }
  auto second = PickRandom(aRequest, first, aNow, aRandom);
  // The second draw may fall back to an avoided endpoint; the first is then the
  // only candidate.
  if (second.has_value() && endpoints_[*second].avoidedUntil_ > aNow) {
    second.reset();
  }
  if (!second.has_value()) {
    return Describe(*first, ChoiceReason::OnlyOne, aNow);
  }
  const auto score = [&](std::size_t aIndex) {
    const Endpoint& endpoint = endpoints_[aIndex];
    const bool isSameDomain =
      endpoint.description_.failureDomain_ == failureDomain_;
    // Two suspects on one endpoint would make it impossible to tell which of
    // them crashed it. The penalty outweighs any difference in load.
    const bool hasSuspect = aRequest.suspect_ && endpoint.suspectsInFlight_ > 0;
    constexpr double kSuspectPenalty = 1e6;
    return EstimateLoad(endpoint, aNow) +
           (isSameDomain ? 0.0 : aPolicy.domainPenalty_) +
           (hasSuspect ? kSuspectPenalty : 0.0);
  };
  const bool isFirst = score(*first) <= score(*second);
  Choice choice =
    Describe(isFirst ? *first : *second, ChoiceReason::LessLoaded, aNow);
  const Endpoint& other = endpoints_[isFirst ? *second : *first];
  choice.other_ = other.description_.name_;
  choice.otherLoad_ = EstimateLoad(other, aNow);
  return choice;
}

std::optional<Choice>
EndpointChooser::ChooseBy(RoundRobin& aPolicy,
                          const ChoiceRequest& aRequest,
                          base::Instant aNow,
                          std::mt19937_64& /*aRandom*/)
{
  for (std::size_t step = 0; step < eligible_.size(); ++step) {
    const std::size_t index = eligible_[aPolicy.next_++ % eligible_.size()];
    if (IsAllowedBy(endpoints_[index], aRequest)) {
      return Describe(index, ChoiceReason::InTurn, aNow);
    }
  }
  return std::nullopt;
}

std::optional<Choice>
EndpointChooser::ChooseBy(RandomChoice& /*aPolicy*/,
                          const ChoiceRequest& aRequest,
                          base::Instant aNow,
                          std::mt19937_64& aRandom)
{
  const auto index = PickRandom(aRequest, std::nullopt, aNow, aRandom);
  if (!index.has_value()) {
    return std::nullopt;
  }
  return Describe(*index, ChoiceReason::AtRandom, aNow);
}

} // namespace pumiceturn::routing
