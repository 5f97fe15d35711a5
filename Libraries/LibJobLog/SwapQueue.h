#pragma once

#include "LibBase/Strand.h"
#include "LibJobLog/LogPorts.h"
#include "LibPartition/PartitionTable.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace pumiceturn::joblog {

/// The record was swapped.
struct SwapApplied
{
  std::string writeId_;
  std::uint64_t modRevision_ = 0;
};

/// Another writer was first.
struct SwapRefused
{
  std::string writeId_;
  partition::PartitionRecord current_; ///< modRevision_ 0: no such key.
};

using SwapOutcome = std::variant<SwapApplied, SwapRefused>;

/// Carries out swaps of partition records, many in one call and one call at a
/// time. Thread-safe.
///
/// A call whose answer is lost may have taken effect, or still may. It is made
/// again, unchanged: then either it applies, and the first one no longer can,
/// or it meets a conflict, and the write id in the record says whose it was.
class SwapQueue : public std::enable_shared_from_this<SwapQueue>
{
public:
  using Resolved =
    std::function<void(std::uint32_t aPartition, SwapOutcome aOutcome)>;

  /// More swaps in one transaction than the published default limit allows
  /// would be refused.
  static constexpr std::size_t kMaxSwapsPerCall = 64;

  SwapQueue(const LogOptions& aOptions, LogPorts aPorts, Resolved aResolved);

  /// Queues a swap that expects the record's modification revision. A swap of
  /// the same partition that waits is replaced: it is not wanted any more, and
  /// the later one shows whether it took effect.
  void Add(const partition::PartitionRecord& aRecord);

  /// Makes no further call. One that runs may still end.
  void Stop();

private:
  using Records = std::vector<partition::PartitionRecord>;

  void PostFlush(base::Duration aDelay);
  void Flush();
  Records Take();
  void GiveBack(const Records& aRecords);
  base::Result<std::uint64_t> Call(const Records& aRecords);
  bool ResolveConflict(const Records& aRecords);
  base::Result<std::map<std::uint32_t, partition::PartitionRecord>> ReadCurrent(
    const Records& aRecords);

  LogOptions options_;
  LogPorts ports_;
  Resolved resolved_;
  std::atomic<bool> stopped_{ false };

  std::mutex mutex_;
  std::map<std::uint32_t, partition::PartitionRecord> waiting_;
  bool isPosted_ = false;
  base::Duration retryDelay_{};
};

} // namespace pumiceturn::joblog
