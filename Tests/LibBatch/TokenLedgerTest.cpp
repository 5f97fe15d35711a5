#include "LibBatch/TokenLedger.h"
#include "LibBatch/LedgerCache.h"

#include <catch2/catch.hpp>

namespace pumiceturn::batch {

using namespace std::chrono_literals;

class LedgerFixture
{
protected:
  LedgerUpdateOutcome Update(const TokenLedger& aLedger,
                             std::uint64_t aRevision)
  {
    return cache_.Update("route", EncodeLedger(aLedger), aRevision, now_);
  }

  [[nodiscard]] base::Duration RetryDelay(std::uint64_t aTokens) const
  {
    return cache_.EstimateRetryDelay("route", aTokens, kCap, now_, 0.0);
  }

  static constexpr std::uint64_t kCap = 1000;

  LedgerCache cache_;
  TokenLedger ledger_;
  base::Instant now_{ base::Duration{ 1h } };
};

TEST_CASE_METHOD(LedgerFixture, "TokenLedger_RowsChange_TotalIsUpdated")
{
  ledger_.Set("a", 400);
  ledger_.Set("b", 500);
  CHECK(ledger_.Total() == 900);
  CHECK(ledger_.Fits(100, kCap));
  CHECK_FALSE(ledger_.Fits(101, kCap));
  ledger_.Set("a", 100);
  ledger_.Set("b", 0);
  CHECK(ledger_.Total() == 100);
  CHECK_FALSE(ledger_.Find("b"));
  CHECK_FALSE(ledger_.Fits(kCap + 1, kCap));
  CHECK(DecodeLedger(EncodeLedger(ledger_)) == ledger_);
}

// Guards against accepting malformed ledgers and overflowing totals.
TEST_CASE_METHOD(LedgerFixture, "TokenLedger_MalformedText_IsRejected")
{
  for (const char* text : { "",
                            "[]",
                            "7",
                            "{\"a\":-1}",
                            "{\"a\":\"1\"}",
                            "{\"a\":1.5}",
                            "{\"a\":18446744073709551615}",
                            "{\"a\":{}}" }) {
    CHECK_FALSE(DecodeLedger(text));
  }
  ledger_.Set("a", 400);
  Update(ledger_, 5);
  CHECK(cache_.Update("route", "{{", 6, now_) ==
        LedgerUpdateOutcome::Malformed);
  CHECK(cache_.Get("route").revision_ == 6);
  CHECK(cache_.Get("route").ledger_.Total() == 0);
}

TEST_CASE_METHOD(LedgerFixture, "LedgerCache_OlderRevision_IsIgnored")
{
  ledger_.Set("a", 400);
  CHECK(Update(ledger_, 5) == LedgerUpdateOutcome::Applied);
  CHECK(Update({}, 4) == LedgerUpdateOutcome::Stale);
  CHECK(Update({}, 5) == LedgerUpdateOutcome::Stale);
  CHECK(cache_.Get("route").ledger_.Total() == 400);
}

// Guards against retry delays that are far from the time at which the job will
// fit.
TEST_CASE_METHOD(LedgerFixture, "LedgerCache_FullRoute_EstimatesRetryDelay")
{
  CHECK(RetryDelay(100) >= 300ms);
  ledger_.Set("a", 1000);
  Update(ledger_, 5);
  CHECK(RetryDelay(100) == 2s); // No tokens were released yet.
  ledger_.Set("a", 900);
  now_ += 1s;
  Update(ledger_, 6);
  // 100 tokens were released within the rate window of 5 s.
  CHECK(RetryDelay(140) == 2s);
  CHECK(RetryDelay(1000) == 10s);
  CHECK(RetryDelay(100) == 300ms);
}

} // namespace pumiceturn::batch
