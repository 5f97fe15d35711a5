#include "LibPlatform/Gateway.h"
#include "LibBase/Base64.h"

#include <catch2/catch.hpp>

namespace pumiceturn::platform::gateway {

namespace {

base::ResultCode
CodeOfRange(std::string_view aReply)
{
  const auto outcome = base::Capture([&] { return DecodeRange(aReply); });
  const auto* failure = std::get_if<base::Failure>(&outcome);
  return failure == nullptr ? base::ResultCode::Ok : failure->code_;
}

} // namespace

TEST_CASE("DecodeRange_UnreadableReply_SaysMalformed")
{
  using base::ResultCode;
  CHECK(CodeOfRange(R"({"header":{"revision":"7"}})") == ResultCode::Ok);
  for (const char* reply :
       { "",
         "{",
         "[]",
         "{}",
         R"({"header":{"revision":"seven"}})",
         R"({"header":{"revision":"7"},"kvs":[{"key":"%%%%"}]})",
         R"({"header":{"revision":"7"},"kvs":[{"key":7}]})" }) {
    CAPTURE(reply);
    CHECK(CodeOfRange(reply) == ResultCode::MalformedMessage);
  }
}

TEST_CASE("RangeOfPrefix_LastByteHighest_EndsAfterThePrefix")
{
  CHECK(RangeOfPrefix("ab").end_ == "ac");
  CHECK(RangeOfPrefix("a\xff").end_ == "b");
  CHECK(RangeOfPrefix("\xff").end_ == std::string(1, '\0'));
}

TEST_CASE("Base64_AnyLength_IsReadBack")
{
  for (const char* text : { "", "a", "ab", "abc", "abcd" }) {
    CHECK(base::DecodeBase64(base::EncodeBase64(text)) == text);
  }
  CHECK_FALSE(base::DecodeBase64("abc"));
  CHECK_FALSE(base::DecodeBase64("a%=="));
}

} // namespace pumiceturn::platform::gateway
