#include "Tests/Platform/RawServerFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace pumiceturn::adapter {

/// Servers that break streams off before their last event.
class BrokenStreamFixture : protected RawServerFixture
{
protected:
  /// Nearly all streams go to a server with kManySlots first, and then to one
  /// with kFewerSlots.
  static constexpr int kManySlots = 10'000;
  static constexpr int kFewerSlots = 100;
  static constexpr std::string_view kNotRun =
    "HTTP/1.1 503 Unavailable\r\nServer-Seal: seal\r\nAttempt-Id: r1\r\n"
    "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

  /// Starts a host with one route, whose streams can be resumed.
  void StartWithAttempts(int aMaxAttempts)
  {
    nlohmann::json route = MakeTestRoute("resumable", "stream");
    route["resumable"] = true;
    route["maxAttempts"] = aMaxAttempts;
    store_.Put(
      "op/config",
      nlohmann::json{
        { "version", 1 },
        { "routes", { route } },
        { "services", { { { "name", "service" }, { "maxConns", 100 } } } } }
        .dump());
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    RunUntil([this] {
      return SendToAndWait(Loopback(host_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }

  /// Adds a server that is asked last.
  /// @param aFirst The first event of its answer to the first request for a
  ///   rest; later ones get no event.
  void AddServerWithRest(const std::string& aName, std::uint64_t aFirst)
  {
    RawServer& server = MakeRawServer(aName,
                                      StreamFrom(1, ServerStandin::kEventCount),
                                      RawServer::End::Orderly);
    server.SetRest(StreamFrom(aFirst, ServerStandin::kEventCount));
    server.SetLaterAnswer(1, StreamHead());
    Register(aName, server, "ready", 1, 1);
  }

  /// @return the beginning of a response that is longer.
  static std::string Beginning(std::uint64_t aLastEvent)
  {
    return "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: r1\r\n"
           "Content-Type: text/event-stream\r\nContent-Length: 9999\r\n\r\n" +
           EventsFrom(1, aLastEvent);
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    std::size_t count = 0;
    for (const auto& server : rawServers_) {
      count += server->Requests().size();
    }
    return count;
  }
};

// Guards against a request that runs at more endpoints than its route allows,
// as one that resets new connections is taken for one that ended.
TEST_CASE_METHOD(BrokenStreamFixture,
                 "BrokenStream_EndpointResetsNewConnections_CountsAsAttempt")
{
  for (const char* name : { "i-1", "i-2" }) {
    AddRawServer(name, Beginning(2), RawServer::End::Reset)
      .SetResetsNewConnections(true);
  }
  StartWithAttempts(1);
  CHECK(Call("/resumable/1")->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(RequestCount() == 1);
}

// Guards against a stream that isn't continued, as the endpoint's process ended
// but its listening socket was closed a moment later.
TEST_CASE_METHOD(BrokenStreamFixture,
                 "BrokenStream_ListenerClosesLast_GoesOnElsewhere")
{
  AddRawServer("i-1", Beginning(2), RawServer::End::ProcessSlowly);
  AddServer("i-2");
  StartWithAttempts(1);
  CHECK(CallAtRawServer("/resumable/1")->body_ == WholeStream());
}

// Guards against a stream that isn't continued, as the endpoint's next process
// answers in its place.
TEST_CASE_METHOD(BrokenStreamFixture,
                 "BrokenStream_NextProcessAnswers_GoesOnElsewhere")
{
  AddRawServer("i-1", Beginning(2), RawServer::End::Restart);
  AddServer("i-2");
  StartWithAttempts(1);
  CHECK(CallAtRawServer("/resumable/1")->body_ == WholeStream());
}

// Guards against a stream that isn't continued, as an endpoint that refused it
// before it began counts as an attempt.
TEST_CASE_METHOD(BrokenStreamFixture,
                 "BrokenStream_FirstEndpointRefusedIt_GoesOnAtThird")
{
  const RawServer& full =
    MakeRawServer("i-1", std::string(kNotRun), RawServer::End::Orderly);
  Register("i-1", full, "ready", 1, kManySlots);
  const RawServer& breaking =
    MakeRawServer("i-2", Beginning(2), RawServer::End::Reset);
  Register("i-2", breaking, "ready", 1, kFewerSlots);
  AddServerWithRest("i-3", 3);
  StartWithAttempts(2);
  const auto call = Call("/resumable/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
  CHECK(full.Requests().size() == 1);
  CHECK(breaking.Requests().size() == 1);
}

// Guards against a truncated stream that ends as complete, as all attempts of
// its route are used up, though one of them was lost with its server.
TEST_CASE_METHOD(BrokenStreamFixture,
                 "BrokenStream_NextServerTruncatesIt_ThirdIsAskedForRest")
{
  const RawServer& ending =
    MakeRawServer("i-1", Beginning(2), RawServer::End::Process);
  Register("i-1", ending, "ready", 1, kManySlots);
  RawServer& truncating =
    MakeRawServer("i-2", StreamFrom(3, 4), RawServer::End::Orderly);
  truncating.SetLaterAnswer(1, std::string(kNotRun));
  Register("i-2", truncating, "ready", 1, kFewerSlots);
  AddServerWithRest("i-3", 5);
  StartWithAttempts(2);
  const auto call = Call("/resumable/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

} // namespace pumiceturn::adapter
