#include "LibFleet/EventSplitter.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

class EventSplitterFixture
{
protected:
  EventSplitter splitter_;
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

} // namespace pumiceturn::fleet
