#include "Tests/Platform/GatewayFixture.h"

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace pumiceturn::adapter {

/// Three hosts that hear each other.
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
    // Followers change while the hosts begin to hear each other.
    constexpr int kLooks = 20;
    int steadyLooks = 0;
    RunUntil([this, &steadyLooks] {
      if (steadyLooks < kLooks) {
        steadyLooks = HasOneFollowerEach() ? steadyLooks + 1 : 0;
      }
      return steadyLooks == kLooks;
    });
  }

  /// @return how many prefixes a host follows.
  [[nodiscard]] int FollowedBy(const TestHost& aHost)
  {
    const std::string name = "\npumiceturn_store_prefixes_followed ";
    const std::string page = Metrics(aHost);
    const auto found = page.find(name);
    return found == std::string::npos
             ? 0
             : std::stoi(page.substr(found + name.size()));
  }

  /// @return whether each of the four prefixes is followed once, and all hosts
  ///         hear each other.
  [[nodiscard]] bool HasOneFollowerEach()
  {
    int followed = 0;
    for (const auto& host : hosts_) {
      followed += FollowedBy(*host);
      if (Metrics(*host).find("pumiceturn_peers_heard 2") ==
          std::string::npos) {
        return false;
      }
    }
    return followed == 4;
  }

  [[nodiscard]] bool IsInForceEverywhere(std::uint64_t aVersion)
  {
    for (const auto& host : hosts_) {
      const auto call = Ask(*host,
                            "POST",
                            fmt::format("/v{}/1", aVersion),
                            "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
      if (call->status_ != 200) {
        return false;
      }
    }
    return true;
  }

  /// Its calls to the store are still under way.
  std::unique_ptr<TestHost> gone_;
};

TEST_CASE_METHOD(FollowingFixture,
                 "Following_ConfigurationChanges_IsInForceAtAllHosts")
{
  WriteConfiguration(8);
  RunUntil([this] { return IsInForceEverywhere(8); });
}

TEST_CASE_METHOD(FollowingFixture, "Following_ServerIsAdded_AllHostsUseIt")
{
  ServerStandin& added = AddServer("i-2");
  for (const auto& host : hosts_) {
    const std::size_t before = added.Requests().size();
    RunUntil([&] {
      (void)Ask(
        *host, "POST", "/once/1", "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
      return added.Requests().size() > before;
    });
  }
}

// A configuration reaches nobody: the host that followed the store for the
// others was killed, and they went on waiting for its word.
TEST_CASE_METHOD(FollowingFixture,
                 "Following_FollowerVanishes_OthersLearnOfChanges")
{
  for (auto host = hosts_.begin(); host != hosts_.end(); ++host) {
    if (FollowedBy(**host) > 0) {
      (*host)->gateway_.reset();
      gone_ = std::move(*host);
      hosts_.erase(host);
      break;
    }
  }
  WriteConfiguration(8);
  RunUntil([this] { return IsInForceEverywhere(8); });
}

// A host that the store turns away has nobody follow for it: it must step back
// as a follower, or all others keep its old copy.
TEST_CASE_METHOD(FollowingFixture,
                 "Following_FollowersAreTurnedAway_ChangesStillArrive")
{
  for (const auto& host : hosts_) {
    if (FollowedBy(*host) > 0) {
      store_.SetPortBehaviour(host->storePort_, StoreBehaviour::Refusing);
      break;
    }
  }
  WriteConfiguration(8);
  RunUntil([this] { return IsInForceEverywhere(8); });
}

} // namespace pumiceturn::adapter
