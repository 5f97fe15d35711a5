#pragma once

#include "LibBase/Time.h"
#include "LibLoad/Samples.h"
#include "LibLoad/Schedule.h"

#include <Caller.pb.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pumiceturn::load {

/// What happened in one second of the run.
struct Second
{
  std::uint32_t started_ = 0; ///< Online calls, by their intended start.
  std::uint32_t refused_ = 0;
  std::uint64_t onlineTokens_ = 0;
  std::uint64_t batchTokens_ = 0;
  std::uint32_t batchItems_ = 0;
  Samples firstTokenMs_; ///< By intended start.
};

/// Latencies of the online calls of one phase.
struct Latencies
{
  Samples firstTokenMs_;
  Samples betweenTokensMs_;
};

/// How items and calls ended.
struct Counts
{
  std::uint64_t sent_ = 0; ///< Online calls and lot items, without resends.
  std::uint64_t accepted_ = 0;
  std::uint64_t completed_ = 0;  ///< Accepted, and a result is readable.
  std::uint64_t failed_ = 0;     ///< Completed with a result code of their own.
  std::uint64_t unfinished_ = 0; ///< Accepted, still running at the end.
  std::uint64_t lost_ = 0;       ///< Accepted, and no result will come.
  std::uint64_t doubled_ = 0;
  std::uint64_t mixedUp_ = 0; ///< The answer is not that of the prompt.
  std::uint64_t refusedNotRun_ = 0;
  std::uint64_t refusedButRun_ = 0;
  std::uint64_t unknown_ = 0; ///< Not accepted, and may have run.
  std::uint64_t dueMissed_ = 0;
};

/// Gathers what the calls and lots of a run report. Thread-safe.
class Recorder
{
public:
  /// @param aStart The plan's start.
  explicit Recorder(base::Instant aStart)
    : start_(aStart)
  {
  }

  [[nodiscard]] base::Instant Start() const { return start_; }

  void AddStart(base::Duration aIntended);
  void AddFirstToken(const Arrival& aArrival, base::Instant aNow);
  void AddGap(Phase aPhase, base::Duration aGap);
  void AddOnlineTokens(std::uint32_t aTokens, base::Instant aNow);
  void AddRefused(base::Duration aIntended);
  void AddBatchItem(std::uint32_t aTokens, base::Instant aNow);
  void AddCode(std::uint32_t aCode);

  /// Changes the counts.
  template<typename Change>
  void Update(const Change& aChange)
  {
    const std::lock_guard lock(mutex_);
    aChange(counts_);
  }

  struct Snapshot
  {
    Counts counts_;
    Latencies alone_;
    Latencies together_;
    std::vector<Second> seconds_;
    std::map<std::uint32_t, std::uint64_t> endsByCode_;
  };

  /// @return all of it, with the samples sorted.
  [[nodiscard]] Snapshot Take() const;

  [[nodiscard]] Counts CurrentCounts() const;

private:
  /// Needs the lock.
  Second& SecondAt(base::Duration aMoment);

  const base::Instant start_;
  mutable std::mutex mutex_; ///< Guards all below.
  Snapshot gathered_;
  Counts counts_;
};

} // namespace pumiceturn::load
