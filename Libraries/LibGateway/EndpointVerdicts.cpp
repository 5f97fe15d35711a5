#include "LibGateway/EndpointVerdicts.h"

#include "LibGateway/Events.h"

#include <string_view>

namespace pumiceturn::gateway {

namespace {

std::string_view
NameOf(fleet::EndpointVerdict aVerdict)
{
  switch (aVerdict) {
    case fleet::EndpointVerdict::Ejected:
      return "ejected";
    case fleet::EndpointVerdict::Probation:
      return "probation";
    case fleet::EndpointVerdict::Sound:
      break;
  }
  return "sound";
}

} // namespace

void
UpdateEndpointVerdicts(SharedState& aShared, base::Instant aNow)
{
  for (const fleet::VerdictChange& change :
       aShared.endpoints_.UpdateVerdicts(aNow)) {
    const bool isEjected = change.verdict_ == fleet::EndpointVerdict::Ejected;
    base::Log(isEjected ? kEndpointEjected : kEndpointReadmitted,
              { { "endpoint", change.endpoint_.id_ },
                { "state", NameOf(change.verdict_) },
                { "failures", change.recent_.failures_ },
                { "successes", change.recent_.successes_ },
                { "hosts", change.failedHosts_ },
                { "usual_rate", change.usualFailureRate_ },
                { "for_ms", base::ToMs(change.duration_) } });
    aShared.metrics_
      .GetCounter("pumiceturn_endpoint_verdicts_total",
                  "Changes of endpoints' verdicts.",
                  fmt::format("state=\"{}\"", NameOf(change.verdict_)))
      .Add();
  }
}

} // namespace pumiceturn::gateway
