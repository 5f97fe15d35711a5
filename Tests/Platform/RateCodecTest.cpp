#include "LibGateway/RateCodec.h"
#include "LibFleet/WindowCounter.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <vector>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;
using nlohmann::json;

class RateCodecFixture
{
protected:
  [[nodiscard]] static fleet::RateReport Report()
  {
    return { "archive", 77,
             12,        3,
             9,         4711,
             true,      fleet::RateHistory{ { 4, 0, 300 }, 2, 620ms } };
  }

  [[nodiscard]] static fleet::RateResponse Response()
  {
    return { "archive", 77, 9, true, 2s, 37ms, 410ms, true, true };
  }

  /// @return the bytes of a datagram with some of them overwritten.
  [[nodiscard]] std::vector<std::uint8_t> Corrupt(const json& aRow)
  {
    std::vector<std::uint8_t> bytes = json::to_cbor(aRow);
    for (int change = 0; change < 3; ++change) {
      bytes[random_() % bytes.size()] = static_cast<std::uint8_t>(random_());
    }
    return bytes;
  }

  std::mt19937 random_{ 5 };
};

TEST_CASE_METHOD(RateCodecFixture, "RateCodec_RoundTrip_IsEqual")
{
  CHECK(DecodeRateReport(json::from_cbor(
          json::to_cbor(EncodeRateReport(Report())))) == Report());
  CHECK(DecodeRateResponse(json::from_cbor(
          json::to_cbor(EncodeRateResponse(Response())))) == Response());
}

// Guards against rejecting the reports of hosts that run an earlier version.
TEST_CASE_METHOD(RateCodecFixture,
                 "RateCodec_ReportOfEarlierVersion_IsReadWithoutNewFields")
{
  json row = EncodeRateReport(Report());
  row.erase("owners");
  row.erase("confirm");
  row.erase("history");
  const fleet::RateReport expected{ "archive", 77, 12, 3, 9 };
  CHECK(DecodeRateReport(row) == expected);
}

// Guards against rejecting the responses of owners that run an earlier version.
TEST_CASE_METHOD(RateCodecFixture,
                 "RateCodec_ResponseOfEarlierVersion_IsReadWithoutNewFields")
{
  json row = EncodeRateResponse(Response());
  row.erase("used_up");
  row.erase("new");
  CHECK_FALSE(DecodeRateResponse(row).isCreditUsedUp_);
  CHECK_FALSE(DecodeRateResponse(row).isAccountNew_);
}

// Guards against a forged history that uses up an organisation's credit for
// long, or much memory.
TEST_CASE_METHOD(RateCodecFixture, "RateCodec_HistoryOutOfRange_IsRejected")
{
  const json valid = EncodeRateReport(Report());
  const json longSlices =
    std::vector<int>(fleet::WindowCounter::kSlices + 1, 1);
  for (const json& slices : { json("1"),
                              json(7),
                              json{ -1, 0 },
                              json{ 100001, 0 },
                              json{ 1e300, 0 },
                              longSlices }) {
    json row = valid;
    row["history"]["slices"] = slices;
    CHECK_THROWS_AS(DecodeRateReport(row), json::exception);
  }
  for (const json& usedUp : { json(-1), json(3), json("1") }) {
    json row = valid;
    row["history"]["used_up"] = usedUp;
    CHECK_THROWS_AS(DecodeRateReport(row), json::exception);
  }
  for (const json& known : { json(-1), json(10001), json("1") }) {
    json row = valid;
    row["history"]["known_ms"] = known;
    CHECK_THROWS_AS(DecodeRateReport(row), json::exception);
  }
}

// Guards against refunds that are taken from other slices than the reporter's.
TEST_CASE_METHOD(RateCodecFixture, "RateCodec_ReportWithRefunds_IsEqual")
{
  fleet::RateReport report = Report();
  report.refunds_ = fleet::RateRefunds{ 345600, { 0, 3, 0, 17 } };
  CHECK(DecodeRateReport(
          json::from_cbor(json::to_cbor(EncodeRateReport(report)))) == report);
  json row = EncodeRateReport(report);
  row.erase("refunds");
  CHECK(DecodeRateReport(row) == Report());
}

// Guards against forged refunds that use much memory or overflow a count.
TEST_CASE_METHOD(RateCodecFixture, "RateCodec_RefundsOutOfRange_AreRejected")
{
  fleet::RateReport report = Report();
  report.refunds_ = fleet::RateRefunds{ 345600, { 0, 3 } };
  const json valid = EncodeRateReport(report);
  const json longSlices =
    std::vector<int>(fleet::WindowCounter::kSlices + 1, 1);
  for (const json& slices : { json("1"),
                              json(7),
                              json{ -1, 0 },
                              json{ 100001, 0 },
                              json{ 1e300, 0 },
                              longSlices }) {
    json row = valid;
    row["refunds"]["slices"] = slices;
    CHECK_THROWS_AS(DecodeRateReport(row), json::exception);
  }
  for (const json& slice :
       { json(-1), json(INT64_MAX), json(INT64_MIN), json("1") }) {
    json row = valid;
    row["refunds"]["current"] = slice;
    CHECK_THROWS_AS(DecodeRateReport(row), json::exception);
  }
  json row = valid;
  row["refunds"] = 5;
  CHECK_THROWS_AS(DecodeRateReport(row), json::exception);
}

// Guards against a forged response blocking an organisation for years.
TEST_CASE_METHOD(RateCodecFixture, "RateCodec_TimeOutOfRange_IsRejected")
{
  json row = EncodeRateResponse(Response());
  for (const json& time : { json(-1), json(10001), json(1e300), json("1") }) {
    row["no_credit"] = time;
    CHECK_THROWS_AS(DecodeRateResponse(row), json::exception);
  }
}

// Guards against a corrupt datagram crashing the process.
TEST_CASE_METHOD(RateCodecFixture, "RateCodec_Corrupt_ThrowsJsonExceptionsOnly")
{
  for (int round = 0; round < 20000; ++round) {
    try {
      (void)DecodeRateReport(
        json::from_cbor(Corrupt(EncodeRateReport(Report()))));
      (void)DecodeRateResponse(
        json::from_cbor(Corrupt(EncodeRateResponse(Response()))));
    } catch (const json::exception&) {
      continue;
    }
  }
  SUCCEED();
}

} // namespace pumiceturn::gateway
