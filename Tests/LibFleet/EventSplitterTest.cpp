#include "LibFleet/EventSplitter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::fleet {

class EventSplitterFixture
{
protected:
  struct Event
  {
    std::uint64_t id_ = 0;
    std::string data_;

    bool operator==(const Event&) const = default;
  };

  /// Appends the bytes in pieces of a size.
  /// @return the events that have a number or data.
  std::vector<Event> Split(std::string_view aText, std::size_t aPieceBytes)
  {
    splitter_.Clear();
    passedOn_.clear();
    std::vector<Event> events;
    for (; !aText.empty();
         aText.remove_prefix(std::min(aPieceBytes, aText.size()))) {
      splitter_.Append(aText.substr(0, aPieceBytes));
      while (const auto event = splitter_.Next()) {
        passedOn_.append(event->raw_);
        if (event->id_ > 0 || event->hasData_) {
          events.push_back({ event->id_, std::string(event->data_) });
        }
      }
    }
    return events;
  }

  /// Checks the events of a text that is read at once, byte by byte and in
  /// other pieces, and that all its bytes are passed on.
  void CheckSplit(const std::string& aText, const std::vector<Event>& aEvents)
  {
    for (std::size_t pieceBytes = 1; pieceBytes <= aText.size(); ++pieceBytes) {
      INFO(pieceBytes << " bytes at a time");
      CHECK(Split(aText, pieceBytes) == aEvents);
      CHECK(splitter_.Remainder() == 0);
      CHECK(passedOn_ == aText);
    }
  }

  EventSplitter splitter_;
  std::string passedOn_; ///< All bytes of the events.
};

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_EventInPieces_IsReturnedWhenComplete")
{
  splitter_.Append("id: 4\nda");
  CHECK_FALSE(splitter_.Next());
  splitter_.Append("ta: hello\n\nid: 5\n");
  const auto event = splitter_.Next();
  REQUIRE(event);
  CHECK(event->id_ == 4);
  CHECK(event->data_ == "hello");
  CHECK(event->raw_ == "id: 4\ndata: hello\n\n");
  CHECK_FALSE(splitter_.Next());
  CHECK(splitter_.Remainder() == 6);
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_FieldBeforeId_IsKeptInRaw")
{
  splitter_.Append("weight-versions: 3\nid: 1\ndata: x\n\n");
  const auto event = splitter_.Next();
  REQUIRE(event);
  CHECK(event->id_ == 1);
  CHECK(event->raw_.starts_with("weight-versions"));
}

// Guards against joining a partial event to the first event of the resumed
// stream.
TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_ClearAfterBreak_DropsPartialEvent")
{
  splitter_.Append("id: 1\ndata: a\n\nid: 2\nda");
  REQUIRE(splitter_.Next());
  CHECK_FALSE(splitter_.Next());
  splitter_.Clear();
  splitter_.Append("id: 2\ndata: b\n\n");
  const auto event = splitter_.Next();
  REQUIRE(event);
  CHECK(event->raw_ == "id: 2\ndata: b\n\n");
}

// Guards against an event without end that fills the memory.
TEST_CASE("EventSplitter_EventWithoutEnd_IsTooLarge")
{
  EventSplitter splitter;
  const std::string line = "data: " + std::string(58, 'a') + "\n";
  std::size_t bytes = 0;
  while (bytes <= EventSplitter::kMaxEventBytes) {
    CHECK_FALSE(splitter.IsEventTooLarge());
    splitter.Append(line);
    bytes += line.size();
    CHECK_FALSE(splitter.Next());
  }
  CHECK(splitter.IsEventTooLarge());
  splitter.Clear();
  CHECK_FALSE(splitter.IsEventTooLarge());
}

// Guards against missing an event's end whose bytes arrive one by one, as the
// bytes before aren't searched again.
TEST_CASE("EventSplitter_BytesArriveOneByOne_EventsAreFound")
{
  EventSplitter splitter;
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  std::vector<std::uint64_t> ids;
  for (const char byte : text) {
    splitter.Append({ &byte, 1 });
    while (const auto event = splitter.Next()) {
      ids.push_back(event->id_);
    }
  }
  CHECK(ids == std::vector<std::uint64_t>{ 1, 2 });
  CHECK(splitter.Remainder() == 0);
}

// Guards against streams of servers that end lines with CR LF, whose events
// aren't found.
TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_LinesEndWithCarriageReturnLineFeed_AreFound")
{
  CheckSplit("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
             { { 1, "a" }, { 2, "b" } });
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_LinesEndWithCarriageReturn_AreFound")
{
  CheckSplit("id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
             { { 1, "a" }, { 2, "b" } });
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_LinesEndInSeveralWays_AreFound")
{
  CheckSplit("id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\rid: 3\ndata: c\n\n",
             { { 1, "a" }, { 2, "b" }, { 3, "c" } });
}

// Guards against outputs that lack all but the first line of an event.
TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_SeveralDataLines_AreJoinedByLineFeeds")
{
  CheckSplit("id: 1\ndata: a\ndata: b\ndata\ndata:  c\n\n",
             { { 1, "a\nb\n\n c" } });
  CheckSplit("data: a\r\ndata: b\r\n\r\n", { { 0, "a\nb" } });
}

// Guards against an event without text that counts as a comment.
TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_DataWithoutColon_IsAnEvent")
{
  CheckSplit("id: 1\ndata\n\ndata\n\n", { { 1, "" }, { 0, "" } });
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_OtherFieldsAndComments_AreNoData")
{
  CheckSplit("datum: a\nidle: 3\n: data: b\nretry: 10\n\n\n\n", {});
}

// Guards against an event whose number isn't found, as a mark precedes it.
TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter_ByteOrderMark_FirstEventHasItsNumber")
{
  CheckSplit("\xEF\xBB\xBFid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
             { { 1, "a" }, { 2, "b" } });
}

} // namespace pumiceturn::fleet
