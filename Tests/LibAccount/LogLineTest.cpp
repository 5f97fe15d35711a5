#include "LibAccount/LogLine.h"

#include "LibBase/Log.h"
#include "Tests/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <fstream>

#include <string>
#include <string_view>

namespace pumiceturn::account {

class LogLineFixture
{
protected:
  static LogLine Parse(std::string_view aText)
  {
    const auto outcome = base::Capture([&] { return ParseLogLine(aText); });
    REQUIRE(std::holds_alternative<LogLine>(outcome));
    return std::get<LogLine>(outcome);
  }

  static base::ResultCode CodeOf(std::string_view aText)
  {
    const auto outcome = base::Capture([&] { return ParseLogLine(aText); });
    const auto* failure = std::get_if<base::Failure>(&outcome);
    return failure == nullptr ? base::ResultCode::Ok : failure->code_;
  }

  static std::int64_t SecondOf(const std::string& aTime)
  {
    return Parse(aTime + " info event=1").at_.time_since_epoch().count();
  }

  static std::string ValueOf(const LogLine& aLine, std::string_view aKey)
  {
    const std::string* value = aLine.Find(aKey);
    return value == nullptr ? "(missing)" : *value;
  }
};

// Guards against dependence on the order of fields.
TEST_CASE_METHOD(LogLineFixture, "LogLine_FieldsInAnyOrder_AreFound")
{
  const std::string text =
    "2026-10-07T03:50:39.017+00:00 info end=answered first_ms=48 event=7109 "
    "host=front-a-1";
  const LogLine line = Parse(text);
  CHECK(line.event_ == 7109);
  CHECK(ValueOf(line, "host") == "front-a-1");
  CHECK(ValueOf(line, "end") == "answered");
  CHECK(ValueOf(line, "first_ms") == "48");
  CHECK(line.Find("first") == nullptr);
}

// Guards against values that end at a space, an equals sign or a quote inside.
TEST_CASE_METHOD(LogLineFixture, "LogLine_QuotedValue_IsDecoded")
{
  const std::string text =
    "2026-10-07T03:50:39.017+00:00 info event=7134 "
    R"(reason="no \"key\" event=1 \\" organisation="" request=81c3)";
  const LogLine line = Parse(text);
  CHECK(line.event_ == 7134);
  CHECK(ValueOf(line, "reason") == R"(no "key" event=1 \)");
  CHECK(ValueOf(line, "organisation").empty());
  CHECK(ValueOf(line, "request") == "81c3");
}

// Guards against rows of the wrong second for hosts that log in local time.
TEST_CASE_METHOD(LogLineFixture, "LogLine_TimeWithOffset_IsConvertedToUtc")
{
  constexpr std::int64_t kSecond = 1791345039;
  CHECK(SecondOf("2026-10-07T03:50:39.017+00:00") == kSecond);
  CHECK(SecondOf("2026-10-07T03:50:39.999Z") == kSecond);
  CHECK(SecondOf("2026-10-07T03:50:39Z") == kSecond);
  CHECK(SecondOf("2026-10-07T05:50:39.017+02:00") == kSecond);
  CHECK(SecondOf("2026-10-06T22:20:39.017-05:30") == kSecond);
}

// Guards against counting truncated and foreign lines.
TEST_CASE_METHOD(LogLineFixture, "LogLine_Malformed_IsRejected")
{
  const auto* text =
    GENERATE("",
             " ",
             "Segmentation fault",
             "2026-10-07T03:50:39.017+00:00",
             "2026-10-07T03:50:39.017+00:00 info host=front",
             "2026-10-07T03:50:39.017+00:00 info event=x",
             "2026-10-07T03:50:39.017+00:00 info event=70000",
             "2026-10-07T03:50:39.017+00:00 info event=1 word",
             "2026-10-07T03:50:39.017+00:00 info event=1 =5",
             "2026-10-07T03:50:39.017+00:00 info event=1 a=\"b",
             "2026-10-07T03:50:39.017+00:00 info event=1 a=\"",
             "2026-10-07T03:50:39.017+00:00 info event=1 "
             "a=\"b\"c",
             "2026-10-07T03:50:39.017+00:00 info event=1 "
             "a=\"\\x\"",
             "2026-10-07T03:50:39.017 info event=1",
             "2026-10-07T24:50:39.017Z info event=1",
             "2026-02-30T03:50:39.017Z info event=1",
             "2026-10-07 03:50:39.017Z info event=1");
  CAPTURE(text);
  CHECK(CodeOf(text) == base::ResultCode::MalformedMessage);
}

// Guards against a parser that no longer reads what base::Log() writes.
TEST_CASE_METHOD(LogLineFixture, "LogLine_WrittenByLog_IsParsed")
{
  constexpr base::Event kEvent{
    7109, "request_ended", base::LogLevel::Info, "For tests."
  };
  const std::string odd = "a \"b\" = \\ \n\t";
  const TemporaryFolder folder;
  base::LogOptions options;
  options.file_ = folder.Path() + "/log";
  options.host_ = "front-a-1";
  base::StartLog(options);
  base::Log(kEvent,
            { { "request", odd }, { "organisation", "" }, { "first_ms", 48 } });
  base::StopLog();
  std::ifstream file(options.file_);
  std::string text;
  REQUIRE(std::getline(file, text));
  const LogLine line = Parse(text);
  CHECK(line.event_ == kEvent.number_);
  CHECK(ValueOf(line, "host") == "front-a-1");
  CHECK(ValueOf(line, "request") == odd);
  CHECK(ValueOf(line, "organisation").empty());
  CHECK(ValueOf(line, "first_ms") == "48");
  const auto age = std::chrono::system_clock::now() - line.at_;
  CHECK(age >= std::chrono::seconds::zero());
  CHECK(age < std::chrono::minutes(1));
}

} // namespace pumiceturn::account
