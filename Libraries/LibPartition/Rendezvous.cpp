#include "LibPartition/Rendezvous.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::partition {

std::uint64_t
RendezvousWeight(std::uint32_t aPartition, std::string_view aHost)
{
  return base::HashBytes(aHost, aPartition);
}

void
SortByRendezvous(std::uint32_t aPartition, std::vector<std::string>& aHosts)
{
  std::sort(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      // The name decides between equal weights, so that all hosts agree.
      return std::pair(RendezvousWeight(aPartition, aRight), aRight) <
             std::pair(RendezvousWeight(aPartition, aLeft), aLeft);
    });
}

} // namespace pumiceturn::partition
