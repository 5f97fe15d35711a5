#include "LibRouting/EndpointChooser.h"
#include "LibRouting/Subset.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace pumiceturn::routing {

namespace {

using namespace std::chrono_literals;

struct EndpointChooserFixture
{
  EndpointChooserFixture()
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

  std::set<std::string> ChosenEndpoints(const ChoiceRequest& aRequest = {})
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
  EndpointChooser chooser_{ "d0", PowerOfTwoChoices{} };
};

} // namespace

// Guards against routing to endpoints that are drained, draining, disconnected
// or excluded by the request.
TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_DrainedDisconnectedOrExcluded_AreNotChosen")
{
  chooser_.SetDrained("e1", true);
  wire::Heartbeat draining;
  draining.draining_ = true;
  Report("e2", draining);
  chooser_.SetLinked("e3", false);
  const std::vector<std::string> excluded{ "e4" };
  ChoiceRequest request;
  request.excluded_ = excluded;
  // e0 is in the chooser's own failure domain, so it is preferred while both
  // are idle.
  CHECK(ChosenEndpoints(request) == std::set<std::string>{ "e0" });
  chooser_.OnStarted("e0", 0, false);
  CHECK(ChosenEndpoints(request) == std::set<std::string>{ "e5" });
}

TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_NoEndpointLinked_ReturnsNothing")
{
  for (const EndpointDescription& description : descriptions_) {
    chooser_.SetLinked(description.name_, false);
  }
  CHECK_FALSE(chooser_.Choose({}, now_, random_).has_value());
  CHECK_FALSE(chooser_.HasEligible());
}

TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_LoadedByOtherHosts_IsNotChosen")
{
  wire::Heartbeat busy;
  busy.running_ = 8;
  busy.capacity_ = 8;
  Report("e3", busy);
  CHECK(ChosenEndpoints().count("e3") == 0);

  wire::Heartbeat idle;
  idle.capacity_ = 8;
  Report("e3", idle);
  CHECK(ChosenEndpoints().count("e3") == 1);
}

TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_PrefixHolderWithinBound_IsChosen")
{
  ChoiceRequest request;
  request.prefix_ = 42;
  wire::Heartbeat cached;
  cached.prefixesAdded_ = { 42 };
  Report("e5", cached);
  CHECK(ChosenEndpoints(request) == std::set<std::string>{ "e5" });

  wire::Heartbeat dropped;
  dropped.prefixesDropped_ = { 42 };
  Report("e5", dropped);
  CHECK(ChosenEndpoints(request).size() > 1);
}

// Guards against overloading one endpoint when all prompts share a prefix.
TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_PopularPrefix_SpreadsOverEndpoints")
{
  std::map<std::string, int> choiceCounts;
  for (int request = 0; request < 24; ++request) {
    ChoiceRequest choiceRequest;
    choiceRequest.prefix_ = 42;
    const auto choice = chooser_.Choose(choiceRequest, now_, random_);
    REQUIRE(choice.has_value());
    chooser_.OnStarted(choice->endpoint_, 42, false);
    ++choiceCounts[choice->endpoint_];
  }
  CHECK(choiceCounts.size() >= 4);
  for (const auto& [name, count] : choiceCounts) {
    CHECK(count <= 8);
  }
}

TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_SuspectRequest_AvoidsEndpointWithSuspect")
{
  chooser_.OnStarted("e2", 0, true);
  ChoiceRequest request;
  request.suspect_ = true;
  CHECK(ChosenEndpoints(request).count("e2") == 0);
  chooser_.OnEnded("e2", true, RunOutcome::Abandoned, now_);
  CHECK(ChosenEndpoints(request).count("e2") == 1);
}

// Guards against an endpoint that fails immediately, looks idle and attracts
// most requests.
TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_EndpointFailsImmediately_IsAvoided")
{
  for (const EndpointDescription& description : descriptions_) {
    chooser_.OnStarted(description.name_, 0, false);
  }
  chooser_.OnEnded("e3", false, RunOutcome::Failed, now_);
  CHECK(ChosenEndpoints().count("e3") == 0);
  now_ += EndpointChooser::kMinAvoidance;
  CHECK(ChosenEndpoints().count("e3") == 1);

  chooser_.OnStarted("e3", 0, false);
  chooser_.OnEnded("e3", false, RunOutcome::Failed, now_);
  now_ += EndpointChooser::kMinAvoidance;
  CHECK(ChosenEndpoints().count("e3") == 0);
  now_ += EndpointChooser::kMinAvoidance;
  chooser_.OnStarted("e3", 0, false);
  chooser_.OnEnded("e3", false, RunOutcome::Answered, now_);
  CHECK(ChosenEndpoints().count("e3") == 1);
}

TEST_CASE_METHOD(EndpointChooserFixture,
                 "EndpointChooser_AllRecentlyFailed_StillChoosesOne")
{
  for (const EndpointDescription& description : descriptions_) {
    chooser_.OnStarted(description.name_, 0, false);
    chooser_.OnEnded(description.name_, false, RunOutcome::Failed, now_);
  }
  CHECK(ChosenEndpoints().count("none") == 0);
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
  // Enough hosts that each endpoint is in some host's subset.
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

TEST_CASE("ChooseSubset_EndpointRemoved_MovesOneLink")
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
  const std::string_view removed = names[before.front()];
  kept.erase(removed);
  std::erase_if(candidates, [removed](const SubsetCandidate& aCandidate) {
    return aCandidate.name_ == removed;
  });
  std::set<std::string_view> after;
  for (const std::size_t position : ChooseSubset("host", candidates, 3)) {
    after.insert(candidates[position].name_);
  }
  CHECK(after.size() == 3);
  CHECK(std::includes(after.begin(), after.end(), kept.begin(), kept.end()));
}

} // namespace pumiceturn::routing
