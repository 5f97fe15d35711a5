#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::routing {

/// An endpoint as far as the choice of a subset needs it.
struct SubsetCandidate
{
  std::string_view name_;
  std::string_view failureDomain_;
};

/// Chooses the endpoints that a host links to: by rendezvous hashing of host
/// and endpoint, taken in turn from each failure domain, so that losing a
/// domain takes about the same share from every host and a change of the fleet
/// moves few links. A pure function of its arguments: the same at each restart.
/// @param aHost  Name of the host that links.
/// @param aWanted  Size of the subset; 0 chooses all.
/// @return positions in aCandidates, best first.
std::vector<std::size_t>
ChooseSubset(std::string_view aHost,
             std::span<const SubsetCandidate> aCandidates,
             std::size_t aWanted);

} // namespace pumiceturn::routing
