#include "LibPartition/PartitionFollower.h"

#include "LibPartition/PartitionCodec.h"

#include <catch2/catch.hpp>

#include <map>

namespace pumiceturn::partition {

namespace {

/// A key-value service in memory, of one thread.
class FollowerFixture
{
protected:
  FollowerFixture()
  {
    access_.get_ = [this](std::string_view aKey)
      -> base::Result<std::optional<platform::KeyValue>> {
      if (isDown_) {
        return base::Fail(base::ResultCode::PlatformUnavailable);
      }
      const auto entry = entries_.find(std::string(aKey));
      if (entry == entries_.end()) {
        return std::optional<platform::KeyValue>{};
      }
      return std::optional(entry->second);
    };
    access_.range_ =
      [this](std::string_view aPrefix) -> base::Result<platform::RangeReply> {
      platform::RangeReply reply;
      reply.revision_ = revision_;
      for (const auto& [key, entry] : entries_) {
        if (key.starts_with(aPrefix)) {
          reply.entries_.push_back(entry);
        }
      }
      return reply;
    };
    access_.compareAndSwap_ = [this](const std::vector<platform::Swap>& aSwaps)
      -> base::Result<std::uint64_t> {
      const platform::Swap& swap = aSwaps.front();
      if (entries_.contains(swap.key_)) {
        return base::Fail(base::ResultCode::PlatformConflict);
      }
      Put(swap.key_, swap.value_);
      if (losesAnswers_) {
        return base::Fail(base::ResultCode::PlatformOutcomeUnknown);
      }
      return revision_;
    };
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    entries_[aKey] = platform::KeyValue{ aKey, aValue, ++revision_ };
  }

  PartitionFollower MakeFollower(std::uint32_t aProposedCount)
  {
    return PartitionFollower(
      { "/p/", aProposedCount }, access_, table_, pool_, nullptr);
  }

  std::map<std::string, platform::KeyValue> entries_;
  std::uint64_t revision_ = 0;
  bool isDown_ = false;
  bool losesAnswers_ = false;
  KeyValueAccess access_;
  PartitionTable table_;
  base::WorkerPool pool_{ 1 };
};

} // namespace

// Two keepers of a new fleet start at once with different settings. The later
// one loses its proposal, and must use the count agreed on, or the two would
// look for the same job in different partitions.
TEST_CASE_METHOD(FollowerFixture,
                 "PartitionFollower_CountAgreedBefore_TakesTheAgreedOne")
{
  Put(LayoutKey("/p/"), EncodeLayout(Layout{ 256, "first" }));
  PartitionFollower follower = MakeFollower(1024);
  const auto outcome = base::Capture([&] { return follower.Refresh(); });
  CHECK(std::holds_alternative<std::uint64_t>(outcome));
  CHECK(table_.Count() == 256);
}

// The proposal takes effect but its answer is lost: the keeper must find its
// own count in force instead of failing to start.
TEST_CASE_METHOD(FollowerFixture,
                 "PartitionFollower_ProposalsAnswerLost_FindsItInForce")
{
  losesAnswers_ = true;
  PartitionFollower follower = MakeFollower(64);
  CHECK(std::holds_alternative<std::uint64_t>(
    base::Capture([&] { return follower.Refresh(); })));
  CHECK(table_.Count() == 64);
}

TEST_CASE_METHOD(FollowerFixture, "PartitionFollower_NoCountYet_IsNotRead")
{
  PartitionFollower follower = MakeFollower(0);
  const auto outcome = base::Capture([&] { return follower.Refresh(); });
  REQUIRE(std::holds_alternative<base::Failure>(outcome));
  CHECK(std::get<base::Failure>(outcome).code_ == base::ResultCode::NotFound);
  CHECK_FALSE(follower.HasRead());
}

TEST_CASE_METHOD(FollowerFixture,
                 "PartitionFollower_MalformedRecord_IsSkippedAlone")
{
  Put(LayoutKey("/p/"), EncodeLayout(Layout{ 4, "w" }));
  Put(PartitionKey("/p/", 0), "not json");
  PartitionRecord record;
  record.partition_ = 1;
  record.owner_ = "keeper-a";
  record.epoch_ = 1;
  Put(PartitionKey("/p/", 1), EncodePartitionRecord(record));
  PartitionFollower follower = MakeFollower(0);
  CHECK(std::holds_alternative<std::uint64_t>(
    base::Capture([&] { return follower.Refresh(); })));
  CHECK(table_.OwnerOf(0).empty());
  CHECK(table_.OwnerOf(1) == "keeper-a");
}

} // namespace pumiceturn::partition
