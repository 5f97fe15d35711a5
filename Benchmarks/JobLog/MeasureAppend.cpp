#include "LinkedFleet.h"
#include "Measurements.h"

#include "LibBase/Disk.h"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <vector>

namespace pumiceturn::joblog {

namespace {

constexpr std::size_t kItemBytes = 512;
constexpr std::uint64_t kBytesACell = 192U << 20U;
constexpr base::Duration kTimeACell{ 700000 };
/// Each cell runs between two plain loops, since the disk's pace changes.
constexpr int kRounds = 3;

struct Rate
{
  double itemsASecond_ = 0;
  double p50Ms_ = 0;
  double p99Ms_ = 0;
};

double
Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Rate
RateOf(std::vector<double> aMilliseconds,
       std::size_t aItems,
       base::Duration aElapsed)
{
  std::sort(aMilliseconds.begin(), aMilliseconds.end());
  const auto at = [&](double aShare) {
    return aMilliseconds[static_cast<std::size_t>(
      aShare * static_cast<double>(aMilliseconds.size() - 1))];
  };
  return Rate{ static_cast<double>(aMilliseconds.size() * aItems) /
                 Seconds(aElapsed),
               at(0.5),
               at(0.99) };
}

bool
IsOver(base::Instant aBegin, std::uint64_t aFrames, std::size_t aFrameBytes)
{
  return base::MonotonicNow() - aBegin >= kTimeACell ||
         aFrames * aFrameBytes >= kBytesACell;
}

/// The limit: one thread that writes a frame, syncs, and goes on.
Rate
MeasurePlain(std::size_t aItems)
{
  const TemporaryFolder folder;
  const auto file = std::get<base::FilePointer>(
    base::Capture([&] { return base::OpenFile(folder.Path() + "/plain"); }));
  const base::Disk disk = base::Disk::Real();
  const std::string frame(aItems * kItemBytes, 'x');
  std::vector<double> times;
  const base::Instant begin = base::MonotonicNow();
  while (!IsOver(begin, times.size(), frame.size())) {
    const base::Instant start = base::MonotonicNow();
    static_cast<void>(base::Capture([&]() -> base::Result<void> {
      BOOST_LEAF_CHECK(disk.write_(*file, frame, times.size() * frame.size()));
      return disk.sync_(*file);
    }));
    times.push_back(1000 * Seconds(base::MonotonicNow() - start));
  }
  return RateOf(std::move(times), aItems, base::MonotonicNow() - begin);
}

/// Keeps a number of frames of one partition in flight.
class Appender
{
public:
  Appender(LogService& aLog, std::size_t aItems, std::size_t aInFlight)
    : log_(aLog)
    , items_(aItems)
    , inFlightLimit_(aInFlight)
    , frame_(aItems * kItemBytes, 'x')
  {
  }

  Rate Run()
  {
    const base::Instant begin = base::MonotonicNow();
    std::uint64_t sent = 0;
    while (!IsOver(begin, sent, frame_.size())) {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return inFlight_ < inFlightLimit_; });
      ++inFlight_;
      lock.unlock();
      Send();
      ++sent;
    }
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return inFlight_ == 0; });
    if (failed_ > 0) {
      std::fprintf(stderr, "%zu appends failed\n", failed_);
    }
    return RateOf(times_, items_, base::MonotonicNow() - begin);
  }

private:
  void Send()
  {
    const base::Instant start = base::MonotonicNow();
    log_.Append(0, { frame_ }, [this, start](base::ResultCode aCode, auto) {
      const std::lock_guard lock(mutex_);
      --inFlight_;
      failed_ += aCode == base::ResultCode::Ok ? 0 : 1;
      times_.push_back(1000 * Seconds(base::MonotonicNow() - start));
      wake_.notify_one();
    });
  }

  LogService& log_;
  std::size_t items_;
  std::size_t inFlightLimit_;
  std::string frame_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::size_t inFlight_ = 0;
  std::size_t failed_ = 0;
  std::vector<double> times_;
};

/// One cell, and what the plain loop did right before and after it.
struct Comparison
{
  Rate log_;
  double plain_ = 0;

  [[nodiscard]] double Ratio() const { return log_.itemsASecond_ / plain_; }
};

Comparison
Compare(std::uint32_t aCopies, std::size_t aItems, std::size_t aInFlight)
{
  Comparison comparison;
  const double before = MeasurePlain(aItems).itemsASecond_;
  {
    LinkedFleet fleet(
      { .keepers_ = aCopies, .copies_ = aCopies, .minCopies_ = aCopies });
    fleet.WaitUntilAllOwned();
    comparison.log_ =
      Appender(fleet.Service(fleet.OwnerOf(0)), aItems, aInFlight).Run();
  }
  comparison.plain_ = (before + MeasurePlain(aItems).itemsASecond_) / 2;
  return comparison;
}

void
PrintRow(std::uint32_t aCopies, std::size_t aItems, std::size_t aInFlight)
{
  std::vector<Comparison> rounds;
  rounds.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    rounds.push_back(Compare(aCopies, aItems, aInFlight));
  }
  std::sort(
    rounds.begin(), rounds.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.Ratio() < aRight.Ratio();
    });
  const Comparison& median = rounds[rounds.size() / 2];
  fmt::print("| {} | {} | {} | {:.0f} | {:.0f} | {:.2f} | {:.2f} to {:.2f} | "
             "{:.2f} | {:.2f} |\n",
             aCopies,
             aItems,
             aInFlight,
             median.log_.itemsASecond_,
             median.plain_,
             median.Ratio(),
             rounds.front().Ratio(),
             rounds.back().Ratio(),
             median.log_.p50Ms_,
             median.log_.p99Ms_);
  std::fflush(stdout);
}

} // namespace

void
MeasureAppend()
{
  fmt::print("| copies | items a frame | frames in flight | items/s | plain "
             "loop items/s | ratio, median | ratios | p50 ms | p99 ms |\n"
             "|---|---|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t copies : { 1U, 2U, 3U }) {
    for (const std::size_t items : { 1U, 16U, 256U, 1024U }) {
      for (const std::size_t inFlight : { 1U, 8U }) {
        PrintRow(copies, items, inFlight);
      }
    }
  }
}

} // namespace pumiceturn::joblog
