#include "LibGateway/Gateway.h"

#include "LibGateway/Events.h"

// The part of Gateway that reports its state as metrics.

namespace pumiceturn::gateway {

void
Gateway::AddGauges()
{
  shared_.metrics_.AddGauge(
    "pumiceturn_store_prefixes_followed",
    "Prefixes of the store that this host follows for its peers.",
    {},
    [this] { return mirrors_.FollowedCount(); });
  shared_.metrics_.AddGauge("pumiceturn_endpoint_connections_made_total",
                            "Connections opened to endpoints.",
                            {},
                            [this] { return shared_.pool_.OpenedCount(); });
  shared_.metrics_.AddGauge(
    "pumiceturn_caller_connections",
    "Open connections of callers.",
    {},
    [this] { return callerListener_.ConnectionCount(); });
  shared_.metrics_.AddGauge("pumiceturn_caller_unsent_bytes",
                            "Response bytes that callers haven't read yet.",
                            {},
                            [this] { return callerListener_.UnsentBytes(); });
  shared_.metrics_.AddGauge("pumiceturn_batch_runs",
                            "Items that this host runs now.",
                            {},
                            [this] { return worker_.AttemptCount(); });
  AddWaitingItemGauges();
  shared_.metrics_.AddGauge(
    "pumiceturn_features_refused",
    "Features whose requests are refused, as they crash endpoints.",
    {},
    [this] { return shared_.crashes_.RefusedCount(); });
  shared_.metrics_.AddGauge(
    "pumiceturn_held_lots",
    "Lots on this host's disk that the store doesn't have yet.",
    {},
    [this] { return spool_ ? spool_->Count() : 0; });
  shared_.metrics_.AddGauge(
    "pumiceturn_endpoints_ejected",
    "Endpoints that get no requests as they fail more often than others.",
    {},
    [this] { return shared_.endpoints_.Outliers().EjectedCount(); });
  shared_.metrics_.AddGauge("pumiceturn_peers_heard",
                            "Other hosts whose own messages arrive here.",
                            {},
                            [this] { return peerMessenger_.ReachableCount(); });
  shared_.metrics_.AddGauge("pumiceturn_configuration_version",
                            "Version in force.",
                            {},
                            [this] { return shared_.routes_.Version(); });
}

void
Gateway::AddWaitingItemGauges()
{
  constexpr std::string_view kName = "pumiceturn_items_waiting";
  constexpr std::string_view kHelp =
    "Batch items of this host that wait, by what keeps them from being "
    "started.";
  for (std::size_t index = 1; index < batch::kStartObstacles; ++index) {
    const auto obstacle = static_cast<batch::StartObstacle>(index);
    shared_.metrics_.AddGauge(
      kName,
      kHelp,
      fmt::format("cause=\"{}\"", batch::ToString(obstacle)),
      [this, obstacle] { return worker_.WaitingCount(obstacle); });
  }
  shared_.metrics_.AddGauge(kName, kHelp, "cause=\"retry_pause\"", [this] {
    return worker_.PausingCount();
  });
}

void
Gateway::RecordCallerConnectionEnd(const httpstream::ConnectionEnd& aEnd)
{
  shared_.metrics_
    .GetCounter("pumiceturn_caller_connections_closed_total",
                "Closed connections of callers.",
                fmt::format("cause=\"{}\"", httpstream::ToString(aEnd.cause_)))
    .Add();
  if (!aEnd.HasOutstanding()) {
    return;
  }
  base::Log(kCallerConnectionEnded,
            { { "cause", httpstream::ToString(aEnd.cause_) },
              { "request",
                aEnd.request_
                  ? shared_.codec_.ReadCallerFields(*aEnd.request_).requestId_
                  : std::string("-") },
              { "progress", httpstream::ToString(aEnd.progress_) },
              { "inactive_ms", base::ToMs(aEnd.sinceActivity_) },
              { "unread_bytes", aEnd.unreadBytes_ },
              { "unsent_bytes", aEnd.unsentBytes_ },
              { "unacknowledged_bytes", aEnd.unacknowledgedBytes_ } });
}

} // namespace pumiceturn::gateway
