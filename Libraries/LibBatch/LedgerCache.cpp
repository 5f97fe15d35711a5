#include "LibBatch/LedgerCache.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::batch {

namespace {

/// Over which the freed tokens are counted: an item takes up to 8 s, and a job
/// of ten frees some each second.
constexpr std::chrono::seconds kRateWindow{ 5 };

/// Bounds of what a sender is told: a sooner return would find the same ledger,
/// as rows are lowered four times a second, and senders that wait longer give
/// up.
constexpr base::Duration kSoonest{ std::chrono::milliseconds{ 300 } };
constexpr base::Duration kLatest{ std::chrono::seconds{ 10 } };

/// Told where nothing was freed of late.
constexpr std::chrono::seconds kUnknown{ 2 };

/// Largest share by which a time is made longer, so that the senders of one
/// flood don't return together.
constexpr double kSpread = 0.3;

/// @return the tokens that rows of one ledger have lost in the other.
std::uint64_t
ReleasedBetween(const TokenLedger& aOld, const TokenLedger& aNew)
{
  std::uint64_t released = 0;
  for (const auto& [job, tokens] : aOld.Entries()) {
    const std::uint64_t left = aNew.Of(job).value_or(0);
    released += tokens > left ? tokens - left : 0;
  }
  return released;
}

} // namespace

const LedgerView&
LedgerCache::Of(const std::string& aLedger) const
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
  Entry& entry = entries_[aLedger];
  if (aRevision <= entry.view_.revision_) {
    return LedgerUpdateOutcome::Old;
  }
  auto ledger = DecodeLedger(aValue);
  const LedgerUpdateOutcome outcome =
    ledger ? LedgerUpdateOutcome::Newer : LedgerUpdateOutcome::Unreadable;
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
LedgerCache::RoomExpectedAfter(const std::string& aLedger,
                               std::uint64_t aTokens,
                               std::uint64_t aCap,
                               base::Instant aNow,
                               double aRandom) const
{
  const std::uint64_t wanted = Of(aLedger).ledger_.Total() + aTokens;
  const std::uint64_t excess = wanted > aCap ? wanted - aCap : 0;
  std::uint64_t released = 0;
  if (const auto entry = entries_.find(aLedger); entry != entries_.end()) {
    for (const Release& release : entry->second.releases_) {
      released += aNow - release.at_ <= kRateWindow ? release.tokens_ : 0;
    }
  }
  base::Duration expected = kUnknown;
  if (released > 0) {
    const double windows =
      static_cast<double>(excess) / static_cast<double>(released);
    const std::chrono::duration<double> exact =
      std::min<std::chrono::duration<double>>(kRateWindow * windows, kLatest);
    expected = std::chrono::duration_cast<base::Duration>(exact);
  }
  const base::Duration bounded = std::clamp(expected, kSoonest, kLatest);
  return std::chrono::duration_cast<base::Duration>(bounded *
                                                    (1.0 + kSpread * aRandom));
}

} // namespace pumiceturn::batch
