#include "LibGateway/CrashReports.h"

#include "LibBase/Ids.h"
#include "LibGateway/Events.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Least time after which a caller is told to come back.
constexpr base::Duration kMinRetryAfter{ std::chrono::seconds{ 1 } };

/// Bounds the rows of a message.
constexpr std::size_t kMaxAnsweredRows =
  fleet::CrashAttribution::kMaxReported *
  (fleet::CrashAttribution::kMaxParts + 1);

fleet::RequestFeatures
MakeFeatures(std::string_view aTarget,
             std::string_view aBody,
             std::vector<std::uint64_t> aParts)
{
  if (aParts.size() > fleet::CrashAttribution::kMaxParts) {
    aParts.resize(fleet::CrashAttribution::kMaxParts);
  }
  return { base::HashBytes(aBody, base::HashBytes(aTarget)),
           std::move(aParts) };
}

std::int64_t
AgeMs(base::Instant aTime, base::Instant aNow)
{
  return base::ToMs(aNow - aTime);
}

base::Instant
TimeOfAge(const json& aAge, base::Instant aNow)
{
  // Outside of it, no time matters to a decision.
  constexpr std::int64_t kMaxAgeMs = 86'400'000;
  return aNow - std::chrono::milliseconds(std::clamp<std::int64_t>(
                  aAge.get<std::int64_t>(), 0, kMaxAgeMs));
}

template<typename Read>
void
ReadRows(const json& aMessage,
         const char* aName,
         std::size_t aMaxRows,
         Read&& aRead)
{
  const auto rows = aMessage.find(aName);
  if (rows == aMessage.end()) {
    return;
  }
  std::size_t count = 0;
  for (const json& row : *rows) {
    if (++count > aMaxRows) {
      return;
    }
    aRead(row);
  }
}

} // namespace

fleet::RequestFeatures
FeaturesOf(const httpstream::Request& aRequest, const CallerFields& aFields)
{
  return MakeFeatures(
    httpstream::TargetOf(aRequest), aRequest.body(), aFields.sharedParts_);
}

fleet::RequestFeatures
FeaturesOf(const batch::BatchItem& aItem, const Codec& aCodec)
{
  return MakeFeatures(aItem.path_, aItem.body_, aCodec.ReadSharedParts(aItem));
}

void
RecordBrokenAttempt(SharedState& aShared, const fleet::BrokenAttempt& aAttempt)
{
  aShared.crashes_.RecordBroken(aAttempt);
  UpdateCrashVerdicts(aShared, aAttempt.brokeAt_);
}

void
UpdateCrashVerdicts(SharedState& aShared, base::Instant aNow)
{
  using Crashes = fleet::CrashAttribution;
  const auto hasSurvived = [&](const std::string& aEndpoint,
                               base::Instant aMoment) {
    return aShared.endpoints_.HasSurvived(aEndpoint, aMoment, aNow);
  };
  for (const Crashes::VerdictChange& change :
       aShared.crashes_.Update(aNow, hasSurvived)) {
    const bool isRefused = change.decision_ == Crashes::Decision::Refused;
    base::Log(isRefused ? kFeatureRefused : kFeatureNoLongerRefused,
              { { "feature", ToString(change.feature_) },
                { "crashed_endpoints", change.cases_ },
                { "rounds", change.rounds_ } });
    aShared.metrics_
      .GetCounter("pumiceturn_crash_verdicts_total",
                  "Features of requests that are refused from then on, or no "
                  "longer.",
                  isRefused ? "state=\"refused\"" : "state=\"lifted\"")
      .Add();
  }
}

void
ReportRefusal(SharedState& aShared,
              const std::string& aRequestId,
              const fleet::CrashesEndpoints& aRefusal)
{
  base::Log(kRequestSuspect,
            { { "request", aRequestId },
              { "feature", ToString(aRefusal.feature_) },
              { "come_back_ms", base::ToMs(RetryAfter(aRefusal)) } });
  aShared.metrics_
    .GetCounter("pumiceturn_suspect_requests_total",
                "Requests that are refused as they crash endpoints.")
    .Add();
}

base::Duration
RetryAfter(const fleet::CrashesEndpoints& aRefusal)
{
  return std::max(aRefusal.untilTrial_, kMinRetryAfter);
}

std::string
LoggedParts(std::span<const std::uint64_t> aParts)
{
  constexpr std::size_t kMaxLogged = 8;
  std::string text;
  for (const std::uint64_t part :
       aParts.first(std::min(aParts.size(), kMaxLogged))) {
    text.append(text.empty() ? "" : ",").append(ToString(part));
  }
  return text;
}

std::string
ToString(std::uint64_t aFeature)
{
  return fmt::format("{:016x}", aFeature);
}

std::optional<std::uint64_t>
ParseFeature(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  std::uint64_t feature = 0;
  const auto [end, error] = std::from_chars(
    aText.data(), aText.data() + aText.size(), feature, kHexadecimal);
  const bool isWhole =
    error == std::errc{} && end == aText.data() + aText.size();
  return isWhole ? std::optional(feature) : std::nullopt;
}

std::string
WriteVerdicts(const fleet::CrashAttribution& aCrashes, base::Instant aNow)
{
  json rows = json::array();
  for (const fleet::CrashVerdict& verdict : aCrashes.Verdicts()) {
    json row = { { "feature", ToString(verdict.feature_) },
                 { "state", verdict.isLifted_ ? "lifted" : "refused" },
                 { "age_ms", AgeMs(verdict.decidedAt_, aNow) },
                 { "trials", verdict.trials_ },
                 { "crashed_endpoints", verdict.endpoints_ } };
    rows.push_back(std::move(row));
  }
  return json{ { "verdicts", std::move(rows) } }.dump();
}

json
EncodeCrashEvidence(const fleet::CrashEvidence& aEvidence, base::Instant aNow)
{
  json broken = json::array();
  for (const fleet::BrokenAttempt& attempt : aEvidence.broken_) {
    json row = { attempt.endpoint_.id_,        attempt.endpoint_.startedAtMs_,
                 AgeMs(attempt.sentAt_, aNow), AgeMs(attempt.brokeAt_, aNow),
                 attempt.features_.content_,   attempt.features_.parts_ };
    if (attempt.isBatchItem_) {
      row.push_back(true);
    }
    broken.push_back(std::move(row));
  }
  json answered = json::array();
  for (const fleet::AnsweredFeature& feature : aEvidence.answered_) {
    answered.push_back({ feature.feature_, AgeMs(feature.answeredAt_, aNow) });
  }
  json verdicts = json::array();
  for (const fleet::CrashVerdict& verdict : aEvidence.verdicts_) {
    json row = { verdict.feature_,
                 AgeMs(verdict.decidedAt_, aNow),
                 verdict.trials_,
                 verdict.endpoints_ };
    if (verdict.isLifted_) {
      row.push_back(AgeMs(verdict.liftedAt_, aNow));
    }
    verdicts.push_back(std::move(row));
  }
  json message = json::object();
  const auto add = [&message](const char* aName, json aRows) {
    if (!aRows.empty()) {
      message[aName] = std::move(aRows);
    }
  };
  add("broken", std::move(broken));
  add("answered", std::move(answered));
  add("refused", std::move(verdicts));
  return message;
}

fleet::CrashEvidence
DecodeCrashEvidence(const json& aMessage, base::Instant aNow)
{
  using Crashes = fleet::CrashAttribution;
  fleet::CrashEvidence evidence;
  ReadRows(aMessage, "broken", Crashes::kMaxReported, [&](const json& aRow) {
    constexpr std::size_t kIsBatchItem = 6;
    fleet::BrokenAttempt attempt;
    attempt.endpoint_ = { aRow.at(0).get<std::string>(),
                          aRow.at(1).get<std::int64_t>() };
    attempt.sentAt_ = TimeOfAge(aRow.at(2), aNow);
    attempt.brokeAt_ = TimeOfAge(aRow.at(3), aNow);
    attempt.features_.content_ = aRow.at(4).get<std::uint64_t>();
    attempt.features_.parts_ = aRow.at(5).get<std::vector<std::uint64_t>>();
    attempt.isBatchItem_ =
      aRow.size() > kIsBatchItem && aRow.at(kIsBatchItem).get<bool>();
    if (attempt.features_.parts_.size() <= Crashes::kMaxParts) {
      evidence.broken_.push_back(std::move(attempt));
    }
  });
  ReadRows(aMessage, "answered", kMaxAnsweredRows, [&](const json& aRow) {
    evidence.answered_.push_back(
      { aRow.at(0).get<std::uint64_t>(), TimeOfAge(aRow.at(1), aNow) });
  });
  ReadRows(aMessage, "refused", Crashes::kMaxVerdicts, [&](const json& aRow) {
    constexpr std::size_t kLiftedAt = 4;
    fleet::CrashVerdict verdict;
    verdict.feature_ = aRow.at(0).get<std::uint64_t>();
    verdict.decidedAt_ = TimeOfAge(aRow.at(1), aNow);
    verdict.trials_ = aRow.at(2).get<std::uint32_t>();
    verdict.endpoints_ = aRow.at(3).get<std::uint32_t>();
    verdict.isLifted_ = aRow.size() > kLiftedAt;
    if (verdict.isLifted_) {
      verdict.liftedAt_ = TimeOfAge(aRow.at(kLiftedAt), aNow);
    }
    evidence.verdicts_.push_back(verdict);
  });
  return evidence;
}

} // namespace pumiceturn::gateway
