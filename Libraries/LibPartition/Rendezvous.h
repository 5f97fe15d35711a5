#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::partition {

/// @return a host's weight for a partition; the highest comes first.
std::uint64_t
RendezvousWeight(std::uint32_t aPartition, std::string_view aHost);

/// Sorts hosts by falling weight. When a host goes, only its own partitions
/// move, and each host moves on to another one.
void
SortByRendezvous(std::uint32_t aPartition, std::vector<std::string>& aHosts);

} // namespace pumiceturn::partition
