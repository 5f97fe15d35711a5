#include "LibEntry/JobSpool.h"

#include <catch2/catch.hpp>

namespace pumiceturn::entry {

namespace {

using base::ResultCode;

struct JobSpoolFixture
{
  JobSpoolFixture()
  {
    header_.job_.partner_ = "society";
    header_.job_.service_ = "origin-llm";
    header_.maxItemBytes_ = 1000;
    header_.maxItems_ = 10000;
  }

  /// @return the error code, or Ok if the item was accepted.
  static ResultCode Add(JobSpool& aSpool,
                        std::string_view aName,
                        std::string_view aPayload)
  {
    return CodeOf(base::Capture([&] { return aSpool.Add(aName, aPayload); }));
  }

  static ResultCode Complete(JobSpool& aSpool)
  {
    return CodeOf(base::Capture([&] { return aSpool.Complete(); }));
  }

  static ResultCode CodeOf(const base::Outcome<std::monostate>& aOutcome)
  {
    const auto* failure = std::get_if<base::Failure>(&aOutcome);
    return failure == nullptr ? ResultCode::Ok : failure->code_;
  }

  CheckedJobHeader header_;
  SpoolBudget budget_;
};

} // namespace

TEST_CASE_METHOD(JobSpoolFixture, "JobSpool_ManyItems_AreReadInBoundedFrames")
{
  JobSpool spool(header_, budget_);
  constexpr std::uint32_t kItems = 5000;
  const std::string padding(200, 'x');
  for (std::uint32_t item = 0; item < kItems; ++item) {
    REQUIRE(Add(spool, std::to_string(item), padding + std::to_string(item)) ==
            ResultCode::Ok);
  }
  REQUIRE(Complete(spool) == ResultCode::Ok);
  std::uint32_t next = 0;
  bool isLast = false;
  while (!isLast) {
    const wire::SubmitFrame frame = spool.MakeFrame(next);
    std::size_t bytes = 0;
    for (const wire::JobItem& item : frame.items_) {
      REQUIRE(item.name_ == std::to_string(next));
      REQUIRE(item.payload_ == padding + std::to_string(next));
      bytes += item.payload_.size();
      ++next;
    }
    CHECK(bytes < JobSpool::kTargetFrameBytes + header_.maxItemBytes_);
    isLast = frame.last_;
  }
  CHECK(next == kItems);
  CHECK(spool.MakeFrame(1).items_.front().name_ == "1");
}

// Guards against a second job when the same content is resubmitted without a
// key.
TEST_CASE_METHOD(JobSpoolFixture, "JobSpool_NoKey_DerivesKeyFromContent")
{
  const auto keyOf = [this](std::string_view aName, std::string_view aPayload) {
    JobSpool spool(header_, budget_);
    CHECK(Add(spool, aName, aPayload) == ResultCode::Ok);
    CHECK(Complete(spool) == ResultCode::Ok);
    return spool.Job().key_;
  };
  CHECK(keyOf("a", "bc") == keyOf("a", "bc"));
  CHECK(keyOf("a", "bc") != keyOf("ab", "c"));
  const std::string before = keyOf("a", "bc");
  header_.job_.kind_ = "other";
  CHECK(keyOf("a", "bc") != before);
}

TEST_CASE_METHOD(JobSpoolFixture, "JobSpool_LimitExceeded_ReturnsMatchingCode")
{
  header_.maxItems_ = 1;
  header_.declaredItems_ = 2;
  JobSpool spool(header_, budget_);
  CHECK(Complete(spool) == ResultCode::InvalidRequest);
  CHECK(Add(spool, "n", std::string(1001, 'x')) == ResultCode::ItemTooLarge);
  CHECK(Add(spool, "n", "x") == ResultCode::Ok);
  CHECK(Add(spool, "n", "x") == ResultCode::TooManyItems);
  CHECK(Complete(spool) == ResultCode::InvalidRequest);
}

// Guards against exceeding the entry's memory limit when many jobs are
// submitted at once.
TEST_CASE_METHOD(JobSpoolFixture,
                 "JobSpool_BudgetExhausted_ReturnsOverloadedUntilReleased")
{
  REQUIRE(budget_.TryReserve(SpoolBudget::kMaxBytes));
  {
    JobSpool spool(header_, budget_);
    CHECK(Add(spool, "n", "x") == ResultCode::Overloaded);
  }
  budget_.Release(SpoolBudget::kMaxBytes);
  {
    JobSpool spool(header_, budget_);
    CHECK(Add(spool, "n", "x") == ResultCode::Ok);
  }
  CHECK(budget_.TryReserve(SpoolBudget::kMaxBytes));
}

} // namespace pumiceturn::entry
