#include "LibGateway/RateCodec.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Bounds the durations in a response, so that a forged datagram can't block an
/// organisation for long; longer than any duration that an owner sends.
constexpr std::int64_t kMaxDurationMs = 10000;

base::Duration
DecodeDuration(const json& aMilliseconds)
{
  const auto milliseconds = aMilliseconds.get<std::int64_t>();
  if (milliseconds < 0 || milliseconds > kMaxDurationMs) {
    throw json::other_error::create(
      0, "duration is out of range", &aMilliseconds);
  }
  return std::chrono::milliseconds(milliseconds);
}

} // namespace

json
EncodeRateReport(const fleet::RateReport& aReport)
{
  return { { "name", aReport.organisation_ },
           { "account", aReport.seriesId_ },
           { "admitted", aReport.admitted_ },
           { "returned", aReport.refunded_ },
           { "question", aReport.query_ },
           { "owners", aReport.candidatesHash_ },
           { "confirm", aReport.isResponseNeeded_ } };
}

fleet::RateReport
DecodeRateReport(const json& aRow)
{
  return { aRow.at("name").get<std::string>(),
           aRow.at("account").get<std::uint64_t>(),
           aRow.at("admitted").get<std::uint64_t>(),
           aRow.at("returned").get<std::uint64_t>(),
           aRow.at("question").get<std::uint64_t>(),
           // Gateways of earlier versions don't send the last two.
           aRow.value("owners", std::uint64_t{ 0 }),
           aRow.value("confirm", false) };
}

json
EncodeRateResponse(const fleet::RateResponse& aResponse)
{
  return { { "name", aResponse.organisation_ },
           { "account", aResponse.seriesId_ },
           { "question", aResponse.query_ },
           { "granted", aResponse.isGranted_ },
           { "ask_first", base::ToMs(aResponse.queryFirstFor_) },
           { "no_credit", base::ToMs(aResponse.noCreditFor_) },
           { "come_back", base::ToMs(aResponse.retryAfter_) } };
}

fleet::RateResponse
DecodeRateResponse(const json& aRow)
{
  fleet::RateResponse response;
  response.organisation_ = aRow.at("name").get<std::string>();
  response.seriesId_ = aRow.at("account").get<std::uint64_t>();
  response.query_ = aRow.at("question").get<std::uint64_t>();
  response.isGranted_ = aRow.at("granted").get<bool>();
  response.queryFirstFor_ = DecodeDuration(aRow.at("ask_first"));
  response.noCreditFor_ = DecodeDuration(aRow.at("no_credit"));
  response.retryAfter_ = DecodeDuration(aRow.at("come_back"));
  return response;
}

} // namespace pumiceturn::gateway
