#include "LibEndpoint/EventStreamParser.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace pumiceturn::endpoint {

TEST_CASE("EventStreamParser_BodyInSingleBytes_ReportsCompleteDataLines")
{
  const std::string body =
    ": comment\r\nid: 3\r\ndata: one\r\n\r\ndata:two\n\ndata: thr";
  EventStreamParser parser;
  std::vector<std::string> data;
  for (const char byte : body) {
    REQUIRE(parser.Push({ &byte, 1 }, [&](std::string_view aData) {
      data.emplace_back(aData);
      return true;
    }));
  }
  CHECK(data == std::vector<std::string>{ "one", "two" });
}

TEST_CASE("EventStreamParser_LineTooLong_IsRejected")
{
  EventStreamParser parser;
  const std::string piece(EventStreamParser::kMaxLineBytes + 1, 'x');
  CHECK_FALSE(parser.Push(piece, [](std::string_view) { return true; }));
}

} // namespace pumiceturn::endpoint
