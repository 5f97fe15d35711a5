#include "Tests/Platform/BatchJobsFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace pumiceturn::adapter {

/// Batch routes to a second service, which has no endpoint at first.
class BatchServicesFixture : protected BatchJobsFixture
{
protected:
  BatchServicesFixture()
  {
    json small = MakeTestRoute("small", "batch");
    small["service"] = "small";
    small["dueMs"] = 30000;
    WriteRoutes({ MakeTestRoute("lots", "batch"), std::move(small) });
  }

  void WriteRoutes(json aRoutes)
  {
    const json services = { { { "name", "service" }, { "maxConns", 100 } },
                            { { "name", "small" }, { "maxConns", 100 } } };
    store_.Put("op/config",
               json{ { "version", ++version_ },
                     { "routes", std::move(aRoutes) },
                     { "services", services } }
                 .dump());
    RunUntil([this] {
      return Metrics(*entry_).find(
               fmt::format("pumiceturn_configuration_version {}", version_)) !=
             std::string::npos;
    });
  }

  void SubmitTo(const std::string& aRoute, const std::string& aJob, int aItems)
  {
    json job = json::parse(JobBody(aItems, aJob));
    for (json& item : job["items"]) {
      item["path"] = "/" + aRoute + "/1";
    }
    CHECK(SendAndWait(*entry_,
                      "POST",
                      "/" + aRoute + "/1",
                      "Attempt-Id: " + aJob + "\r\n",
                      job.dump())
            ->status_ == 202);
  }

  std::size_t CompletedOf(const std::string& aJob)
  {
    const auto call =
      SendAndWait(*entry_, "GET", "/api/lots/" + aJob + "?after=0");
    if (call->status_ != 200) {
      return 0;
    }
    const json page = json::parse(call->body_);
    std::size_t completed = 0;
    for (const json& result : page["results"]) {
      completed += result["state"] == "completed" ? 1 : 0;
    }
    return completed;
  }

  /// Waits until all items of a job are done, which must not take until those
  /// of the other job are due.
  void CheckIsServedSoon(const std::string& aJob, std::size_t aItems)
  {
    const auto start = std::chrono::steady_clock::now();
    RunUntil([&] { return CompletedOf(aJob) == aItems; });
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(8));
  }

  /// Runs long enough for the host to take over a job that was submitted.
  void LetItemsWait()
  {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }

  /// @return the waiting items of the entry host for a reason.
  std::string WaitingMetric(const std::string& aCause, std::size_t aItems)
  {
    return fmt::format(
      "pumiceturn_items_waiting{{cause=\"{}\"}} {}\n", aCause, aItems);
  }

  std::uint64_t version_ = 1;
};

// Guards against a service without endpoints holding up the batch jobs of all
// others.
TEST_CASE_METHOD(BatchServicesFixture,
                 "BatchServices_OneHasNoEndpoint_JobsOfOthersComplete")
{
  SubmitTo("small", "a1", 5);
  LetItemsWait();
  SubmitTo("lots", "b1", 5);
  CheckIsServedSoon("b1", 5);
  CHECK(CompletedOf("a1") == 0);
  CHECK(Metrics(*entry_).find(WaitingMetric("no_endpoint", 5)) !=
        std::string::npos);
  servers_.push_back(std::make_unique<ServerStandin>(context_, "i-3"));
  store_.Put("servers/i-3", servers_.back()->Registration("small", "ready"));
  RunUntil([this] { return CompletedOf("a1") == 5; });
}

// Guards against a service whose endpoints stay full holding up the batch jobs
// of all others.
TEST_CASE_METHOD(BatchServicesFixture,
                 "BatchServices_OneIsFull_JobsOfOthersComplete")
{
  servers_.push_back(std::make_unique<ServerStandin>(context_, "i-3"));
  servers_.back()->SetEventInterval(std::chrono::milliseconds(500));
  store_.Put("servers/i-3", servers_.back()->Registration("small", "ready"));
  SubmitTo("small", "a1", 12);
  RunUntil([this] { return !servers_.back()->Requests().empty(); });
  SubmitTo("lots", "b1", 5);
  CheckIsServedSoon("b1", 5);
  CHECK(servers_.back()->Requests().size() < 12);
}

// Guards against items of a split route waiting for a service that has no
// endpoint while another one of the route has.
TEST_CASE_METHOD(BatchServicesFixture,
                 "BatchServices_TargetOfSplitRouteIsGone_OtherTakesAllItems")
{
  json split = MakeTestRoute("lots", "batch");
  split.erase("service");
  split["trafficSplit"] = { { { "service", "small" }, { "weight", 95 } },
                            { { "service", "service" }, { "weight", 5 } } };
  WriteRoutes({ std::move(split) });
  SubmitTo("lots", "b1", 5);
  CheckIsServedSoon("b1", 5);
  CHECK(Metrics(*entry_).find(WaitingMetric("no_endpoint", 0)) !=
        std::string::npos);
}

} // namespace pumiceturn::adapter
