#include "KeeperFleet.h"

#include <catch2/catch.hpp>

namespace pumiceturn::keeper {

namespace {

constexpr std::uint32_t kItems = 300;
constexpr std::uint32_t kFrameItems = 100;

struct KeeperFleetFixture
{
  KeeperFleet fleet_;

  static wire::JobDescription MakeBatchJob()
  {
    wire::JobDescription job;
    job.id_ = base::MakeJobId("slaegtsspor", "lot");
    job.partner_ = "slaegtsspor";
    job.service_ = "origin-llm";
    job.kind_ = "lineage-batch";
    job.key_ = "lot";
    job.digest_ = 1;
    job.itemCount_ = kItems;
    job.dueUnixMs_ = base::ToUnixMs(base::WallNow()) + 600'000;
    job.retentionS_ = 3600;
    job.maxAttempts_ = 3;
    return job;
  }

  /// Checks that every item has one result, with its own name and answer.
  static void CheckComplete(const std::vector<wire::ItemResult>& aResults)
  {
    std::set<std::uint32_t> items;
    for (std::size_t index = 0; index < aResults.size(); ++index) {
      const wire::ItemResult& result = aResults[index];
      const std::string item = std::to_string(result.item_);
      CHECK(result.position_ == index);
      CHECK(result.code_ == base::ResultCode::Ok);
      CHECK(result.text_ == "answer to payload-" + item);
      CHECK(result.name_ == "name-" + item);
      CHECK(items.insert(result.item_).second);
    }
    CHECK(items.size() == kItems);
  }
};

} // namespace

TEST_CASE_METHOD(KeeperFleetFixture,
                 "KeeperFleet_BatchJob_EveryItemIsAnsweredOnce")
{
  const auto job = MakeBatchJob();
  REQUIRE(fleet_.Submit(job, kFrameItems));
  CheckComplete(fleet_.ReadAll(job.id_, kItems + 1));
}

TEST_CASE_METHOD(KeeperFleetFixture,
                 "KeeperFleet_OwnerLostMidway_EveryItemIsAnsweredOnce")
{
  // The loss of the owner while items run must not lose, duplicate or change a
  // result. The owner is lost after some results are recorded and while some
  // runs are unfinished.
  const auto job = MakeBatchJob();
  fleet_.agent_->FinishAtMost(120);
  REQUIRE(fleet_.Submit(job, kFrameItems));
  REQUIRE(fleet_.agent_->WaitForUnfinished(4));
  const auto before = fleet_.ReadAll(job.id_, 50);
  REQUIRE(before.size() >= 50);
  fleet_.Kill(fleet_.LastOwner());
  fleet_.agent_->FinishAll();
  for (const std::string& keeper : fleet_.Keepers()) {
    fleet_.agent_->ResendUnrecorded(keeper);
  }
  const auto after = fleet_.ReadAll(job.id_, kItems + 1);
  CheckComplete(after);
  REQUIRE(after.size() >= before.size());
  CHECK(std::equal(before.begin(), before.end(), after.begin()));
}

} // namespace pumiceturn::keeper
