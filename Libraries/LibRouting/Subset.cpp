#include "LibRouting/Subset.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace pumiceturn::routing {

namespace {

struct RankedCandidate
{
  std::uint64_t score_ = 0;
  std::size_t position_ = 0;
};

using Ranking = std::vector<RankedCandidate>;

/// Sorts the candidates of each domain by descending score. The order of the
/// domains depends on the host, so that the remainder of an uneven division
/// doesn't fall on the same domain for every host.
std::vector<Ranking>
RankByDomain(std::string_view aHost,
             std::span<const SubsetCandidate> aCandidates)
{
  const std::uint64_t seed = base::HashBytes(aHost);
  std::map<std::string_view, Ranking> byDomain;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const SubsetCandidate& candidate = aCandidates[index];
    byDomain[candidate.failureDomain_].push_back(
      RankedCandidate{ base::HashBytes(candidate.name_, seed), index });
  }
  std::vector<std::pair<std::uint64_t, Ranking>> ordered;
  ordered.reserve(byDomain.size());
  for (auto& [domain, ranking] : byDomain) {
    std::sort(ranking.begin(),
              ranking.end(),
              [](const RankedCandidate& aL, const RankedCandidate& aR) {
                return aL.score_ > aR.score_;
              });
    ordered.emplace_back(base::HashBytes(domain, seed), std::move(ranking));
  }
  std::sort(ordered.begin(), ordered.end(), [](const auto& aL, const auto& aR) {
    return aL.first > aR.first;
  });
  std::vector<Ranking> rankings;
  rankings.reserve(ordered.size());
  for (auto& [score, ranking] : ordered) {
    rankings.push_back(std::move(ranking));
  }
  return rankings;
}

} // namespace

std::vector<std::size_t>
ChooseSubset(std::string_view aHost,
             std::span<const SubsetCandidate> aCandidates,
             std::size_t aSubsetSize)
{
  const std::size_t subsetSize = aSubsetSize == 0
                                   ? aCandidates.size()
                                   : std::min(aSubsetSize, aCandidates.size());
  const std::vector<Ranking> rankings = RankByDomain(aHost, aCandidates);
  std::vector<std::size_t> chosen;
  chosen.reserve(subsetSize);
  for (std::size_t round = 0; chosen.size() < subsetSize; ++round) {
    for (const Ranking& ranking : rankings) {
      if (round < ranking.size() && chosen.size() < subsetSize) {
        chosen.push_back(ranking[round].position_);
      }
    }
  }
  return chosen;
}

} // namespace pumiceturn::routing
