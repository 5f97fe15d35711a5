#include "LibRouting/EndpointChooser.h"
#include "LibRouting/Subset.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace pumiceturn::routing {

namespace {

using namespace std::chrono_literals;

struct ChooserFixture
{
  ChooserFixture()
  {
    for (int index = 0; index < 6; ++index) {
      descriptions_.push_back(EndpointDescription{
        "e" + std::to_string(index), "d" + std::to_string(index % 3), 8 });
    }
    chooser_.SetEndpoints(descriptions_);
    for (const EndpointDescription& description : descriptions_) {
      chooser_.SetLinked(description.name_, true);
    }
  }

  std::set<std::string> Reachable(const ChoiceRequest& aRequest = {})
  {
    std::set<std::string> names;
    for (int draw = 0; draw < 300; ++draw) {
      const auto choice = chooser_.Choose(aRequest, now_, random_);
      names.insert(choice.has_value() ? choice->endpoint_ : "none");
    }
    return names;
  }

  void Report(const std::string& aEndpoint, const wire::Heartbeat& aHeartbeat)
  {
    chooser_.OnHeartbeat(aEndpoint, aHeartbeat, now_);
  }

  std::vector<EndpointDescription> descriptions_;
  base::Instant now_{ 100s };
  std::mt19937_64 random_{ 1 };
  EndpointChooser chooser_{ "d0", LeastOfTwo{} };
};

} // namespace

// Story: an operator drains e1, e2 says on its heartbeat that it leaves, e3's
// link fell silent and the request was refused by e4 before. None of them may
// be given the request.
TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_LeavingSilentOrTried_AreNotChosen")
{
  chooser_.SetDrained("e1", true);
  wire::Heartbeat leaving;
  leaving.draining_ = true;
  Report("e2", leaving);
  chooser_.SetLinked("e3", false);
  const std::vector<std::string> tried{ "e4" };
  ChoiceRequest request;
  request.excluded_ = tried;
  // e0 shares the chooser's failure domain, so it wins while both are idle.
  CHECK(Reachable(request) == std::set<std::string>{ "e0" });
  chooser_.OnStarted("e0", 0, false);
  CHECK(Reachable(request) == std::set<std::string>{ "e5" });
}

TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_EveryEndpointExcluded_GivesNothing")
{
  for (const EndpointDescription& description : descriptions_) {
    chooser_.SetLinked(description.name_, false);
  }
  CHECK_FALSE(chooser_.Choose({}, now_, random_).has_value());
  CHECK_FALSE(chooser_.HasEligible());
}

TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_OneLoadedByOthers_IsNeverTheBetterOfTwo")
{
  wire::Heartbeat busy;
  busy.running_ = 8;
  busy.capacity_ = 8;
  Report("e3", busy);
  CHECK(Reachable().count("e3") == 0);

  wire::Heartbeat idle;
  idle.capacity_ = 8;
  Report("e3", idle);
  CHECK(Reachable().count("e3") == 1);
}

TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_PrefixHolderWithinBound_IsTaken")
{
  ChoiceRequest request;
  request.prefix_ = 42;
  wire::Heartbeat cached;
  cached.prefixesAdded_ = { 42 };
  Report("e5", cached);
  CHECK(Reachable(request) == std::set<std::string>{ "e5" });

  wire::Heartbeat dropped;
  dropped.prefixesDropped_ = { 42 };
  Report("e5", dropped);
  CHECK(Reachable(request).size() > 1);
}

// Story: all callers ask with the same prompt prefix. Following the cache alone
// would send every request to one endpoint while five stand idle.
TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_PopularPrefix_SpreadsBeyondItsHolder")
{
  std::map<std::string, int> taken;
  for (int request = 0; request < 24; ++request) {
    ChoiceRequest asked;
    asked.prefix_ = 42;
    const auto choice = chooser_.Choose(asked, now_, random_);
    REQUIRE(choice.has_value());
    chooser_.OnStarted(choice->endpoint_, 42, false);
    ++taken[choice->endpoint_];
  }
  CHECK(taken.size() >= 4);
  for (const auto& [name, count] : taken) {
    CHECK(count <= 8);
  }
}

TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_SuspectRequest_AvoidsEndpointWithSuspect")
{
  chooser_.OnStarted("e2", 0, true);
  ChoiceRequest request;
  request.suspect_ = true;
  CHECK(Reachable(request).count("e2") == 0);
  chooser_.OnEnded("e2", true, RunEnd::GivenUp, now_);
  CHECK(Reachable(request).count("e2") == 1);
}

// Story: an engine fails each request at once. It never has anything in flight,
// so it looks idle and would draw most of the traffic. It is left alone for a
// while, longer each time, and takes requests again once one was answered.
TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_EndpointThatFailsAtOnce_DrawsNoTraffic")
{
  for (const EndpointDescription& description : descriptions_) {
    chooser_.OnStarted(description.name_, 0, false);
  }
  chooser_.OnEnded("e3", false, RunEnd::Broken, now_);
  CHECK(Reachable().count("e3") == 0);
  now_ += EndpointChooser::kShortestAvoidance;
  CHECK(Reachable().count("e3") == 1);

  chooser_.OnStarted("e3", 0, false);
  chooser_.OnEnded("e3", false, RunEnd::Broken, now_);
  now_ += EndpointChooser::kShortestAvoidance;
  CHECK(Reachable().count("e3") == 0);
  now_ += EndpointChooser::kShortestAvoidance;
  chooser_.OnStarted("e3", 0, false);
  chooser_.OnEnded("e3", false, RunEnd::Answered, now_);
  CHECK(Reachable().count("e3") == 1);
}

TEST_CASE_METHOD(ChooserFixture,
                 "EndpointChooser_AllFailedLately_StillChoosesOne")
{
  for (const EndpointDescription& description : descriptions_) {
    chooser_.OnStarted(description.name_, 0, false);
    chooser_.OnEnded(description.name_, false, RunEnd::Broken, now_);
  }
  CHECK(Reachable().count("none") == 0);
}

TEST_CASE("ChooseSubset_ManyHosts_SpreadsOverDomainsAndEndpoints")
{
  std::vector<std::string> names;
  names.reserve(180);
  for (int index = 0; index < 180; ++index) {
    names.push_back("endpoint-" + std::to_string(index));
  }
  std::vector<SubsetCandidate> candidates;
  const std::array<std::string, 3> domains{ "a", "b", "c" };
  for (std::size_t index = 0; index < names.size(); ++index) {
    candidates.push_back(SubsetCandidate{ names[index], domains[index % 3] });
  }
  std::map<std::size_t, int> links;
  constexpr int kHosts = 410;
  for (int host = 0; host < kHosts; ++host) {
    std::map<std::string_view, int> inDomain;
    const auto chosen =
      ChooseSubset("host-" + std::to_string(host), candidates, 20);
    REQUIRE(chosen.size() == 20);
    for (const std::size_t position : chosen) {
      ++links[position];
      ++inDomain[candidates[position].failureDomain_];
    }
    for (const auto& [domain, count] : inDomain) {
      CHECK((count == 6 || count == 7));
    }
  }
  CHECK(links.size() == candidates.size());
}

TEST_CASE("ChooseSubset_OneEndpointGone_MovesOneLinkOnly")
{
  const std::vector<std::string> names{ "a", "b", "c", "d", "e", "f", "g" };
  std::vector<SubsetCandidate> candidates;
  candidates.reserve(names.size());
  for (const std::string& name : names) {
    candidates.push_back(SubsetCandidate{ name, "one" });
  }
  const auto before = ChooseSubset("host", candidates, 3);
  std::set<std::string_view> kept;
  for (const std::size_t position : before) {
    kept.insert(names[position]);
  }
  const std::string_view gone = names[before.front()];
  kept.erase(gone);
  std::erase_if(candidates, [gone](const SubsetCandidate& aCandidate) {
    return aCandidate.name_ == gone;
  });
  std::set<std::string_view> after;
  for (const std::size_t position : ChooseSubset("host", candidates, 3)) {
    after.insert(candidates[position].name_);
  }
  CHECK(after.size() == 3);
  CHECK(std::includes(after.begin(), after.end(), kept.begin(), kept.end()));
}

} // namespace pumiceturn::routing
