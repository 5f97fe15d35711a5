#include "LibBatch/ItemFailures.h"

#include <catch2/catch.hpp>

#include <random>

namespace pumiceturn::batch {

TEST_CASE("ItemFailures_EncodedAndDecoded_AreTheSame")
{
  const FailureCounts counts{ { "a", { 2, false } }, { "b", { 0, true } } };
  CHECK(DecodeFailures(EncodeFailures(counts)) == counts);
}

TEST_CASE("ItemFailures_TextIsMalformed_IsNotDecoded")
{
  CHECK_FALSE(DecodeFailures(""));
  CHECK_FALSE(DecodeFailures("[1]"));
  CHECK_FALSE(DecodeFailures(R"({"a":{"failures":"2","rejected":false}})"));
  CHECK_FALSE(DecodeFailures(R"({"a":{"failures":2}})"));
}

// Guards against counts that go down, or depend on the order in which those of
// several owners are merged.
TEST_CASE("ItemFailures_MergedInAnyOrder_KeepTheHighest")
{
  constexpr int kRuns = 200;
  std::mt19937 random(7);
  const auto draw = [&random] {
    FailureCounts counts;
    for (const char* item : { "a", "b", "c" }) {
      if (random() % 2 == 0) {
        counts[item] = { static_cast<std::uint32_t>(random() % 4),
                         random() % 4 == 0 };
      }
    }
    return counts;
  };
  for (int run = 0; run < kRuns; ++run) {
    const FailureCounts first = draw();
    const FailureCounts second = draw();
    FailureCounts merged = first;
    MergeFailures(merged, second);
    FailureCounts reversed = second;
    MergeFailures(reversed, first);
    CHECK(merged == reversed);
    CHECK(HasAllFailures(merged, first));
    CHECK(HasAllFailures(merged, second));
    CHECK(HasAllFailures(first, second) == (merged == first));
  }
}

} // namespace pumiceturn::batch
