#include "LibFleet/SuspectTable.h"

#include <catch2/catch.hpp>

#include <set>

namespace pumiceturn::fleet {

class SuspectTableFixture
{
protected:
  static constexpr std::uint64_t kContent = 7;

  static base::Instant At(int aMilliseconds)
  {
    return base::Instant{ std::chrono::hours{ 1 } } +
           std::chrono::milliseconds(aMilliseconds);
  }

  /// Records an attempt that began after the crashes recorded so far and broke
  /// at aBrokeAtMs.
  void Break(const std::string& aEndpoint, int aBrokeAtMs)
  {
    table_.RecordBroken(
      { kContent, aEndpoint, table_.IsSuspect(kContent), At(aBrokeAtMs) });
  }

  bool IsRefused(int aNow)
  {
    return table_.IsRefused(
      kContent, At(aNow), [this](const std::string& aEndpoint, base::Instant) {
        return alive_.contains(aEndpoint);
      });
  }

  SuspectTable table_;
  std::set<std::string> alive_;
};

// Guards against a request that crashes each endpoint of a service in
// succession.
TEST_CASE_METHOD(SuspectTableFixture, "SuspectTable_CrashAfterCrash_IsRefused")
{
  Break("a", 10);
  Break("b", 30);
  CHECK_FALSE(IsRefused(40));
  Break("c", 50);
  CHECK(IsRefused(60));
}

// Guards against refusing frequent requests with the same content because
// several endpoints crashed at once for other reasons.
TEST_CASE_METHOD(SuspectTableFixture,
                 "SuspectTable_SimultaneousCrashes_CountOnce")
{
  for (const char* endpoint : { "a", "b", "c" }) {
    table_.RecordBroken({ kContent, endpoint, false, At(50) });
  }
  CHECK_FALSE(IsRefused(60));
  Break("d", 70);
  CHECK_FALSE(IsRefused(80));
  Break("e", 90);
  CHECK(IsRefused(100));
}

TEST_CASE_METHOD(SuspectTableFixture, "SuspectTable_EndpointSurvived_IsNoCrash")
{
  Break("a", 10);
  Break("b", 30);
  Break("c", 50);
  alive_.insert("b");
  CHECK_FALSE(IsRefused(60));
}

TEST_CASE_METHOD(SuspectTableFixture, "SuspectTable_Answered_IsCleared")
{
  Break("a", 10);
  Break("b", 30);
  Break("c", 50);
  table_.RecordAnswered(kContent, At(60));
  CHECK_FALSE(IsRefused(70));
  // A peer that doesn't know of the answer sends the old attempts again.
  for (const char* endpoint : { "a", "b", "c" }) {
    table_.RecordBroken({ kContent, endpoint, true, At(50) });
  }
  CHECK_FALSE(IsRefused(70));
}

TEST_CASE_METHOD(SuspectTableFixture,
                 "SuspectTable_SameEndpointRepeated_CountsOnce")
{
  Break("a", 10);
  Break("a", 30);
  Break("a", 50);
  CHECK_FALSE(IsRefused(60));
  CHECK(table_.BrokenAttempts(At(60)).size() == 1);
}

TEST_CASE_METHOD(SuspectTableFixture, "SuspectTable_AfterRetention_IsDropped")
{
  Break("a", 10);
  Break("b", 30);
  Break("c", 50);
  constexpr int kLater = 61000;
  CHECK_FALSE(IsRefused(kLater));
  table_.Expire(At(kLater));
  CHECK(table_.IsEmpty());
}

TEST_CASE_METHOD(SuspectTableFixture, "SuspectTable_ManyContents_StaysBounded")
{
  for (std::uint64_t content = 0; content < 2 * SuspectTable::kMaxContents;
       ++content) {
    table_.RecordBroken({ content, "a", false, At(1) });
  }
  CHECK(table_.BrokenAttempts(At(2)).size() == SuspectTable::kMaxContents);
}

} // namespace pumiceturn::fleet
