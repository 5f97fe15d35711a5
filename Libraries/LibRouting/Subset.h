#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::routing {

/// An endpoint that may be chosen for a subset.
struct SubsetCandidate
{
  std::string_view name_;
  std::string_view failureDomain_;
};

/// Chooses the endpoints that a host connects to, by rendezvous hashing of host
/// and endpoint, alternating between failure domains. If a failure domain
/// fails, each host loses about the same share of its links, and a change in
/// the fleet moves few links. Deterministic, so the subset is the same after a
/// restart.
/// @param aHost Name of the connecting host.
/// @param aSubsetSize Number of endpoints to choose; 0 chooses all.
/// @return positions in aCandidates, best first.
std::vector<std::size_t>
ChooseSubset(std::string_view aHost,
             std::span<const SubsetCandidate> aCandidates,
             std::size_t aSubsetSize);

} // namespace pumiceturn::routing
