#include "LibGateway/PeerTraffic.h"

#include <fmt/format.h>

namespace pumiceturn::gateway {

namespace {

/// Labels of the metrics, in the order of DatagramKind.
constexpr std::array kKindNames = {
  "all_counts",    "changed_counts", "relayed_counts",
  "relay_request", "store_delta",    "preemption",
  "rate_message",  "stream_origin",  "crash_news",
};

} // namespace

PeerTraffic::PeerTraffic(metrics::Registry& aMetrics)
  : sent_(MakeCounters(aMetrics, "sent"))
  , received_(MakeCounters(aMetrics, "received"))
{
}

PeerTraffic::ByKind
PeerTraffic::MakeCounters(metrics::Registry& aMetrics, const char* aDirection)
{
  static_assert(kKindNames.size() == kKinds);
  ByKind counters;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const std::string labels = fmt::format(
      "direction=\"{}\",kind=\"{}\"", aDirection, kKindNames.at(kind));
    counters.at(kind) = {
      &aMetrics.GetCounter("pumiceturn_peer_datagrams_total",
                           "Datagrams exchanged with other hosts.",
                           labels),
      &aMetrics.GetCounter("pumiceturn_peer_datagram_bytes_total",
                           "Bytes of datagrams exchanged with other hosts.",
                           labels)
    };
  }
  return counters;
}

void
PeerTraffic::Record(ByKind& aCounters, DatagramKind aKind, std::size_t aBytes)
{
  const Counters& counters = aCounters.at(static_cast<std::size_t>(aKind));
  counters.datagrams_->Add();
  counters.bytes_->Add(aBytes);
}

void
PeerTraffic::RecordSent(DatagramKind aKind, std::size_t aBytes)
{
  Record(sent_, aKind, aBytes);
}

void
PeerTraffic::RecordReceived(DatagramKind aKind, std::size_t aBytes)
{
  Record(received_, aKind, aBytes);
}

} // namespace pumiceturn::gateway
