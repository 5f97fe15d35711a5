#include "LibBase/Numbers.h"

#include <catch2/catch.hpp>

#include <cstdint>

namespace pumiceturn::base {

TEST_CASE("Numbers_WholeNumber_IsRead")
{
  CHECK(ParseNumber<std::uint32_t>("0") == 0U);
  CHECK(ParseNumber<std::uint64_t>("18446744073709551615") ==
        18446744073709551615ULL);
}

TEST_CASE("Numbers_AnythingElse_IsNone")
{
  for (const char* text : { "", " 1", "1 ", "+1", "-1", "1x", "0x1", "1.0" }) {
    CHECK_FALSE(ParseNumber<std::uint32_t>(text));
  }
  CHECK_FALSE(ParseNumber<std::uint32_t>("4294967296"));
}

} // namespace pumiceturn::base
