#include "LibFleet/RouteHistory.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

using namespace std::chrono_literals;

class RouteHistoryFixture
{
protected:
  using Names = std::set<std::string>;

  static Route MakeRoute(const std::string& aPrefix,
                         const std::vector<std::string>& aServices)
  {
    Route route;
    route.hostName_ = "a.example";
    route.pathPrefix_ = aPrefix;
    route.kind_ = RequestKind::Stream;
    route.isResumable_ = true;
    for (const std::string& service : aServices) {
      route.targets_.push_back({ service, 1.0 });
    }
    return route;
  }

  /// Installs the next declarations, a second after the last ones.
  void Install(std::vector<Route> aRoutes)
  {
    Advance(1s);
    Declarations declarations;
    declarations.version_ = table_.Version() + 1;
    declarations.routes_ = std::move(aRoutes);
    const bool isInstalled = table_.Install(std::move(declarations));
    REQUIRE(isInstalled);
    history_.Update(table_, now_);
  }

  void Advance(base::Duration aTime)
  {
    constexpr base::Duration kLifetime = 10s;
    now_ += aTime;
    history_.Refresh(kLifetime, now_);
    recent_.Expire(kLifetime, now_);
  }

  base::Instant now_{ 1h };
  RouteTable table_;
  ServiceVersions recent_;
  RouteHistory history_{ recent_ };
};

TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_RoutesStayAtTheirServices_AreUnrelated")
{
  for (int version = 0; version < 3; ++version) {
    Install({ MakeRoute("/", { "one" }),
              MakeRoute("/a/", { "two" }),
              MakeRoute("/b/", { "three" }) });
  }
  CHECK(recent_.Services().empty());
}

// Guards against forgetting where running streams began as soon as their route
// is moved.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_RouteIsMoved_ServicesAreRelatedForATime")
{
  Install({ MakeRoute("/a/", { "one" }) });
  Install({ MakeRoute("/a/", { "two" }) });
  Advance(9s);
  CHECK(history_.RelatedTo("two") == Names{ "one" });
  CHECK(history_.RelatedTo("one") == Names{ "two" });
  Advance(2s);
  CHECK(history_.RelatedTo("two").empty());
  Advance(20s);
  CHECK(recent_.Services().empty());
}

// Guards against a former service that counts for ever, as the declarations
// change again and again.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_DeclarationsChangeAfterAMove_FormerOneExpires")
{
  Install({ MakeRoute("/a/", { "one" }) });
  for (int version = 0; version < 30; ++version) {
    Install({ MakeRoute("/a/", { "two" }) });
  }
  CHECK(history_.RelatedTo("two").empty());
}

// Guards against forgetting a service between two moves.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_RouteIsMovedTwice_AllServicesAreRelated")
{
  Install({ MakeRoute("/a/", { "one" }) });
  Install({ MakeRoute("/a/", { "two" }) });
  Install({ MakeRoute("/a/", { "three" }) });
  CHECK(history_.RelatedTo("three") == Names{ "one", "two" });
}

TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_RouteIsSplit_ServicesStayRelated")
{
  Install({ MakeRoute("/a/", { "one", "two" }) });
  Advance(9s);
  Advance(9s);
  CHECK(history_.RelatedTo("one") == Names{ "two" });
}

TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_ServiceHasNoWeight_IsUnrelated")
{
  Route route = MakeRoute("/a/", { "one", "two" });
  route.targets_.back().weight_ = 0.0;
  Install({ route });
  CHECK(history_.RelatedTo("one").empty());
  route.targets_.back().weight_ = 1.0;
  Install({ route });
  CHECK(history_.RelatedTo("one") == Names{ "two" });
}

// Guards against a new route that takes over paths of another one, whose
// streams began at that one's service.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_NarrowerRouteIsAdded_HasServicesOfTheWider")
{
  Install({ MakeRoute("/", { "one" }) });
  Install({ MakeRoute("/", { "one" }), MakeRoute("/a/b/", { "two" }) });
  CHECK(history_.RelatedTo("two") == Names{ "one" });
}

// Guards against the same if the wider route was moved before.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_NarrowerRouteIsAddedAfterAMove_HasAllServices")
{
  Install({ MakeRoute("/a/", { "one" }) });
  Install({ MakeRoute("/a/", { "two" }) });
  Install({ MakeRoute("/a/", { "two" }), MakeRoute("/a/b/", { "three" }) });
  CHECK(history_.RelatedTo("three") == Names{ "one", "two" });
}

// Guards against the same when a route is removed and another one gets its
// paths.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_NarrowerRouteIsRemoved_WiderHasItsServices")
{
  Install({ MakeRoute("/", { "one" }), MakeRoute("/a/b/", { "two" }) });
  Install({ MakeRoute("/", { "one" }), MakeRoute("/a/b/", { "three" }) });
  Install({ MakeRoute("/", { "one" }) });
  CHECK(history_.RelatedTo("one") == Names{ "three", "two" });
}

// Guards against a route that is removed and added again at another service.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_RouteIsAddedAgain_HasItsFormerService")
{
  Install({ MakeRoute("/a/", { "one" }) });
  Install({});
  Install({ MakeRoute("/a/", { "two" }) });
  CHECK(history_.RelatedTo("two") == Names{ "one" });
}

// Guards against a route whose streams can't be resumed for a moment.
TEST_CASE_METHOD(RouteHistoryFixture,
                 "RouteHistory_RouteIsNotResumableForATime_HasItsFormerService")
{
  Install({ MakeRoute("/a/", { "one" }) });
  Route route = MakeRoute("/a/", { "two" });
  route.isResumable_ = false;
  Install({ route });
  route.isResumable_ = true;
  Install({ route });
  CHECK(history_.RelatedTo("two") == Names{ "one" });
}

} // namespace pumiceturn::fleet
