#include "LibBase/Base64.h"

#include <catch2/catch.hpp>

#include <string>

namespace pumiceturn::base {

TEST_CASE("Base64_BytesOfAnyLength_ComeBack")
{
  for (const std::string bytes : { "", "a", "ab", "abc", "abcd" }) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  const std::string zeros(2, '\0');
  CHECK(DecodeBase64(EncodeBase64(zeros)) == zeros);
  CHECK_FALSE(DecodeBase64("a"));
  CHECK_FALSE(DecodeBase64("%%%%"));
}

} // namespace pumiceturn::base
