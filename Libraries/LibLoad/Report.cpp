#include "LibLoad/Report.h"

#include "LibBase/ResultCode.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace pumiceturn::load {

namespace {

using Json = nlohmann::ordered_json;

constexpr double kMsPerSecond = 1000.0;

/// @return the value to three decimals; more would only look exact.
double
Round(double aValue)
{
  constexpr double kPerUnit = 1000.0;
  return std::round(aValue * kPerUnit) / kPerUnit;
}

Json
ToJson(const Samples& aSamples)
{
  const Quantiles quantiles = aSamples.Summary();
  return { { "p50", Round(quantiles.p50_) },
           { "p95", Round(quantiles.p95_) },
           { "p99", Round(quantiles.p99_) },
           { "samples", quantiles.count_ } };
}

Json
ToJson(const Latencies& aLatencies)
{
  return { { "first_token_ms", ToJson(aLatencies.firstTokenMs_) },
           { "between_tokens_ms", ToJson(aLatencies.betweenTokensMs_) } };
}

Json
ToJson(const BatchUse& aUse)
{
  Json json{ { "items_per_s", Round(aUse.itemsPerS_) },
             { "tokens_per_s", Round(aUse.tokensPerS_) },
             { "length_s", Round(aUse.lengthS_) } };
  const bool isKnown = aUse.idleTokensPerS_ > 0;
  json["idle_tokens_per_s"] =
    isKnown ? Json(Round(aUse.idleTokensPerS_)) : Json();
  json["share_of_idle_capacity"] =
    isKnown ? Json(Round(aUse.shareOfIdleCapacity_)) : Json();
  return json;
}

Json
EndsByCode(const Recorder::Snapshot& aRecorded)
{
  Json json = Json::object();
  for (const auto& [code, count] : aRecorded.endsByCode_) {
    const auto name = base::NameOf(static_cast<base::ResultCode>(code));
    json[std::to_string(code) + " " + std::string(name)] = count;
  }
  return json;
}

Json
ToJson(const std::vector<ConfigurationSpread>& aSpreads)
{
  Json list = Json::array();
  for (const ConfigurationSpread& spread : aSpreads) {
    list.push_back({ { "version", spread.version_ },
                     { "accepted", spread.isAccepted_ },
                     { "everywhere", spread.isEverywhere_ },
                     { "ms", Round(spread.spreadMs_) } });
  }
  return list;
}

Json
ToJson(const std::vector<PostedFault>& aFaults)
{
  Json list = Json::array();
  for (const PostedFault& fault : aFaults) {
    list.push_back(
      { { "at_s", Round(std::chrono::duration<double>(fault.at_).count()) },
        { "address", fault.address_ },
        { "order", fault.order_ },
        { "answered", fault.isAnswered_ } });
  }
  return list;
}

/// @return the longest spread; nothing where there was no change, or one did
/// not reach every host.
Json
LongestSpread(const std::vector<ConfigurationSpread>& aSpreads)
{
  Json longest;
  for (const ConfigurationSpread& spread : aSpreads) {
    if (!spread.isAccepted_ || !spread.isEverywhere_) {
      return {};
    }
    longest = std::max(longest.is_null() ? 0.0 : longest.get<double>(),
                       Round(spread.spreadMs_));
  }
  return longest;
}

double
FirstLotS(const LoadPlan& aPlan)
{
  double first = aPlan.warm_up_s() + aPlan.alone_s() + aPlan.together_s();
  for (const LotPlan& lot : aPlan.lots()) {
    first = std::min(first, lot.at_s());
  }
  return first;
}

} // namespace

BatchUse
MeasureBatch(const LoadPlan& aPlan, const std::vector<Second>& aSeconds)
{
  const auto first = static_cast<std::size_t>(FirstLotS(aPlan));
  const auto arrivalsEnd = static_cast<std::size_t>(
    aPlan.warm_up_s() + aPlan.alone_s() + aPlan.together_s());
  const std::size_t end = std::min(aSeconds.size(), arrivalsEnd);
  std::uint64_t items = 0;
  std::uint64_t batchTokens = 0;
  std::uint64_t onlineTokens = 0;
  std::uint64_t onlineSoFar = 0;
  std::size_t last = first;
  for (std::size_t second = first; second < end; ++second) {
    items += aSeconds[second].batchItems_;
    batchTokens += aSeconds[second].batchTokens_;
    onlineSoFar += aSeconds[second].onlineTokens_;
    if (aSeconds[second].batchItems_ > 0) {
      last = second + 1;
      onlineTokens = onlineSoFar;
    }
  }
  BatchUse use;
  use.lengthS_ = static_cast<double>(last - first);
  if (last == first) {
    return use;
  }
  use.itemsPerS_ = static_cast<double>(items) / use.lengthS_;
  use.tokensPerS_ = static_cast<double>(batchTokens) / use.lengthS_;
  if (aPlan.capacity().slots() > 0 && aPlan.capacity().token_ms() > 0) {
    const double capacity =
      aPlan.capacity().slots() * kMsPerSecond / aPlan.capacity().token_ms();
    use.idleTokensPerS_ = std::max(
      0.0, capacity - static_cast<double>(onlineTokens) / use.lengthS_);
    use.shareOfIdleCapacity_ =
      use.idleTokensPerS_ > 0 ? use.tokensPerS_ / use.idleTokensPerS_ : 0;
  }
  return use;
}

double
HarmAtP99(const Recorder::Snapshot& aRecorded)
{
  const double alone = aRecorded.alone_.firstTokenMs_.Summary().p99_;
  const double together = aRecorded.together_.firstTokenMs_.Summary().p99_;
  return alone > 0 ? together / alone : 0;
}

std::string
WriteJson(const LoadPlan& aPlan, const RunOutcome& aOutcome)
{
  const Recorder::Snapshot& recorded = aOutcome.recorded_;
  const Counts& counts = recorded.counts_;
  Json json;
  json["service"] = aPlan.service();
  json["seed"] = aPlan.seed();
  json["online_alone"] = ToJson(recorded.alone_);
  json["online_with_batch"] = ToJson(recorded.together_);
  json["harm_p99"] = Round(HarmAtP99(recorded));
  json["batch"] = ToJson(MeasureBatch(aPlan, recorded.seconds_));
  json["sent"] = counts.sent_;
  json["accepted"] = counts.accepted_;
  json["completed"] = counts.completed_;
  json["failed"] = counts.failed_;
  json["unfinished"] = counts.unfinished_;
  json["lost"] = counts.lost_;
  json["doubled"] = counts.doubled_;
  json["mixed_up"] = counts.mixedUp_;
  json["refused_not_run"] = counts.refusedNotRun_;
  json["refused_but_run"] =
    aOutcome.hasCheckedRefusals_ ? Json(counts.refusedButRun_) : Json();
  json["unknown"] = counts.unknown_;
  json["due_missed"] = counts.dueMissed_;
  json["config_spread_ms"] = LongestSpread(aOutcome.spreads_);
  json["configuration_changes"] = ToJson(aOutcome.spreads_);
  json["engine_tokens_together"] =
    aOutcome.hasEngineTokens_ ? Json(aOutcome.engineTokensTogether_) : Json();
  json["ends_by_code"] = EndsByCode(recorded);
  json["faults"] = ToJson(aOutcome.faults_);
  return json.dump(2) + "\n";
}

} // namespace pumiceturn::load
