#pragma once

#include "LibMetrics/Registry.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pumiceturn::gateway {

/// What a datagram between hosts carries.
enum class DatagramKind : std::uint8_t
{
  AllCounts,     ///< All counts and the report about the store.
  ChangedCounts, ///< Counts that changed.
  RelayedCounts, ///< Counts of a third host.
  RelayRequest,  ///< Request to relay the counts of silent hosts.
  StoreDelta,    ///< Changes read from the store.
  Preemption,    ///< Request to cancel a batch attempt.
  RateMessage,   ///< Report or response about a rate limit.
  StreamOrigin,  ///< Records of where streams began, and queries for them.
  CrashNews,     ///< Attempts that broke just now, and features refused.
};

/// Counts datagrams and their bytes by kind and direction.
class PeerTraffic
{
public:
  explicit PeerTraffic(metrics::Registry& aMetrics);

  void RecordSent(DatagramKind aKind, std::size_t aBytes);
  void RecordReceived(DatagramKind aKind, std::size_t aBytes);

private:
  static constexpr std::size_t kKinds = 9;

  struct Counters
  {
    metrics::Counter* datagrams_ = nullptr;
    metrics::Counter* bytes_ = nullptr;
  };
  using ByKind = std::array<Counters, kKinds>;

  [[nodiscard]] static ByKind MakeCounters(metrics::Registry& aMetrics,
                                           const char* aDirection);
  static void Record(ByKind& aCounters, DatagramKind aKind, std::size_t aBytes);

  ByKind sent_;
  ByKind received_;
};

} // namespace pumiceturn::gateway
