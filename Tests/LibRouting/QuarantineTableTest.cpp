#include "LibRouting/QuarantineTable.h"

#include <catch2/catch.hpp>

#include <array>

namespace pumiceturn::routing {

namespace {

using namespace std::chrono_literals;

struct QuarantineFixture
{
  static constexpr std::uint64_t kPoison = 7;
  static constexpr std::uint64_t kInnocent = 8;

  std::vector<std::uint64_t> Crash(std::vector<std::uint64_t> aRunning)
  {
    return table_.RecordCrash(aRunning, now_);
  }

  base::Instant now_{ 100s };
  QuarantineTable table_;
};

} // namespace

// Story: a request crashes the engine and its caller sends it again. An
// innocent request was on the engine at the first crash, so both are suspects.
// At the second crash the poison runs beside a third request that was never
// suspect: only the poison is refused from then on.
TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_SecondCrashBesideStranger_BlamesSuspectOnly")
{
  CHECK(Crash({ kPoison, kInnocent }).size() == 2);
  CHECK(table_.Check(kPoison, now_) == Suspicion::Suspect);

  constexpr std::uint64_t kStranger = 9;
  CHECK(Crash({ kPoison, kStranger }) == std::vector<std::uint64_t>{ kPoison });
  CHECK(table_.Check(kPoison, now_) == Suspicion::Quarantined);
  CHECK(table_.Check(kInnocent, now_) == Suspicion::Suspect);
  CHECK(table_.Check(kStranger, now_) == Suspicion::None);
}

// Story: two entries exchange what they know on heartbeats. If each took the
// other's remaining time for its own, an entry would never expire.
TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_EchoedBetweenPeers_ExpiresAllTheSame")
{
  QuarantineTable peer;
  Crash({ kPoison });
  for (int beat = 0; beat < 700; ++beat) {
    peer.Merge(table_.List(now_), now_);
    table_.Merge(peer.List(now_), now_);
    now_ += 1s;
  }
  CHECK(table_.Check(kPoison, now_) == Suspicion::None);
  CHECK(peer.List(now_).empty());
}

TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_LiftedThenToldByPeer_StaysLifted")
{
  Crash({ kPoison });
  Crash({ kPoison });
  CHECK(table_.Lift(kPoison, now_));
  const std::array suspects{ wire::Suspect{ kPoison, 2, 60000 } };
  table_.Merge(suspects, now_);
  CHECK(table_.Check(kPoison, now_) == Suspicion::None);
  CHECK_FALSE(table_.Lift(kPoison, now_));
}

// Story: an operator lifts a quarantine at one entry. Every entry must let the
// content run again. It crashes two more endpoints: the entry that saw it
// refuses it again, also while peers still tell that it was lifted.
TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_LiftedAtOnePeer_SpreadsUntilItCrashesAgain")
{
  QuarantineTable peer;
  Crash({ kPoison });
  Crash({ kPoison });
  peer.Merge(table_.List(now_), now_);
  CHECK(peer.Check(kPoison, now_) == Suspicion::Quarantined);
  CHECK(table_.Lift(kPoison, now_));
  peer.Merge(table_.List(now_), now_);
  CHECK(peer.Check(kPoison, now_) == Suspicion::None);

  Crash({ kPoison });
  Crash({ kPoison });
  table_.Merge(peer.List(now_), now_);
  CHECK(table_.Check(kPoison, now_) == Suspicion::Quarantined);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_ShorterLifetime_ExpiresThen")
{
  QuarantineTable table(30s);
  const std::array poison{ kPoison };
  table.RecordCrash(poison, now_);
  CHECK(table.Check(kPoison, now_ + 29s) == Suspicion::Suspect);
  CHECK(table.Check(kPoison, now_ + 30s) == Suspicion::None);
}

TEST_CASE_METHOD(QuarantineFixture,
                 "QuarantineTable_FloodOfSuspects_KeepsQuarantined")
{
  Crash({ kPoison });
  Crash({ kPoison });
  for (std::uint64_t other = 0; other < 2 * QuarantineTable::kMaxEntries;
       ++other) {
    const std::array suspects{ wire::Suspect{ 1000 + other, 1, 60000 } };
    table_.Merge(suspects, now_);
  }
  CHECK(table_.List(now_).size() == QuarantineTable::kMaxEntries);
  CHECK(table_.Check(kPoison, now_) == Suspicion::Quarantined);
}

} // namespace pumiceturn::routing
