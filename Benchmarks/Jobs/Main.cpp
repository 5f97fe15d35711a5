#include "LibJobs/JobTable.h"
#include "LibJobs/LaxityQueue.h"
#include "LibJobs/RecordCodec.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Costs of jobs at their owner: memory of a waiting item, a pick, acceptance,
/// and replay after a takeover.
namespace pumiceturn::jobs {

namespace {

constexpr std::int64_t kNow = 1'700'000'000'000;
constexpr std::uint32_t kItemsInFrame = 256;
constexpr std::size_t kPayloadBytes = 400;

std::size_t
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

wire::JobDescription
MakeLot(std::uint32_t aNumber, std::uint32_t aItems)
{
  wire::JobDescription lot;
  lot.key_ = "lot-" + std::to_string(aNumber);
  lot.partner_ = "partner-" + std::to_string(aNumber % 100);
  lot.id_ = base::MakeJobId(lot.partner_, lot.key_);
  lot.service_ = "origin-llm";
  lot.kind_ = "lineage-batch";
  lot.digest_ = aNumber;
  lot.itemCount_ = aItems;
  lot.dueUnixMs_ = kNow + 600'000 + aNumber;
  lot.retentionS_ = 86'400;
  return lot;
}

wire::SubmitFrame
MakeFrame(const wire::JobDescription& aLot, std::uint32_t aFirst)
{
  wire::SubmitFrame frame;
  frame.job_ = aLot;
  frame.firstItem_ = aFirst;
  const std::uint32_t end = std::min(aFirst + kItemsInFrame, aLot.itemCount_);
  for (std::uint32_t item = aFirst; item < end; ++item) {
    frame.items_.push_back(
      { "item-" + std::to_string(item), std::string(kPayloadBytes, 'x') });
  }
  frame.last_ = end == aLot.itemCount_;
  return frame;
}

/// Accepts a lot as its owner does, without a log.
void
Accept(JobTable& aTable, const wire::JobDescription& aLot)
{
  for (std::uint32_t first = 0; first < aLot.itemCount_;
       first += kItemsInFrame) {
    const auto decision = aTable.DecideFrame(MakeFrame(aLot, first), kNow);
    for (const Record& record : decision.records_) {
      aTable.Apply(record, { 1, 1, first }, 1);
    }
    aTable.OnAcceptAppended(aLot.id_, true);
  }
}

void
MemoryOfWaitingItems(benchmark::State& aState)
{
  const auto items = static_cast<std::uint32_t>(aState.range(0));
  const auto lots = static_cast<std::uint32_t>(aState.range(1));
  double bytes = 0.0;
  while (aState.KeepRunning()) {
    JobTable table;
    LaxityQueue queue;
    const std::size_t before = HeapBytes();
    for (std::uint32_t number = 0; number < lots; ++number) {
      const auto lot = MakeLot(number, items / lots);
      Accept(table, lot);
      queue.Add(lot.id_, lot.partner_, 1, lot.dueUnixMs_, lot.itemCount_);
    }
    bytes = static_cast<double>(HeapBytes() - before);
    benchmark::DoNotOptimize(table);
  }
  aState.counters["bytes_per_item"] = bytes / items;
}
BENCHMARK(MemoryOfWaitingItems)
  ->Args({ 100'000, 1 })
  ->Args({ 400'000, 1 })
  ->Args({ 1'000'000, 1 })
  ->Args({ 1'000'000, 100 })
  ->Args({ 1'000'000, 3'800 })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/// One pick and the return of its item, so that the queue keeps its size.
void
PickAndReturn(benchmark::State& aState)
{
  const auto jobs = static_cast<std::uint32_t>(aState.range(0));
  const auto partners = static_cast<std::uint32_t>(aState.range(1));
  LaxityQueue queue;
  std::mt19937_64 random(7);
  std::vector<std::string> names;
  for (std::uint32_t index = 0; index < partners; ++index) {
    names.push_back("partner-" + std::to_string(index));
  }
  for (std::uint32_t index = 0; index < jobs; ++index) {
    queue.Add({ random(), random() },
              names[index % partners],
              1 + index % 3,
              kNow + static_cast<std::int64_t>(random() % 36'000'000),
              1);
  }
  while (aState.KeepRunning()) {
    const auto pick = queue.Pop(kNow);
    queue.Add(pick->job_,
              pick->partner_,
              1,
              kNow + static_cast<std::int64_t>(random() % 36'000'000),
              1);
    queue.RecordServiceTime(std::chrono::milliseconds(900 + random() % 200));
  }
}
BENCHMARK(PickAndReturn)
  ->Args({ 1'000, 10 })
  ->Args({ 100'000, 1 })
  ->Args({ 100'000, 100 })
  ->Args({ 100'000, 10'000 })
  ->Args({ 1'000'000, 1'000 });

/// A pick and the choice of the item in the table, from one large lot.
void
PickFromLargeLot(benchmark::State& aState)
{
  const auto items = static_cast<std::uint32_t>(aState.range(0));
  JobTable table;
  LaxityQueue queue;
  const auto lot = MakeLot(1, items);
  Accept(table, lot);
  queue.Add(lot.id_, lot.partner_, 1, lot.dueUnixMs_, items);
  while (aState.KeepRunning()) {
    const auto pick = queue.Pop(kNow);
    const auto dispatch = table.TakeItem(pick->job_);
    table.Requeue(dispatch->run_);
    queue.Add(pick->job_, lot.partner_, 1, lot.dueUnixMs_, 1);
  }
}
BENCHMARK(PickFromLargeLot)->Arg(1'000)->Arg(100'000)->Arg(1'000'000);

/// Decides on and encodes one frame of a lot.
void
AcceptFrame(benchmark::State& aState)
{
  std::uint32_t number = 0;
  JobTable table;
  while (aState.KeepRunning()) {
    aState.PauseTiming();
    const auto lot = MakeLot(number++, kItemsInFrame);
    const auto frame = MakeFrame(lot, 0);
    aState.ResumeTiming();
    const auto decision = table.DecideFrame(frame, kNow);
    for (const Record& record : decision.records_) {
      benchmark::DoNotOptimize(EncodeRecord(record));
      table.Apply(record, { 1, 1, 0 }, 1);
    }
    table.OnAcceptAppended(lot.id_, true);
  }
  aState.SetItemsProcessed(aState.iterations() * kItemsInFrame);
}
BENCHMARK(AcceptFrame)->Iterations(2000);

void
AcceptOnlineAndRecord(benchmark::State& aState)
{
  std::uint64_t number = 0;
  JobTable table;
  wire::RecordRequest request;
  request.partner_ = "slaegtsspor";
  request.service_ = "origin-llm";
  request.kind_ = "look-up";
  request.retentionS_ = 86'400;
  request.payload_ = std::string(kPayloadBytes, 'x');
  while (aState.KeepRunning()) {
    request.key_ = "key-" + std::to_string(number++);
    request.job_ = base::MakeJobId(request.partner_, request.key_);
    const auto accepted = table.DecideOnline(request, 3, kNow);
    for (const Record& record : accepted.records_) {
      benchmark::DoNotOptimize(EncodeRecord(record));
      table.Apply(record, { 1, 1, 0 }, 1);
    }
    table.OnAcceptAppended(request.job_, true);
    wire::ItemResult result;
    result.text_ = std::string(kPayloadBytes, 'y');
    const auto end = table.DecideResult({ request.job_, 0, 1 }, result, true);
    const Record record{ kNow, ItemsEnded{ { *end.record_ } } };
    benchmark::DoNotOptimize(EncodeRecord(record));
    table.Apply(record, { 1, 1, 0 }, 1);
  }
}
BENCHMARK(AcceptOnlineAndRecord)->Iterations(100'000);

void
MemoryOfFinishedOnline(benchmark::State& aState)
{
  const auto count = static_cast<std::uint32_t>(aState.range(0));
  double bytes = 0.0;
  while (aState.KeepRunning()) {
    JobTable table;
    const std::size_t before = HeapBytes();
    for (std::uint32_t number = 0; number < count; ++number) {
      auto job = MakeLot(number, 1);
      job.online_ = true;
      table.Apply({ kNow, JobOpened{ job } }, {}, number);
      table.Apply({ kNow, ItemsAccepted{ job.id_, 0, { {} } } }, {}, number);
      table.Apply({ kNow, JobAccepted{ job.id_ } }, {}, number);
      table.Apply(
        { kNow, ItemsEnded{ { { { job.id_, 0, 1 }, {} } } } }, {}, number);
    }
    bytes = static_cast<double>(HeapBytes() - before);
    benchmark::DoNotOptimize(table);
  }
  aState.counters["bytes_per_request"] = bytes / count;
}
BENCHMARK(MemoryOfFinishedOnline)
  ->Arg(10'000)
  ->Arg(100'000)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/// Decodes and applies a log as a new owner does: lots with all their results.
void
Replay(benchmark::State& aState)
{
  constexpr std::uint32_t kItems = 65'536;
  constexpr std::uint32_t kResultsInRecord = 64;
  std::vector<std::string> log;
  const auto lot = MakeLot(1, kItems);
  log.push_back(EncodeRecord({ kNow, JobOpened{ lot } }));
  for (std::uint32_t first = 0; first < kItems; first += kItemsInFrame) {
    log.push_back(EncodeRecord(
      { kNow, ItemsAccepted{ lot.id_, first, MakeFrame(lot, first).items_ } }));
  }
  log.push_back(EncodeRecord({ kNow, JobAccepted{ lot.id_ } }));
  for (std::uint32_t item = 0; item < kItems;) {
    ItemsEnded ended;
    for (std::uint32_t index = 0; index < kResultsInRecord; ++index, ++item) {
      wire::ItemResult result;
      result.item_ = item;
      result.text_ = std::string(kPayloadBytes, 'y');
      ended.ended_.push_back({ { lot.id_, item, 1 }, std::move(result) });
    }
    log.push_back(EncodeRecord({ kNow, std::move(ended) }));
  }
  std::size_t bytes = 0;
  for (const std::string& record : log) {
    bytes += record.size();
  }
  while (aState.KeepRunning()) {
    JobTable table;
    for (std::size_t index = 0; index < log.size(); ++index) {
      auto record = base::Capture(
        [&] { return DecodeRecord(log[index], PayloadMode::Skip); });
      table.Apply(std::get<Record>(record), { 1, 1, index }, index);
    }
    benchmark::DoNotOptimize(table);
  }
  const auto rounds = static_cast<std::int64_t>(aState.iterations());
  aState.SetItemsProcessed(rounds * kItems);
  aState.SetBytesProcessed(rounds * static_cast<std::int64_t>(bytes));
  aState.counters["records_per_s"] = benchmark::Counter(
    static_cast<double>(log.size()) * static_cast<double>(rounds),
    benchmark::Counter::kIsRate);
}
BENCHMARK(Replay)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace pumiceturn::jobs

BENCHMARK_MAIN();
