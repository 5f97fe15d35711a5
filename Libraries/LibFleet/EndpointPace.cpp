#include "LibFleet/EndpointPace.h"

#include <algorithm>
#include <limits>

namespace pumiceturn::fleet {

namespace {

/// Weight of one interval in an endpoint's average, which then covers about two
/// streams of 22 events: shorter ones follow the noise of single events.
constexpr double kEndpointWeight = 0.02;

/// Weight of one interval in a service's averages. Below the endpoints' weight,
/// so that one endpoint's change doesn't shift what all are compared with.
constexpr double kServiceWeight = 0.005;

/// Bounds the ratio of one interval to the service's: a stalled stream says
/// little about the endpoint's usual speed.
constexpr double kMaxRatio = 1.0 / EndpointPace::kMinSpeed;

/// Intervals of an endpoint of mean speed are 1 us at least, since they divide.
constexpr double kMinInterval = 1.0;

/// What endpoints report as usual.
constexpr double kUsualPercent = 100.0;

} // namespace

void
EndpointPace::Average::Add(double aValue, double aMinWeight)
{
  if (samples_ < std::numeric_limits<std::uint32_t>::max()) {
    ++samples_;
  }
  mean_ += (aValue - mean_) * std::max(1.0 / samples_, aMinWeight);
}

EndpointPace::Endpoint*
EndpointPace::FindOrAdd(const EndpointIncarnation& aEndpoint)
{
  const auto [found, isNew] = endpoints_.try_emplace(aEndpoint.id_);
  Endpoint& endpoint = found->second;
  if (!isNew && aEndpoint.startedAtMs_ < endpoint.startedAtMs_) {
    return nullptr;
  }
  if (aEndpoint.startedAtMs_ > endpoint.startedAtMs_) {
    endpoint = {};
    endpoint.startedAtMs_ = aEndpoint.startedAtMs_;
  }
  return &endpoint;
}

const EndpointPace::Endpoint*
EndpointPace::Find(const EndpointIncarnation& aEndpoint) const
{
  const auto found = endpoints_.find(aEndpoint.id_);
  const bool isCurrent = found != endpoints_.end() &&
                         found->second.startedAtMs_ == aEndpoint.startedAtMs_;
  return isCurrent ? &found->second : nullptr;
}

void
EndpointPace::RecordEventInterval(const EndpointIncarnation& aEndpoint,
                                  std::string_view aService,
                                  base::Duration aInterval,
                                  std::uint32_t aInFlight,
                                  base::Instant /*aNow*/)
{
  if (!isEnabled_ || aInterval < base::Duration::zero()) {
    return;
  }
  Endpoint* endpoint = FindOrAdd(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  if (endpoint->service_ != aService) {
    endpoint->service_ = aService;
    endpoint->ratio_ = {};
  }
  Service& service = services_[endpoint->service_];
  Average& usual = service.intervals_[aInFlight];
  const auto interval = static_cast<double>(aInterval.count());
  // The endpoint's own speed is taken out, since fast and slow endpoints don't
  // have the same numbers of attempts in flight.
  usual.Add(interval * SpeedOf(*endpoint), kServiceWeight);
  const double ratio =
    std::min(interval / std::max(usual.mean_, kMinInterval), kMaxRatio);
  service.ratio_.Add(ratio, kServiceWeight);
  endpoint->ratio_.Add(ratio, kEndpointWeight);
}

void
EndpointPace::RecordSlowness(const EndpointIncarnation& aEndpoint,
                             std::uint32_t aPercent,
                             base::Instant aNow)
{
  if (aPercent == 0) {
    return;
  }
  if (Endpoint* endpoint = FindOrAdd(aEndpoint)) {
    isEnabled_ = true;
    endpoint->slownessPercent_ = aPercent;
    endpoint->slownessRecordedAt_ = aNow;
  }
}

double
EndpointPace::SpeedOf(const Endpoint& aEndpoint) const
{
  if (aEndpoint.ratio_.samples_ < kMinSamples) {
    return 1.0;
  }
  const double mean = services_.at(aEndpoint.service_).ratio_.mean_;
  // Without any time between events, no speed can be told.
  if (mean <= 0.0) {
    return 1.0;
  }
  return mean /
         std::clamp(aEndpoint.ratio_.mean_, mean / kMaxSpeed, mean / kMinSpeed);
}

double
EndpointPace::SpeedOf(const EndpointIncarnation& aEndpoint) const
{
  const Endpoint* endpoint = Find(aEndpoint);
  return endpoint != nullptr ? SpeedOf(*endpoint) : 1.0;
}

double
EndpointPace::MomentarySpeedOf(const EndpointIncarnation& aEndpoint,
                               base::Instant aNow) const
{
  const Endpoint* endpoint = Find(aEndpoint);
  const bool isRecent =
    endpoint != nullptr && endpoint->slownessRecordedAt_ &&
    aNow - *endpoint->slownessRecordedAt_ <= kSlownessLifetime;
  return isRecent
           ? std::min(kUsualPercent / endpoint->slownessPercent_, kMaxSpeed)
           : 1.0;
}

void
EndpointPace::Remove(const std::string& aId)
{
  endpoints_.erase(aId);
}

} // namespace pumiceturn::fleet
