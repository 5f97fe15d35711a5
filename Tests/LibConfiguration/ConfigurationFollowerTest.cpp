#include "LibConfiguration/ConfigurationFollower.h"
#include "LibConfiguration/ConfigurationStore.h"
#include "LibStandin/KeyValueStandin.h"
#include "Samples.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace pumiceturn::configuration {

using namespace std::chrono_literals;
using base::Capture;

namespace {

constexpr std::chrono::seconds kLongestWait{ 60 };

/// Processes that can reach each other, by name. Messages arrive at once.
class Fleet
{
public:
  explicit Fleet(std::string aAddress)
    : address_(std::move(aAddress))
  {
  }

  ~Fleet()
  {
    for (const auto& [name, node] : nodes_) {
      node->follower_->Stop();
    }
    pool_.Stop();
    nodes_.clear();
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts a process. It announces each version it installs to all others.
  void Start(const std::string& aName, PlatformUse aUse, const Scope& aScope)
  {
    auto node = std::make_unique<Node>();
    node->client_ = MakeClient();
    ConfigurationFollower::Options options;
    options.platformUse_ = aUse;
    options.scope_ = aScope;
    options.pollInterval_ =
      aUse == PlatformUse::Watch ? 200ms : base::Duration{ 1h };
    node->follower_ = std::make_shared<ConfigurationFollower>(
      options,
      *node->client_,
      node->cache_,
      pool_,
      [this, aName](const std::string& aPeer, wire::Message aMessage) {
        return Deliver(aName, aPeer, std::move(aMessage));
      });
    node->cache_.Subscribe(
      [this, aName](const auto& aSnapshot) { OnInstalled(aName, aSnapshot); });
    const std::lock_guard lock(mutex_);
    node->follower_->Start();
    for (const auto& [name, other] : nodes_) {
      const auto version = other->cache_.Current()->Version();
      node->follower_->OnHeartbeatVersion(name, version);
    }
    nodes_[aName] = std::move(node);
  }

  /// Waits until a process has a version. @return whether it came to have it.
  bool WaitFor(const std::string& aName, std::uint64_t aVersion)
  {
    std::unique_lock lock(mutex_);
    return installed_.wait_for(lock, kLongestWait, [&] {
      return nodes_.at(aName)->cache_.Current()->Version() == aVersion;
    });
  }

  [[nodiscard]] ConfigurationCache::SnapshotPointer Current(
    const std::string& aName) const
  {
    return nodes_.at(aName)->cache_.Current();
  }

  [[nodiscard]] std::uint64_t CallsOf(const std::string& aName) const
  {
    return nodes_.at(aName)->client_->CallCount();
  }

  [[nodiscard]] std::unique_ptr<platform::KeyValueClient> MakeClient() const
  {
    platform::KeyValueClient::Options options;
    options.addresses_ = { address_ };
    options.callsPerSecond_ = 1000.0;
    options.callTimeout_ = 30s; // Bounds a hang; no test waits for it.
    return platform::KeyValueClient::Make(std::move(options));
  }

private:
  struct Node
  {
    std::unique_ptr<platform::KeyValueClient> client_;
    ConfigurationCache cache_;
    std::shared_ptr<ConfigurationFollower> follower_;
  };

  base::ResultCode Deliver(const std::string& aFrom,
                           const std::string& aTo,
                           wire::Message aMessage)
  {
    const std::lock_guard lock(mutex_);
    const auto node = nodes_.find(aTo);
    if (node == nodes_.end()) {
      return base::ResultCode::Disconnected;
    }
    ConfigurationFollower& follower = *node->second->follower_;
    if (auto* fetch = std::get_if<wire::FetchConfiguration>(&aMessage)) {
      follower.OnMessage(aFrom, std::move(*fetch));
    }
    if (auto* content = std::get_if<wire::ConfigurationContent>(&aMessage)) {
      follower.OnMessage(aFrom, std::move(*content));
    }
    return base::ResultCode::Ok;
  }

  void OnInstalled(const std::string& aName,
                   const ConfigurationCache::SnapshotPointer& aSnapshot)
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, node] : nodes_) {
      if (name != aName) {
        node->follower_->OnHeartbeatVersion(aName, aSnapshot->Version());
      }
    }
    installed_.notify_all();
  }

  std::string address_;
  base::WorkerPool pool_{ 4 };
  std::mutex mutex_;
  std::condition_variable installed_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
};

struct FollowerFixture
{
  FollowerFixture()
    : service_(std::get<0>(
        Capture([] { return standin::KeyValueStandin::Start({}); })))
    , fleet_("127.0.0.1:" + std::to_string(service_->Port()))
    , client_(fleet_.MakeClient())
    , store_(*client_, {}, [](const auto&) -> base::Result<void> { return {}; })
  {
  }

  void Apply(int aPartners, std::uint64_t aExpected)
  {
    const auto all = MakeDeclarations(aPartners);
    const auto outcome = Capture([&] {
      return store_.Apply({ all, aExpected, "asta", "", base::FromUnixMs(1) });
    });
    REQUIRE(outcome.index() == 0);
    REQUIRE(std::holds_alternative<Applied>(std::get<0>(outcome)));
  }

  void SetOutage(standin::Outage aOutage)
  {
    standin::KeyValueFaults faults;
    faults.outage_ = aOutage;
    service_->SetFaults(faults);
  }

  /// Waits until a watch is open. @return whether it came to be.
  [[nodiscard]] bool WaitForWatch() const
  {
    const base::Instant givenUpAt = base::MonotonicNow() + kLongestWait;
    while (service_->Stats().watchesOpen_ == 0) {
      if (base::MonotonicNow() > givenUpAt) {
        return false;
      }
      std::this_thread::yield();
    }
    return true;
  }

  std::unique_ptr<standin::KeyValueStandin> service_;
  Fleet fleet_;
  std::unique_ptr<platform::KeyValueClient> client_;
  ConfigurationStore store_;
};

} // namespace

TEST_CASE_METHOD(FollowerFixture, "Follower_Change_ReachesEntriesAndAgents")
{
  Apply(20, 0);
  fleet_.Start("entry", PlatformUse::Watch, {});
  REQUIRE(fleet_.WaitFor("entry", 1));
  fleet_.Start("keeper", PlatformUse::PollRarely, {});
  fleet_.Start("agent", PlatformUse::PollRarely, { "origin-llm" });
  REQUIRE(fleet_.WaitFor("keeper", 1));
  REQUIRE(fleet_.WaitFor("agent", 1));
  Apply(21, 1);
  for (const char* name : { "entry", "keeper", "agent" }) {
    REQUIRE(fleet_.WaitFor(name, 2));
  }
  CHECK(fleet_.Current("keeper")->FindPartner("partner-20") != nullptr);
  CHECK(fleet_.Current("agent")->FindService("origin-llm") != nullptr);
  // Those that hear of changes from peers made no call of their own.
  CHECK(fleet_.CallsOf("keeper") == 0);
  CHECK(fleet_.CallsOf("agent") == 0);
}

// The service goes down for the rest of the run. What is in force stays, and a
// host that starts meanwhile takes it from a peer; when the service is back,
// the next change arrives.
TEST_CASE_METHOD(FollowerFixture, "Follower_Outage_KeepsAndSpreadsTheLast")
{
  Apply(5, 0);
  fleet_.Start("entry", PlatformUse::Watch, {});
  REQUIRE(fleet_.WaitFor("entry", 1));
  SetOutage(standin::Outage::Drop);
  service_->DropWatches();
  fleet_.Start("restarted", PlatformUse::Watch, {});
  REQUIRE(fleet_.WaitFor("restarted", 1));
  CHECK(fleet_.Current("entry")->Version() == 1);
  SetOutage(standin::Outage::None);
  Apply(6, 1);
  REQUIRE(fleet_.WaitFor("entry", 2));
  REQUIRE(fleet_.WaitFor("restarted", 2));
}

// Something between the ends forgets the watch's connection: it stays open and
// says nothing more, so an entry that trusted it would keep an old
// configuration for good. The poll beside it finds the change.
TEST_CASE_METHOD(FollowerFixture, "Follower_WatchSilent_PollFindsTheChange")
{
  Apply(5, 0);
  fleet_.Start("entry", PlatformUse::Watch, {});
  REQUIRE(fleet_.WaitFor("entry", 1));
  REQUIRE(WaitForWatch());
  service_->SilenceWatches();
  Apply(6, 1);
  CHECK(fleet_.WaitFor("entry", 2));
}

} // namespace pumiceturn::configuration
