#include "LibBase/Result.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

namespace pumiceturn::base {

namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result<int>
HalfOf(int aValue)
{
  if (aValue % 2 != 0) {
    return Fail(ResultCode::OutOfRange, "odd");
  }
  return aValue / 2;
}

} // namespace

TEST_CASE("ResultCodeTable_EveryCode_IsInTheDocumentedTable")
{
  const std::string page =
    ReadFile(std::string(PUMICETURN_SOURCE_FOLDER) + "/docs/RESULT_CODES.md");
  for (const ResultCodeRow& row : AllResultCodes()) {
    const std::string expected =
      "| " + std::to_string(static_cast<int>(row.code_)) + " | `" +
      std::string(row.name_) + "` | " + std::string(row.meaning_) + " |";
    CAPTURE(expected);
    CHECK(page.find(expected) != std::string::npos);
  }
}

TEST_CASE("Capture_FailingFunction_GivesItsCodeAndDetail")
{
  const auto outcome = Capture([] { return HalfOf(3); });
  REQUIRE(std::holds_alternative<Failure>(outcome));
  CHECK(std::get<Failure>(outcome) == Failure{ ResultCode::OutOfRange, "odd" });
}

TEST_CASE("Capture_SucceedingFunction_GivesItsValue")
{
  const auto outcome = Capture([] { return HalfOf(8); });
  REQUIRE(std::holds_alternative<int>(outcome));
  CHECK(std::get<int>(outcome) == 4);
}

} // namespace pumiceturn::base
