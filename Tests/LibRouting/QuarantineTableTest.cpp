#include "LibRouting/QuarantineTable.h"

#include <catch2/catch.hpp>

#include <array>

namespace pumiceturn::routing {

namespace {

using namespace std::chrono_literals;

struct QuarantineFixture
{
  static constexpr std::uint64_t kCrashing = 7;
  static constexpr std::uint64_t kBystander = 8;

  std::vector<std::uint64_t> Crash(std::vector<std::uint64_t> aRunning)
  {
    return table_.RecordCrash(aRunning, now_);
  }

  base::Instant now_{ 100s };
  QuarantineTable table_;
};

} // namespace

// Guards against quarantining content that only ran at the same time as the
// request that crashed the endpoint.
TEST_CASE_METHOD(
  QuarantineFixture,
  "QuarantineTable_SecondCrashBesideOtherRequest_CountsSuspectOnly")
{
  CHECK(Crash({ kCrashing, kBystander }).size() == 2);
  CHECK(table_.Check(kCrashing, now_) == Suspicion::Suspect);

  constexpr std::uint64_t kOther = 9;
  CHECK(Crash({ kCrashing, kOther }) ==
        std::vector<std::uint64_t>{ kCrashing });
  CHECK(table_.Check(kCrashing, now_) == Suspicion::Quarantined);
  CHECK(table_.Check(kBystander, now_) == Suspicion::Suspect);
  CHECK(table_.Check(kOther, now_) == Suspicion::None);
}

// Guards against entries that never expire because two peers keep sending them
// to each other.
TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_ExchangedBetweenPeers_StillExpires")
{
  QuarantineTable peer;
  Crash({ kCrashing });
  for (int heartbeat = 0; heartbeat < 700; ++heartbeat) {
    peer.Merge(table_.List(now_), now_);
    table_.Merge(peer.List(now_), now_);
    now_ += 1s;
  }
  CHECK(table_.Check(kCrashing, now_) == Suspicion::None);
  CHECK(peer.List(now_).empty());
}

TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_LiftedThenReportedByPeer_StaysLifted")
{
  Crash({ kCrashing });
  Crash({ kCrashing });
  CHECK(table_.Lift(kCrashing, now_));
  const std::array suspects{ wire::Suspect{ kCrashing, 2, 60000 } };
  table_.Merge(suspects, now_);
  CHECK(table_.Check(kCrashing, now_) == Suspicion::None);
  CHECK_FALSE(table_.Lift(kCrashing, now_));
}

// Guards against a lifted quarantine that isn't lifted on peers, or that peers
// lift again after new crashes.
TEST_CASE_METHOD(
  QuarantineFixture,
  "QuarantineTable_LiftedAtOnePeer_IsLiftedAtOthersUntilContentCrashesAgain")
{
  QuarantineTable peer;
  Crash({ kCrashing });
  Crash({ kCrashing });
  peer.Merge(table_.List(now_), now_);
  CHECK(peer.Check(kCrashing, now_) == Suspicion::Quarantined);
  CHECK(table_.Lift(kCrashing, now_));
  peer.Merge(table_.List(now_), now_);
  CHECK(peer.Check(kCrashing, now_) == Suspicion::None);

  Crash({ kCrashing });
  Crash({ kCrashing });
  table_.Merge(peer.List(now_), now_);
  CHECK(table_.Check(kCrashing, now_) == Suspicion::Quarantined);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_ShorterLifetime_ExpiresEarlier")
{
  QuarantineTable table(30s);
  const std::array crashing{ kCrashing };
  table.RecordCrash(crashing, now_);
  CHECK(table.Check(kCrashing, now_ + 29s) == Suspicion::Suspect);
  CHECK(table.Check(kCrashing, now_ + 30s) == Suspicion::None);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_FloodOfSuspects_KeepsQuarantined")
{
  Crash({ kCrashing });
  Crash({ kCrashing });
  for (std::uint64_t other = 0; other < 2 * QuarantineTable::kMaxEntries;
       ++other) {
    const std::array suspects{ wire::Suspect{ 1000 + other, 1, 60000 } };
    table_.Merge(suspects, now_);
  }
  CHECK(table_.List(now_).size() == QuarantineTable::kMaxEntries);
  CHECK(table_.Check(kCrashing, now_) == Suspicion::Quarantined);
}

} // namespace pumiceturn::routing
