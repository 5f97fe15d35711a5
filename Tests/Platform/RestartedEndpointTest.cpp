#include "Tests/Platform/BatchJobsFixture.h"
#include "Tests/Platform/ResumingFixture.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

/// Endpoints that start again under their id with other software, before their
/// registrations say so.
class RestartedEndpointFixture : protected BatchJobsFixture
{
protected:
  RestartedEndpointFixture()
  {
    RunUntil([this] {
      return SendToAndWait(Loopback(entry_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }

  /// @param aServer Must not have got a request, as its connections stay open.
  static void RestartAs(ServerStandin& aServer, const std::string& aVersion)
  {
    REQUIRE(aServer.Requests().empty());
    aServer.SimulateRestart();
    aServer.SetVersion(aVersion);
  }

  /// Begins the stream r1, which stops after three events.
  std::unique_ptr<CallerCall> BeginStream()
  {
    return SendTo(Loopback(entry_->callerPort_),
                  "POST",
                  "/resumable/hold-3",
                  "Attempt-Id: r1\r\n",
                  {});
  }

  void Register(const std::string& aId, const ServerStandin& aServer)
  {
    store_.Put("servers/" + aId, aServer.Registration("service", "ready"));
  }

  /// Waits until one of the servers has got a request.
  /// @return the index of that server.
  std::size_t WaitForRequest()
  {
    RunUntil([this] { return RequestCount() == 1; });
    return servers_[0]->Requests().empty() ? 1 : 0;
  }
};

// Guards against a rest that is asked for at the next process under an
// endpoint's id, which has another software version.
TEST_CASE_METHOD(RestartedEndpointFixture,
                 "RestartedEndpoint_StreamBreaks_RestIsNotOfOtherVersion")
{
  const auto call = BeginStream();
  const std::size_t first = WaitForRequest();
  RunUntil([&] { return call->body_.find("id: 3") != std::string::npos; });
  RestartAs(*servers_[1 - first], "v2");
  servers_[first]->Crash();
  RunUntil([&] { return call->HasEnded(); });
  CHECK(WholeStream().starts_with(call->body_));
  CHECK(call->outcome_ == httpstream::CallOutcome::Broken);
  CHECK(servers_[1 - first]->Requests().empty());
}

// Guards against a caller that gets the rest of its stream from the next
// process under an endpoint's id, which has another software version.
TEST_CASE_METHOD(RestartedEndpointFixture,
                 "RestartedEndpoint_CallerResumes_RestIsNotOfOtherVersion")
{
  const auto call = BeginStream();
  const std::size_t first = WaitForRequest();
  RunUntil([&] { return call->body_.find("id: 3") != std::string::npos; });
  RestartAs(*servers_[1 - first], "v2");
  call->connection_->Cancel();
  servers_[first]->Crash();
  const auto rest =
    SendAndWait(*entry_,
                "POST",
                "/resumable/1",
                "Attempt-Id: r2\r\nLast-Event-Id: 3\r\nResumes: r1\r\n");
  CHECK(rest->status_ != 200);
  CHECK(servers_[1 - first]->Requests().empty());
}

// Guards against a stream that is recorded under the software version of the
// former process of the endpoint that began it, and joined to that version
// later.
TEST_CASE_METHOD(RestartedEndpointFixture,
                 "RestartedEndpoint_BeginsStream_RestIsOfItsVersion")
{
  constexpr int kRounds = 8;
  RestartAs(*servers_[1], "v2");
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = fmt::format("r{}", round);
    const auto call = SendTo(Loopback(entry_->callerPort_),
                             "POST",
                             "/resumable/hold-2",
                             fmt::format("Attempt-Id: {}\r\n", id),
                             {});
    RunUntil([&] { return call->body_.find("id: 2") != std::string::npos; });
    call->connection_->Cancel();
    const bool isFirst = WholeStream("v1").starts_with(call->body_);
    const auto rest = SendAndWait(
      *entry_,
      "POST",
      "/resumable/1",
      fmt::format(
        "Attempt-Id: {0}-again\r\nLast-Event-Id: 2\r\nResumes: {0}\r\n", id));
    CHECK(rest->body_ == WholeStream(isFirst ? "v1" : "v2", 2));
  }
}

// Guards against endpoints that serve no streams, as their reports don't name
// the start of their process.
TEST_CASE_METHOD(RestartedEndpointFixture,
                 "RestartedEndpoint_NamesNoStart_ServesStreams")
{
  for (const auto& server : servers_) {
    server->SetReportsStart(false);
  }
  CHECK(
    SendAndWait(*entry_, "POST", "/resumable/1", "Attempt-Id: r1\r\n")->body_ ==
    WholeStream());
  CHECK(Submit(*entry_, 1) == 202);
  CHECK(WaitForAll(*entry_, 1)["results"][0]["output"] == WholeOutput());
}

// Guards against an item's output that goes on at the next process under an
// endpoint's id, which has another software version.
TEST_CASE_METHOD(RestartedEndpointFixture,
                 "RestartedEndpoint_ItemIsInterrupted_OutputIsOfOneVersion")
{
  for (const auto& server : servers_) {
    server->Enqueue({ ServerScript::Kind::Hold, 3, 0 });
  }
  CHECK(Submit(*entry_, 1) == 202);
  const std::size_t first = WaitForRequest();
  ServerStandin& other = *servers_[1 - first];
  other.ClearScripts();
  RestartAs(other, "v2");
  servers_[first]->End();
  store_.Remove(first == 0 ? "servers/i-1" : "servers/i-2");
  // Long enough for an attempt at the other endpoint.
  const auto registeredAt =
    std::chrono::steady_clock::now() + std::chrono::seconds(1);
  RunUntil([&] { return std::chrono::steady_clock::now() >= registeredAt; });
  Register(first == 0 ? "i-2" : "i-1", other);
  CHECK(WaitForAll(*entry_, 1)["results"][0]["output"] == WholeOutput("v2"));
}

/// The only endpoint of a service starts again.
class OnlyEndpointFixture : protected ResumingFixture
{};

// Guards against a stream that is recorded under the software version of an
// endpoint's former process, on a connection that was opened a moment after
// that process's last word.
TEST_CASE_METHOD(OnlyEndpointFixture,
                 "RestartedEndpoint_StartsAgainAtOnce_NextProcessIsNotTrusted")
{
  WriteConfiguration(1);
  ServerStandin& server = AddServer("i-1");
  TestHost& host = StartEntry("entry");
  const auto first = SendTo(Loopback(host.callerPort_),
                            "POST",
                            "/resumable/hold-2",
                            "Attempt-Id: r1\r\n",
                            {});
  RunUntil([&] { return first->body_.find("id: 2") != std::string::npos; });
  // Its registration still has the former version and start.
  server.SimulateRestart();
  server.SetVersion("v2");
  const auto second = SendTo(Loopback(host.callerPort_),
                             "POST",
                             "/resumable/hold-2",
                             "Attempt-Id: r2\r\n",
                             {});
  RunUntil([&] {
    return second->HasEnded() ||
           second->body_.find("id: 2") != std::string::npos;
  });
  CHECK(second->body_.find("@v2") == std::string::npos);
  CHECK(server.Requests().size() == 1);
  first->connection_->Cancel();
  second->connection_->Cancel();
  RunUntil([&] { return DisconnectedCount() == server.Requests().size(); });
}

} // namespace pumiceturn::adapter
