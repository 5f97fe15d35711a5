#include "LibFleet/RouteTable.h"

#include <catch2/catch.hpp>

namespace pumiceturn::fleet {

class RouteTableFixture
{
protected:
  static Route MakeRoute(const std::string& aName, const std::string& aPrefix)
  {
    Route route;
    route.name_ = aName;
    route.hostName_ = "a.example";
    route.pathPrefix_ = aPrefix;
    route.targets_ = { { "service", 1.0 } };
    return route;
  }

  static Declarations MakeDeclarations(std::uint64_t aVersion,
                                       std::vector<Route> aRoutes)
  {
    Declarations declarations;
    declarations.version_ = aVersion;
    declarations.routes_ = std::move(aRoutes);
    return declarations;
  }

  RouteTable table_;
};

TEST_CASE_METHOD(RouteTableFixture,
                 "RouteTable_TwoPrefixesMatch_FindsTheLonger")
{
  REQUIRE(table_.Install(MakeDeclarations(
    1, { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") })));
  REQUIRE(table_.Find("a.example", "/a/b/c") != nullptr);
  CHECK(table_.Find("a.example", "/a/b/c")->name_ == "long");
  CHECK(table_.Find("a.example", "/a/x")->name_ == "short");
  CHECK(table_.Find("a.example", "/b/") == nullptr);
  CHECK(table_.Find("b.example", "/a/") == nullptr);
}

// Guards against a late response of the store that replaces a newer version
// with an older one.
TEST_CASE_METHOD(RouteTableFixture, "RouteTable_OlderVersion_IsNotInstalled")
{
  REQUIRE(table_.Install(MakeDeclarations(7, { MakeRoute("new", "/n/") })));
  CHECK_FALSE(table_.Install(MakeDeclarations(5, { MakeRoute("old", "/o/") })));
  CHECK_FALSE(table_.Install(MakeDeclarations(7, {})));
  CHECK(table_.Version() == 7);
  CHECK(table_.Find("a.example", "/n/x") != nullptr);
}

TEST_CASE_METHOD(RouteTableFixture,
                 "RouteTable_WeightedTargets_RequestsAreSplit")
{
  Route route = MakeRoute("split", "/s/");
  route.targets_ = { { "large", 90.0 }, { "small", 10.0 } };
  CHECK(RouteTable::ChooseService(route, 0.0) == "large");
  CHECK(RouteTable::ChooseService(route, 0.89) == "large");
  CHECK(RouteTable::ChooseService(route, 0.91) == "small");
}

TEST_CASE_METHOD(RouteTableFixture,
                 "RouteTable_OrganisationHasPriority_ReplacesThatOfTheRoute")
{
  Declarations declarations =
    MakeDeclarations(1, { MakeRoute("a", "/a/"), MakeRoute("b", "/b/") });
  declarations.routes_[0].priority_ = 1;
  declarations.routes_[1].priority_ = 3;
  declarations.organisations_ = { { "urgent", {}, {}, 1 },
                                  { "patient", {}, {}, 4 },
                                  { "usual", {}, {}, std::nullopt } };
  const bool isInstalled = table_.Install(std::move(declarations));
  REQUIRE(isInstalled);
  const Route& first = *table_.Find("a.example", "/a/");
  const Route& second = *table_.Find("a.example", "/b/");
  CHECK(table_.RankOf(first, "urgent") == 0);
  CHECK(table_.RankOf(second, "urgent") == 0);
  CHECK(table_.RankOf(first, "patient") == 3);
  CHECK(table_.RankOf(first, "usual") == 0);
  CHECK(table_.RankOf(second, "usual") == 2);
}

// Guards against refusing everyone early because no request has priority 0.
TEST_CASE_METHOD(RouteTableFixture,
                 "RouteTable_AllHaveTheSamePriority_NoneRanksLower")
{
  Declarations declarations = MakeDeclarations(1, { MakeRoute("a", "/a/") });
  declarations.organisations_ = { { "first", {}, {}, 2 },
                                  { "second", {}, {}, 2 } };
  const bool isInstalled = table_.Install(std::move(declarations));
  REQUIRE(isInstalled);
  CHECK(table_.RankOf(*table_.Find("a.example", "/a/"), "first") == 0);
}

// Guards against requests of a split route that wait for a service which can't
// take them while another one of the route can.
TEST_CASE_METHOD(RouteTableFixture,
                 "RouteTable_OneTargetCannotTakeRequests_OthersGetThem")
{
  Route route = MakeRoute("split", "/s/");
  route.targets_ = { { "gone", 80.0 }, { "large", 15.0 }, { "small", 5.0 } };
  const auto isThere = [](const std::string& aService) {
    return aService != "gone";
  };
  const auto choose = [&](double aRandom) {
    return *RouteTable::ChooseServiceAmong(route, aRandom, isThere);
  };
  CHECK(choose(0.0) == "large");
  CHECK(choose(0.74) == "large");
  CHECK(choose(0.76) == "small");
  CHECK(choose(0.99) == "small");
  CHECK(RouteTable::ChooseServiceAmong(
          route, 0.5, [](const std::string&) { return false; }) == nullptr);
}

// Guards against requests that go to a service from which the operator has
// taken all of a route's traffic.
TEST_CASE_METHOD(RouteTableFixture,
                 "RouteTable_TargetWithoutWeight_IsNotChosenInPlaceOfOthers")
{
  Route route = MakeRoute("split", "/s/");
  route.targets_ = { { "gone", 100.0 }, { "retired", 0.0 } };
  CHECK(
    RouteTable::ChooseServiceAmong(route, 0.5, [](const std::string& aService) {
      return aService != "gone";
    }) == nullptr);
}

} // namespace pumiceturn::fleet
