#include "LibFleet/CellMap.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

class CellMapFixture
{
protected:
  static std::vector<std::string> Names(std::size_t aCount,
                                        const std::string& aPrefix = "host-")
  {
    std::vector<std::string> names;
    for (std::size_t index = 0; index < aCount; ++index) {
      names.push_back(aPrefix + std::to_string(index));
    }
    return names;
  }

  static std::vector<std::size_t> CellSizes(
    const std::unordered_map<std::string, std::size_t>& aCells,
    std::size_t aCount)
  {
    std::vector<std::size_t> sizes(aCount);
    for (const auto& [name, cell] : aCells) {
      ++sizes.at(cell);
    }
    return sizes;
  }
};

TEST_CASE_METHOD(CellMapFixture, "CellMap_SmallFleet_IsOneCell")
{
  CellMap map("host-0", false);
  map.Update(Names(kMaxHostsPerCell), true);
  CHECK(map.CellCount() == 1);
  CHECK(map.RelationTo("host-1", false) == CellMap::Relation::Neighbour);
  CHECK(map.RelationTo("worker", true) == CellMap::Relation::Neighbour);
}

// Guards against regular messages to a number of hosts that grows with the
// fleet.
TEST_CASE_METHOD(CellMapFixture, "CellMap_FleetGrows_NeighboursStayBounded")
{
  for (const std::size_t size : { 100, 300, 1000, 4000 }) {
    const std::vector<std::string> names = Names(size);
    CellMap map("host-0", false);
    map.Update(names, true);
    std::size_t neighbours = 0;
    for (const std::string& name : names) {
      neighbours +=
        map.RelationTo(name, false) == CellMap::Relation::Neighbour ? 1 : 0;
    }
    CHECK(neighbours <= kMaxHostsPerCell);
    CHECK(neighbours > kMaxHostsPerCell / 3);
  }
}

// Guards against a cell with more hosts for its endpoints than others.
TEST_CASE_METHOD(CellMapFixture, "CellMap_Members_AreSpreadEvenly")
{
  const auto sizes = CellSizes(AssignCells(Names(565), 8), 8);
  for (const std::size_t size : sizes) {
    CHECK(size >= 565 / 8);
    CHECK(size <= 565 / 8 + 1);
  }
}

// Guards against hosts that disagree about most of the cells while they learn
// of a host that joined or left.
TEST_CASE_METHOD(CellMapFixture, "CellMap_OneHostLeaves_FewMove")
{
  const std::vector<std::string> all = Names(279);
  const auto before = AssignCells(all, 8);
  for (std::size_t left = 0; left < all.size(); left += 31) {
    std::vector<std::string> names = all;
    names.erase(names.begin() + static_cast<std::ptrdiff_t>(left));
    std::size_t moved = 0;
    for (const auto& [name, cell] : AssignCells(names, 8)) {
      moved += before.at(name) != cell ? 1 : 0;
    }
    CHECK(moved <= 8);
  }
}

TEST_CASE_METHOD(CellMapFixture, "CellMap_CellsDouble_EachIsSplitInTwo")
{
  const auto before = AssignCells(Names(320), 8);
  for (const auto& [name, cell] : AssignCells(Names(320), 16)) {
    CHECK(cell / 2 == before.at(name));
  }
}

// Guards against batch that isn't preempted because a worker and an entry host
// don't exchange counts.
TEST_CASE_METHOD(CellMapFixture, "CellMap_Worker_ExchangesWithAllHosts")
{
  const std::vector<std::string> names = Names(300);
  CellMap worker("worker", true);
  worker.Update(names, true);
  CHECK_FALSE(worker.OwnCell());
  CHECK(worker.RelationTo("other-worker", true) ==
        CellMap::Relation::Neighbour);
  for (const std::string& name : names) {
    CHECK(worker.RelationTo(name, false) == CellMap::Relation::Remote);
    CellMap entry(name, false);
    entry.Update(names, true);
    CHECK(entry.RelationTo("worker", true) == CellMap::Relation::Remote);
  }
}

TEST_CASE_METHOD(CellMapFixture, "CellMap_DivisionForbidden_AllAreNeighbours")
{
  const std::vector<std::string> names = Names(300);
  CellMap map("host-0", false);
  map.Update(names, false);
  CHECK(map.CellCount() == 1);
  for (const std::string& name : names) {
    CHECK(map.RelationTo(name, false) == CellMap::Relation::Neighbour);
  }
}

} // namespace pumiceturn::fleet
