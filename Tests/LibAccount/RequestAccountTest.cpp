#include "LibAccount/RequestAccount.h"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace pumiceturn::account {

using namespace std::chrono_literals;

class RequestAccountFixture
{
protected:
  static constexpr std::chrono::sys_seconds kStart{ 1791345000s };

  void AddAt(int aSecond, std::string_view aFields)
  {
    const std::string line =
      fmt::format("2026-10-07T03:{:02}:{:02}.017+00:00 info {}",
                  50 + aSecond / 60,
                  aSecond % 60,
                  aFields);
    AddText(line);
  }

  void AddText(std::string_view aText)
  {
    const auto outcome = base::Capture([&] { return account_.AddLine(aText); });
    const auto* failure = std::get_if<base::Failure>(&outcome);
    lastCode_ = failure == nullptr ? base::ResultCode::Ok : failure->code_;
  }

  void Add(std::string_view aFields) { AddAt(0, aFields); }

  void AddNotRun(std::string_view aRequest,
                 int aSecond = 0,
                 std::string_view aHost = "front-a-1")
  {
    AddAt(aSecond,
          fmt::format("host={} event=7109 request={} organisation=kapu522 "
                      "end=not_run attempts=0 first_ms=1",
                      aHost,
                      aRequest));
  }

  void AddNotAdmitted(std::string_view aRequest,
                      int aSecond = 0,
                      std::string_view aHost = "front-a-1")
  {
    AddAt(aSecond,
          fmt::format("host={} event=7124 request={} route=lookup wait_ms=250",
                      aHost,
                      aRequest));
  }

  void UseOptions(RequestAccount::Options aOptions)
  {
    account_ = RequestAccount(aOptions);
  }

  [[nodiscard]] std::uint64_t Total(RequestEnd aEnd) const
  {
    return Total().Of(aEnd);
  }

  [[nodiscard]] RequestCounts Total() const
  {
    RequestCounts total;
    for (const auto& [key, counts] : account_.Rows()) {
      total.Add(counts);
    }
    return total;
  }

  [[nodiscard]] RequestCounts Row(int aSecond,
                                  const std::string& aOrganisation = {}) const
  {
    const auto found = account_.Rows().find(
      { kStart + std::chrono::seconds(aSecond), aOrganisation });
    return found == account_.Rows().end() ? RequestCounts() : found->second;
  }

  RequestAccount account_{ RequestAccount::Options{} };
  base::ResultCode lastCode_ = base::ResultCode::Ok;
};

// Guards against an objective that excludes its own value or is ignored.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_Answered_ObjectiveSeparatesInTimeFromLate")
{
  UseOptions({ 200ms, false });
  Add("event=7109 request=1 end=answered first_ms=200 total_ms=900");
  Add("event=7109 request=2 end=answered first_ms=201 total_ms=900");
  CHECK(Total(RequestEnd::InTime) == 1);
  CHECK(Total(RequestEnd::Late) == 1);
  CHECK(Total().Sum() == 2);
}

// Guards against an end that is counted as another one.
TEST_CASE_METHOD(RequestAccountFixture, "RequestAccount_EachEnd_HasItsCount")
{
  Add("event=7109 request=1 end=failed first_ms=1");
  Add("event=7109 request=2 end=broken_off first_ms=1");
  Add("event=7109 request=3 end=timed_out first_ms=1");
  Add("event=7109 request=4 end=suspect first_ms=1");
  Add("event=7109 request=5 end=caller_gone first_ms=1");
  Add("event=7135 request=6 organisation=kapu522 decided_by=\"no credit\"");
  Add("event=7134 request=7 reason=\"unknown key\"");
  account_.Finish();
  CHECK(Total(RequestEnd::Failed) == 4);
  CHECK(Total(RequestEnd::CallerGone) == 1);
  CHECK(Total(RequestEnd::RejectedByRate) == 1);
  CHECK(Total(RequestEnd::RejectedByKey) == 1);
  CHECK(Total().Sum() == 7);
}

// Guards against counting a rejected request for its reason and for its end.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_RejectedWithReason_IsCountedOnce")
{
  AddNotAdmitted("1");
  AddNotRun("1");
  AddNotRun("2");
  AddNotAdmitted("2");
  Add("host=front-a-1 event=7139 request=3 organisation=kapu522 in_flight=9");
  AddNotRun("3");
  account_.Finish();
  CHECK(Total(RequestEnd::RejectedByWait) == 2);
  CHECK(Total(RequestEnd::RejectedByShare) == 1);
  CHECK(Total().Sum() == 3);
}

// Guards against losing requests that no endpoint could take, and those of
// which the host's limit of lines left one line out.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_OnlyOneOfTwoLines_IsCounted")
{
  AddNotRun("1");
  AddNotAdmitted("2");
  CHECK(Total().Sum() == 0);
  account_.Finish();
  CHECK(Total(RequestEnd::NotRun) == 1);
  CHECK(Total(RequestEnd::RejectedByWait) == 1);
  CHECK(Total().Sum() == 2);
}

// Guards against matching lines of different requests: callers choose the ids.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_SameIdAgain_IsAnotherRequest")
{
  AddNotAdmitted("1", 0, "front-a-1");
  AddNotRun("1", 0, "front-a-2");
  AddNotAdmitted("2");
  AddNotRun("2");
  AddNotAdmitted("2");
  AddNotRun("2");
  AddNotAdmitted("3");
  AddNotAdmitted("3");
  account_.Finish();
  CHECK(Total(RequestEnd::RejectedByWait) == 5);
  CHECK(Total(RequestEnd::NotRun) == 1);
  CHECK(Total().Sum() == 6);
}

// Guards against memory that grows with the number of requests not run.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_UnmatchedForLong_IsCountedBeforeTheEnd")
{
  AddNotRun("1", 0);
  AddNotRun("2", 30);
  CHECK(Row(0).Of(RequestEnd::NotRun) == 1);
  CHECK(Total().Sum() == 1);
  // An earlier file of the same host.
  AddNotRun("3", 5);
  CHECK(Row(30).Of(RequestEnd::NotRun) == 1);
  AddNotAdmitted("3", 5);
  CHECK(Row(5).Of(RequestEnd::RejectedByWait) == 1);
  account_.Finish();
  CHECK(Total().Sum() == 3);
}

// Guards against rows of the second of arrival or of a host's order of lines.
TEST_CASE_METHOD(RequestAccountFixture, "RequestAccount_Rows_AreBySecond")
{
  AddAt(2, "event=7109 request=1 end=answered first_ms=1");
  AddAt(1, "event=7109 request=2 end=answered first_ms=1");
  AddAt(2, "event=7109 request=3 end=answered first_ms=1");
  REQUIRE(account_.Rows().size() == 2);
  CHECK(account_.Rows().begin()->first.second_ == kStart + 1s);
  CHECK(Row(1).Sum() == 1);
  CHECK(Row(2).Sum() == 2);
}

// Guards against a rejection for its wait without its organisation, which only
// the line with the end has.
TEST_CASE_METHOD(
  RequestAccountFixture,
  "RequestAccount_ByOrganisation_RejectionsHaveTheirOrganisation")
{
  UseOptions({ 300ms, true });
  AddNotAdmitted("1");
  AddNotRun("1");
  AddNotRun("2");
  AddNotAdmitted("2");
  Add("event=7135 request=3 organisation=nywu4971 rate=5");
  Add("event=7134 request=4 reason=\"no key\"");
  Add("event=7109 request=5 organisation=\"\" end=answered first_ms=1");
  account_.Finish();
  CHECK(Row(0, "kapu522").Of(RequestEnd::RejectedByWait) == 2);
  CHECK(Row(0, "nywu4971").Of(RequestEnd::RejectedByRate) == 1);
  CHECK(Row(0).Of(RequestEnd::RejectedByKey) == 1);
  CHECK(Row(0).Of(RequestEnd::InTime) == 1);
  CHECK(Total().Sum() == 5);
}

// Guards against an end of the whole run at one damaged line.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_UnreadableLines_AreCountedAndSkipped")
{
  Add("event=7109 request=1 end=answered first_ms=soon");
  CHECK(lastCode_ == base::ResultCode::OutOfRange);
  Add("event=7109 request=1 end=evaporated");
  CHECK(lastCode_ == base::ResultCode::OutOfRange);
  Add("event=7109 request=1");
  CHECK(lastCode_ == base::ResultCode::MissingField);
  Add("event=7109 end=not_run");
  CHECK(lastCode_ == base::ResultCode::MissingField);
  Add("event=7109 request=1 end=answ first_ms=\"1");
  CHECK(lastCode_ == base::ResultCode::MalformedMessage);
  Add("event=7108 request=1 endpoint=i-1");
  CHECK(lastCode_ == base::ResultCode::Ok);
  AddText("");
  CHECK(lastCode_ == base::ResultCode::Ok);
  Add("event=7109 request=1 end=answered first_ms=1");
  CHECK(account_.UnreadableLines() == 5);
  CHECK(Total().Sum() == 1);
}

// Guards against a table that seems complete although hosts left lines out.
TEST_CASE_METHOD(RequestAccountFixture,
                 "RequestAccount_OmittedLines_AreReportedForCountedEvents")
{
  Add("event=7109 request=1 end=answered first_ms=1 omitted=40");
  Add("event=7135 request=2 organisation=kapu522 omitted=2");
  Add("event=7108 request=3 omitted=100");
  CHECK(account_.OmittedLines() == 42);
}

} // namespace pumiceturn::account
