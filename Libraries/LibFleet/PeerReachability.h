#pragma once

#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

/// Asks a peer to relay the messages of other peers.
struct RelayRequest
{
  std::string relay_;
  std::vector<std::string> peers_;
};

/// Tracks which peers this host receives messages from, and finds relays for
/// the others.
///
/// Without relays, two hosts that are cut off from each other, but not from the
/// rest, would count each other's attempts as zero: batch would start in slots
/// that online work occupies, and preemption requests would be lost.
///
/// Time and random numbers are passed as arguments. Performs no I/O. Not
/// thread-safe.
class PeerReachability
{
public:
  /// Time without a message after which a relay is requested for a peer; three
  /// of its messages with all counts are missing by then.
  static constexpr base::Duration kSilenceTimeout{ std::chrono::milliseconds{
    300 } };

  /// As above, for peers that send all counts less often.
  static constexpr base::Duration kRemoteSilenceTimeout{
    std::chrono::milliseconds{ 700 }
  };

  /// Maximum number of pairs of a peer and a requesting host that a host relays
  /// for. Bounds the cost of a partition in a large fleet.
  static constexpr std::size_t kMaxRelayed = 64;

  /// Adds a peer, which is unreachable until its first message, or changes its
  /// timeout.
  void Add(const std::string& aPeer,
           base::Duration aSilenceTimeout = kSilenceTimeout);
  void Remove(const std::string& aPeer);

  /// Records a message received from the peer directly.
  void RecordActivity(const std::string& aPeer, base::Instant aNow);

  /// Records a message of the peer that another host relayed.
  void RecordRelayed(const std::string& aPeer,
                     const std::string& aRelay,
                     base::Instant aNow);

  /// Records that another host asked this one to relay a peer's messages. The
  /// request lasts for kSilenceTimeout.
  void RecordRelayRequest(const std::string& aRequester,
                          const std::string& aPeer,
                          base::Instant aNow);

  /// @return the hosts to relay a peer's messages to.
  [[nodiscard]] std::vector<std::string> RelayRequesters(
    const std::string& aPeer,
    base::Instant aNow) const;

  /// @return whether messages arrive from the peer directly.
  [[nodiscard]] bool IsReachable(const std::string& aPeer,
                                 base::Instant aNow) const;

  /// @return the number of peers that messages arrive from directly.
  [[nodiscard]] std::size_t ReachableCount(base::Instant aNow) const;

  /// @return the relay requests to send now.
  [[nodiscard]] std::vector<RelayRequest> RelayRequests(
    base::Instant aNow,
    std::mt19937_64& aRandom) const;

  /// @return the host through which an unreachable peer can be reached: the one
  ///         that relayed its last message. Empty if the peer is reachable
  ///         directly or no relay is known.
  [[nodiscard]] std::optional<std::string> RelayFor(const std::string& aPeer,
                                                    base::Instant aNow) const;

private:
  struct Peer
  {
    base::Duration silenceTimeout_{};
    base::Instant lastMessageAt_;
    std::string relay_; ///< Host that relayed its last message.
    base::Instant relayedAt_;
  };

  std::map<std::string, Peer> peers_;
  /// Time of the last relay request, by peer and requesting host.
  std::map<std::pair<std::string, std::string>, base::Instant> requesters_;
};

} // namespace pumiceturn::fleet
