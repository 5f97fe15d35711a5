#include "Tests/Platform/GatewayFixture.h"
#include "Tests/Platform/TestRoute.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pumiceturn::adapter {

using std::chrono::milliseconds;

/// A host and endpoints whose processes end while they send streams.
class CrashedEndpointFixture : protected GatewayFixture
{
protected:
  CrashedEndpointFixture()
  {
    nlohmann::json single = MakeTestRoute("single", "stream");
    single["resumable"] = true;
    single["maxAttempts"] = 1;
    store_.Put(
      "op/config",
      nlohmann::json{
        { "version", 1 },
        { "routes", { single } },
        { "services", { { { "name", "service" }, { "maxConns", 100 } } } } }
        .dump());
    for (const char* name : { "i-1", "i-2", "i-3", "i-4" }) {
      AddServer(name).SetEventInterval(milliseconds(60));
    }
    host_ = &StartHost("entry", batch::BatchPreference::Fallback);
    RunUntil([this] {
      return SendToAndWait(Loopback(host_->statusPort_), "GET", "/api/ready")
               ->status_ == 200;
    });
  }

  std::unique_ptr<CallerCall> Begin()
  {
    return Send(host_->callerPort_,
                "POST",
                "/single/1",
                "Attempt-Id: r1\r\nDeadline-Ms: 6000\r\n");
  }

  [[nodiscard]] std::size_t RequestCount() const
  {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      count += server->Requests().size();
    }
    return count;
  }

  /// Waits until a stream has begun at an endpoint that lives.
  ServerStandin& WaitForRunning(std::size_t aRequests, const CallerCall& aCall)
  {
    const std::size_t bytes = aCall.body_.size();
    RunUntil([&] {
      return RequestCount() == aRequests && aCall.body_.size() > bytes;
    });
    return **std::find_if(
      servers_.begin(), servers_.end(), [](const auto& aServer) {
        return !aServer->HasCrashed() && !aServer->Requests().empty();
      });
  }

  TestHost* host_ = nullptr;
};

// Guards against streams that are broken off, as the crash of an endpoint used
// up the route's only attempt.
TEST_CASE_METHOD(CrashedEndpointFixture,
                 "CrashedEndpoint_OnlyAttempt_StreamGoesOnElsewhere")
{
  const auto call = Begin();
  WaitForRunning(1, *call).End();
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->body_ == WholeStream());
  CHECK(RequestCount() == 2);
}

// Guards against a request that goes on from endpoint to endpoint while each
// ends under it.
TEST_CASE_METHOD(CrashedEndpointFixture,
                 "CrashedEndpoint_SecondCrash_StreamIsBrokenOff")
{
  const auto call = Begin();
  WaitForRunning(1, *call).End();
  WaitForRunning(2, *call).End();
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(RequestCount() == 2);
}

// Guards against requests that run at more endpoints than their route allows,
// as one that breaks a stream off is taken to have ended.
TEST_CASE_METHOD(CrashedEndpointFixture,
                 "CrashedEndpoint_ConnectionBreaksAlone_CountsAsAttempt")
{
  for (const auto& server : servers_) {
    server->Enqueue({ ServerScript::Kind::Break, 2 });
  }
  const auto call = Begin();
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->body_ != WholeStream());
  CHECK(RequestCount() == 1);
}

} // namespace pumiceturn::adapter
