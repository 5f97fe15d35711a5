#include "LibFleet/EndpointPace.h"

namespace pumiceturn::fleet {

void
EndpointPace::RecordEventInterval(const EndpointIncarnation& /*aEndpoint*/,
                                  std::string_view /*aService*/,
                                  base::Duration /*aInterval*/,
                                  std::uint32_t /*aInFlight*/,
                                  base::Instant /*aNow*/)
{
}

void
EndpointPace::RecordSlowness(const EndpointIncarnation& /*aEndpoint*/,
                             std::uint32_t /*aPercent*/,
                             base::Instant /*aNow*/)
{
}

double
EndpointPace::SpeedOf(const EndpointIncarnation& /*aEndpoint*/) const
{
  return 1.0;
}

double
EndpointPace::MomentarySpeedOf(const EndpointIncarnation& /*aEndpoint*/,
                               base::Instant /*aNow*/) const
{
  return 1.0;
}

void
EndpointPace::Remove(const std::string& /*aId*/)
{
}

} // namespace pumiceturn::fleet
