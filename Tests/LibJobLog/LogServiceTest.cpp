#include "TestFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace pumiceturn::joblog {

namespace {

using base::ResultCode;
using Records = std::vector<std::string>;

std::size_t
Keeper(const std::string& aName)
{
  return static_cast<std::size_t>(aName.back() - 'a');
}

std::size_t
CopyBeside(TestFleet& aFleet, std::size_t aOwner)
{
  for (const std::string& host : aFleet.CopiesOf(0)) {
    if (Keeper(host) != aOwner) {
      return Keeper(host);
    }
  }
  return TestFleet::kNone;
}

} // namespace

TEST_CASE("LogService_OneKeeperOneCopy_KeepsRecordsOverARestart")
{
  TestFleet fleet(
    { .keepers_ = 1, .copies_ = 1, .minCopies_ = 1, .partitions_ = 4 });
  REQUIRE(fleet.WaitForOwner(3) == 0);
  REQUIRE(fleet.Append(0, 3, { "one", "two" }) == ResultCode::Ok);
  fleet.Kill(0);
  fleet.Start(0);
  REQUIRE(fleet.WaitForOwner(3) == 0);
  CHECK(fleet.SeenBy(0, 3).records_ == Records{ "one", "two" });
  CHECK(fleet.SeenBy(0, 3).epoch_ == 2);
}

TEST_CASE("LogService_ThreeKeepers_ShareTheOwnershipOfAllPartitions")
{
  TestFleet fleet({ .partitions_ = 64 });
  std::vector<int> owned(3, 0);
  for (std::uint32_t partition = 0; partition < 64; ++partition) {
    const std::size_t owner = fleet.WaitForOwner(partition);
    REQUIRE(owner != TestFleet::kNone);
    ++owned[owner];
    CHECK(fleet.CopiesOf(partition).size() == 2);
  }
  CHECK(*std::min_element(owned.begin(), owned.end()) > 0);
}

// A caller hears that its lot is accepted; in the same moment the owner's host
// dies. Another keeper must find the lot in its own copy and finish it.
TEST_CASE("LogService_OwnerKilledRightAfterAck_NextOwnerHasTheRecord")
{
  TestFleet fleet({});
  const std::size_t first = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(first, 0, { "accepted" }) == ResultCode::Ok);
  fleet.Kill(first);
  const std::size_t second = fleet.WaitForOtherOwner(0, first);
  REQUIRE(second != TestFleet::kNone);
  CHECK(fleet.SeenBy(second, 0).records_ == Records{ "accepted" });
  CHECK(fleet.SeenBy(second, 0).epoch_ == 2);
  fleet.AppendUntilAcknowledged(0, "more");
  CHECK(fleet.CopiesOf(0).size() == 2);
}

// An owner is cut off, or paused, longer than a takeover takes, and is not
// aware of it. When it is back it writes before it hears anything. It must not
// get an acknowledgement: the record would be missing in the new owner's log.
TEST_CASE("LogService_OwnerPausedPastTakeover_IsRefusedWhenItWrites")
{
  TestFleet fleet({});
  const std::size_t first = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(first, 0, { "before" }) == ResultCode::Ok);
  // The old owner does not see the record change either.
  fleet.SetCutOff(first, true);
  const std::size_t second = fleet.WaitForOtherOwner(0, first);
  REQUIRE(second != TestFleet::kNone);
  fleet.SetCutOff(first, false);
  CHECK(fleet.Append(first, 0, { "stale" }) != ResultCode::Ok);
  REQUIRE(fleet.Append(second, 0, { "after" }) == ResultCode::Ok);
  fleet.Kill(second);
  const std::size_t third = fleet.WaitForOtherOwner(0, second);
  REQUIRE(third != TestFleet::kNone);
  CHECK(fleet.SeenBy(third, 0).records_ == Records{ "before", "after" });
}

// Two of three keepers are lost one after another, with time to repair between
// them. The last one must have every record, and refuse new ones truthfully.
TEST_CASE("LogService_TwoKeepersLostInTurn_LastOneHasAllRecords")
{
  TestFleet fleet({});
  const std::size_t first = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(first, 0, { "one" }) == ResultCode::Ok);
  fleet.Kill(first);
  const std::size_t second = fleet.WaitForOtherOwner(0, first);
  REQUIRE(second != TestFleet::kNone);
  REQUIRE(fleet.Append(second, 0, { "two" }) == ResultCode::Ok);
  fleet.Kill(second);
  const std::size_t last = 3 - first - second;
  // Alone it serves nobody, but it keeps what it has until one is back.
  fleet.Start(first);
  const std::size_t third = fleet.WaitForOtherOwner(0, second);
  REQUIRE(third == last);
  CHECK(fleet.SeenBy(third, 0).records_ == Records{ "one", "two" });
}

// A copy's host is lost while records keep coming. They must be acknowledged
// again as soon as another keeper has the whole log.
TEST_CASE("LogService_CopyLost_IsReplacedAndThenAcknowledged")
{
  TestFleet fleet({});
  const std::size_t owner = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(owner, 0, { "one" }) == ResultCode::Ok);
  const std::size_t lost = CopyBeside(fleet, owner);
  fleet.Kill(lost);
  CHECK(fleet.Append(owner, 0, { "two" }) == ResultCode::Ok);
  const auto copies = fleet.CopiesOf(0);
  CHECK(copies.size() == 2);
  CHECK(std::find(copies.begin(), copies.end(), TestFleet::NameOf(lost)) ==
        copies.end());
  fleet.Kill(owner);
  // With the lost one back there are enough to go on; it takes over only if it
  // is whole, and it is not recorded as a copy any more.
  fleet.Start(lost);
  const std::size_t next = fleet.WaitForOtherOwner(0, owner);
  REQUIRE(next == 3 - owner - lost);
  CHECK(fleet.SeenBy(next, 0).records_ == Records{ "one", "two" });
}

// With too few keepers to hold the copies, a lot must be refused, not accepted
// and perhaps lost.
TEST_CASE("LogService_TooFewKeepers_RefusesRecords")
{
  TestFleet fleet({});
  const std::size_t owner = fleet.WaitForOwner(0);
  for (std::size_t keeper = 0; keeper < 3; ++keeper) {
    if (keeper != owner) {
      fleet.Kill(keeper);
    }
  }
  CHECK(TestFleet::WaitUntil([&] {
    return fleet.Append(owner, 0, { "refused" }) == ResultCode::TooFewCopies;
  }));
}

// The key-value service is down when an owner dies. Its partition waits and
// nothing is lost; owners that live go on as if nothing had happened.
TEST_CASE("LogService_KeyValueDownDuringTakeover_WaitsAndLosesNothing")
{
  TestFleet fleet({ .partitions_ = 8 });
  for (std::uint32_t partition = 0; partition < 8; ++partition) {
    REQUIRE(fleet.WaitForOwner(partition) != TestFleet::kNone);
    fleet.AppendUntilAcknowledged(partition, "before");
  }
  fleet.KeyValue().SetDown(true);
  const std::size_t dead = fleet.OwnerOf(0);
  std::vector<std::uint32_t> alive;
  for (std::uint32_t partition = 0; partition < 8; ++partition) {
    if (fleet.OwnerOf(partition) != dead) {
      alive.push_back(partition);
      CHECK(fleet.Append(fleet.OwnerOf(partition), partition, { "during" }) ==
            ResultCode::Ok);
    }
  }
  fleet.Kill(dead);
  CHECK(fleet.OwnerOf(0) == TestFleet::kNone);
  fleet.KeyValue().SetDown(false);
  const std::size_t next = fleet.WaitForOtherOwner(0, dead);
  REQUIRE(next != TestFleet::kNone);
  CHECK(fleet.SeenBy(next, 0).records_ == Records{ "before" });
}

// The swap of a claim takes effect, and its answer is lost. The claimant must
// find that it is the owner; if it took the swap for refused, the partition
// would stay without an owner that knows of it.
TEST_CASE("LogService_ClaimTakesEffectUnheard_OwnerFindsItsWriteId")
{
  TestFleet fleet({});
  const std::size_t first = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(first, 0, { "one" }) == ResultCode::Ok);
  fleet.KeyValue().LoseAnswers(2);
  fleet.Kill(first);
  const std::size_t second = fleet.WaitForOtherOwner(0, first);
  REQUIRE(second != TestFleet::kNone);
  CHECK(fleet.SeenBy(second, 0).records_ == Records{ "one" });
  CHECK(fleet.SeenBy(second, 0).epoch_ == 2);
}

// A copy's host is replaced under its name with an empty data folder, and then
// the owner dies before the copy is filled again. The empty copy must not pass
// for the log: every accepted record would be gone.
TEST_CASE("LogService_CopyCameBackEmpty_DoesNotTakeOver")
{
  TestFleet fleet({});
  const std::size_t owner = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(owner, 0, { "one" }) == ResultCode::Ok);
  const std::size_t copy = CopyBeside(fleet, owner);
  fleet.SetCutOff(owner, true);
  fleet.Wipe(copy);
  fleet.Kill(owner);
  fleet.Start(copy);
  fleet.SetCutOff(owner, false);
  fleet.Start(owner);
  const std::size_t next = fleet.WaitForOwner(0);
  REQUIRE(next == owner);
  CHECK(fleet.SeenBy(next, 0).records_ == Records{ "one" });
}

// A bit of a copy's disk flips while its host is down. With the owner lost
// next, a host that trusted that copy would serve a log with a hole. The copy
// says so when it is read, is filled anew, and only then counts again.
TEST_CASE("LogService_CopyWithFlippedBit_IsFilledAnewBeforeItCounts")
{
  TestFleet fleet({ .keepers_ = 2 });
  const std::size_t owner = fleet.WaitForOwner(0);
  const std::size_t copy = 1 - owner;
  REQUIRE(fleet.Append(owner, 0, { "record one" }) == ResultCode::Ok);
  REQUIRE(fleet.Append(owner, 0, { "record two" }) == ResultCode::Ok);
  fleet.Kill(copy);
  const std::string file = fleet.FolderOf(copy).Files().front();
  FlipBit(file, FindText(file, "record one"));
  fleet.Start(copy);
  fleet.AppendUntilAcknowledged(0, "record three");
  fleet.Wipe(owner);
  fleet.Start(owner);
  REQUIRE(fleet.WaitForOtherOwner(0, owner) == copy);
  const Records records = fleet.SeenBy(copy, 0).records_;
  REQUIRE(records.size() >= 3);
  CHECK(records[0] == "record one");
  CHECK(records[1] == "record two");
  CHECK(records.back() == "record three");
}

// The disk of a copy's host fills up. The owner must not wait for it for ever:
// another keeper gets the copy, and records are acknowledged again.
TEST_CASE("LogService_CopysDiskFull_IsReplaced")
{
  auto full = std::make_shared<std::atomic<std::size_t>>(TestFleet::kNone);
  TestFleet fleet({ .fullDisk_ = full });
  const std::size_t owner = fleet.WaitForOwner(0);
  const std::size_t copy = CopyBeside(fleet, owner);
  *full = copy;
  fleet.AppendUntilAcknowledged(0, "one");
  CHECK(fleet.OwnerOf(0) == owner);
  CHECK(CopyBeside(fleet, owner) == 3 - owner - copy);
}

// The owner's own disk fills up. It cannot say what its log holds any more, so
// another copy goes on; nothing that was acknowledged is missing.
TEST_CASE("LogService_OwnersDiskFull_LosesNothing")
{
  auto full = std::make_shared<std::atomic<std::size_t>>(TestFleet::kNone);
  TestFleet fleet({ .fullDisk_ = full });
  const std::size_t owner = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(owner, 0, { "one" }) == ResultCode::Ok);
  *full = owner;
  CHECK(fleet.Append(owner, 0, { "two" }) == ResultCode::DiskFull);
  *full = TestFleet::kNone;
  fleet.AppendUntilAcknowledged(0, "three");
  fleet.Kill(fleet.OwnerOf(0));
  const std::size_t next = fleet.WaitForOwner(0);
  REQUIRE(next != TestFleet::kNone);
  const Records records = fleet.SeenBy(next, 0).records_;
  REQUIRE(records.size() >= 2);
  CHECK(records.front() == "one");
  CHECK(records.back() == "three");
}

TEST_CASE("LogService_KeyValueDownThroughout_OwnersGoOn")
{
  TestFleet fleet({ .partitions_ = 4 });
  for (std::uint32_t partition = 0; partition < 4; ++partition) {
    fleet.AppendUntilAcknowledged(partition, "first");
  }
  fleet.KeyValue().SetDown(true);
  for (int round = 0; round < 20; ++round) {
    for (std::uint32_t partition = 0; partition < 4; ++partition) {
      CHECK(fleet.Append(fleet.OwnerOf(partition), partition, { "more" }) ==
            ResultCode::Ok);
    }
  }
}

// An owner leaves for a planned replacement. The others must serve its
// partitions without waiting for a takeover interval.
TEST_CASE("LogService_HandOver_NamesASuccessorAtOnce")
{
  TestFleet fleet({ .takeoverAfter_ = base::Duration{ 600000000 } });
  const std::size_t first = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(first, 0, { "one" }) == ResultCode::Ok);
  fleet.Service(first).HandOver();
  const std::size_t second = fleet.WaitForOtherOwner(0, first);
  REQUIRE(second != TestFleet::kNone);
  CHECK(fleet.SeenBy(second, 0).records_ == Records{ "one" });
  CHECK_FALSE(fleet.Service(first).IsOwned(0));
}

TEST_CASE("LogService_SteadyState_MakesNoKeyValueCalls")
{
  TestFleet fleet({ .partitions_ = 4 });
  for (std::uint32_t partition = 0; partition < 4; ++partition) {
    REQUIRE(fleet.WaitForOwner(partition) != TestFleet::kNone);
    fleet.AppendUntilAcknowledged(partition, "first");
  }
  // Claims and copies are recorded; another call would be one of the steady
  // state.
  const std::uint64_t before = fleet.KeyValue().CallCount();
  for (int round = 0; round < 50; ++round) {
    for (std::uint32_t partition = 0; partition < 4; ++partition) {
      REQUIRE(fleet.Append(fleet.OwnerOf(partition), partition, { "more" }) ==
              ResultCode::Ok);
    }
  }
  CHECK(fleet.KeyValue().CallCount() == before);
}

TEST_CASE("LogService_RecordTooLarge_IsRefused")
{
  TestFleet fleet({ .keepers_ = 1, .copies_ = 1, .minCopies_ = 1 });
  REQUIRE(fleet.WaitForOwner(0) == 0);
  const std::string largest(LogService::kMaxRecordBytes, 'x');
  CHECK(fleet.Append(0, 0, { largest + "x" }) == ResultCode::ItemTooLarge);
  CHECK(fleet.Append(0, 0, { largest }) == ResultCode::Ok);
}

TEST_CASE("LogService_Trim_DropsRecordsFromReplay")
{
  TestFleet fleet({});
  const std::size_t first = fleet.WaitForOwner(0);
  REQUIRE(fleet.Append(first, 0, { "one", "two", "three" }) == ResultCode::Ok);
  // Sequence 1 is epochStarted.
  fleet.Service(first).Trim(0, 4);
  REQUIRE(fleet.Append(first, 0, { "four" }) == ResultCode::Ok);
  fleet.Kill(first);
  const std::size_t second = fleet.WaitForOtherOwner(0, first);
  REQUIRE(second != TestFleet::kNone);
  CHECK(fleet.SeenBy(second, 0).records_ == Records{ "three", "four" });
}

} // namespace pumiceturn::joblog
