#include "LibJobLog/SwapQueue.h"

#include "FakeKeyValue.h"
#include "LibPartition/PartitionCodec.h"
#include "TestFleet.h"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>

namespace pumiceturn::joblog {

namespace {

using partition::PartitionRecord;

class SwapQueueFixture
{
protected:
  SwapQueueFixture()
  {
    options_.keyPrefix_ = "/p/";
    options_.swapDelay_ = base::Duration{ 1000 };
    options_.retryDelay_ = base::Duration{ 1000 };
    options_.retryDelayMax_ = base::Duration{ 2000 };
    queue_ = std::make_shared<SwapQueue>(
      options_,
      LogPorts{ keyValue_.Access(),
                nullptr,
                nullptr,
                nullptr,
                pool_,
                table_,
                metrics_ },
      [this](std::uint32_t aPartition, SwapOutcome aOutcome) {
        const std::lock_guard lock(mutex_);
        outcomes_[aPartition] = std::move(aOutcome);
      });
  }

  ~SwapQueueFixture()
  {
    queue_->Stop();
    pool_.Stop();
  }

  static PartitionRecord MakeRecord(std::uint32_t aPartition,
                                    const std::string& aWriteId,
                                    std::uint64_t aExpected = 0)
  {
    PartitionRecord record;
    record.partition_ = aPartition;
    record.owner_ = "keeper";
    record.epoch_ = 1;
    record.writeId_ = aWriteId;
    record.modRevision_ = aExpected;
    return record;
  }

  /// Another host's write.
  void PutByOther(std::uint32_t aPartition)
  {
    const partition::KeyValueAccess access = keyValue_.Access();
    static_cast<void>(base::Capture([&] {
      return access.compareAndSwap_(
        { { partition::PartitionKey("/p/", aPartition),
            partition::EncodePartitionRecord(MakeRecord(aPartition, "other")),
            0 } });
    }));
  }

  /// Queues swaps while the service is down, so that they leave together.
  void AddTogether(std::uint32_t aCount)
  {
    keyValue_.SetDown(true);
    for (std::uint32_t partition = 0; partition < aCount; ++partition) {
      queue_->Add(MakeRecord(partition, "mine"));
    }
    keyValue_.SetDown(false);
  }

  SwapOutcome WaitFor(std::uint32_t aPartition)
  {
    REQUIRE(TestFleet::WaitUntil([&] {
      const std::lock_guard lock(mutex_);
      return outcomes_.contains(aPartition);
    }));
    const std::lock_guard lock(mutex_);
    return outcomes_.at(aPartition);
  }

  FakeKeyValue keyValue_;
  LogOptions options_;
  partition::PartitionTable table_;
  metrics::Registry metrics_;
  base::WorkerPool pool_{ 2 };
  std::mutex mutex_;
  std::map<std::uint32_t, SwapOutcome> outcomes_;
  std::shared_ptr<SwapQueue> queue_;
};

} // namespace

TEST_CASE_METHOD(SwapQueueFixture, "SwapQueue_ManySwaps_LeaveInFewCalls")
{
  constexpr std::uint32_t kSwaps = 128;
  AddTogether(kSwaps);
  for (std::uint32_t partition = 0; partition < kSwaps; ++partition) {
    CHECK(std::holds_alternative<SwapApplied>(WaitFor(partition)));
  }
  CHECK(keyValue_.SwapCount() == kSwaps / SwapQueue::kMaxSwapsPerCall);
}

// Another host was first at one partition of a call, and the service refuses
// the whole call. The others must be swapped all the same, or one lost race
// would leave dozens of partitions without an owner.
TEST_CASE_METHOD(SwapQueueFixture, "SwapQueue_OneConflictInACall_OthersApply")
{
  PutByOther(3);
  AddTogether(8);
  for (std::uint32_t partition = 0; partition < 8; ++partition) {
    const SwapOutcome outcome = WaitFor(partition);
    CHECK(std::holds_alternative<SwapApplied>(outcome) == (partition != 3));
  }
  const SwapOutcome refused = WaitFor(3);
  CHECK(std::get<SwapRefused>(refused).current_.writeId_ == "other");
}

// A swap takes effect and its answer is lost. Said to be refused, the host
// would wait for an owner that is itself.
TEST_CASE_METHOD(SwapQueueFixture, "SwapQueue_AnswerLost_FindsItsWriteId")
{
  keyValue_.LoseAnswers(1);
  AddTogether(2);
  for (const std::uint32_t partition : { 0U, 1U }) {
    const SwapOutcome outcome = WaitFor(partition);
    REQUIRE(std::holds_alternative<SwapApplied>(outcome));
    CHECK(std::get<SwapApplied>(outcome).modRevision_ == 1);
  }
  CHECK(keyValue_.SwapCount() == 1);
}

TEST_CASE_METHOD(SwapQueueFixture, "SwapQueue_Outage_IsWaitedOut")
{
  keyValue_.SetDown(true);
  queue_->Add(MakeRecord(0, "mine"));
  REQUIRE(TestFleet::WaitUntil([&] { return keyValue_.CallCount() >= 3; }));
  keyValue_.SetDown(false);
  CHECK(std::holds_alternative<SwapApplied>(WaitFor(0)));
}

} // namespace pumiceturn::joblog
