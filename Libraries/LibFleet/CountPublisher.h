#pragma once

#include "LibBase/Time.h"
#include "LibFleet/EndpointTable.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

/// What is to be told to the peers.
struct CountUpdate
{
  /// All counts, what isn't named being zero; otherwise changed ones alone.
  bool isWhole_ = false;
  std::vector<PeerCount> counts_;
};

/// Decides when a host tells its peers its runs at the endpoints. Changes are
/// told at once, as two hosts that don't know of each other's last request
/// choose the same free place; all counts now and then, as datagrams get lost.
/// Takes the time as an argument, does no I/O, is not thread-safe.
class CountPublisher
{
public:
  /// @return how long a host waits between two looks, so that each host hears
  ///         at most 400 datagrams a second from peers up to 40 hosts.
  [[nodiscard]] static base::Duration Interval(std::size_t aPeers);

  /// @param aCounts Own runs and failures at each endpoint that has any.
  /// @return nothing where nothing is to be told now.
  [[nodiscard]] std::optional<CountUpdate> Next(
    std::span<const PeerCount> aCounts,
    base::Instant aNow);

private:
  std::map<std::string, PeerCount> told_; ///< By endpoint.
  std::optional<base::Instant> wholeAt_;
};

} // namespace pumiceturn::fleet
