#include "LibGateway/CrashVerdictStore.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/Events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Pause after a call that failed.
constexpr std::chrono::milliseconds kRetryPause{ 300 };

constexpr const char* kEntryName = "features";

/// @return what tells whether the entry in the store is still right.
std::string
DigestOf(const std::vector<fleet::CrashVerdict>& aVerdicts)
{
  std::vector<std::string> rows;
  for (const fleet::CrashVerdict& verdict : aVerdicts) {
    if (!verdict.isLifted_) {
      rows.push_back(ToString(verdict.feature_) + "/" +
                     std::to_string(verdict.trials_));
    }
  }
  std::sort(rows.begin(), rows.end());
  return json(rows).dump();
}

std::string
Encode(const std::vector<fleet::CrashVerdict>& aVerdicts, base::Instant aNow)
{
  const base::WallTime wallNow = base::WallNow();
  json rows = json::array();
  for (const fleet::CrashVerdict& verdict : aVerdicts) {
    if (!verdict.isLifted_) {
      rows.push_back(
        { { "feature", ToString(verdict.feature_) },
          { "decided_ms",
            base::ToUnixMs(wallNow) - base::ToMs(aNow - verdict.decidedAt_) },
          { "trials", verdict.trials_ },
          { "endpoints", verdict.endpoints_ } });
    }
  }
  return rows.dump();
}

/// @throws json::exception if the text is malformed.
fleet::CrashEvidence
Decode(const std::string& aText, base::Instant aNow)
{
  fleet::CrashEvidence evidence;
  const std::int64_t wallNowMs = base::ToUnixMs(base::WallNow());
  for (const json& row : json::parse(aText)) {
    const auto feature = ParseFeature(row.value("feature", ""));
    if (!feature) {
      continue;
    }
    // Hosts' clocks differ.
    const std::int64_t ageMs =
      std::max<std::int64_t>(0, wallNowMs - row.value("decided_ms", wallNowMs));
    fleet::CrashVerdict verdict;
    verdict.feature_ = *feature;
    verdict.decidedAt_ = aNow - std::chrono::milliseconds(ageMs);
    verdict.trials_ = row.value("trials", 0U);
    verdict.endpoints_ = row.value("endpoints", 0U);
    evidence.verdicts_.push_back(verdict);
  }
  return evidence;
}

} // namespace

CrashVerdictStore::CrashVerdictStore(metadata::StoreClient& aStore,
                                     std::string aKeyPrefix,
                                     fleet::CrashAttribution& aCrashes)
  : store_(aStore)
  , keyPrefix_(std::move(aKeyPrefix))
  , crashes_(aCrashes)
{
}

void
CrashVerdictStore::Tick(bool aMayWrite, base::Instant aNow)
{
  // Another host may write from now on.
  isCurrent_ = isCurrent_ && aMayWrite;
  if (isCalling_ || aNow < nextReadAt_) {
    return;
  }
  const std::vector<fleet::CrashVerdict> verdicts = crashes_.Verdicts();
  const bool isChanged = DigestOf(verdicts) != digest_;
  if (!hasBeenRead_ || (aMayWrite && !isCurrent_ && isChanged)) {
    Read(aNow);
  } else if (aMayWrite && isChanged) {
    Write(Encode(verdicts, aNow));
  }
}

void
CrashVerdictStore::Read(base::Instant aNow)
{
  isCalling_ = true;
  nextReadAt_ = aNow + kRetryPause;
  store_.Range(
    keyPrefix_,
    {},
    metadata::ReadConsistency::Linearizable,
    lifetime_.Guard([this](const metadata::RangeResponse& aResponse) {
      isCalling_ = false;
      if (aResponse.status_ != metadata::StoreStatus::Ok) {
        return;
      }
      fleet::CrashEvidence evidence;
      revision_ = 0;
      for (const metadata::StoreItem& item : aResponse.items_) {
        if (item.key_ == keyPrefix_ + kEntryName) {
          revision_ = item.revision_;
          try {
            evidence = Decode(item.value_, base::MonotonicNow());
          } catch (const json::exception& error) {
            base::Log(kCrashVerdictsUnreadable, { { "error", error.what() } });
          }
        }
      }
      digest_ = DigestOf(evidence.verdicts_);
      crashes_.Merge(evidence);
      hasBeenRead_ = true;
      isCurrent_ = true;
      nextReadAt_ = {};
    }));
}

void
CrashVerdictStore::Write(const std::string& aContent)
{
  isCalling_ = true;
  metadata::Transaction transaction;
  const std::string key = keyPrefix_ + kEntryName;
  transaction.expectations_.push_back({ key, revision_ });
  transaction.writes_.push_back({ key, aContent, 0 });
  store_.Commit(
    transaction,
    lifetime_.Guard([this, digest = DigestOf(crashes_.Verdicts())](
                      const metadata::TransactionResponse& aResponse) {
      isCalling_ = false;
      if (aResponse.status_ == metadata::StoreStatus::Ok) {
        digest_ = digest;
        revision_ = aResponse.revision_;
        return;
      }
      // Another host may have written, or this host without an answer.
      isCurrent_ = false;
      nextReadAt_ = base::MonotonicNow() + kRetryPause;
    }));
}

} // namespace pumiceturn::gateway
