#include "LibGateway/RateCodec.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Longer than any time that a keeper tells; what a stranger sends must not
/// shut an organisation out.
constexpr std::int64_t kLongestMs = 10000;

base::Duration
DecodeTime(const json& aMilliseconds)
{
  const auto milliseconds = aMilliseconds.get<std::int64_t>();
  if (milliseconds < 0 || milliseconds > kLongestMs) {
    throw json::other_error::create(0, "no time", &aMilliseconds);
  }
  return std::chrono::milliseconds(milliseconds);
}

} // namespace

json
EncodeRateReport(const fleet::RateReport& aReport)
{
  return { { "name", aReport.organisation_ },
           { "account", aReport.account_ },
           { "admitted", aReport.admitted_ },
           { "returned", aReport.returned_ },
           { "question", aReport.question_ } };
}

fleet::RateReport
DecodeRateReport(const json& aRow)
{
  return { aRow.at("name").get<std::string>(),
           aRow.at("account").get<std::uint64_t>(),
           aRow.at("admitted").get<std::uint64_t>(),
           aRow.at("returned").get<std::uint64_t>(),
           aRow.at("question").get<std::uint64_t>() };
}

json
EncodeRateAnswer(const fleet::RateAnswer& aAnswer)
{
  return { { "name", aAnswer.organisation_ },
           { "account", aAnswer.account_ },
           { "question", aAnswer.question_ },
           { "granted", aAnswer.isGranted_ },
           { "ask_first", base::ToMs(aAnswer.askFirst_) },
           { "no_credit", base::ToMs(aAnswer.noCreditFor_) },
           { "come_back", base::ToMs(aAnswer.comeBackAfter_) } };
}

fleet::RateAnswer
DecodeRateAnswer(const json& aRow)
{
  fleet::RateAnswer answer;
  answer.organisation_ = aRow.at("name").get<std::string>();
  answer.account_ = aRow.at("account").get<std::uint64_t>();
  answer.question_ = aRow.at("question").get<std::uint64_t>();
  answer.isGranted_ = aRow.at("granted").get<bool>();
  answer.askFirst_ = DecodeTime(aRow.at("ask_first"));
  answer.noCreditFor_ = DecodeTime(aRow.at("no_credit"));
  answer.comeBackAfter_ = DecodeTime(aRow.at("come_back"));
  return answer;
}

} // namespace pumiceturn::gateway
