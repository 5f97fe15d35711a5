#include "Tests/Platform/RawServerFixture.h"

namespace pumiceturn::adapter {

/// Servers that write events in ways that the format of server-sent events
/// allows, other than with line feeds alone and one data line each.
class EventFormatFixture : protected RawServerFixture
{
protected:
  static constexpr std::string_view kEvents =
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";

  /// Starts a host, and a server that answers with events.
  void StartServer(std::string_view aEvents)
  {
    AddRawServer("i-1", StreamHead().append(aEvents), RawServer::End::Orderly);
    Start();
  }

  /// Starts a host, and a server that answers an item with events.
  /// @return the item's output.
  std::string OutputOf(std::string_view aEvents)
  {
    AddRawServer(
      "i-1", ForItem(StreamHead().append(aEvents)), RawServer::End::Orderly)
      .SetRest(ForItem(StreamHead()));
    Start();
    Submit();
    return WaitForOutput();
  }
};

// Guards against streams that callers never get.
TEST_CASE_METHOD(EventFormatFixture,
                 "EventFormat_LinesEndWithCarriageReturn_StreamIsPassedOn")
{
  StartServer(kEvents);
  const auto call = Call("/stream/1");
  CHECK(call->body_ == kEvents);
  CHECK(call->outcome_ == httpstream::CallOutcome::Complete);
}

// Guards against numbers that aren't checked.
TEST_CASE_METHOD(EventFormatFixture,
                 "EventFormat_LinesEndWithCarriageReturn_GapEndsTheStream")
{
  StartServer(std::string(kEvents).append("id: 4\r\ndata: d\r\n\r\n"));
  const auto call = Call("/stream/1");
  CHECK(call->body_ == kEvents);
  CHECK(call->outcome_ != httpstream::CallOutcome::Complete);
}

// Guards against items that are never completed.
TEST_CASE_METHOD(EventFormatFixture,
                 "EventFormat_LinesEndWithCarriageReturn_OutputIsWhole")
{
  CHECK(OutputOf(kEvents) == "a\nb");
}

// Guards against outputs that lack lines.
TEST_CASE_METHOD(EventFormatFixture,
                 "EventFormat_SeveralDataLines_AreAllInTheOutput")
{
  CHECK(OutputOf("id: 1\ndata: a\ndata: b\n\nid: 2\ndata\n\n") == "a\nb\n");
}

} // namespace pumiceturn::adapter
