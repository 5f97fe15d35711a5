#include "LibFleet/RecordHolders.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <cstdint>
#include <unordered_set>
#include <utility>

namespace pumiceturn::fleet {

namespace {

using Ranked = std::vector<std::pair<std::uint64_t, const RecordHolder*>>;

/// Appends the first hosts of a ranking: first one of each failure domain, then
/// the others.
void
AppendSpread(const Ranked& aRanked,
             std::size_t aCount,
             std::vector<std::string>& aChosen)
{
  std::unordered_set<std::string_view> domains;
  std::vector<const RecordHolder*> others;
  std::size_t chosen = 0;
  for (const auto& [hash, host] : aRanked) {
    if (chosen == aCount) {
      return;
    }
    if (domains.insert(host->failureDomain_).second) {
      aChosen.push_back(host->host_);
      ++chosen;
    } else {
      others.push_back(host);
    }
  }
  for (const RecordHolder* host : others) {
    if (chosen == aCount) {
      return;
    }
    aChosen.push_back(host->host_);
    ++chosen;
  }
}

} // namespace

std::vector<std::string>
ChooseRecordHolders(std::string_view aId,
                    std::span<const RecordHolder> aHosts,
                    HolderCounts aCounts)
{
  const std::uint64_t seed = base::HashBytes(aId);
  Ranked entryHosts;
  Ranked workers;
  for (const RecordHolder& host : aHosts) {
    (host.isWorker_ ? workers : entryHosts)
      .emplace_back(base::HashBytes(host.host_, seed), &host);
  }
  std::vector<std::string> chosen;
  for (auto [ranked, count] : { std::pair(&entryHosts, aCounts.entryHosts_),
                                std::pair(&workers, aCounts.workers_) }) {
    std::sort(ranked->begin(), ranked->end(), std::greater<>());
    AppendSpread(*ranked, count, chosen);
  }
  return chosen;
}

} // namespace pumiceturn::fleet
