#include "KeeperFleet.h"

#include <catch2/catch.hpp>

namespace pumiceturn::keeper {

namespace {

constexpr std::uint32_t kItems = 300;
constexpr std::uint32_t kFrameItems = 100;

struct KeeperFleetFixture
{
  KeeperFleet fleet_;

  static wire::JobDescription Lot()
  {
    wire::JobDescription lot;
    lot.id_ = base::MakeJobId("slaegtsspor", "lot");
    lot.partner_ = "slaegtsspor";
    lot.service_ = "origin-llm";
    lot.kind_ = "lineage-batch";
    lot.key_ = "lot";
    lot.digest_ = 1;
    lot.itemCount_ = kItems;
    lot.dueUnixMs_ = base::ToUnixMs(base::WallNow()) + 600'000;
    lot.retentionS_ = 3600;
    lot.maxAttempts_ = 3;
    return lot;
  }

  /// Every item once, with the answer to its own payload and its own name.
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

TEST_CASE_METHOD(KeeperFleetFixture, "KeeperFleet_Lot_EveryItemIsAnsweredOnce")
{
  const auto lot = Lot();
  REQUIRE(fleet_.Submit(lot, kFrameItems));
  CheckComplete(fleet_.ReadAll(lot.id_, kItems + 1));
}

TEST_CASE_METHOD(KeeperFleetFixture, "KeeperFleet_OwnerLostMidway_StillOnce")
{
  // The owner's host goes while items run, with part of the results recorded.
  // The agent offers what it has to the other keepers, the next owner runs the
  // rest, and the reader goes on where it was: no result is gone or changed.
  const auto lot = Lot();
  fleet_.agent_->AnswerAtMost(120);
  REQUIRE(fleet_.Submit(lot, kFrameItems));
  REQUIRE(fleet_.agent_->WaitForHeld(4));
  const auto before = fleet_.ReadAll(lot.id_, 50);
  REQUIRE(before.size() >= 50);
  fleet_.Kill(fleet_.Owner());
  fleet_.agent_->AnswerAll();
  for (const std::string& keeper : fleet_.Keepers()) {
    fleet_.agent_->Offer(keeper);
  }
  const auto after = fleet_.ReadAll(lot.id_, kItems + 1);
  CheckComplete(after);
  REQUIRE(after.size() >= before.size());
  CHECK(std::equal(before.begin(), before.end(), after.begin()));
}

} // namespace pumiceturn::keeper
