#include "Tests/Platform/ResumingFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

using nlohmann::json;

/// Two services whose software has the same version name, and entry hosts. The
/// events of the second service's endpoints have the text of "v2".
class RouteServicesFixture : protected ResumingFixture
{
protected:
  RouteServicesFixture()
  {
    for (int number = 0; number < 2; ++number) {
      AddServerOf("service",
                  fmt::format("i-{}", number),
                  std::string(ServerStandin::kDefaultVersion));
      AddServerOf("second", fmt::format("j-{}", number), "v2");
    }
  }

  /// Writes the next configuration, in which the route for resumable streams
  /// goes to these services, and waits until all hosts use it.
  void WriteRoute(const std::vector<std::string>& aServices)
  {
    json route = MakeTestRoute("resumable", "stream");
    route["resumable"] = true;
    route["timeoutMs"] = timeoutMs_;
    route["service"] = aServices.front();
    if (aServices.size() > 1) {
      for (const std::string& service : aServices) {
        route["trafficSplit"].push_back(
          { { "service", service }, { "weight", 1 } });
      }
    }
    routes_[0] = std::move(route);
    WriteRoutes();
  }

  /// Adds a route for resumable streams to the second service, below the
  /// prefix of the first one.
  void WriteNarrowerRoute()
  {
    json route = MakeTestRoute("narrower", "stream");
    route["resumable"] = true;
    route["prefix"] = routes_[0]["prefix"];
    route["service"] = "second";
    routes_[0]["prefix"] = "/";
    WriteRoutes();
    routes_.push_back(std::move(route));
    WriteRoutes();
  }

  void Disconnect(TestHost& aHost)
  {
    RunUntil([this] { return DisconnectedCount() == kRounds; });
    aHost.gateway_.reset();
    store_.Remove("pumiceturn/host/entry-1");
  }

  /// Begins a stream in each round.
  /// @return their versions.
  std::vector<std::string> BeginStreams(TestHost& aHost)
  {
    std::vector<std::string> versions;
    versions.reserve(kRounds);
    for (int round = 0; round < kRounds; ++round) {
      versions.push_back(BeginStream(aHost, fmt::format("r{}", round)));
    }
    return versions;
  }

  /// Resumes the streams of all rounds, each of which must go on at its
  /// version.
  void CheckStreamsGoOn(TestHost& aHost,
                        const std::vector<std::string>& aVersions)
  {
    for (int round = 0; round < kRounds; ++round) {
      const std::string id = fmt::format("r{}", round);
      CHECK(Resume(aHost, id + "-again", id)->body_ ==
            WholeStream(aVersions[round], 2));
    }
  }

  /// Runs for a time that is far above a write to the store.
  void LetHostsWrite()
  {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }

  void CheckIsRefused(const CallerCall& aCall)
  {
    CHECK(aCall.status_ == 503);
    CHECK_FALSE(aCall.retryAfter_.empty());
    CHECK(RequestCount() == 0);
  }

  int timeoutMs_ = 20000;

private:
  void AddServerOf(const std::string& aService,
                   const std::string& aId,
                   const std::string& aText)
  {
    servers_.push_back(std::make_unique<ServerStandin>(context_, aId));
    store_.Put("servers/" + aId,
               servers_.back()->Registration(aService, "ready"));
    servers_.back()->SetVersion(aText);
  }

  void WriteRoutes()
  {
    const json services = { { { "name", "service" }, { "maxConns", 100 } },
                            { { "name", "second" }, { "maxConns", 100 } } };
    store_.Put("op/config",
               json{ { "version", ++configuration_ },
                     { "routes", routes_ },
                     { "services", services } }
                 .dump());
    for (const auto& host : hosts_) {
      RunUntil([&] {
        return Metrics(*host).find(fmt::format(
                 "pumiceturn_configuration_version {}", configuration_)) !=
               std::string::npos;
      });
    }
  }

  json routes_ = json::array({ nullptr });
  int configuration_ = 0;
};

// Guards against joining a stream of one of a route's services to the other, as
// their software has the same version.
TEST_CASE_METHOD(RouteServicesFixture,
                 "SplitRoute_ResumedStreamIsUnknown_IsRefusedAsNotRun")
{
  WriteRoute({ "service", "second" });
  TestHost& host = StartEntry("entry-1");
  CheckIsRefused(*Resume(host, "r1", "never-begun"));
}

// Guards against the same after the host that began the streams was lost, and
// against refusing them: they have records, as beside several versions.
TEST_CASE_METHOD(RouteServicesFixture,
                 "SplitRoute_EntryHostRestarts_StreamsGoOnAtTheirService")
{
  WriteRoute({ "service", "second" });
  TestHost& first = StartEntry("entry-1");
  const auto versions = BeginStreams(first);
  LetHostsWrite();
  Disconnect(first);
  CheckStreamsGoOn(StartEntry("entry-1"), versions);
}

// Guards against streams without a record when the operator adds a service to
// the route that they run on.
TEST_CASE_METHOD(RouteServicesFixture,
                 "SplitRoute_ServiceIsAdded_RunningStreamsGoOnAtTheirService")
{
  WriteRoute({ "service" });
  TestHost& first = StartEntry("entry-1");
  const auto versions = BeginStreams(first);
  WriteRoute({ "service", "second" });
  LetHostsWrite();
  Disconnect(first);
  CheckStreamsGoOn(StartEntry("entry-1"), versions);
}

// Guards against joining a stream to another service after the operator moved
// its route there.
TEST_CASE_METHOD(RouteServicesFixture,
                 "MovedRoute_ResumedStreamIsUnknown_IsRefusedAsNotRun")
{
  WriteRoute({ "service" });
  TestHost& host = StartEntry("entry-1");
  WriteRoute({ "second" });
  CheckIsRefused(*Resume(host, "r1", "never-begun"));
}

// Guards against the same where a new route takes over a part of the paths of
// another one.
TEST_CASE_METHOD(RouteServicesFixture,
                 "MovedRoute_NarrowerRouteIsAdded_UnknownStreamIsRefused")
{
  WriteRoute({ "service" });
  TestHost& host = StartEntry("entry-1");
  WriteNarrowerRoute();
  CheckIsRefused(*Resume(host, "r1", "never-begun"));
}

// Guards against the same at a host that has started since.
TEST_CASE_METHOD(RouteServicesFixture,
                 "MovedRoute_EntryHostRestarts_UnknownStreamIsRefused")
{
  WriteRoute({ "service" });
  TestHost& first = StartEntry("entry-1");
  WriteRoute({ "second" });
  LetHostsWrite();
  first.gateway_.reset();
  store_.Remove("pumiceturn/host/entry-1");
  CheckIsRefused(*Resume(StartEntry("entry-1"), "r1", "never-begun"));
}

TEST_CASE_METHOD(RouteServicesFixture,
                 "MovedRoute_StreamHasARecord_IsRefusedAsNotRun")
{
  WriteRoute({ "service" });
  TestHost& host = StartEntry("entry-1");
  BeginStream(host, "r1");
  WriteRoute({ "second" });
  const std::size_t before = RequestCount();
  CHECK(Resume(host, "r2", "r1")->status_ == 503);
  CHECK(RequestCount() == before);
}

// Guards against joining streams that began under a longer timeout, which the
// operator lowers along with the move.
TEST_CASE_METHOD(RouteServicesFixture,
                 "MovedRoute_TimeoutIsLowered_UnknownStreamIsRefused")
{
  WriteRoute({ "service" });
  TestHost& host = StartEntry("entry-1");
  timeoutMs_ = 900;
  WriteRoute({ "second" });
  // Longer than streams last under the new timeout.
  LetHostsWrite();
  LetHostsWrite();
  CheckIsRefused(*Resume(host, "r1", "never-begun"));
}

// Guards against refusing streams for good after a route was moved.
TEST_CASE_METHOD(RouteServicesFixture, "MovedRoute_LongAgo_ResumedStreamGoesOn")
{
  timeoutMs_ = 400;
  WriteRoute({ "service" });
  TestHost& host = StartEntry("entry-1");
  WriteRoute({ "second" });
  RunUntil([&] {
    return Resume(host, "r2", "never-begun")->body_ == WholeStream("v2", 2);
  });
  CHECK(servers_.front()->Requests().empty());
}

} // namespace pumiceturn::adapter
