#include "LibFleet/CellMap.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace pumiceturn::fleet {

std::size_t
CellCountFor(std::size_t aEntryHosts)
{
  std::size_t cells = 1;
  while (aEntryHosts > cells * kMaxHostsPerCell) {
    cells *= 2;
  }
  return cells;
}

std::unordered_map<std::string, std::size_t>
AssignCells(std::span<const std::string> aMembers, std::size_t aCells)
{
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(aMembers.size());
  for (const std::string& member : aMembers) {
    ranked.emplace_back(base::HashBytes(member), &member);
  }
  std::sort(
    ranked.begin(), ranked.end(), [](const auto& aFirst, const auto& aSecond) {
      return std::tie(aFirst.first, *aFirst.second) <
             std::tie(aSecond.first, *aSecond.second);
    });
  std::unordered_map<std::string, std::size_t> cells;
  cells.reserve(ranked.size());
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    cells.emplace(*ranked[rank].second, rank * aCells / ranked.size());
  }
  return cells;
}

void
CellMap::Update(std::span<const std::string> aEntryHosts, bool aIsDivided)
{
  cellCount_ = aIsDivided ? CellCountFor(aEntryHosts.size()) : 1;
  cells_ = AssignCells(aEntryHosts, cellCount_);
}

std::optional<std::size_t>
CellMap::OwnCell() const
{
  return isWorker_ ? std::nullopt : CellOf(ownHost_);
}

std::optional<std::size_t>
CellMap::CellOf(const std::string& aHost) const
{
  const auto found = cells_.find(aHost);
  return found != cells_.end() ? std::optional(found->second) : std::nullopt;
}

CellMap::Relation
CellMap::RelationTo(const std::string& aHost, bool aIsWorker) const
{
  if (cellCount_ == 1 || (isWorker_ && aIsWorker)) {
    return Relation::Neighbour;
  }
  if (isWorker_ || aIsWorker) {
    return Relation::Remote;
  }
  return CellOf(aHost) == OwnCell() ? Relation::Neighbour : Relation::Stranger;
}

} // namespace pumiceturn::fleet
