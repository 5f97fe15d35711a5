#include "LibMetadata/FollowerSelector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::metadata {

using namespace std::chrono_literals;

/// Hosts that tell each other their state each tenth of a second.
class FollowerFleetFixture
{
protected:
  static constexpr base::Duration kReport = 100ms;
  static constexpr std::size_t kWorkers = 12;

  struct Host
  {
    std::string name_;
    FollowerState state_{ true, false };
    FollowerSelector choice_;
  };

  void AddHosts(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      const std::string name = "host" + std::to_string(index);
      hosts_.push_back(
        { name, { true, index < kWorkers }, FollowerSelector(name) });
    }
  }

  /// Lets time pass, with reports from whoever is heard.
  void Pass(base::Duration aTime)
  {
    for (const base::Instant end = now_ + aTime; now_ < end; now_ += kReport) {
      for (const Host& sender : hosts_) {
        for (Host& receiver : hosts_) {
          if (&sender != &receiver && hears_(receiver.name_, sender.name_)) {
            receiver.choice_.RecordPeer(sender.name_, sender.state_, now_);
          }
        }
      }
    }
  }

  [[nodiscard]] std::set<std::string> Followers(std::string_view aPrefix)
  {
    std::set<std::string> followers;
    for (Host& host : hosts_) {
      if (host.choice_.IsFollower(aPrefix, host.state_, now_)) {
        followers.insert(host.name_);
      }
    }
    return followers;
  }

  Host& Find(const std::string& aName)
  {
    return *std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& aHost) {
      return aHost.name_ == aName;
    });
  }

  base::Instant now_{ std::chrono::hours(1) };
  std::vector<Host> hosts_;
  std::function<bool(const std::string&, const std::string&)> hears_ =
    [](const std::string&, const std::string&) { return true; };
};

TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerSelector_400HostsHearEachOther_OneWorkerFollows")
{
  AddHosts(400);
  Pass(300ms);
  const auto followers = Followers("lots/");
  REQUIRE(followers.size() == 1);
  CHECK(Find(*followers.begin()).state_.isPreferred_);
}

TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerSelector_SeveralPrefixes_AreSpreadOverHosts")
{
  AddHosts(400);
  Pass(300ms);
  std::set<std::string> followers;
  for (int prefix = 0; prefix < 8; ++prefix) {
    followers.merge(Followers("prefix" + std::to_string(prefix)));
  }
  CHECK(followers.size() >= 3);
}

TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerSelector_NobodyElseIsHeard_FollowsItself")
{
  AddHosts(1);
  CHECK(Followers("lots/").size() == 1);
}

// A configuration reaches nobody: the host that followed the store for all is
// down, or frozen without knowing it, and the others wait for its word.
TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerSelector_FollowerFallsSilent_OneOtherFollowsSoon")
{
  AddHosts(400);
  Pass(300ms);
  const std::string lost = *Followers("lots/").begin();
  hears_ = [lost](const std::string& aReceiver, const std::string& aSender) {
    return aReceiver != lost && aSender != lost;
  };
  Pass(900ms);
  auto followers = Followers("lots/");
  // The one that was frozen believes that it is alone.
  CHECK(followers.erase(lost) == 1);
  CHECK(followers.size() == 1);

  hears_ = [](const std::string&, const std::string&) { return true; };
  Pass(200ms);
  CHECK(Followers("lots/") == std::set<std::string>{ lost });
}

// A follower that the store turns away lets all others grow stale.
TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerSelector_FollowerLosesTheStore_AnotherFollows")
{
  AddHosts(40);
  Pass(300ms);
  const std::string first = *Followers("lots/").begin();
  Find(first).state_.mayFollow_ = false;
  Pass(100ms);
  const auto followers = Followers("lots/");
  CHECK(followers.size() == 1);
  CHECK_FALSE(followers.contains(first));
}

// Two halves of the fleet don't hear each other; each needs its own follower.
TEST_CASE_METHOD(FollowerFleetFixture,
                 "FollowerSelector_FleetSplit_EachHalfHasAFollower")
{
  AddHosts(40);
  std::map<std::string, int> half;
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    half[hosts_[index].name_] = static_cast<int>(index % 2);
  }
  hears_ = [&half](const std::string& aReceiver, const std::string& aSender) {
    return half[aReceiver] == half[aSender];
  };
  Pass(300ms);
  const auto followers = Followers("lots/");
  REQUIRE(followers.size() == 2);
  CHECK(half[*followers.begin()] != half[*followers.rbegin()]);
}

} // namespace pumiceturn::metadata
