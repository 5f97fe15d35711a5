#include "LinkedFleet.h"
#include "Measurements.h"

#include <fmt/format.h>

#include <cstdio>
#include <future>
#include <malloc.h>
#include <thread>

namespace pumiceturn::joblog {

namespace {

constexpr std::uint64_t kFrameRecords = 256;
constexpr std::size_t kRecordBytes = 1024;

double
Milliseconds(base::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::unique_ptr<SegmentStore>
OpenStore(const std::string& aFolder)
{
  SegmentStore::Options options;
  options.folder_ = aFolder;
  return std::get<std::unique_ptr<SegmentStore>>(
    base::Capture([&] { return SegmentStore::Open(std::move(options)); }));
}

/// Appends records directly, as an owner of epoch 1 would.
void
Fill(SegmentStore& aStore, std::uint64_t aRecords, std::size_t aBytes)
{
  std::uint64_t sequence = 0;
  while (sequence < aRecords) {
    std::vector<wire::LogEntry> entries;
    for (std::uint64_t index = 0; index < kFrameRecords; ++index) {
      entries.push_back(
        wire::LogEntry{ ++sequence, 1, std::string(aBytes, 'x') });
    }
    std::promise<void> done;
    aStore.AppendEntries(
      0, std::move(entries), [&done](auto, auto) { done.set_value(); });
    done.get_future().wait();
  }
}

base::ResultCode
AppendAndWait(LogService& aLog, std::size_t aBytes)
{
  std::promise<base::ResultCode> done;
  aLog.Append(0, { std::string(aBytes, 'x') }, [&done](auto aCode, auto) {
    done.set_value(aCode);
  });
  return done.get_future().get();
}

std::uint64_t
AllocatedBytes()
{
  return mallinfo2().uordblks;
}

/// A fleet of one, whose partition holds a number of megabytes.
void
MeasureRestart(std::uint64_t aMegabytes)
{
  LinkedFleet fleet({ .keepers_ = 1, .copies_ = 1, .minCopies_ = 1 });
  fleet.WaitUntilAllOwned();
  constexpr std::size_t kAppendBytes = 64U << 10U;
  const std::uint64_t appends = (aMegabytes << 20U) / kAppendBytes;
  for (std::uint64_t index = 0; index < appends; ++index) {
    AppendAndWait(fleet.Service(0), kAppendBytes);
  }
  fleet.Service(0).Stop();
  const base::Instant begin = base::MonotonicNow();
  fleet.Start(0);
  const base::Duration opened = base::MonotonicNow() - begin;
  fleet.WaitUntilAllOwned();
  fmt::print("| {} | {:.0f} | {:.0f} |\n",
             aMegabytes,
             Milliseconds(opened),
             Milliseconds(base::MonotonicNow() - begin));
  std::fflush(stdout);
}

base::Duration
MeasureOneTakeover(std::uint64_t aMegabytes, base::Duration aTakeoverAfter)
{
  LinkedFleet fleet({ .takeoverAfter_ = aTakeoverAfter });
  fleet.WaitUntilAllOwned();
  const std::size_t owner = fleet.OwnerOf(0);
  constexpr std::size_t kAppendBytes = 64U << 10U;
  for (std::uint64_t index = 0; index < (aMegabytes << 20U) / kAppendBytes;
       ++index) {
    AppendAndWait(fleet.Service(owner), kAppendBytes);
  }
  const base::Instant begin = base::MonotonicNow();
  fleet.Kill(owner);
  LinkedFleet::WaitUntil([&] {
    const std::size_t next = fleet.OwnerOf(0);
    return next != LinkedFleet::kNone && next != owner;
  });
  AppendAndWait(fleet.Service(fleet.OwnerOf(0)), kRecordBytes);
  return base::MonotonicNow() - begin;
}

} // namespace

void
MeasureRecovery()
{
  fmt::print("| log MB | store read ms | partition owned ms |\n"
             "|---|---|---|\n");
  for (const std::uint64_t megabytes : { 1U, 64U, 128U, 256U, 512U }) {
    MeasureRestart(megabytes);
  }
}

void
MeasureTakeover()
{
  constexpr int kRuns = 5;
  fmt::print("| takeover_after ms | log MB | runs | shortest ms | longest ms "
             "|\n|---|---|---|---|---|\n");
  for (const int after : { 500, 2000 }) {
    for (const std::uint64_t megabytes : { 0U, 64U }) {
      base::Duration shortest = base::Duration::max();
      base::Duration longest{ 0 };
      for (int run = 0; run < kRuns; ++run) {
        const base::Duration time =
          MeasureOneTakeover(megabytes, std::chrono::milliseconds{ after });
        shortest = std::min(shortest, time);
        longest = std::max(longest, time);
      }
      fmt::print("| {} | {} | {} | {:.0f} | {:.0f} |\n",
                 after,
                 megabytes,
                 kRuns,
                 Milliseconds(shortest),
                 Milliseconds(longest));
      std::fflush(stdout);
    }
  }
}

void
MeasureMemory()
{
  constexpr std::size_t kSmallRecord = 64;
  fmt::print("| records | allocated bytes | bytes a record |\n"
             "|---|---|---|\n");
  for (const std::uint64_t records : { 102400U, 204800U, 409600U }) {
    const TemporaryFolder folder;
    auto store = OpenStore(folder.Path());
    const std::uint64_t before = AllocatedBytes();
    Fill(*store, records, kSmallRecord);
    const std::uint64_t after = AllocatedBytes();
    fmt::print("| {} | {} | {:.1f} |\n",
               records,
               after - before,
               static_cast<double>(after - before) /
                 static_cast<double>(records));
  }
}

void
MeasurePartitions()
{
  constexpr double kKeepers = 3;
  constexpr std::chrono::seconds kSteady{ 3 };
  fmt::print("| partitions | all owned ms | calls | bytes written | allocated "
             "KB a keeper | calls in 3 steady s | host lost: all owned ms | "
             "calls |\n|---|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t partitions : { 256U, 1024U, 4096U }) {
    const std::uint64_t before = AllocatedBytes();
    const base::Instant begin = base::MonotonicNow();
    LinkedFleet fleet({ .partitions_ = partitions });
    fleet.WaitUntilAllOwned();
    const base::Duration claimed = base::MonotonicNow() - begin;
    const std::uint64_t claimCalls = fleet.KeyValue().CallCount();
    const std::uint64_t written = fleet.KeyValue().SwappedBytes();
    const std::uint64_t allocated = AllocatedBytes() - before;
    std::this_thread::sleep_for(kSteady);
    const std::uint64_t steadyCalls = fleet.KeyValue().CallCount() - claimCalls;
    const base::Instant lost = base::MonotonicNow();
    fleet.Kill(0);
    fleet.WaitUntilAllOwned();
    const base::Duration recovered = base::MonotonicNow() - lost;
    fmt::print("| {} | {:.0f} | {} | {} | {:.0f} | {} | {:.0f} | {} |\n",
               partitions,
               Milliseconds(claimed),
               claimCalls,
               written,
               static_cast<double>(allocated) / 1024 / kKeepers,
               steadyCalls,
               Milliseconds(recovered),
               fleet.KeyValue().CallCount() - claimCalls - steadyCalls);
    std::fflush(stdout);
  }
}

} // namespace pumiceturn::joblog
