#pragma once

#include "LibBase/Time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

/// Peers that another peer is asked to pass on.
struct RelayRequest
{
  std::string relay_;
  std::vector<std::string> peers_;
};

/// Knows which peers a host hears itself, and finds others that pass on what
/// the rest say. Where a host is cut off from some peers alone, both sides
/// would take each other's runs for none: batch is started in places that
/// online work has, and a request to let it give way is lost. Takes time and
/// random numbers as arguments, does no I/O, is not thread-safe.
class PeerReachability
{
public:
  /// Silence after which a peer is asked for elsewhere: three of its messages
  /// with all counts are missing.
  static constexpr base::Duration kSilenceTimeout{ std::chrono::milliseconds{
    300 } };

  /// Messages of peers that a host passes on, as pairs of a peer and a host
  /// that asked: bounds what a split of a large fleet costs.
  static constexpr std::size_t kMaxRelayed = 64;

  /// A peer is known. It counts as silent until its first message.
  void Add(const std::string& aPeer);
  void Remove(const std::string& aPeer);

  /// A message came from the peer itself.
  void RecordActivity(const std::string& aPeer, base::Instant aNow);

  /// A message of a peer came through another one.
  void RecordRelayed(const std::string& aPeer,
                     const std::string& aRelay,
                     base::Instant aNow);

  /// Another host wants to hear what a peer says, for as long as
  /// kSilenceTimeout.
  void RecordRelayRequest(const std::string& aAsker,
                          const std::string& aPeer,
                          base::Instant aNow);

  /// @return the hosts that want to hear what a peer says.
  [[nodiscard]] std::vector<std::string> RelayRequesters(
    const std::string& aPeer,
    base::Instant aNow) const;

  /// @return whether the peer's own messages arrive.
  [[nodiscard]] bool IsReachable(const std::string& aPeer,
                                 base::Instant aNow) const;

  /// @return how many peers are heard.
  [[nodiscard]] std::size_t ReachableCount(base::Instant aNow) const;

  /// @return what is to be asked now, and whom.
  [[nodiscard]] std::vector<RelayRequest> RelayRequests(
    base::Instant aNow,
    std::mt19937_64& aRandom) const;

  /// @return the peer that reaches a silent one; nothing where the silent one
  ///         is heard itself, or by nobody.
  [[nodiscard]] std::optional<std::string> RelayTo(const std::string& aPeer,
                                                   base::Instant aNow) const;

private:
  struct Peer
  {
    base::Instant heardAt_;
    std::string relay_; ///< That passed on its last message.
    base::Instant passedOnAt_;
  };

  std::map<std::string, Peer> peers_;
  /// When it was last asked, by the peer and the host that asked.
  std::map<std::pair<std::string, std::string>, base::Instant> askers_;
};

} // namespace pumiceturn::fleet
