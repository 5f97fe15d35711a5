#include "LibJobLog/ClaimDecision.h"

#include "LibPartition/Rendezvous.h"

#include <catch2/catch.hpp>

namespace pumiceturn::joblog {

namespace {

constexpr base::Duration kTakeoverAfter{ 2000000 };

/// Keepers a, b, c; the decision is made by b.
class ClaimFixture
{
protected:
  ClaimFixture()
  {
    fleet_.self_ = "b";
    for (const char* name : { "a", "b", "c" }) {
      fleet_.keepers_.push_back(
        KeeperView{ name, std::string("domain-") + name, true, false, now_ });
    }
    record_.owner_ = "a";
    record_.epoch_ = 3;
    record_.copies_ = { "a", "b" };
  }

  void Lose(std::size_t aKeeper, base::Duration aSince)
  {
    fleet_.keepers_[aKeeper].isUp_ = false;
    fleet_.keepers_[aKeeper].lostSince_ = now_ - aSince;
  }

  ClaimDecision Decide(OwnCopy aOwnCopy = OwnCopy::Whole)
  {
    return DecideClaim(
      record_, aOwnCopy, fleet_, ClaimLimits{ 2, kTakeoverAfter }, now_);
  }

  base::Instant now_{ base::Duration{ 1000000000 } };
  FleetView fleet_;
  partition::PartitionRecord record_;
};

} // namespace

TEST_CASE_METHOD(ClaimFixture, "DecideClaim_OwnerUp_Waits")
{
  CHECK(Decide().choice_ == ClaimChoice::Wait);
}

TEST_CASE_METHOD(ClaimFixture, "DecideClaim_OwnerLostShortly_Waits")
{
  Lose(0, kTakeoverAfter - base::Duration{ 1 });
  CHECK(Decide().choice_ == ClaimChoice::Wait);
  Lose(0, kTakeoverAfter);
  CHECK(Decide().choice_ == ClaimChoice::Claim);
}

// A host that was recorded as a copy came back with an empty or damaged data
// folder. If it took over, all that was accepted would be gone.
TEST_CASE_METHOD(ClaimFixture, "DecideClaim_OwnCopyUnfit_Waits")
{
  Lose(0, 100 * kTakeoverAfter);
  CHECK(Decide(OwnCopy::Unfit).choice_ == ClaimChoice::Wait);
}

TEST_CASE_METHOD(ClaimFixture, "DecideClaim_NotARecordedCopy_Waits")
{
  Lose(0, 100 * kTakeoverAfter);
  record_.copies_ = { "a", "c" };
  CHECK(Decide().choice_ == ClaimChoice::Wait);
}

// The switch beside this host fails, so that every other host looks lost to
// it. A claim would only take partitions from owners that are well.
TEST_CASE_METHOD(ClaimFixture, "DecideClaim_AllOthersLost_Waits")
{
  Lose(0, 100 * kTakeoverAfter);
  Lose(2, 100 * kTakeoverAfter);
  CHECK(Decide().choice_ == ClaimChoice::Wait);
}

// The first candidate is up but cannot claim, as its copy is not whole. The
// next one must not wait for it for ever.
TEST_CASE_METHOD(ClaimFixture,
                 "DecideClaim_EarlierCandidateIdle_ClaimsNextTurn")
{
  record_.copies_ = { "a", "b", "c" };
  while (partition::RendezvousWeight(record_.partition_, "c") <
         partition::RendezvousWeight(record_.partition_, "b")) {
    ++record_.partition_;
  }
  Lose(0, kTakeoverAfter);
  CHECK(Decide().choice_ == ClaimChoice::Wait);
  Lose(0, 2 * kTakeoverAfter);
  CHECK(Decide().choice_ == ClaimChoice::Claim);
}

TEST_CASE_METHOD(ClaimFixture, "DecideClaim_OwnRecordAfterRestart_ClaimsAtOnce")
{
  record_.owner_ = "b";
  CHECK(Decide().choice_ == ClaimChoice::Claim);
}

TEST_CASE_METHOD(ClaimFixture, "DecideClaim_OwnRecordButUnfit_NamesACopy")
{
  record_.owner_ = "b";
  CHECK(Decide(OwnCopy::Unfit) == ClaimDecision{ ClaimChoice::Yield, "a" });
}

TEST_CASE_METHOD(ClaimFixture, "DecideClaim_NewPartition_IsOfTheFirstInOrder")
{
  record_ = {};
  int claimed = 0;
  for (record_.partition_ = 0; record_.partition_ < 90; ++record_.partition_) {
    std::vector<std::string> order{ "a", "b", "c" };
    partition::SortByRendezvous(record_.partition_, order);
    const bool claims = Decide(OwnCopy::Unfit).choice_ == ClaimChoice::Claim;
    CHECK(claims == (order.front() == "b"));
    claimed += claims ? 1 : 0;
  }
  CHECK(claimed > 10);
}

} // namespace pumiceturn::joblog
