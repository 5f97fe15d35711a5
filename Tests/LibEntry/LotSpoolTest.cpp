#include "LibEntry/LotSpool.h"

#include <catch2/catch.hpp>

namespace pumiceturn::entry {

namespace {

using base::ResultCode;

struct LotFixture
{
  LotFixture()
  {
    terms_.job_.partner_ = "society";
    terms_.job_.service_ = "origin-llm";
    terms_.maxItemBytes_ = 1000;
    terms_.maxItems_ = 10000;
  }

  /// @return the code that an item is refused with; Ok if it is taken.
  static ResultCode Add(LotSpool& aLot,
                        std::string_view aName,
                        std::string_view aPayload)
  {
    return CodeOf(base::Capture([&] { return aLot.Add(aName, aPayload); }));
  }

  static ResultCode Seal(LotSpool& aLot)
  {
    return CodeOf(base::Capture([&] { return aLot.Seal(); }));
  }

  static ResultCode CodeOf(const base::Outcome<std::monostate>& aOutcome)
  {
    const auto* failure = std::get_if<base::Failure>(&aOutcome);
    return failure == nullptr ? ResultCode::Ok : failure->code_;
  }

  LotTerms terms_;
  SpoolBudget budget_;
};

} // namespace

TEST_CASE_METHOD(LotFixture, "LotSpool_ManyItems_ComeBackInBoundedFrames")
{
  LotSpool lot(terms_, budget_);
  constexpr std::uint32_t kItems = 5000;
  const std::string padding(200, 'x');
  for (std::uint32_t item = 0; item < kItems; ++item) {
    REQUIRE(Add(lot, std::to_string(item), padding + std::to_string(item)) ==
            ResultCode::Ok);
  }
  REQUIRE(Seal(lot) == ResultCode::Ok);
  std::uint32_t next = 0;
  bool isLast = false;
  while (!isLast) {
    const wire::SubmitFrame frame = lot.FrameFrom(next);
    std::size_t bytes = 0;
    for (const wire::JobItem& item : frame.items_) {
      REQUIRE(item.name_ == std::to_string(next));
      REQUIRE(item.payload_ == padding + std::to_string(next));
      bytes += item.payload_.size();
      ++next;
    }
    CHECK(bytes < LotSpool::kFrameBytes + terms_.maxItemBytes_);
    isLast = frame.last_;
  }
  CHECK(next == kItems);
  CHECK(lot.FrameFrom(1).items_.front().name_ == "1");
}

// Story: a publisher's lot has no key, and its first submission's answer is
// lost. The same content must come to the same job; any other must not.
TEST_CASE_METHOD(LotFixture, "LotSpool_NoKey_IsNamedByItsContent")
{
  const auto keyOf = [this](std::string_view aName, std::string_view aPayload) {
    LotSpool lot(terms_, budget_);
    CHECK(Add(lot, aName, aPayload) == ResultCode::Ok);
    CHECK(Seal(lot) == ResultCode::Ok);
    return lot.Job().key_;
  };
  CHECK(keyOf("a", "bc") == keyOf("a", "bc"));
  CHECK(keyOf("a", "bc") != keyOf("ab", "c"));
  const std::string before = keyOf("a", "bc");
  terms_.job_.kind_ = "other";
  CHECK(keyOf("a", "bc") != before);
}

TEST_CASE_METHOD(LotFixture, "LotSpool_BeyondLimits_IsRefusedWithItsCode")
{
  terms_.maxItems_ = 1;
  terms_.toldItems_ = 2;
  LotSpool lot(terms_, budget_);
  CHECK(Seal(lot) == ResultCode::InvalidRequest);
  CHECK(Add(lot, "n", std::string(1001, 'x')) == ResultCode::ItemTooLarge);
  CHECK(Add(lot, "n", "x") == ResultCode::Ok);
  CHECK(Add(lot, "n", "x") == ResultCode::TooManyItems);
  CHECK(Seal(lot) == ResultCode::InvalidRequest);
}

// Story: many societies send large batches at the same moment. The entry takes
// as many as its memory allows, and tells the others to come back.
TEST_CASE_METHOD(LotFixture, "LotSpool_BudgetTaken_IsOverloadedUntilGivenBack")
{
  REQUIRE(budget_.TryTake(SpoolBudget::kMaxBytes));
  {
    LotSpool lot(terms_, budget_);
    CHECK(Add(lot, "n", "x") == ResultCode::Overloaded);
  }
  budget_.GiveBack(SpoolBudget::kMaxBytes);
  {
    LotSpool lot(terms_, budget_);
    CHECK(Add(lot, "n", "x") == ResultCode::Ok);
  }
  CHECK(budget_.TryTake(SpoolBudget::kMaxBytes));
}

} // namespace pumiceturn::entry
