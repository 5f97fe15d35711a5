#include "LibBatch/LedgerCache.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::batch {

namespace {

/// Window over which the release rate is measured. An item takes up to
/// about 8 s, but a job of ten items releases some tokens each second.
constexpr std::chrono::seconds kRateWindow{ 5 };

/// Bounds of the retry delay, before jitter. An earlier retry than the
/// minimum would find the same ledger, as rows are decreased four times a
/// second near the cap. Submitters that have to wait longer than the maximum
/// give up.
constexpr base::Duration kMinRetryDelay{ std::chrono::milliseconds{ 300 } };
constexpr base::Duration kMaxRetryDelay{ std::chrono::seconds{ 10 } };

/// Returned if no tokens were released within the rate window.
constexpr std::chrono::seconds kDefaultRetryDelay{ 2 };

/// Maximum jitter, as a share of the retry delay without jitter. Keeps rejected
/// submitters from retrying simultaneously.
constexpr double kMaxJitter = 0.3;

/// @return the number of tokens by which rows of the old ledger have decreased
///   in the new one.
std::uint64_t
ReleasedBetween(const TokenLedger& aOld, const TokenLedger& aNew)
{
  std::uint64_t released = 0;
  for (const auto& [job, tokens] : aOld.Rows()) {
    const std::uint64_t remaining = aNew.Find(job).value_or(0);
    released += tokens > remaining ? tokens - remaining : 0;
  }
  return released;
}

} // namespace

const LedgerView&
LedgerCache::Get(const std::string& aLedger) const
{
  static const LedgerView kNone;
  const auto entry = entries_.find(aLedger);
  return entry == entries_.end() ? kNone : entry->second.view_;
}

LedgerUpdateOutcome
LedgerCache::Update(const std::string& aLedger,
                    std::string_view aValue,
                    std::uint64_t aRevision,
                    base::Instant aNow)
{
  CachedLedger& entry = entries_[aLedger];
  if (aRevision <= entry.view_.revision_) {
    return LedgerUpdateOutcome::Stale;
  }
  auto ledger = DecodeLedger(aValue);
  const LedgerUpdateOutcome outcome =
    ledger ? LedgerUpdateOutcome::Applied : LedgerUpdateOutcome::Malformed;
  LedgerView view{ aRevision, std::move(ledger).value_or(TokenLedger{}) };
  if (const auto released =
        ReleasedBetween(entry.view_.ledger_, view.ledger_)) {
    entry.releases_.push_back({ aNow, released });
  }
  while (!entry.releases_.empty() &&
         aNow - entry.releases_.front().at_ > kRateWindow) {
    entry.releases_.pop_front();
  }
  entry.view_ = std::move(view);
  return outcome;
}

base::Duration
LedgerCache::EstimateRetryDelay(const std::string& aLedger,
                                std::uint64_t aTokens,
                                std::uint64_t aCap,
                                base::Instant aNow,
                                double aRandom) const
{
  const std::uint64_t required = Get(aLedger).ledger_.Total() + aTokens;
  const std::uint64_t excess = required > aCap ? required - aCap : 0;
  std::uint64_t released = 0;
  if (const auto entry = entries_.find(aLedger); entry != entries_.end()) {
    for (const Release& release : entry->second.releases_) {
      released += aNow - release.at_ <= kRateWindow ? release.tokens_ : 0;
    }
  }
  base::Duration expected = kDefaultRetryDelay;
  if (released > 0) {
    const double windows =
      static_cast<double>(excess) / static_cast<double>(released);
    const std::chrono::duration<double> exact =
      std::min<std::chrono::duration<double>>(kRateWindow * windows,
                                              kMaxRetryDelay);
    expected = std::chrono::duration_cast<base::Duration>(exact);
  }
  const base::Duration bounded =
    std::clamp(expected, kMinRetryDelay, kMaxRetryDelay);
  return std::chrono::duration_cast<base::Duration>(
    bounded * (1.0 + kMaxJitter * aRandom));
}

} // namespace pumiceturn::batch
