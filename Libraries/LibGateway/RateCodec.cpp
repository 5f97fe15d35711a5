#include "LibGateway/RateCodec.h"

#include "LibFleet/WindowCounter.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Bounds the durations in a response, so that a forged datagram can't block an
/// organisation for long; longer than any duration that an owner sends.
constexpr std::int64_t kMaxDurationMs = 10000;

/// Bounds the requests in a slice of a history for the same reason; more than a
/// host admits in that time.
constexpr std::uint32_t kMaxRequestsPerSlice = 100000;

/// Bounds the number of a slice, so that computing with it can't overflow; more
/// than any monotonic clock reaches.
constexpr std::int64_t kMaxSlice = std::int64_t{ 1 } << 40;

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

std::vector<std::uint32_t>
DecodeSlices(const json& aSlices)
{
  if (!aSlices.is_array() || aSlices.size() > fleet::WindowCounter::kSlices) {
    throw json::other_error::create(0, "too many slices", &aSlices);
  }
  std::vector<std::uint32_t> requestsBySlice;
  for (const json& slice : aSlices) {
    const auto requests = slice.get<std::int64_t>();
    if (requests < 0 || requests > kMaxRequestsPerSlice) {
      throw json::other_error::create(0, "count is out of range", &aSlices);
    }
    requestsBySlice.push_back(static_cast<std::uint32_t>(requests));
  }
  return requestsBySlice;
}

json
EncodeHistory(const fleet::RateHistory& aHistory)
{
  json row = { { "slices", aHistory.requestsBySlice_ } };
  if (aHistory.usedUpSlice_) {
    row["used_up"] = *aHistory.usedUpSlice_;
  }
  if (aHistory.knownFor_) {
    row["known_ms"] = base::ToMs(*aHistory.knownFor_);
  }
  return row;
}

fleet::RateHistory
DecodeHistory(const json& aRow)
{
  fleet::RateHistory history;
  history.requestsBySlice_ = DecodeSlices(aRow.at("slices"));
  if (const auto usedUp = aRow.find("used_up"); usedUp != aRow.end()) {
    const auto index = usedUp->get<std::int64_t>();
    const auto slices =
      static_cast<std::int64_t>(history.requestsBySlice_.size());
    if (index < 0 || index >= slices) {
      throw json::other_error::create(0, "slice is out of range", &aRow);
    }
    history.usedUpSlice_ = static_cast<std::uint32_t>(index);
  }
  if (const auto known = aRow.find("known_ms"); known != aRow.end()) {
    history.knownFor_ = DecodeDuration(*known);
  }
  return history;
}

fleet::RateRefunds
DecodeRefunds(const json& aRow)
{
  fleet::RateRefunds refunds;
  refunds.currentSlice_ = aRow.at("current").get<std::int64_t>();
  if (refunds.currentSlice_ < 0 || refunds.currentSlice_ > kMaxSlice) {
    throw json::other_error::create(0, "slice is out of range", &aRow);
  }
  refunds.requestsBySlice_ = DecodeSlices(aRow.at("slices"));
  return refunds;
}

} // namespace

json
EncodeRateReport(const fleet::RateReport& aReport)
{
  json row = { { "name", aReport.organisation_ },
               { "account", aReport.seriesId_ },
               { "admitted", aReport.admitted_ },
               { "returned", aReport.refunded_ },
               { "question", aReport.query_ },
               { "owners", aReport.candidatesHash_ },
               { "confirm", aReport.isResponseNeeded_ } };
  if (aReport.history_) {
    row["history"] = EncodeHistory(*aReport.history_);
  }
  if (aReport.refunds_) {
    row["refunds"] = { { "current", aReport.refunds_->currentSlice_ },
                       { "slices", aReport.refunds_->requestsBySlice_ } };
  }
  return row;
}

fleet::RateReport
DecodeRateReport(const json& aRow)
{
  fleet::RateReport report{
    aRow.at("name").get<std::string>(),
    aRow.at("account").get<std::uint64_t>(),
    aRow.at("admitted").get<std::uint64_t>(),
    aRow.at("returned").get<std::uint64_t>(),
    aRow.at("question").get<std::uint64_t>(),
    // Gateways of earlier versions don't send these, nor history and refunds.
    aRow.value("owners", std::uint64_t{ 0 }),
    aRow.value("confirm", false)
  };
  if (const auto history = aRow.find("history"); history != aRow.end()) {
    report.history_ = DecodeHistory(*history);
  }
  if (const auto refunds = aRow.find("refunds"); refunds != aRow.end()) {
    report.refunds_ = DecodeRefunds(*refunds);
  }
  return report;
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
           { "come_back", base::ToMs(aResponse.retryAfter_) },
           { "used_up", aResponse.isCreditUsedUp_ },
           { "new", aResponse.isAccountNew_ } };
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
  // Gateways of earlier versions don't send the last two.
  response.isCreditUsedUp_ = aRow.value("used_up", false);
  response.isAccountNew_ = aRow.value("new", false);
  return response;
}

} // namespace pumiceturn::gateway
