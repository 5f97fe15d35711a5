#include "Tests/Platform/ResumingFixture.h"

#include "LibHttpStream/Status.h"

namespace pumiceturn::adapter {

/// Streams whose rest only endpoints that are full or gone have.
class RestOfStreamFixture : protected ResumingFixture
{
protected:
  static constexpr ServerScript kRefusal{ ServerScript::Kind::Refuse, 0, 0 };

  RestOfStreamFixture()
  {
    WriteConfiguration(1);
    for (const char* name : { "i-1", "i-2" }) {
      AddServer(name);
    }
    host_ = &StartEntry("entry");
  }

  void RefuseAtAll(int aTimes)
  {
    for (const auto& server : servers_) {
      for (int refusal = 0; refusal < aTimes; ++refusal) {
        server->Enqueue(kRefusal);
      }
    }
  }

  TestHost* host_ = nullptr;
};

// Guards against refusing the rest of a stream that its endpoints have room for
// a moment later: each refusal used up one of the route's two attempts.
TEST_CASE_METHOD(RestOfStreamFixture,
                 "RestOfStream_EndpointsAreFullForAMoment_GoesOn")
{
  const std::string version = BeginStream(*host_, "r1");
  RefuseAtAll(3);
  CHECK(Resume(*host_, "r2", "r1")->body_ == WholeStream(version, 2));
}

// Guards against breaking off a stream whose endpoint broke, as the others of
// its version are full for a moment.
TEST_CASE_METHOD(RestOfStreamFixture,
                 "RestOfStream_OtherEndpointIsFullAfterABreak_GoesOn")
{
  const auto call =
    Send(host_->callerPort_, "POST", "/resumable/hold-2", "Attempt-Id: r1\r\n");
  RunUntil([&call] { return call->body_.find("id: 2") != std::string::npos; });
  const bool isAtFirst = !servers_[0]->Requests().empty();
  servers_[isAtFirst ? 1 : 0]->Enqueue(kRefusal);
  servers_[isAtFirst ? 1 : 0]->Enqueue(kRefusal);
  servers_[isAtFirst ? 0 : 1]->End();
  RunUntil([&call] { return call->HasEnded(); });
  CHECK(call->body_ == WholeStream());
}

// Guards against refusing the rest of a stream as an endpoint that is gone, and
// looks idle, is asked again and again while the other one is full.
TEST_CASE_METHOD(RestOfStreamFixture,
                 "RestOfStream_OneEndpointIsGoneAndOneFull_GoesOn")
{
  const std::string version = BeginStream(*host_, "r1");
  servers_[0]->End();
  for (int refusal = 0; refusal < 2; ++refusal) {
    servers_[1]->Enqueue(kRefusal);
  }
  CHECK(Resume(*host_, "r2", "r1")->body_ == WholeStream(version, 2));
}

// Guards against asking full endpoints without end, and against keeping the
// caller until its deadline.
TEST_CASE_METHOD(RestOfStreamFixture,
                 "RestOfStream_EndpointsStayFull_IsRefusedAsNotRun")
{
  constexpr int kManyRefusals = 100;
  constexpr std::size_t kMaxRequests = 12;
  constexpr std::chrono::milliseconds kMaxTime{ 1500 };
  BeginStream(*host_, "r1");
  RefuseAtAll(kManyRefusals);
  const std::size_t before = RequestCount();
  const base::Instant startedAt = base::MonotonicNow();
  const auto call = Resume(*host_, "r2", "r1");
  CHECK(call->status_ == httpstream::kStatusUnavailable);
  CHECK_FALSE(call->retryAfter_.empty());
  CHECK(base::MonotonicNow() - startedAt < kMaxTime);
  CHECK(RequestCount() - before <= kMaxRequests);
}

} // namespace pumiceturn::adapter
