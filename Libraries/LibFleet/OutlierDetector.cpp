#include "LibFleet/OutlierDetector.h"

namespace pumiceturn::fleet {

void
OutlierDetector::RecordOutcome(const EndpointIncarnation& /*aEndpoint*/,
                               bool /*aIsFailure*/,
                               base::Instant /*aNow*/)
{
}

void
OutlierDetector::SetPeerOutcomes(
  const std::string& /*aPeer*/,
  std::span<const EndpointOutcomes> /*aOutcomes*/,
  base::Instant /*aNow*/)
{
}

std::vector<EndpointOutcomes>
OutlierDetector::OutcomesToReport(base::Instant /*aNow*/) const
{
  return {};
}

std::vector<VerdictChange>
OutlierDetector::Update(std::span<const EndpointRecord> /*aEndpoints*/,
                        base::Instant /*aNow*/)
{
  return {};
}

EndpointVerdict
OutlierDetector::VerdictOf(const EndpointIncarnation& /*aEndpoint*/) const
{
  return EndpointVerdict::Sound;
}

bool
OutlierDetector::HasRecentFailure(const EndpointIncarnation& /*aEndpoint*/,
                                  base::Instant /*aNow*/) const
{
  return false;
}

std::size_t
OutlierDetector::EjectedCount() const
{
  return 0;
}

} // namespace pumiceturn::fleet
