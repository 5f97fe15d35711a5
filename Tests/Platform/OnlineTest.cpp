#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::adapter {

class OnlineFixture : protected GatewayFixture
{
protected:
  OnlineFixture()
  {
    WriteConfiguration(3);
    AddServer("i-1");
    AddServer("i-2");
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    // A follower of all prefixes sees changes of the store at once.
    RunUntil([this] {
      return Metrics(*host_).find("pumiceturn_store_prefixes_followed 4") !=
             std::string::npos;
    });
  }

  std::unique_ptr<CallerCall> Call(const std::string& aPath)
  {
    return SendAndWait(
      *host_, "POST", aPath, "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
  }

  void EnqueueAtBoth(const ServerScript& aScript)
  {
    servers_[0]->Enqueue(aScript);
    servers_[1]->Enqueue(aScript);
  }

  [[nodiscard]] std::size_t RequestCountOfBoth() const
  {
    return servers_[0]->Requests().size() + servers_[1]->Requests().size();
  }

  TestHost* host_ = nullptr;
};

TEST_CASE_METHOD(OnlineFixture, "Online_Stream_IsForwardedUnchanged")
{
  const auto call = Call("/stream/1");
  CHECK(call->status_ == 200);
  CHECK(call->seal_ == "seal");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
  REQUIRE(RequestCountOfBoth() == 1);
  const auto& server = servers_[servers_[0]->Requests().empty() ? 1 : 0];
  const auto& request = server->Requests().front();
  CHECK(httpstream::ValueOf(request, "Attempt-Id") == "r1");
  CHECK(httpstream::ValueOf(request, "Target-Instance").starts_with("i-"));
  CHECK(std::stoi(std::string(httpstream::ValueOf(request, "Deadline-Ms"))) <=
        9000);
}

// Guards against lost or repeated events when a server crashes within an event.
TEST_CASE_METHOD(OnlineFixture, "Online_ResumableStreamBreaks_ResumesElsewhere")
{
  EnqueueAtBoth({ ServerScript::Kind::Break, 3, 0 });
  servers_[0]->Enqueue({});
  servers_[1]->Enqueue({});
  const auto call = Call("/resumable/1");
  // The first attempt breaks off after events 1 to 3, the second after 4 to 6;
  // the caller gets each event once.
  CHECK(call->body_ == WholeStream());
  CHECK(RequestCountOfBoth() == 2);
}

TEST_CASE_METHOD(OnlineFixture, "Online_ResumableStreamBreaksTwice_IsAborted")
{
  EnqueueAtBoth({ ServerScript::Kind::Break, 1, 0 });
  const auto call = Call("/resumable/1");
  CHECK(call->outcome_ == httpstream::CallOutcome::Broken);
  CHECK(RequestCountOfBoth() == 2);
}

// Guards against running an unsafe request twice after a connection reset.
TEST_CASE_METHOD(OnlineFixture, "Online_UnsafeRequestIsReset_IsNotRetried")
{
  EnqueueAtBoth({ ServerScript::Kind::Reset, 0, 0 });
  const auto call = Call("/once/1");
  CHECK(call->status_ == 502);
  CHECK(RequestCountOfBoth() == 1);
}

TEST_CASE_METHOD(OnlineFixture, "Online_NonResumableStreamBreaks_IsAborted")
{
  EnqueueAtBoth({ ServerScript::Kind::Break, 2, 0 });
  const auto call = Call("/stream/1");
  CHECK(call->outcome_ == httpstream::CallOutcome::Broken);
  CHECK(RequestCountOfBoth() == 1);
}

TEST_CASE_METHOD(OnlineFixture,
                 "Online_ServerRefusesWithoutRunning_TriesAnother")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Refuse, 0, 0 });
  servers_[1]->Enqueue({});
  servers_[0]->Enqueue({});
  const auto call = Call("/once/1");
  CHECK(call->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture, "Online_AllServersRefuse_CallerGetsRetryAfter")
{
  EnqueueAtBoth({ ServerScript::Kind::Refuse, 0, 0 });
  const auto call = Call("/once/1");
  CHECK(call->status_ == 503);
  CHECK(call->seal_.empty());
  CHECK_FALSE(call->retryAfter_.empty());
}

// Guards against queueing a first request beyond the latency objective. A
// request with less time left counts as a retry and is queued.
TEST_CASE_METHOD(OnlineFixture, "Online_NoFreeSlot_FirstRequestGetsRetryAfter")
{
  constexpr int kWarmUpRequests = 10;
  for (int round = 0; round < kWarmUpRequests; ++round) {
    CHECK(Call("/urgent/pause-20")->status_ == 200);
  }
  // Two servers with two slots each.
  constexpr int kSlots = 4;
  std::vector<std::unique_ptr<CallerCall>> held;
  for (int slot = 0; slot < kSlots; ++slot) {
    held.push_back(Send(host_->callerPort_,
                        "POST",
                        "/stream/hold-2",
                        "Attempt-Id: h\r\nDeadline-Ms: 9000\r\n"));
    RunUntil([&held] { return !held.back()->body_.empty(); });
  }
  const auto refused = Call("/urgent/1");
  CHECK(refused->status_ == 503);
  CHECK(std::stod(refused->retryAfter_) > 0.5);
  CHECK(RequestCountOfBoth() == kWarmUpRequests + kSlots);
  const auto again = SendAndWait(
    *host_, "POST", "/urgent/1", "Attempt-Id: r2\r\nDeadline-Ms: 7500\r\n");
  CHECK(again->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture, "Online_ServerError_IsForwardedUnchanged")
{
  EnqueueAtBoth({ ServerScript::Kind::Status, 0, 500 });
  const auto call = Call("/once/1");
  CHECK(call->status_ == 500);
  CHECK(call->seal_ == "seal");
  CHECK(call->body_ == "body of the server");
}

// Guards against stale registrations using up the attempts of a request while
// another server is idle.
TEST_CASE_METHOD(OnlineFixture, "Online_MisdirectedResponses_DontUseUpAttempts")
{
  ServerStandin& third = AddServer("i-3");
  EnqueueAtBoth({ ServerScript::Kind::Misdirect, 0, 0 });
  RunUntil([&] {
    const auto call = Call("/once/1");
    CHECK(call->status_ == 200);
    return RequestCountOfBoth() >= 2 && !third.Requests().empty();
  });
}

TEST_CASE_METHOD(OnlineFixture, "Online_CallerDisconnects_ServerStops")
{
  EnqueueAtBoth({ ServerScript::Kind::Hold, 2, 0 });
  const auto call = Send(host_->callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
  RunUntil([&call] { return !call->body_.empty(); });
  call->connection_->Cancel();
  RunUntil([this] {
    return servers_[0]->DisconnectedCount() +
             servers_[1]->DisconnectedCount() ==
           1;
  });
}

TEST_CASE_METHOD(OnlineFixture, "Online_ServerSilentMidStream_ResumesElsewhere")
{
  EnqueueAtBoth({ ServerScript::Kind::Hold, 2, 0 });
  servers_[0]->Enqueue({});
  servers_[1]->Enqueue({});
  const auto call = Call("/resumable/1");
  // The second attempt stops sending too.
  CHECK(call->body_ == WholeStream().substr(0, call->body_.size()));
  CHECK(RequestCountOfBoth() == 2);
}

// Guards against a caller that waits 900 ms for the next event although its
// route allows a pause of 300 ms.
TEST_CASE_METHOD(OnlineFixture,
                 "Online_StreamStallsOnRouteWithPause_ResumesAfterPause")
{
  nlohmann::json stream = MakeTestRoute("paused", "stream");
  stream["resumable"] = true;
  stream["gapSloMs"] = 300;
  store_.Put(
    "op/config",
    nlohmann::json{ { "version", 4 },
                    { "routes", { stream, MakeTestRoute("v4", "safe") } } }
      .dump());
  // Only endpoints on shared machines report their pace.
  for (const auto& server : servers_) {
    server->SetLoad("1,0,8,100");
  }
  RunUntil([this] { return Call("/v4/1")->status_ == 200; });
  const std::size_t before = RequestCountOfBoth();
  const auto startedAt = base::MonotonicNow();
  const auto call = Call("/paused/hold-2");
  const base::Duration passed = base::MonotonicNow() - startedAt;
  CHECK(call->body_ == WholeStream());
  CHECK(passed >= std::chrono::milliseconds(200));
  CHECK(passed < std::chrono::milliseconds(900));
  CHECK(RequestCountOfBoth() - before == 2);
  // Guards against two endpoints that run the same request.
  CHECK(servers_[0]->DisconnectedCount() + servers_[1]->DisconnectedCount() ==
        1);
}

TEST_CASE_METHOD(OnlineFixture, "Online_NoRoute_Is404")
{
  CHECK(Call("/elsewhere/1")->status_ == 404);
}

// Guards against a 404 for a route that was just added.
TEST_CASE_METHOD(OnlineFixture, "Online_NewConfiguration_TakesEffect")
{
  CHECK(Call("/v9/1")->status_ == 404);
  WriteConfiguration(9);
  RunUntil([this] { return Call("/v9/1")->status_ == 200; });
  CHECK(Call("/v3/1")->status_ == 404);
  // An older version is ignored, also when the store is reread.
  WriteConfiguration(5);
  store_.Compact();
  CHECK(Call("/v9/1")->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture,
                 "Online_ValidConfigurationAfterUnreadable_TakesEffect")
{
  store_.Put("op/config", "{\"version\": 99, \"routes\": 7}");
  store_.Put("op/config", "{{{");
  WriteConfiguration(10);
  RunUntil([this] { return Call("/v10/1")->status_ == 200; });
}

TEST_CASE_METHOD(OnlineFixture, "Online_StoreUnavailable_KeepsServing")
{
  store_.SetBehaviour(StoreBehaviour::Refusing);
  for (int call = 0; call < 5; ++call) {
    CHECK(Call("/once/1")->status_ == 200);
  }
}

TEST_CASE_METHOD(OnlineFixture, "Online_ServerDrains_GetsNoNewRequests")
{
  constexpr std::chrono::seconds kDrainBound{ 2 };
  // So many calls that a server in use gets one with near certainty.
  constexpr int kCalls = 40;
  const auto drainsAt = std::chrono::steady_clock::now();
  store_.Put("servers/i-1", servers_[0]->Registration("service", "draining"));
  while (std::chrono::steady_clock::now() - drainsAt < kDrainBound) {
    (void)Call("/once/1");
  }
  const std::size_t before = servers_[0]->Requests().size();
  for (int call = 0; call < kCalls; ++call) {
    CHECK(Call("/once/1")->status_ == 200);
  }
  CHECK(servers_[0]->Requests().size() == before);
}

// Guards against sending requests to endpoints whose registration is
// unreadable.
TEST_CASE_METHOD(OnlineFixture, "Online_ServerEntryUnreadable_OthersServe")
{
  // So many calls that a server in use gets one with near certainty.
  constexpr int kCalls = 40;
  using nlohmann::json;
  const json valid = json::parse(servers_[0]->Registration("service", "ready"));
  json withoutSlots = valid;
  withoutSlots.erase("slots");
  json badState = valid;
  badState["state"] = "resting";
  json negative = valid;
  negative["slots"] = -4;
  for (const std::string& value : { withoutSlots.dump(),
                                    badState.dump(),
                                    negative.dump(),
                                    std::string("{{"),
                                    std::string("\xff\xfe"),
                                    std::string(100000, '[') }) {
    INFO(value.substr(0, 200));
    store_.Put("servers/i-1", value);
    RunUntil([this] {
      const std::size_t before = servers_[0]->Requests().size();
      for (int call = 0; call < kCalls; ++call) {
        CHECK(Call("/once/1")->status_ == 200);
      }
      return servers_[0]->Requests().size() == before;
    });
    store_.Put("servers/i-1", valid.dump());
    RunUntil([this] {
      const std::size_t before = servers_[0]->Requests().size();
      for (int call = 0; call < kCalls; ++call) {
        (void)Call("/once/1");
      }
      return servers_[0]->Requests().size() > before;
    });
  }
}

// Guards against a crash when a host's own registration is unreadable.
TEST_CASE_METHOD(OnlineFixture, "Online_HostEntryUnreadable_KeepsServing")
{
  for (const char* value : { "{{", "{\"owner\":7}", "[]", "" }) {
    store_.Put("pumiceturn/host/entry", value);
    store_.Put("pumiceturn/host/other", value);
    for (int call = 0; call < 3; ++call) {
      CHECK(Call("/once/1")->status_ == 200);
    }
  }
}

// Guards against one request crashing all servers by being retried at any host.
TEST_CASE_METHOD(OnlineFixture, "Online_CrashesEachServer_IsRejectedAtAllHosts")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  AddServer("i-3");
  RunUntil([this] {
    (void)Call("/once/1");
    return !servers_[2]->Requests().empty();
  });
  for (const auto& server : servers_) {
    for (int crash = 0; crash < 100; ++crash) {
      server->Enqueue({ ServerScript::Kind::Reset, 0, 0 });
    }
  }
  for (std::size_t crash = 0; crash < servers_.size(); ++crash) {
    CHECK(Call("/once/bad")->status_ == 502);
  }
  RunUntil([&] {
    return Metrics(other).find("pumiceturn_features_refused 1") !=
           std::string::npos;
  });
  const std::size_t before =
    RequestCountOfBoth() + servers_[2]->Requests().size();
  const std::string fields = "Attempt-Id: r2\r\nDeadline-Ms: 9000\r\n";
  for (TestHost* host : { host_, &other }) {
    const auto refused = SendAndWait(*host, "POST", "/once/bad", fields);
    CHECK(refused->status_ == 503);
    CHECK_FALSE(refused->retryAfter_.empty());
  }
  CHECK(RequestCountOfBoth() + servers_[2]->Requests().size() == before);
  for (const auto& server : servers_) {
    server->ClearScripts();
  }
  CHECK(SendAndWait(other, "POST", "/once/good", fields)->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture, "Online_Stopping_FinishesOpenRequests")
{
  EnqueueAtBoth({ ServerScript::Kind::Hold, 2, 0 });
  const auto held = Send(host_->callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 900\r\n");
  RunUntil([&held] { return !held->body_.empty(); });
  bool isStopped = false;
  host_->gateway_->Stop([&isStopped] { isStopped = true; });
  servers_[0]->ClearScripts();
  servers_[1]->ClearScripts();
  const auto late = SendAndWait(
    *host_, "POST", "/once/1", "Attempt-Id: r2\r\nDeadline-Ms: 9000\r\n");
  CHECK(late->status_ == 200);
  CHECK_FALSE(isStopped);
  RunUntil([&isStopped] { return isStopped; });
  CHECK(store_.Keys("pumiceturn/host/").empty());
}

// Guards against accepting a late request that the host can't finish before it
// stops.
TEST_CASE_METHOD(OnlineFixture, "Online_RequestAfterBalancerRemoval_IsRejected")
{
  EnqueueAtBoth({ ServerScript::Kind::Hold, 2, 0 });
  const auto held = Send(host_->callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 7000\r\n");
  RunUntil([&held] { return !held->body_.empty(); });
  servers_[0]->ClearScripts();
  servers_[1]->ClearScripts();
  bool isStopped = false;
  host_->gateway_->Stop([&isStopped] { isStopped = true; });
  std::unique_ptr<CallerCall> last;
  RunUntil([&] {
    last = Call("/once/1");
    return last->status_ != 200;
  });
  CHECK(last->status_ == 503);
  CHECK_FALSE(last->retryAfter_.empty());
  CHECK_FALSE(isStopped);
}

// Guards against a caller that uses up its retries while all hosts start.
TEST_CASE_METHOD(GatewayFixture,
                 "Online_RequestArrivesDuringStart_IsServedOnceReady")
{
  // A worker that is alone follows the store at once.
  TestHost& host = StartHost("host", batch::BatchPreference::Worker);
  const auto call = Send(host.callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 5000\r\n",
                         {});
  AddServer("i-1");
  WriteConfiguration(1);
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->status_ == 200);
}

// Guards against running a request whose caller left while the host started.
TEST_CASE_METHOD(GatewayFixture,
                 "Online_CallerLeavesDuringStart_RequestIsNotSent")
{
  TestHost& host = StartHost("host", batch::BatchPreference::Worker);
  const auto left = Send(host.callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 5000\r\n",
                         {});
  const auto stays = Send(host.callerPort_,
                          "POST",
                          "/stream/1",
                          "Attempt-Id: r2\r\nDeadline-Ms: 5000\r\n",
                          {});
  const auto hasBoth = [&] {
    return Metrics(host).find("pumiceturn_caller_connections 2") !=
           std::string::npos;
  };
  RunUntil(hasBoth);
  left->connection_->Cancel();
  RunUntil([&] { return !hasBoth(); });
  ServerStandin& server = AddServer("i-1");
  WriteConfiguration(1);
  RunUntil([&stays] { return stays->HasEnded(); });
  CHECK(stays->status_ == 200);
  CHECK(server.Requests().size() == 1);
}

// Guards against holding requests for as long as a host can't become ready.
TEST_CASE_METHOD(GatewayFixture,
                 "Online_HostDoesNotBecomeReady_RequestIsRejected")
{
  TestHost& host = StartHost("entry", batch::BatchPreference::Fallback);
  const auto call = Send(host.callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 5000\r\n",
                         {});
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->status_ == 503);
  CHECK_FALSE(call->retryAfter_.empty());
}

} // namespace pumiceturn::adapter
