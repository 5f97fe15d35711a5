#include "Tests/Platform/RawServerFixture.h"

#include "LibHttpStream/Message.h"
#include "LibHttpStream/Status.h"

namespace pumiceturn::adapter {

/// Servers that end responses in order, where nothing but the end of the
/// connection may show that a response has ended.
class OrderlyEndFixture : protected RawServerFixture
{
protected:
  /// Waits until the host sees changes of the store at once.
  void AwaitFollowing()
  {
    RunUntil([this] {
      return Metrics(*host_).find("pumiceturn_store_prefixes_followed 4") !=
             std::string::npos;
    });
  }

  /// Calls the only server, which drains as soon as it has the request.
  std::unique_ptr<CallerCall> CallAndDrain(const RawServer& aServer)
  {
    auto call = SendTo(Loopback(host_->callerPort_),
                       "POST",
                       "/stream/1",
                       "Attempt-Id: r1\r\nDeadline-Ms: 4000\r\n",
                       {});
    RunUntil([&] { return !aServer.Requests().empty(); });
    Register("i-1", aServer, "draining", 1);
    RunUntil([&] { return call->HasEnded(); });
    return call;
  }

  void CheckStreamsAreWhole()
  {
    for (const char* path : { "/stream/1", "/resumable/1" }) {
      const auto call = Call(path);
      CHECK(call->body_ == WholeStream());
      CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
    }
  }

  /// @return the number of calls with a short time limit that looked complete.
  int CountComplete(const std::string& aPath)
  {
    constexpr int kCalls = 20;
    int complete = 0;
    for (int calls = 0; calls < kCalls; ++calls) {
      const auto call = SendAndWait(
        *host_, "POST", aPath, "Attempt-Id: r1\r\nDeadline-Ms: 60\r\n");
      complete += call->status_ == httpstream::kStatusOk &&
                      call->outcome_ == httpstream::CallOutcome::Complete
                    ? 1
                    : 0;
    }
    return complete;
  }

  static std::string ChunkedStream(std::uint64_t aFirst, std::uint64_t aLast)
  {
    return std::string(kHead) +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           httpstream::MakeChunk(EventsFrom(aFirst, aLast));
  }
};

// Guards against a stream that looks complete as its endpoint stopped at the
// time limit that it got, and ended the connection in order.
TEST_CASE_METHOD(OrderlyEndFixture, "OrderlyEnd_AtTimeLimit_StreamIsBrokenOff")
{
  AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::AtTimeLimit);
  Start();
  CHECK(CountComplete("/stream/1") == 0);
  CHECK(CountComplete("/resumable/1") == 0);
}

// Guards against a stream that looks complete as its endpoint stopped at the
// time limit that it got, and ended the chunks in order.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_AtTimeLimitWithLastChunk_StreamIsBrokenOff")
{
  AddRawServer("i-1", ChunkedStream(1, 2), RawServer::End::AtTimeLimit)
    .SetLastBytes(std::string(httpstream::kLastChunk));
  Start();
  CHECK(CountComplete("/stream/1") == 0);
  CHECK(CountComplete("/resumable/1") == 0);
}

// Guards against a stream that looks complete as the next process at its
// endpoint's address answers, without saying which process it is.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_NextProcessIsFull_StreamIsBrokenOff")
{
  AddRawServerWithoutStart("i-1", StreamFrom(1, 2), RawServer::End::Restart)
    .SetHealth(RawServer::Health::Named, RawServer::Health::Refused);
  Start();
  const auto call = Call("/stream/1");
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
  CHECK(call->body_ == EventsFrom(1, 2));
}

// Guards against a stream that looks complete as the next process at its
// endpoint's address accepts connections.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_NextProcessIsSilent_StreamIsBrokenOff")
{
  AddRawServerWithoutStart("i-1", StreamFrom(1, 2), RawServer::End::Restart)
    .SetHealth(RawServer::Health::Named, RawServer::Health::Silent);
  Start();
  CHECK(Call("/stream/1")->outcome_ != httpstream::CallOutcome::Complete);
}

// Guards against an item's output that lacks its end, as in the cases before.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_NextProcessIsFull_ItemGoesOnElsewhere")
{
  AddRawServerWithoutStart(
    "i-1", ForItem(StreamFrom(1, 2)), RawServer::End::Restart)
    .SetHealth(RawServer::Health::Named, RawServer::Health::Refused);
  Start();
  Submit();
  RunUntil([this] { return !rawServers_[0]->Requests().empty(); });
  AddServer("i-2");
  CHECK(WaitForOutput() == WholeOutput());
}

// Guards against a body that looks complete as the next process under its
// endpoint's id answers: it isn't known which of them sent the response.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_NextProcessNamesItself_BodyIsNotComplete")
{
  AddRawServer("i-1",
               std::string(kHead) + "\r\n" + std::string(1000, 'b'),
               RawServer::End::Restart);
  Start();
  CHECK(Call("/once/1")->status_ == 502);
}

// Guards against a stream that looks complete as its endpoint, which leaves,
// ends its responses in order a moment before its process ends.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_EndpointExitsSoonAfter_StreamIsBrokenOff")
{
  RawServer& server =
    AddRawServer("i-1", StreamFrom(1, 2), RawServer::End::Exit);
  Start();
  AwaitFollowing();
  const auto call = CallAndDrain(server);
  CHECK(call->body_ == EventsFrom(1, 2));
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
}

// Guards against breaking off whole streams of endpoints that leave later.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_EndpointDrains_WholeStreamIsComplete")
{
  RawServer& server = AddRawServer(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Late);
  Start();
  AwaitFollowing();
  const auto call = CallAndDrain(server);
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

// Guards against breaking off whole streams of endpoints that are too full to
// say that they are healthy, but tell their state.
TEST_CASE_METHOD(OrderlyEndFixture, "OrderlyEnd_ProcessIsFull_StreamIsComplete")
{
  AddRawServerWithoutStart(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Orderly)
    .SetHealth(RawServer::Health::Refused, RawServer::Health::Refused);
  Start();
  CheckStreamsAreWhole();
}

// Guards against the same where the question for their health waits for a slot.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_ProcessHasNoSlot_StreamIsComplete")
{
  AddRawServerWithoutStart(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Orderly)
    .SetHealth(RawServer::Health::Waiting, RawServer::Health::Waiting);
  Start();
  CheckStreamsAreWhole();
}

// Guards against breaking off a whole stream because its endpoint says nothing
// after its end: another one tells that there is no rest.
TEST_CASE_METHOD(OrderlyEndFixture,
                 "OrderlyEnd_ProcessIsSilent_StreamWithoutRestIsComplete")
{
  AddRawServerWithoutStart(
    "i-1", StreamFrom(1, ServerStandin::kEventCount), RawServer::End::Orderly)
    .SetHealth(RawServer::Health::Silent, RawServer::Health::Silent);
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ == WholeStream());
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

} // namespace pumiceturn::adapter
