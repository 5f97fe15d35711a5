#include "Tests/Platform/RawServerFixture.h"

namespace pumiceturn::adapter {

/// Servers whose events don't count up by one.
class EventNumbersFixture : protected RawServerFixture
{
protected:
  static constexpr std::string_view kUnnumberedEvent = "data: text\n\n";
  static constexpr std::string_view kComment = ": comment\n\n";
  static constexpr std::string_view kPartialEvent = "id: 9\nda";
};

// Guards against a stream that lacks events in its middle.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_AreLeftOut_StreamEndsBeforeTheGap")
{
  AddRawServer(
    "i-1", StreamFrom(1, 2, EventsFrom(5, 6)), RawServer::End::Orderly);
  Start();
  const auto call = Call("/stream/1");
  CHECK(call->body_ == EventsFrom(1, 2));
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
}

TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_AreLeftOut_StreamResumesElsewhere")
{
  AddRawServer(
    "i-1", StreamFrom(1, 2, EventsFrom(5, 6)), RawServer::End::Orderly);
  AddServer("i-2");
  Start();
  CHECK(CallAtRawServer("/resumable/1")->body_ == WholeStream());
}

// Guards against joining what isn't the rest of the stream.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_RestBeginsLater_IsNotPassedOn")
{
  AddRawServer("i-1", StreamFrom(5, 6), RawServer::End::Orderly);
  Start();
  const auto call = Call("/resumable/1", "Last-Event-Id: 3\r\n");
  CHECK(call->status_ != 200);
}

// Guards against joining a stream to another run that starts anew.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_RestBeginsAnew_IsNotPassedOn")
{
  AddRawServer("i-1", StreamFrom(1, 6), RawServer::End::Orderly);
  Start();
  const auto call = Call("/resumable/1", "Last-Event-Id: 3\r\n");
  CHECK(call->status_ != 200);
}

// Guards against a response that lacks its beginning.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_StreamBeginsLater_IsNotPassedOn")
{
  AddRawServer("i-1", StreamFrom(3, 6), RawServer::End::Orderly);
  Start();
  CHECK(Call("/stream/1")->status_ != 200);
}

// Guards against a stream that starts again from its beginning, as an event
// without a number set back the number of the last event.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_OneIsMissingAndStreamBreaks_IsNotResumed")
{
  AddRawServer("i-1",
               StreamFrom(1, 2, kUnnumberedEvent).append(kPartialEvent),
               RawServer::End::Orderly);
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ == EventsFrom(1, 2).append(kUnnumberedEvent));
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
}

TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_LastOneIsMissing_StreamIsComplete")
{
  AddRawServer(
    "i-1", StreamFrom(1, 6, kUnnumberedEvent), RawServer::End::Orderly);
  Start();
  const auto call = Call("/resumable/1");
  CHECK(call->body_ == EventsFrom(1, 6).append(kUnnumberedEvent));
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

// Guards against taking a comment for an event without a number.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_CommentBeforeBreak_StreamIsResumed")
{
  AddRawServer("i-1",
               StreamFrom(1, 2, kComment).append(kPartialEvent),
               RawServer::End::Orderly);
  AddServer("i-2");
  Start();
  const auto call = CallAtRawServer("/resumable/1");
  CHECK(call->body_ ==
        EventsFrom(1, 2).append(kComment).append(EventsFrom(3, 6)));
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

// Guards against an item's output that lacks events in its middle.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_OfItemAreLeftOut_OutputGoesOnElsewhere")
{
  AddRawServer("i-1",
               ForItem(StreamFrom(1, 2, EventsFrom(5, 6))),
               RawServer::End::Orderly);
  Start();
  Submit();
  RunUntil([this] { return !rawServers_[0]->Requests().empty(); });
  AddServer("i-2");
  CHECK(WaitForOutput() == WholeOutput());
}

// Guards against an item's output with a beginning that stands twice.
TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_OfItemIsMissingAndStreamBreaks_StartsAnew")
{
  AddRawServer(
    "i-1",
    ForItem(StreamFrom(1, 2, kUnnumberedEvent).append(kPartialEvent)),
    RawServer::End::Orderly);
  Start();
  Submit();
  RunUntil([this] { return !rawServers_[0]->Requests().empty(); });
  AddServer("i-2");
  CHECK(WaitForOutput() == WholeOutput());
}

TEST_CASE_METHOD(EventNumbersFixture,
                 "EventNumbers_CommentInItem_IsNoPartOfItsOutput")
{
  AddRawServer("i-1",
               ForItem(StreamFrom(1, 2, kComment).append(EventsFrom(3, 6))),
               RawServer::End::Orderly)
    .SetRest(ForItem(StreamHead()));
  Start();
  Submit();
  CHECK(WaitForOutput() == WholeOutput());
}

} // namespace pumiceturn::adapter
