#include "Fleet.h"
#include "Sample.h"

#include "LibConfiguration/Difference.h"
#include "LibConfiguration/Parts.h"

#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <thread>
#include <vector>

// Measures the configuration's spread: sizes by number of buckets, time to all
// hosts, calls to the key-value service by hosts, and memory by partners.

namespace pumiceturn::benchmarks {

namespace {

using configuration::Scope;
using configuration::Split;

constexpr int kEndpoints = 1800;
constexpr int kRepeats = 9;

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

/// @return the median time of a call, in milliseconds.
template<typename Work>
double
TimeOf(Work aWork)
{
  std::vector<double> times;
  for (int i = 0; i < kRepeats; ++i) {
    const base::Instant start = base::MonotonicNow();
    aWork();
    const std::chrono::duration<double, std::milli> passed =
      base::MonotonicNow() - start;
    times.push_back(passed.count());
  }
  return Median(std::move(times));
}

stored::ConfigurationHead
HeadOf(const Split& aSplit)
{
  stored::ConfigurationHead head;
  head.set_version(1);
  *head.mutable_parts() = { aSplit.references_.begin(),
                            aSplit.references_.end() };
  return head;
}

/// @return bytes of the one part that a change of one partner changes.
std::size_t
ChangedBytes(const declarations::Declarations& aAll,
             const Split& aSplit,
             std::uint32_t aBuckets)
{
  declarations::Declarations changed = aAll;
  changed.mutable_partners(0)->set_batch_share(99);
  const Split after = configuration::SplitDeclarations(changed, aBuckets);
  std::size_t bytes = 0;
  for (const auto& [digest, content] : after.contents_) {
    bytes += aSplit.contents_.contains(digest) ? 0 : content->size();
  }
  return bytes;
}

void
MeasureSizes()
{
  fmt::print("partners buckets head_bytes part_bytes change_bytes "
             "largest_value split_ms assemble_ms\n");
  for (const int partners : { 100, 1000, 10000, 32000 }) {
    const auto all = MakeDeclarations(partners, kEndpoints);
    for (const std::uint32_t buckets : { 1U, 16U, 64U, 256U, 512U, 1024U }) {
      const Split split = configuration::SplitDeclarations(all, buckets);
      const auto head = HeadOf(split);
      const std::size_t changed = ChangedBytes(all, split, buckets);
      std::size_t largest = 0;
      for (const auto& [digest, content] : split.contents_) {
        largest = std::max(largest, content->size());
      }
      const double splitMs =
        TimeOf([&] { configuration::SplitDeclarations(all, buckets); });
      const double assembleMs = TimeOf([&] {
        static_cast<void>(base::Capture([&] {
          return configuration::AssembleConfiguration(
            head, Scope{}, split.contents_);
        }));
      });
      fmt::print("{} {} {} {} {} {} {:.2f} {:.2f}\n",
                 partners,
                 buckets,
                 head.ByteSizeLong(),
                 changed,
                 head.ByteSizeLong() + changed,
                 largest,
                 splitMs,
                 assembleMs);
    }
  }
}

void
MeasureSpread()
{
  constexpr int kEntries = 4;
  constexpr int kKeepers = 3;
  constexpr int kAgents = 16;
  fmt::print("\npartners spread_ms ratio_to_first peer_bytes_per_host\n");
  double first = 0;
  for (const int partners : { 100, 1000, 10000, 32000 }) {
    auto all = MakeDeclarations(partners, kEndpoints);
    Fleet fleet(
      { .entries_ = kEntries, .keepers_ = kKeepers, .agents_ = kAgents });
    fleet.Change(all);
    fleet.WaitForWatches();
    const std::uint64_t bytesBefore = fleet.PeerBytes();
    std::vector<double> times;
    for (int i = 0; i < kRepeats; ++i) {
      all.mutable_partners(i)->set_batch_share(99);
      const std::chrono::duration<double, std::milli> passed =
        fleet.Change(all);
      times.push_back(passed.count());
    }
    const double median = Median(std::move(times));
    first = first == 0 ? median : first;
    fmt::print("{} {:.1f} {:.2f} {:.0f}\n",
               partners,
               median,
               median / first,
               static_cast<double>(fleet.PeerBytes() - bytesBefore) /
                 (kRepeats * (kAgents + kKeepers)));
  }
}

/// @return processor time of this process so far.
double
ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void
MeasureCalls()
{
  constexpr std::chrono::milliseconds kPoll{ 500 };
  constexpr int kPolls = 20;
  constexpr int kKeepers = 3;
  constexpr double kPercent = 100.0;
  fmt::print("\nentries calls_per_poll_interval calls_per_change spread_ms "
             "idle_core_percent_per_host\n");
  for (const int entries : { 1, 2, 4, 8, 16, 32, 64, 128 }) {
    auto all = MakeDeclarations(100, 100);
    Fleet fleet(
      { .entries_ = entries, .keepers_ = kKeepers, .pollInterval_ = kPoll });
    fleet.Change(all);
    fleet.WaitForWatches();
    std::uint64_t before = fleet.HostCalls();
    const double processorBefore = ProcessorSeconds();
    std::this_thread::sleep_for(kPoll * kPolls);
    const double idlePercent =
      (ProcessorSeconds() - processorBefore) * kPercent /
      std::chrono::duration<double>(kPoll * kPolls).count() /
      (entries + kKeepers);
    const auto steady =
      static_cast<double>(fleet.HostCalls() - before) / kPolls;
    before = fleet.HostCalls();
    std::vector<double> times;
    double passed = 0;
    for (int i = 0; i < kRepeats; ++i) {
      all.mutable_partners(i)->set_batch_share(99);
      const std::chrono::duration<double, std::milli> time = fleet.Change(all);
      times.push_back(time.count());
      passed += time.count();
    }
    // The polls within the changes are taken off again.
    const double polls = steady * passed / static_cast<double>(kPoll.count());
    const auto calls = static_cast<double>(fleet.HostCalls() - before) - polls;
    fmt::print("{} {:.2f} {:.2f} {:.1f} {:.3f}\n",
               entries,
               steady,
               calls / kRepeats,
               Median(std::move(times)),
               idlePercent);
  }
}

double
HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void
MeasureMemory()
{
  fmt::print("\npartners entry_MB agent_KB entry_bytes_per_partner\n");
  for (const int partners : { 0, 1000, 10000, 32000 }) {
    const Split split =
      configuration::SplitDeclarations(MakeDeclarations(partners, kEndpoints));
    const auto head = HeadOf(split).SerializeAsString();
    std::vector<wire::ConfigurationPart> parts;
    for (const auto& [digest, content] : split.contents_) {
      parts.push_back({ digest, *content });
    }
    const auto hold = [&](const Scope& aScope) {
      const double before = HeapBytes();
      configuration::ConfigurationReplica replica(
        aScope, {}, base::Instant{}, 0.0);
      configuration::ConfigurationCache cache;
      replica.TakeHead(head);
      replica.TakeParts(parts);
      cache.Install(*replica.TakeInstallable());
      return HeapBytes() - before;
    };
    const double entry = hold({});
    const double agent = hold({ "service-0" });
    fmt::print("{} {:.2f} {:.1f} {:.0f}\n",
               partners,
               entry / 1e6,
               agent / 1e3,
               partners == 0 ? 0.0 : entry / partners);
  }
}

} // namespace

} // namespace pumiceturn::benchmarks

int
main()
{
  pumiceturn::benchmarks::MeasureSizes();
  pumiceturn::benchmarks::MeasureMemory();
  pumiceturn::benchmarks::MeasureSpread();
  pumiceturn::benchmarks::MeasureCalls();
  return 0;
}
