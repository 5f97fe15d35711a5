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

/// Hosts that report their state to each other every 100 ms.
class FollowerSelectorFixture
{
protected:
  static constexpr base::Duration kReportInterval = 100ms;
  static constexpr std::size_t kPreferredHosts = 12;

  struct Host
  {
    std::string name_;
    FollowerState state_{ true, false };
    FollowerSelector selector_;
  };

  void AddHosts(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      const std::string name = "host" + std::to_string(index);
      hosts_.push_back(
        { name, { true, index < kPreferredHosts }, FollowerSelector(name) });
    }
  }

  /// Advances time, with reports from each reachable host.
  void Advance(base::Duration aTime)
  {
    for (const base::Instant end = now_ + aTime; now_ < end;
         now_ += kReportInterval) {
      for (const Host& sender : hosts_) {
        for (Host& receiver : hosts_) {
          if (&sender != &receiver &&
              isReachable_(receiver.name_, sender.name_)) {
            receiver.selector_.RecordPeer(sender.name_, sender.state_, now_);
          }
        }
      }
    }
  }

  [[nodiscard]] std::set<std::string> Followers(std::string_view aPrefix)
  {
    std::set<std::string> followers;
    for (Host& host : hosts_) {
      if (host.selector_.IsFollower(aPrefix, host.state_, now_)) {
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
  std::function<bool(const std::string&, const std::string&)> isReachable_ =
    [](const std::string&, const std::string&) { return true; };
};

TEST_CASE_METHOD(FollowerSelectorFixture,
                 "FollowerSelector_400HostsReachable_OnePreferredHostFollows")
{
  AddHosts(400);
  Advance(300ms);
  const auto followers = Followers("lots/");
  REQUIRE(followers.size() == 1);
  CHECK(Find(*followers.begin()).state_.isPreferred_);
}

TEST_CASE_METHOD(FollowerSelectorFixture,
                 "FollowerSelector_SeveralPrefixes_AreSpreadOverHosts")
{
  AddHosts(400);
  Advance(300ms);
  std::set<std::string> followers;
  for (int prefix = 0; prefix < 8; ++prefix) {
    followers.merge(Followers("prefix" + std::to_string(prefix)));
  }
  CHECK(followers.size() >= 3);
}

TEST_CASE_METHOD(FollowerSelectorFixture,
                 "FollowerSelector_NoPeerReachable_OwnHostFollows")
{
  AddHosts(1);
  CHECK(Followers("lots/").size() == 1);
}

// Guards against a fleet that keeps waiting for a follower that is down or
// suspended.
TEST_CASE_METHOD(FollowerSelectorFixture,
                 "FollowerSelector_FollowerIsSilent_OneOtherFollows")
{
  AddHosts(400);
  Advance(300ms);
  const std::string lost = *Followers("lots/").begin();
  isReachable_ = [lost](const std::string& aReceiver,
                        const std::string& aSender) {
    return aReceiver != lost && aSender != lost;
  };
  Advance(900ms);
  auto followers = Followers("lots/");
  // The suspended host still considers itself the only one.
  CHECK(followers.erase(lost) == 1);
  CHECK(followers.size() == 1);

  isReachable_ = [](const std::string&, const std::string&) { return true; };
  Advance(200ms);
  CHECK(Followers("lots/") == std::set<std::string>{ lost });
}

// Guards against stale copies at all hosts when the store rejects the follower.
TEST_CASE_METHOD(FollowerSelectorFixture,
                 "FollowerSelector_FollowerLosesTheStore_AnotherFollows")
{
  AddHosts(40);
  Advance(300ms);
  const std::string first = *Followers("lots/").begin();
  Find(first).state_.mayFollow_ = false;
  Advance(100ms);
  const auto followers = Followers("lots/");
  CHECK(followers.size() == 1);
  CHECK_FALSE(followers.contains(first));
}

// Guards against a half of a partitioned fleet without a follower.
TEST_CASE_METHOD(FollowerSelectorFixture,
                 "FollowerSelector_FleetSplit_EachHalfHasAFollower")
{
  AddHosts(40);
  std::map<std::string, int> half;
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    half[hosts_[index].name_] = static_cast<int>(index % 2);
  }
  isReachable_ = [&half](const std::string& aReceiver,
                         const std::string& aSender) {
    return half[aReceiver] == half[aSender];
  };
  Advance(300ms);
  const auto followers = Followers("lots/");
  REQUIRE(followers.size() == 2);
  CHECK(half[*followers.begin()] != half[*followers.rbegin()]);
}

} // namespace pumiceturn::metadata
