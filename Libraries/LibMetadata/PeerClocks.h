#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace pumiceturn::metadata {

/// Translates moments that peers name on their own clocks to this host's. Both
/// clocks go on while a machine is suspended, so that a message that waited in
/// a socket doesn't make what it tells look fresh: among the messages of the
/// last seconds, the one that took least time gives the difference. Takes the
/// time as an argument, does no I/O, is not thread-safe.
class PeerClocks
{
public:
  /// Messages that must have come before a difference is relied on: the first
  /// ones may all have waited.
  static constexpr std::uint32_t kMinMessages = 5;

  /// How long a difference is kept at least. Clocks of two machines drift by
  /// less than a millisecond meanwhile.
  static constexpr base::Duration kWindow{ std::chrono::seconds{ 10 } };

  /// A message came from a peer itself.
  /// @param aIncarnation New at each start of the peer's process.
  /// @param aSentAt      On the peer's clock.
  void RecordMessage(const std::string& aPeer,
                     std::uint64_t aIncarnation,
                     base::BootInstant aSentAt,
                     base::BootInstant aNow);

  /// @return a moment on this host's clock that is not after the one meant by
  ///         more than the fastest message took; nothing where too few messages
  ///         have come.
  [[nodiscard]] std::optional<base::BootInstant> ToLocal(
    const std::string& aPeer,
    base::BootInstant aMoment) const;

  void Forget(const std::string& aPeer) { peers_.erase(aPeer); }

private:
  struct Peer
  {
    std::uint64_t incarnation_ = 0;
    std::uint32_t messages_ = 0;
    base::Duration least_{ 0 };       ///< Arrival less sending, in this window.
    base::Duration leastBefore_{ 0 }; ///< In the one before.
    base::BootInstant windowBegan_;
  };

  std::unordered_map<std::string, Peer> peers_;
};

} // namespace pumiceturn::metadata
