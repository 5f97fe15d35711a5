#include "Tests/Platform/GatewayFixture.h"

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace pumiceturn::adapter {

/// Three hosts that reach each other.
class FollowingFixture : protected GatewayFixture
{
protected:
  FollowingFixture()
  {
    WriteConfiguration(3);
    AddServer("i-1");
    for (const char* name : { "a", "b", "c" }) {
      StartHost(name, batch::BatchPreference::Fallback);
    }
    // Followers change until all hosts have discovered each other, so a single
    // check may see a state that changes again.
    constexpr int kSteadyChecks = 20;
    int steadyChecks = 0;
    RunUntil([this, &steadyChecks] {
      if (steadyChecks < kSteadyChecks) {
        steadyChecks = HaveHostsAgreed() ? steadyChecks + 1 : 0;
      }
      return steadyChecks == kSteadyChecks;
    });
  }

  /// @return the number of prefixes that a host follows.
  [[nodiscard]] int FollowedPrefixCount(const TestHost& aHost)
  {
    const std::string name = "\npumiceturn_store_prefixes_followed ";
    const std::string page = Metrics(aHost);
    const auto found = page.find(name);
    return found == std::string::npos
             ? 0
             : std::stoi(page.substr(found + name.size()));
  }

  /// @return whether the hosts follow four prefixes in total and all reach each
  ///         other.
  [[nodiscard]] bool HaveHostsAgreed()
  {
    int followed = 0;
    for (const auto& host : hosts_) {
      followed += FollowedPrefixCount(*host);
      if (Metrics(*host).find("pumiceturn_peers_heard 2") ==
          std::string::npos) {
        return false;
      }
    }
    return followed == 4;
  }

  [[nodiscard]] bool IsVersionInEffectAtAllHosts(std::uint64_t aVersion)
  {
    for (const auto& host : hosts_) {
      const auto call = SendAndWait(*host,
                                    "POST",
                                    fmt::format("/v{}/1", aVersion),
                                    "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
      if (call->status_ != 200) {
        return false;
      }
    }
    return true;
  }

  /// Kept alive, as its calls to the store are still in flight.
  std::unique_ptr<TestHost> stoppedHost_;
};

TEST_CASE_METHOD(FollowingFixture,
                 "Following_NewConfiguration_IsInEffectAtAllHosts")
{
  WriteConfiguration(8);
  RunUntil([this] { return IsVersionInEffectAtAllHosts(8); });
}

TEST_CASE_METHOD(FollowingFixture, "Following_ServerIsAdded_AllHostsUseIt")
{
  ServerStandin& added = AddServer("i-2");
  for (const auto& host : hosts_) {
    const std::size_t before = added.Requests().size();
    RunUntil([&] {
      (void)SendAndWait(
        *host, "POST", "/once/1", "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
      return added.Requests().size() > before;
    });
  }
}

// Guards against hosts waiting for changes from a follower that has ended.
TEST_CASE_METHOD(FollowingFixture, "Following_FollowerDies_OthersGetChanges")
{
  for (auto host = hosts_.begin(); host != hosts_.end(); ++host) {
    if (FollowedPrefixCount(**host) > 0) {
      (*host)->gateway_.reset();
      stoppedHost_ = std::move(*host);
      hosts_.erase(host);
      break;
    }
  }
  WriteConfiguration(8);
  RunUntil([this] { return IsVersionInEffectAtAllHosts(8); });
}

// Guards against a follower that the store refuses keeping its role, which
// would leave all hosts with outdated mirrors.
TEST_CASE_METHOD(FollowingFixture,
                 "Following_StoreRefusesFollower_ChangesStillArrive")
{
  for (const auto& host : hosts_) {
    if (FollowedPrefixCount(*host) > 0) {
      store_.SetPortBehaviour(host->storePort_, StoreBehaviour::Refusing);
      break;
    }
  }
  WriteConfiguration(8);
  RunUntil([this] { return IsVersionInEffectAtAllHosts(8); });
}

} // namespace pumiceturn::adapter
