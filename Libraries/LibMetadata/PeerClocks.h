#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace pumiceturn::metadata {

/// Translates times on the clocks of peers to this host's clock.
///
/// Both clocks advance while a machine is suspended, so a message that waited
/// in a socket doesn't make its contents look recent. The difference of the
/// clocks is taken from the fastest message of the current and the previous
/// window (kWindow). The time is passed as an argument. Performs no I/O. Not
/// thread-safe.
class PeerClocks
{
public:
  /// Minimum number of messages before a difference is used, since the first
  /// ones may all have been delayed.
  static constexpr std::uint32_t kMinMessages = 5;

  /// Minimum time for which a difference is kept. The clocks of two machines
  /// drift by less than a millisecond in this time.
  static constexpr base::Duration kWindow{ std::chrono::seconds{ 10 } };

  /// Records a message received from a peer directly.
  /// @param aIncarnation Changes with each start of the peer's process.
  /// @param aSentAt Send time on the peer's clock.
  /// @param aNow Arrival time on this host's clock.
  void RecordMessage(const std::string& aPeer,
                     std::uint64_t aIncarnation,
                     base::BootInstant aSentAt,
                     base::BootInstant aNow);

  /// Translates a time of a peer's clock.
  /// @return the time on this host's clock, late by at most the latency of the
  ///         fastest message; empty if too few messages have arrived.
  [[nodiscard]] std::optional<base::BootInstant> ToLocal(
    const std::string& aPeer,
    base::BootInstant aMoment) const;

  void Forget(const std::string& aPeer) { peers_.erase(aPeer); }

private:
  struct Peer
  {
    std::uint64_t incarnation_ = 0;
    std::uint32_t messages_ = 0;
    base::Duration minDifference_{
      0
    }; ///< Smallest arrival time minus send time in this window.
    /// The same in the previous window.
    base::Duration previousMinDifference_{ 0 };
    base::BootInstant windowStartedAt_;
  };

  std::unordered_map<std::string, Peer> peers_;
};

} // namespace pumiceturn::metadata
