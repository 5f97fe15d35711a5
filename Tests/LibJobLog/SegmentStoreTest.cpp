#include "LibJobLog/SegmentStore.h"

#include "Tests/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

namespace pumiceturn::joblog {

namespace {

using base::ResultCode;

std::vector<wire::LogEntry>
MakeEntries(std::uint64_t aFirst,
            std::uint64_t aCount,
            std::uint64_t aEpoch = 1,
            std::size_t aBytes = 100)
{
  std::vector<wire::LogEntry> entries;
  for (std::uint64_t index = 0; index < aCount; ++index) {
    const std::uint64_t sequence = aFirst + index;
    std::string payload = "entry " + std::to_string(sequence) + " of epoch " +
                          std::to_string(aEpoch);
    payload.resize(aBytes, '.');
    entries.push_back(wire::LogEntry{ sequence, aEpoch, std::move(payload) });
  }
  return entries;
}

class StoreFixture
{
protected:
  void Open()
  {
    store_.reset();
    SegmentStore::Options options = options_;
    options.folder_ = folder_.Path();
    auto outcome =
      base::Capture([&] { return SegmentStore::Open(std::move(options)); });
    REQUIRE(std::holds_alternative<std::unique_ptr<SegmentStore>>(outcome));
    store_ = std::move(std::get<0>(outcome));
  }

  ResultCode Append(std::uint32_t aPartition,
                    std::vector<wire::LogEntry> aEntries)
  {
    return WaitFor([&](SegmentStore::Done aDone) {
      store_->AppendEntries(aPartition, std::move(aEntries), std::move(aDone));
    });
  }

  template<typename Request>
  static ResultCode WaitFor(Request aRequest)
  {
    std::promise<ResultCode> done;
    aRequest([&done](ResultCode aCode, std::span<const LogPosition>) {
      done.set_value(aCode);
    });
    return done.get_future().get();
  }

  std::vector<StoredEntry> ReadAll(std::uint32_t aPartition)
  {
    const CopySummary summary = store_->SummaryOf(aPartition);
    auto outcome = base::Capture([&] {
      return store_->ReadEntries(
        aPartition, summary.state_.firstSequence_, 1U << 30U);
    });
    REQUIRE(std::holds_alternative<std::vector<StoredEntry>>(outcome));
    return std::get<0>(std::move(outcome));
  }

  void CheckHolds(std::uint32_t aPartition,
                  const std::vector<wire::LogEntry>& aExpected)
  {
    const std::vector<StoredEntry> entries = ReadAll(aPartition);
    REQUIRE(entries.size() == aExpected.size());
    for (std::size_t index = 0; index < entries.size(); ++index) {
      CHECK(entries[index].entry_ == aExpected[index]);
    }
  }

  [[nodiscard]] std::vector<std::string> Files() const
  {
    return folder_.Files();
  }

  TemporaryFolder folder_;
  SegmentStore::Options options_;
  std::unique_ptr<SegmentStore> store_;
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "SegmentStore_Reopened_HoldsWhatWasAppended")
{
  Open();
  CHECK(Append(0, MakeEntries(1, 5)) == ResultCode::Ok);
  CHECK(Append(7, MakeEntries(1, 3)) == ResultCode::Ok);
  CHECK(Append(0, MakeEntries(6, 1)) == ResultCode::Ok);
  CHECK(WaitFor([&](auto aDone) {
          store_->SaveState(7, CopyState{ 4, 1, 0, false }, aDone);
        }) == ResultCode::Ok);
  Open();
  CheckHolds(0, MakeEntries(1, 6));
  CheckHolds(7, MakeEntries(1, 3));
  CHECK(store_->SummaryOf(7).state_.sealedEpoch_ == 4);
  CHECK(store_->SummaryOf(9).state_.sealedEpoch_ == 0);
}

TEST_CASE_METHOD(StoreFixture, "SegmentStore_Position_ReadsThatPayload")
{
  Open();
  std::promise<std::vector<LogPosition>> promise;
  store_->AppendEntries(
    2, MakeEntries(1, 3), [&](auto, std::span<const LogPosition> aPositions) {
      promise.set_value({ aPositions.begin(), aPositions.end() });
    });
  const auto positions = promise.get_future().get();
  REQUIRE(positions.size() == 3);
  const auto read = base::Capture([&] { return store_->Read(positions[1]); });
  REQUIRE(std::holds_alternative<std::string>(read));
  CHECK(std::get<0>(read) == MakeEntries(2, 1).front().payload_);
}

TEST_CASE_METHOD(StoreFixture, "SegmentStore_NewerEpoch_ReplacesTheTail")
{
  Open();
  Append(0, MakeEntries(1, 5, 1));
  Append(0, MakeEntries(4, 1, 2));
  const auto check = [&] {
    const CopySummary summary = store_->SummaryOf(0);
    CHECK(summary.lastSequence_ == 4);
    CHECK(summary.runs_ == std::vector<EpochRun>{ { 1, 1 }, { 4, 2 } });
    CHECK(ReadAll(0).back().entry_ == MakeEntries(4, 1, 2).front());
  };
  check();
  Open();
  check();
}

// A host loses power while it writes a group. After the restart its log must
// begin where the last synced group ended: the half-written records were never
// acknowledged, and must not be served as if they had been.
TEST_CASE_METHOD(StoreFixture, "SegmentStore_TornTail_IsCutAndNothingElse")
{
  Open();
  Append(0, MakeEntries(1, 4));
  Append(0, MakeEntries(5, 4));
  const std::string file = Files().back();
  const std::uint64_t tornAt = FindText(file, "entry 6 ");
  const std::uint64_t cutAt = GENERATE(0U, 1U, 50U, 120U);
  std::filesystem::copy_file(file, folder_.Path() + "/copy");
  store_.reset();
  std::filesystem::copy_file(folder_.Path() + "/copy",
                             file,
                             std::filesystem::copy_options::overwrite_existing);
  std::filesystem::resize_file(file, tornAt + cutAt);
  Open();
  CHECK_FALSE(store_->SummaryOf(0).damaged_);
  const std::uint64_t last = store_->SummaryOf(0).lastSequence_;
  CHECK(last >= 5);
  CHECK(last <= 6);
  CheckHolds(0, MakeEntries(1, last));
  CHECK(Append(0, MakeEntries(last + 1, 1, 2)) == ResultCode::Ok);
}

// A disk flips a bit in a record that was acknowledged long ago. The copy must
// say so: cutting the log there would silently drop every acknowledged record
// behind it.
TEST_CASE_METHOD(StoreFixture, "SegmentStore_FlippedPayloadBit_IsReported")
{
  Open();
  Append(0, MakeEntries(1, 4));
  Append(1, MakeEntries(1, 2));
  store_.reset();
  const std::string file = Files().front();
  FlipBit(file, FindText(file, "entry 3 ") + 2);
  Open();
  CHECK(store_->SummaryOf(0).damaged_);
  CHECK(store_->SummaryOf(0).lastSequence_ == 4);
  CHECK_FALSE(store_->SummaryOf(1).damaged_);
  CheckHolds(1, MakeEntries(1, 2));
  const auto read = base::Capture([&] { return store_->ReadEntries(0, 3, 1); });
  REQUIRE(std::holds_alternative<base::Failure>(read));
  CHECK(std::get<base::Failure>(read).code_ == ResultCode::CorruptRecord);
}

// The flipped bit is in a header, so nobody knows whose record it was. Each
// copy on the host may miss one, and none may be trusted as whole.
TEST_CASE_METHOD(StoreFixture, "SegmentStore_FlippedHeaderBit_DoubtsAllCopies")
{
  Open();
  Append(0, MakeEntries(1, 4));
  Append(1, MakeEntries(1, 2));
  store_.reset();
  const std::string file = Files().front();
  FlipBit(file, FindText(file, "entry 3 ") - 20);
  Open();
  CHECK(store_->SummaryOf(0).damaged_);
  Append(1, MakeEntries(3, 1));
  Open();
  CHECK(store_->SummaryOf(1).state_.incomplete_);
  CHECK(WaitFor([&](auto aDone) {
          store_->Reset(0, CopyState{ 2, 1, 0, true }, aDone);
        }) == ResultCode::Ok);
  CHECK_FALSE(store_->SummaryOf(0).damaged_);
  Open();
  CHECK_FALSE(store_->SummaryOf(0).damaged_);
  CHECK(store_->SummaryOf(0).lastSequence_ == 0);
}

// The disk is nearly full when a lot arrives. The caller must hear so before
// anything is accepted, and hear of room again once operators made some.
TEST_CASE_METHOD(StoreFixture, "SegmentStore_FreeSpaceBelowReserve_HasNoRoom")
{
  std::atomic<std::uint64_t> free{ 50 };
  options_.reserveBytes_ = 100;
  options_.disk_.freeBytes_ = [&free](const std::string&) {
    return free.load();
  };
  Open();
  CHECK_FALSE(store_->HasRoom());
  free = 200;
  store_->RefreshRoom();
  CHECK(store_->HasRoom());
  store_.reset();
}

// A write finds the disk full half-way, while later appends of the partition
// are already queued. All of them fail; none may land behind the gap. When
// there is room again the copy goes on from its last durable record.
TEST_CASE_METHOD(StoreFixture, "SegmentStore_WriteFindsDiskFull_LeavesNoGap")
{
  std::atomic<bool> full{ false };
  std::promise<void> begun;
  std::promise<void> queued;
  const base::Disk real = base::Disk::Real();
  options_.disk_.write_ = [&](const base::File& aFile,
                              std::string_view aBytes,
                              std::uint64_t aOffset) -> base::Result<void> {
    if (!full.exchange(false)) {
      return real.write_(aFile, aBytes, aOffset);
    }
    begun.set_value();
    queued.get_future().wait();
    BOOST_LEAF_CHECK(real.write_(aFile, aBytes.substr(0, 60), aOffset));
    return base::Fail(ResultCode::DiskFull);
  };
  Open();
  Append(0, MakeEntries(1, 2));
  full = true;
  std::promise<ResultCode> first;
  std::promise<ResultCode> second;
  store_->AppendEntries(
    0, MakeEntries(3, 1), [&](auto aCode, auto) { first.set_value(aCode); });
  begun.get_future().wait();
  store_->AppendEntries(
    0, MakeEntries(4, 1), [&](auto aCode, auto) { second.set_value(aCode); });
  queued.set_value();
  CHECK(first.get_future().get() == ResultCode::DiskFull);
  CHECK(second.get_future().get() == ResultCode::LogGap);
  CHECK(Append(0, MakeEntries(3, 2)) == ResultCode::Ok);
  CheckHolds(0, MakeEntries(1, 4));
  Open();
  CheckHolds(0, MakeEntries(1, 4));
}

// The disk fails a sync. The kernel may have thrown the pages away, and would
// call the next sync a success; so no later append may be acknowledged.
TEST_CASE_METHOD(StoreFixture, "SegmentStore_SyncFailed_AcknowledgesNoMore")
{
  std::atomic<bool> failing{ false };
  const base::Disk real = base::Disk::Real();
  options_.disk_.sync_ = [&](const base::File& aFile) -> base::Result<void> {
    if (failing) {
      return base::Fail(ResultCode::InputOutput);
    }
    return real.sync_(aFile);
  };
  Open();
  failing = true;
  CHECK(Append(0, MakeEntries(1, 1)) == ResultCode::InputOutput);
  failing = false;
  CHECK(Append(0, MakeEntries(1, 1)) == ResultCode::InputOutput);
}

TEST_CASE_METHOD(StoreFixture, "SegmentStore_TrimmedSegments_AreDeleted")
{
  options_.segmentBytes_ = 4096;
  Open();
  for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
    Append(0, MakeEntries(sequence, 1));
    Append(1, MakeEntries(sequence, 1));
  }
  const std::size_t before = Files().size();
  CHECK(before > 5);
  const auto trim = [&](std::uint32_t aPartition) {
    return WaitFor([&](auto aDone) {
      store_->SaveState(aPartition, CopyState{ 1, 99, 1, false }, aDone);
    });
  };
  trim(0);
  CHECK(Files().size() == before);
  trim(1);
  CHECK(Files().size() <= 3);
  Open();
  CHECK(store_->SummaryOf(0).state_.firstSequence_ == 99);
  CHECK(ReadAll(1).front().entry_ == MakeEntries(99, 1).front());
}

} // namespace pumiceturn::joblog
