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

/// Counts to send to the peers.
struct CountUpdate
{
  /// If true, these are all counts and any endpoint that isn't listed has none;
  /// otherwise only counts that changed.
  bool isFull_ = false;
  std::vector<EndpointCounts> counts_;
  /// Counts that changed since the previous update, also if this one is full.
  std::vector<EndpointCounts> changes_;
};

/// Decides when a host sends its in-flight counts to its peers.
///
/// Changes are sent with the next call of Next(), since two hosts that don't
/// know of each other's latest request choose the same free slot. All counts
/// are sent periodically, since datagrams get lost.
///
/// The time is passed as an argument. Performs no I/O. Not thread-safe.
class CountPublisher
{
public:
  /// @return the interval between calls of Next(). It grows with the number of
  ///         peers, so that a host receives at most 400 datagrams a second in a
  ///         fleet of up to 40 hosts.
  [[nodiscard]] static base::Duration Interval(std::size_t aPeers);

  /// @param aCounts This host's attempts and failures at each endpoint that has
  ///        any.
  /// @return the update to send; empty if none is due.
  [[nodiscard]] std::optional<CountUpdate> Next(
    std::span<const EndpointCounts> aCounts,
    base::Instant aNow);

private:
  std::map<std::string, EndpointCounts> published_; ///< By endpoint.
  std::optional<base::Instant> lastFullUpdateAt_;
};

} // namespace pumiceturn::fleet
