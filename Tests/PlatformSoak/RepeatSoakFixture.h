#pragma once

#include "Tests/PlatformSoak/CallerConnection.h"
#include "Tests/PlatformSoak/FaultyServer.h"
#include "Tests/PlatformSoak/FleetSoakFixture.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes against servers that lose, reset, shorten and garble
/// responses, reset and delay connections, and restart in place, beside hosts
/// that are killed, stopped and suspended, a store that is away, and
/// configurations. Checks from what servers and callers see that no request
/// runs at more servers than its route allows, and that items which fail at
/// each run stop running.
class RepeatSoakFixture : protected FleetSoakFixture
{
protected:
  RepeatSoakFixture()
    : FleetSoakFixture("repeat")
  {
  }

  void Run(std::uint64_t aSeed, std::chrono::seconds aTime);

  struct RunCounts
  {
    int requests_ = 0;
    int whole_ = 0;
    int repeated_ = 0; ///< Requests that ran at several servers.
    int jobs_ = 0;
    int itemRuns_ = 0;
    int failingItems_ = 0;
    /// Failing items that got more failures than their route allows.
    int itemsBeyondMaximum_ = 0;
    int mostFailures_ = 0; ///< That one item got.
    int ownerChanges_ = 0;
    int serverEnds_ = 0;
    int resetConnections_ = 0;
  };
  [[nodiscard]] const RunCounts& Counts() const { return counts_; }
  [[nodiscard]] int RestartCount() const { return restarts_; }

private:
  struct Job
  {
    std::string id_;
    std::unique_ptr<CallerCall> call_;
    bool isAccepted_ = false;
    Clock::time_point nextCallAt_;
    std::map<std::string, std::string> states_; ///< Listed items.
    std::string owner_;
    int ownerChanges_ = 0;
  };
  /// What servers saw of an item.
  struct ItemRuns
  {
    int failures_ = 0;   ///< Answers of 500.
    int rejections_ = 0; ///< Answers of 422.
    int late_ = 0;       ///< Runs that began after enough answers.
  };

  void WriteConfiguration();
  void AddServer();
  [[nodiscard]] ServerPlan PlanFor(std::string_view aRequestId);
  void RestartServer(std::size_t aIndex);
  void DisturbServer();
  void DisturbHost();
  void DisturbSomething();

  boost::asio::awaitable<void> RunCaller();
  [[nodiscard]] std::shared_ptr<CallerRequest> MakeRequest();

  void AddJob();
  void StepJob(Job& aJob);
  void EndJobCall(Job& aJob);
  void FollowOwner(Job& aJob);
  [[nodiscard]] static bool IsListed(const Job& aJob);

  void Settle();
  void CheckRequests();
  void CheckItems();
  void CheckItem(const Job& aJob,
                 const std::string& aItem,
                 const ItemRuns& aRuns);
  [[nodiscard]] std::map<std::string, ItemRuns> CollectItemRuns() const;

  std::vector<boost::asio::ip::tcp::socket> reservedPorts_; ///< Of servers.
  /// All processes of servers; the last of each id may run.
  std::vector<std::unique_ptr<FaultyServer>> processes_;
  std::vector<FaultyServer*> servers_; ///< The process of each server.
  std::vector<std::shared_ptr<CallerRequest>> requests_;
  std::vector<std::unique_ptr<Job>> jobs_;
  RunCounts counts_;
  int version_ = 0;
  int nextId_ = 0;
  bool areFaultsOver_ = false;
};

} // namespace pumiceturn::adapter
