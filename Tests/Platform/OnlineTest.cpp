#include "Tests/Platform/GatewayFixture.h"

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
    // Changes are told at once to a host that waits for them.
    RunUntil([this] {
      return Metrics(*host_).find("pumiceturn_store_prefixes_followed 4") !=
             std::string::npos;
    });
  }

  std::unique_ptr<CallerCall> Stream(const std::string& aPath)
  {
    return Ask(
      *host_, "POST", aPath, "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
  }

  void EnqueueAtBoth(const ServerScript& aScript)
  {
    servers_[0]->Enqueue(aScript);
    servers_[1]->Enqueue(aScript);
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    return servers_[0]->Requests().size() + servers_[1]->Requests().size();
  }

  TestHost* host_ = nullptr;
};

TEST_CASE_METHOD(OnlineFixture, "Online_CalmStream_PassesUnchanged")
{
  const auto call = Stream("/stream/1");
  CHECK(call->status_ == 200);
  CHECK(call->seal_ == "seal");
  CHECK(call->body_ == WholeStream());
  CHECK(call->end_ == httpstream::CallOutcome::Complete);
  REQUIRE(RequestCount() == 1);
  const auto& server = servers_[servers_[0]->Requests().empty() ? 1 : 0];
  const auto& request = server->Requests().front();
  CHECK(httpstream::ValueOf(request, "Attempt-Id") == "r1");
  CHECK(httpstream::ValueOf(request, "Target-Instance").starts_with("i-"));
  CHECK(std::stoi(std::string(httpstream::ValueOf(request, "Deadline-Ms"))) <=
        9000);
}

// A translator's line stops in the middle. The server crashes within an event;
// the stream goes on at another server, with nothing missing and nothing twice.
TEST_CASE_METHOD(OnlineFixture, "Online_ResumableStreamBreaks_GoesOnElsewhere")
{
  EnqueueAtBoth({ ServerScript::Kind::Break, 3, 0 });
  servers_[0]->Enqueue({});
  servers_[1]->Enqueue({});
  const auto call = Stream("/resumable/1");
  // Both servers break once, and two attempts are allowed.
  CHECK(call->body_ == WholeStream());
  CHECK(RequestCount() == 2);
}

TEST_CASE_METHOD(OnlineFixture, "Online_ResumableStreamBreaksTwice_LooksBroken")
{
  EnqueueAtBoth({ ServerScript::Kind::Break, 1, 0 });
  const auto call = Stream("/resumable/1");
  CHECK(call->end_ == httpstream::CallOutcome::Broken);
  CHECK(RequestCount() == 2);
}

// A customer is billed twice: a request that may run once was sent to a second
// server after the first had reset the connection.
TEST_CASE_METHOD(OnlineFixture, "Online_OnceOnlyIsReset_IsNotSentAgain")
{
  EnqueueAtBoth({ ServerScript::Kind::Reset, 0, 0 });
  const auto call = Stream("/once/1");
  CHECK(call->status_ == 502);
  CHECK(RequestCount() == 1);
}

TEST_CASE_METHOD(OnlineFixture, "Online_OnceOnlyStreamBreaks_LooksBroken")
{
  EnqueueAtBoth({ ServerScript::Kind::Break, 2, 0 });
  const auto call = Stream("/stream/1");
  CHECK(call->end_ == httpstream::CallOutcome::Broken);
  CHECK(RequestCount() == 1);
}

TEST_CASE_METHOD(OnlineFixture, "Online_RefusedNotRun_TriesAnotherServer")
{
  servers_[0]->Enqueue({ ServerScript::Kind::Refuse, 0, 0 });
  servers_[1]->Enqueue({});
  servers_[0]->Enqueue({});
  const auto call = Stream("/once/1");
  CHECK(call->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture, "Online_AllRefuse_CallerIsToldWhenToComeBack")
{
  EnqueueAtBoth({ ServerScript::Kind::Refuse, 0, 0 });
  const auto call = Stream("/once/1");
  CHECK(call->status_ == 503);
  CHECK(call->seal_.empty());
  CHECK_FALSE(call->retryAfter_.empty());
}

// Servers were taken away, and translators wait for seconds: each line queues
// behind all others at an engine, also when the burst is nearly over. A line
// that would wait too long is refused at once, and queued when it comes again.
TEST_CASE_METHOD(OnlineFixture, "Online_PlacesTaken_NewCallerComesBackLater")
{
  constexpr int kLearnt = 10;
  for (int round = 0; round < kLearnt; ++round) {
    CHECK(Stream("/urgent/pause-20")->status_ == 200);
  }
  constexpr int kPlaces = 4;
  std::vector<std::unique_ptr<CallerCall>> held;
  for (int place = 0; place < kPlaces; ++place) {
    held.push_back(Send(host_->callerPort_,
                        "POST",
                        "/stream/hold-2",
                        "Attempt-Id: h\r\nDeadline-Ms: 9000\r\n"));
    RunUntil([&held] { return !held.back()->body_.empty(); });
  }
  const auto refused = Stream("/urgent/1");
  CHECK(refused->status_ == 503);
  CHECK(std::stod(refused->retryAfter_) > 0.5);
  CHECK(RequestCount() == kLearnt + kPlaces);
  const auto again =
    Ask(*host_, "POST", "/urgent/1", "Attempt-Id: r2\r\nDeadline-Ms: 7500\r\n");
  CHECK(again->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture, "Online_ServersOwnFailure_PassesUnchanged")
{
  EnqueueAtBoth({ ServerScript::Kind::Status, 0, 500 });
  const auto call = Stream("/once/1");
  CHECK(call->status_ == 500);
  CHECK(call->seal_ == "seal");
  CHECK(call->body_ == "own body");
}

// Look-ups are refused although another server is idle: two servers came back
// at their addresses under new ids, and each stale registration costs a try.
TEST_CASE_METHOD(OnlineFixture, "Online_MisdirectedAnswers_DontUseUpAttempts")
{
  ServerStandin& third = AddServer("i-3");
  EnqueueAtBoth({ ServerScript::Kind::Misdirect, 0, 0 });
  RunUntil([&] {
    const auto call = Stream("/once/1");
    CHECK(call->status_ == 200);
    return RequestCount() >= 2 && !third.Requests().empty();
  });
}

TEST_CASE_METHOD(OnlineFixture, "Online_CallerLeaves_ServersWorkEnds")
{
  EnqueueAtBoth({ ServerScript::Kind::Hold, 2, 0 });
  const auto call = Send(host_->callerPort_,
                         "POST",
                         "/stream/1",
                         "Attempt-Id: r1\r\nDeadline-Ms: 9000\r\n");
  RunUntil([&call] { return !call->body_.empty(); });
  call->connection_->Cancel();
  RunUntil([this] {
    return servers_[0]->AbandonedCount() + servers_[1]->AbandonedCount() == 1;
  });
}

TEST_CASE_METHOD(OnlineFixture, "Online_SilentMidStream_ResumesElsewhere")
{
  EnqueueAtBoth({ ServerScript::Kind::Hold, 2, 0 });
  servers_[0]->Enqueue({});
  servers_[1]->Enqueue({});
  const auto call = Stream("/resumable/1");
  CHECK(call->body_ == WholeStream().substr(0, call->body_.size()));
  CHECK(RequestCount() == 2);
}

TEST_CASE_METHOD(OnlineFixture, "Online_NoRoute_Is404")
{
  CHECK(Stream("/elsewhere/1")->status_ == 404);
}

// A caller gets 404 for a route that operators added seconds ago.
TEST_CASE_METHOD(OnlineFixture, "Online_NewConfiguration_ComesIntoForce")
{
  CHECK(Stream("/v9/1")->status_ == 404);
  WriteConfiguration(9);
  RunUntil([this] { return Stream("/v9/1")->status_ == 200; });
  CHECK(Stream("/v3/1")->status_ == 404);
  WriteConfiguration(5);
  store_.Compact();
  CHECK(Stream("/v9/1")->status_ == 200);
}

TEST_CASE_METHOD(OnlineFixture, "Online_UnreadableConfiguration_ChangesNothing")
{
  store_.Put("op/config", "{\"version\": 99, \"routes\": 7}");
  store_.Put("op/config", "{{{");
  WriteConfiguration(10);
  RunUntil([this] { return Stream("/v10/1")->status_ == 200; });
}

TEST_CASE_METHOD(OnlineFixture, "Online_StoreAway_GoesOnServing")
{
  store_.SetBehaviour(StoreBehaviour::Refusing);
  for (int call = 0; call < 5; ++call) {
    CHECK(Stream("/once/1")->status_ == 200);
  }
}

TEST_CASE_METHOD(OnlineFixture, "Online_ServerDrains_GetsNothingNew")
{
  // The bound within which a draining server must get nothing new, and so many
  // calls that one in use would not be left out by chance.
  constexpr std::chrono::seconds kDrainBound{ 2 };
  constexpr int kCalls = 40;
  const auto drainsAt = std::chrono::steady_clock::now();
  store_.Put("servers/i-1", servers_[0]->Registration("service", "draining"));
  while (std::chrono::steady_clock::now() - drainsAt < kDrainBound) {
    (void)Stream("/once/1");
  }
  const std::size_t before = servers_[0]->Requests().size();
  for (int call = 0; call < kCalls; ++call) {
    CHECK(Stream("/once/1")->status_ == 200);
  }
  CHECK(servers_[0]->Requests().size() == before);
}

// Half of the answers come late: entries that no server wrote stand among the
// servers', and requests are sent where they lead.
TEST_CASE_METHOD(OnlineFixture, "Online_ServersEntrySpoiled_OthersServe")
{
  // With less, an endpoint in use may be left out by chance.
  constexpr int kCalls = 40;
  using nlohmann::json;
  const json whole = json::parse(servers_[0]->Registration("service", "ready"));
  json noSlots = whole;
  noSlots.erase("slots");
  json odd = whole;
  odd["state"] = "resting";
  json negative = whole;
  negative["slots"] = -4;
  for (const std::string& value : { noSlots.dump(),
                                    odd.dump(),
                                    negative.dump(),
                                    std::string("{{"),
                                    std::string("\xff\xfe"),
                                    std::string(100000, '[') }) {
    INFO(value.substr(0, 200));
    store_.Put("servers/i-1", value);
    RunUntil([this] {
      const std::size_t before = servers_[0]->Requests().size();
      for (int call = 0; call < kCalls; ++call) {
        CHECK(Stream("/once/1")->status_ == 200);
      }
      return servers_[0]->Requests().size() == before;
    });
    store_.Put("servers/i-1", whole.dump());
    RunUntil([this] {
      const std::size_t before = servers_[0]->Requests().size();
      for (int call = 0; call < kCalls; ++call) {
        (void)Stream("/once/1");
      }
      return servers_[0]->Requests().size() > before;
    });
  }
}

// A host ends: its own key in the store holds what it can't read.
TEST_CASE_METHOD(OnlineFixture, "Online_HostsEntrySpoiled_GoesOnServing")
{
  for (const char* value : { "{{", "{\"owner\":7}", "[]", "" }) {
    store_.Put("pumiceturn/host/entry", value);
    store_.Put("pumiceturn/host/other", value);
    for (int call = 0; call < 3; ++call) {
      CHECK(Stream("/once/1")->status_ == 200);
    }
  }
}

// All servers of a service are down: one request crashes each that begins to
// run it, and its caller sends it again, to any host.
TEST_CASE_METHOD(OnlineFixture, "Online_CrashesEachServer_IsRefusedEverywhere")
{
  TestHost& other = StartHost("other", batch::BatchPreference::Fallback);
  AddServer("i-3");
  RunUntil([this] {
    (void)Stream("/once/1");
    return !servers_[2]->Requests().empty();
  });
  for (const auto& server : servers_) {
    for (int crash = 0; crash < 100; ++crash) {
      server->Enqueue({ ServerScript::Kind::Reset, 0, 0 });
    }
  }
  RunUntil([&] {
    CHECK(Stream("/once/bad")->status_ == 502);
    return Metrics(other).find("pumiceturn_suspect_runs 3") !=
           std::string::npos;
  });
  const std::size_t before = RequestCount() + servers_[2]->Requests().size();
  const std::string fields = "Attempt-Id: r2\r\nDeadline-Ms: 9000\r\n";
  CHECK(Ask(*host_, "POST", "/once/bad", fields)->status_ == 502);
  CHECK(Ask(other, "POST", "/once/bad", fields)->status_ == 502);
  CHECK(RequestCount() + servers_[2]->Requests().size() == before);
  for (const auto& server : servers_) {
    server->ClearScripts();
  }
  CHECK(Ask(other, "POST", "/once/good", fields)->status_ == 200);
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
  const auto late =
    Ask(*host_, "POST", "/once/1", "Attempt-Id: r2\r\nDeadline-Ms: 9000\r\n");
  CHECK(late->status_ == 200);
  CHECK_FALSE(isStopped);
  RunUntil([&isStopped] { return isStopped; });
  CHECK(store_.Keys("pumiceturn/host/").empty());
}

// A look-up that was taken late during a shutdown is cut at the host's end. The
// balancer goes on sending where most hosts of a failure domain leave at once.
TEST_CASE_METHOD(OnlineFixture, "Online_LongAfterStop_IsRefusedAsNotRun")
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
    last = Stream("/once/1");
    return last->status_ != 200;
  });
  CHECK(last->status_ == 503);
  CHECK_FALSE(last->retryAfter_.empty());
  CHECK_FALSE(isStopped);
}

} // namespace pumiceturn::adapter
