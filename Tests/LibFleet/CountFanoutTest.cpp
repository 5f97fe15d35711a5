#include "LibFleet/CountFanout.h"

#include "LibFleet/CellMap.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

using std::chrono::milliseconds;

class CountFanoutFixture
{
protected:
  using Key = CountFanout::MessageKey;

  static EndpointCounts Online(const std::string& aEndpoint,
                               std::uint32_t aAttempts)
  {
    return { aEndpoint, { aAttempts, 0 }, false };
  }

  /// Endpoints are named "CELL-NUMBER".
  static std::optional<std::size_t> CellOf(const std::string& aEndpoint)
  {
    return std::stoul(aEndpoint);
  }

  static CountFanout Make(const CountUpdate& aUpdate,
                          bool aIsWorker,
                          bool aIsRemoteDue)
  {
    return { aUpdate, aIsWorker, aIsRemoteDue, CellOf };
  }

  const EndpointCounts own_ = Online("1-1", 2);
  const EndpointCounts foreign_ = Online("2-1", 1);
  const CountUpdate full_{ true, { own_, foreign_ }, { foreign_ } };
  const CountUpdate change_{ false, { foreign_ }, { foreign_ } };
};

TEST_CASE_METHOD(CountFanoutFixture, "CountFanout_Neighbours_ReceiveAll")
{
  const CountFanout fanout = Make(full_, false, false);
  const auto key = fanout.KeyFor(CellMap::Relation::Neighbour, 1);
  REQUIRE(key);
  CHECK(*key == Key{ true, std::nullopt });
  CHECK(fanout.CountsFor(*key).size() == 2);
}

// Guards against a worker that learns of an attempt only with the next full
// update.
TEST_CASE_METHOD(CountFanoutFixture,
                 "CountFanout_WorkerNotDue_ReceivesChangesOfFullUpdate")
{
  const CountFanout fanout = Make(full_, false, false);
  const auto key = fanout.KeyFor(CellMap::Relation::Remote, std::nullopt);
  REQUIRE(key);
  CHECK_FALSE(key->isFull_);
  CHECK(fanout.CountsFor(*key) == std::vector{ foreign_ });
}

TEST_CASE_METHOD(CountFanoutFixture,
                 "CountFanout_FromWorker_IsLimitedToCellOfEntryHost")
{
  const CountFanout due = Make(full_, true, true);
  const auto key = due.KeyFor(CellMap::Relation::Remote, 1);
  REQUIRE(key);
  CHECK(*key == Key{ true, 1 });
  CHECK(due.CountsFor(*key) == std::vector{ own_ });
  const CountFanout notDue = Make(change_, true, false);
  CHECK_FALSE(notDue.KeyFor(CellMap::Relation::Remote, 1));
  CHECK(notDue.KeyFor(CellMap::Relation::Remote, 2));
}

// Guards against overload of a cell whose hosts don't know of the attempts that
// a host of a full cell sends there.
TEST_CASE_METHOD(CountFanoutFixture,
                 "CountFanout_AttemptInOtherCell_IsSentToThatCell")
{
  const CountFanout change = Make(change_, false, false);
  const auto key = change.KeyFor(CellMap::Relation::Stranger, 2);
  REQUIRE(key);
  CHECK(change.CountsFor(*key) == std::vector{ foreign_ });
  CHECK_FALSE(change.KeyFor(CellMap::Relation::Stranger, 3));
  // The attempt lasts longer than counts are kept.
  const CountFanout renewal =
    Make({ true, { own_, foreign_ }, {} }, false, true);
  const auto renewalKey = renewal.KeyFor(CellMap::Relation::Stranger, 2);
  REQUIRE(renewalKey);
  CHECK_FALSE(renewalKey->isFull_);
  CHECK(renewal.CountsFor(*renewalKey) == std::vector{ foreign_ });
}

/// Hosts with two requests a second each that exchange counts on virtual time.
class CountExchangeFixture
{
protected:
  static constexpr std::size_t kEndpointsPerHost = 2;
  static constexpr std::size_t kWorkers = 5;
  static constexpr milliseconds kStep{ 10 };
  static constexpr milliseconds kRemoteInterval{ 200 };
  static constexpr milliseconds kRequestTime{ 100 };
  static constexpr double kRequestsPerSecond = 2.0;

  /// @return the datagrams that an entry host receives in a second.
  double ReceivedPerSecond(std::size_t aHosts)
  {
    std::vector<std::string> hosts;
    std::vector<std::string> endpoints;
    for (std::size_t index = 0; index < aHosts; ++index) {
      hosts.push_back("host-" + std::to_string(index));
    }
    for (std::size_t index = 0; index < aHosts * kEndpointsPerHost; ++index) {
      endpoints.push_back("endpoint-" + std::to_string(index));
    }
    const std::size_t cells = CellCountFor(aHosts);
    const auto cellOfEndpoint = AssignCells(endpoints, cells);
    const auto cellOfHost = AssignCells(hosts, cells);
    std::size_t received = 0;
    for (const std::string& host : hosts) {
      received += ReceivedFrom(host, hosts, cellOfHost, cellOfEndpoint);
    }
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      // A worker without attempts sends only its full updates.
      received += aHosts * (kSecond / kRemoteInterval) * kSeconds;
    }
    return static_cast<double>(received) /
           static_cast<double>(aHosts * kSeconds);
  }

private:
  static constexpr milliseconds kSecond{ 1000 };
  static constexpr std::size_t kSeconds = 2;

  using Cells = std::unordered_map<std::string, std::size_t>;

  /// @return the datagrams that a host sends to entry hosts.
  std::size_t ReceivedFrom(const std::string& aSender,
                           const std::vector<std::string>& aHosts,
                           const Cells& aCellOfHost,
                           const Cells& aCellOfEndpoint)
  {
    CellMap map(aSender, false);
    map.Update(aHosts, true);
    std::vector<std::string> candidates;
    for (const auto& [endpoint, cell] : aCellOfEndpoint) {
      if (cell == aCellOfHost.at(aSender)) {
        candidates.push_back(endpoint);
      }
    }
    std::size_t neighbours = 0;
    for (const std::string& host : aHosts) {
      neighbours += map.RelationTo(host, false) == CellMap::Relation::Neighbour;
    }
    const base::Duration interval = CountPublisher::Interval(neighbours);
    CountPublisher publisher;
    base::Instant remoteUpdateAt;
    base::Instant nextUpdateAt = start_;
    std::multimap<base::Instant, std::string> running;
    std::size_t sent = 0;
    for (base::Instant now = start_; now < start_ + kSecond * kSeconds;
         now += kStep) {
      running.erase(running.begin(), running.lower_bound(now));
      if (std::bernoulli_distribution(kRequestsPerSecond * kStep.count() /
                                      kSecond.count())(random_)) {
        std::uniform_int_distribution<std::size_t> draw(0,
                                                        candidates.size() - 1);
        running.emplace(now + kRequestTime, candidates[draw(random_)]);
      }
      if (now < nextUpdateAt) {
        continue;
      }
      nextUpdateAt = now + interval;
      std::vector<EndpointCounts> counts;
      for (const auto& [end, endpoint] : running) {
        counts.push_back({ endpoint, { 1, 0 }, false });
      }
      const auto update = publisher.Next(counts, now);
      if (!update) {
        continue;
      }
      const bool isRemoteDue =
        update->isFull_ && now - remoteUpdateAt >= kRemoteInterval;
      const CountFanout fanout(
        *update,
        false,
        isRemoteDue,
        [&aCellOfEndpoint](const std::string& aEndpoint) {
          return std::optional(aCellOfEndpoint.at(aEndpoint));
        });
      for (const std::string& host : aHosts) {
        const bool isSent =
          host != aSender &&
          fanout.KeyFor(map.RelationTo(host, false), map.CellOf(host));
        sent += isSent ? 1 : 0;
      }
      remoteUpdateAt = isRemoteDue ? now : remoteUpdateAt;
    }
    return sent;
  }

  base::Instant start_{ std::chrono::hours(1) };
  std::mt19937_64 random_{ 1 };
};

// Guards against an exchange that takes all of a small host's processor in a
// large fleet. The bound is that of a fleet of one cell.
TEST_CASE_METHOD(CountExchangeFixture,
                 "CountExchange_FleetGrows_DatagramsOfAHostStayFlat")
{
  const double at100 = ReceivedPerSecond(100);
  const double at300 = ReceivedPerSecond(300);
  const double at1000 = ReceivedPerSecond(1000);
  INFO(at100 << ", " << at300 << ", " << at1000);
  CHECK(at100 <= 800.0);
  CHECK(at300 <= 800.0);
  CHECK(at1000 <= 800.0);
  // Cells have between half of the maximum number of hosts and all of it.
  CHECK(at1000 <= 2.0 * at100);
}

} // namespace pumiceturn::fleet
