#include "LibClient/LotReader.h"

#include <catch2/catch.hpp>

namespace pumiceturn::client {

TEST_CASE("ReadLot_GoodLines_BecomeItems")
{
  const Lot lot = ReadLot("{\"name\":\"a\",\"prompt\":\"x\"}\n\n"
                          "{\"prompt\":\"y\\n\"}");
  CHECK(lot.brokenLines_.empty());
  REQUIRE(lot.items_.size() == 2);
  CHECK(lot.items_[0].name() == "a");
  CHECK(lot.items_[1].name() == "3");
  CHECK(lot.items_[1].prompt() == "y\n");
}

TEST_CASE("ReadLot_BrokenLines_AreToldByNumber")
{
  const Lot lot = ReadLot("{\"prompt\":\"x\"}\n"
                          "{\"prompt\":\n"
                          "[1]\n"
                          "{\"name\":\"a\"}\n"
                          "{\"prompt\":3}\n"
                          "{\"prompt\":\"x\",\"due\":1}\n"
                          "{\"prompt\":\"\xff\"}\n"
                          "{\"prompt\":\"y\"}\n");
  CHECK(lot.items_.size() == 2);
  REQUIRE(lot.brokenLines_.size() == 6);
  CHECK(lot.brokenLines_.front().number_ == 2);
  CHECK(lot.brokenLines_.back().number_ == 7);
}

} // namespace pumiceturn::client
