#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

using std::chrono::milliseconds;

/// A host, and endpoints that send nothing for a time and go on.
class SilenceFixture : protected GatewayFixture
{
protected:
  SilenceFixture()
  {
    nlohmann::json resumable = MakeTestRoute("resumable", "stream");
    resumable["resumable"] = true;
    nlohmann::json single = MakeTestRoute("single", "stream");
    single["resumable"] = true;
    single["maxAttempts"] = 1;
    nlohmann::json idempotent = MakeTestRoute("idempotent", "safe");
    store_.Put(
      "op/config",
      nlohmann::json{
        { "version", 1 },
        { "routes", { resumable, single, idempotent } },
        { "services", { { { "name", "service" }, { "maxConns", 100 } } } } }
        .dump());
  }

  void Start()
  {
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    RunUntil([this] {
      return SendToAndWait(Loopback(host_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }

  std::unique_ptr<CallerCall> Begin(const std::string& aPath)
  {
    return Send(host_->callerPort_,
                "POST",
                aPath,
                "Attempt-Id: r1\r\nDeadline-Ms: 6000\r\n");
  }

  std::unique_ptr<CallerCall> Call(const std::string& aPath)
  {
    auto call = Begin(aPath);
    RunUntil([&call] { return call->HasEnded(); });
    return call;
  }

  void SilenceAll(milliseconds aDuration)
  {
    for (const auto& server : servers_) {
      server->FallSilent(aDuration);
    }
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      count += server->Requests().size();
    }
    return count;
  }

  TestHost* host_ = nullptr;
};

// Guards against a stream that is aborted in its only attempt although its
// endpoint goes on.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_OnlyAttemptAllowed_StreamIsReceivedWhole")
{
  AddServer("i-1");
  AddServer("i-2");
  Start();
  const auto call = Call("/single/pause-1400");
  CHECK(call->body_ == WholeStream());
  CHECK(RequestCount() == 1);
}

// Guards against a stream that is aborted in its last attempt, as all endpoints
// are silent at once.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_AllEndpointsInBothAttempts_StreamIsReceivedWhole")
{
  AddServer("i-1").SetEventInterval(milliseconds(20));
  AddServer("i-2").SetEventInterval(milliseconds(20));
  Start();
  const auto call = Begin("/resumable/1");
  RunUntil([&call] { return !call->body_.empty(); });
  SilenceAll(milliseconds(2300));
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->body_ == WholeStream());
}

// Guards against a stream that is aborted as no other endpoint has the software
// version that began it.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_NoOtherEndpointOfVersion_StreamIsReceivedWhole")
{
  AddServer("i-1", "v1");
  AddServer("i-2", "v2");
  Start();
  const auto call = Call("/resumable/pause-1400");
  const bool isWhole =
    call->body_ == WholeStream("v1") || call->body_ == WholeStream("v2");
  CHECK(isWhole);
  CHECK(RequestCount() == 1);
}

// Guards against a 502 for a request whose only endpoint sends its response
// after a silence.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_BeforeHead_IdempotentRequestIsAnswered")
{
  ServerStandin& server = AddServer("i-1");
  Start();
  server.FallSilent(milliseconds(1500));
  const auto call = Call("/idempotent/1");
  CHECK(call->status_ == 200);
  CHECK(RequestCount() == 1);
}

// Guards against 502 for a stream that hasn't begun.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_BeforeHeadInBothAttempts_StreamIsReceivedWhole")
{
  AddServer("i-1");
  AddServer("i-2");
  Start();
  SilenceAll(milliseconds(2500));
  CHECK(Call("/resumable/1")->body_ == WholeStream());
}

// Guards against callers that wait for a silent endpoint while another has a
// free slot.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_OtherEndpointHasSlot_StreamMovesThere")
{
  AddServer("i-1");
  AddServer("i-2");
  Start();
  const auto startedAt = base::MonotonicNow();
  const auto call = Call("/resumable/hold-2");
  CHECK(call->body_ == WholeStream());
  CHECK(base::MonotonicNow() - startedAt < milliseconds(1300));
  CHECK(RequestCount() == 2);
  // The silent endpoint is told that its run has been given up.
  CHECK(servers_[0]->DisconnectedCount() + servers_[1]->DisconnectedCount() ==
        1);
}

// Guards against callers that wait for an endpoint that is known to be gone.
TEST_CASE_METHOD(SilenceFixture, "Silence_EndpointIsReplaced_StreamEndsAtOnce")
{
  ServerStandin& server = AddServer("i-1");
  Start();
  const auto startedAt = base::MonotonicNow();
  const auto call = Begin("/single/hold-2");
  RunUntil([&call] { return !call->body_.empty(); });
  server.SimulateRestart();
  store_.Put("servers/i-9", server.Registration("other", "ready"));
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->outcome_ == httpstream::CallOutcome::Broken);
  CHECK(base::MonotonicNow() - startedAt < milliseconds(2000));
}

// Guards against a stream that is aborted as the endpoint to which it moves
// rejects it without running it.
TEST_CASE_METHOD(SilenceFixture,
                 "Silence_ReplacementRejects_StreamGoesOnElsewhere")
{
  for (const char* id : { "i-1", "i-2", "i-3" }) {
    AddServer(id).Enqueue({ ServerScript::Kind::Hold, 2, 0 });
  }
  Start();
  const auto call = Begin("/resumable/1");
  RunUntil([&call] { return !call->body_.empty(); });
  for (const auto& server : servers_) {
    server->ClearScripts();
    server->Enqueue({ ServerScript::Kind::Refuse, 0, 0 });
  }
  RunUntil([this] { return RequestCount() == 2; });
  for (const auto& server : servers_) {
    server->ClearScripts();
  }
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->body_ == WholeStream());
  CHECK(RequestCount() == 3);
}

} // namespace pumiceturn::adapter
