#pragma once

#include "LibBase/Disk.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibJobLog/CopyIndex.h"
#include "LibJobLog/LogPosition.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace pumiceturn::joblog {

/// An entry as read from the store.
struct StoredEntry
{
  wire::LogEntry entry_;
  LogPosition position_;
};

/// The copies of all partitions on this host: one append stream of segment
/// files that all share, so that one sync serves every partition that wrote
/// meanwhile. Thread-safe.
///
/// Requests take effect in the order made. Entries are readable from when they
/// are durable. A segment is deleted, oldest first, when every entry in it was
/// trimmed or replaced.
class SegmentStore
{
public:
  struct Options
  {
    std::string folder_;
    std::uint64_t segmentBytes_ = kDefaultSegmentBytes;
    std::uint64_t reserveBytes_ = 0; ///< Below it HasRoom() is false.
    base::Disk disk_ = base::Disk::Real();
  };

  static constexpr std::uint64_t kDefaultSegmentBytes = 64U << 20U;
  static constexpr std::uint64_t kMaxSegmentBytes = 1U << 30U;
  /// More waits for the next sync, so that one sync's time stays bounded.
  static constexpr std::uint64_t kMaxGroupBytes = 8U << 20U;

  /// Called once, on the sync thread, when the request is durable or has
  /// failed: DiskFull, InputOutput, LogGap when an earlier request of the
  /// partition failed, Draining after Stop().
  using Done = std::function<void(base::ResultCode aCode,
                                  std::span<const LogPosition> aPositions)>;

  /// Creates the folder or reads what it holds: cuts a torn tail, and marks the
  /// copies that lost records to damage.
  /// @return InputOutput when the folder cannot be read or written.
  static base::Result<std::unique_ptr<SegmentStore>> Open(Options aOptions);
  ~SegmentStore();
  SegmentStore(const SegmentStore&) = delete;
  SegmentStore& operator=(const SegmentStore&) = delete;

  /// Appends entries of consecutive sequences. Those held at or after the first
  /// sequence become void.
  void AppendEntries(std::uint32_t aPartition,
                     std::vector<wire::LogEntry> aEntries,
                     Done aDone);

  /// Replaces a copy's state; entries before its first sequence are forgotten.
  void SaveState(std::uint32_t aPartition, const CopyState& aState, Done aDone);

  /// Forgets all of a copy, and its damage, and begins it with a state.
  void Reset(std::uint32_t aPartition, const CopyState& aState, Done aDone);

  /// @return the payload; CorruptRecord, NotFound for a deleted segment, or
  /// InputOutput.
  [[nodiscard]] base::Result<std::string> Read(LogPosition aPosition) const;

  /// Reads durable entries in order, at least one where there is one.
  /// @param aMaxBytes Of payload, after which no further entry is read.
  [[nodiscard]] base::Result<std::vector<StoredEntry>> ReadEntries(
    std::uint32_t aPartition,
    std::uint64_t aFromSequence,
    std::uint64_t aMaxBytes) const;

  /// @return what is durable of a copy; sealedEpoch_ 0 if nothing is known.
  [[nodiscard]] CopySummary SummaryOf(std::uint32_t aPartition) const;
  [[nodiscard]] std::vector<std::uint32_t> Partitions() const;

  /// Tells that an entry of a copy turned out to be unreadable.
  void MarkDamaged(std::uint32_t aPartition);

  /// @return whether writing failed for good; a restart reads the disk again.
  [[nodiscard]] bool HasFailed() const;

  [[nodiscard]] bool HasRoom() const;
  /// Asks the disk for its free space now.
  void RefreshRoom();

  /// @return bytes of all segment files.
  [[nodiscard]] std::uint64_t Bytes() const;
  [[nodiscard]] std::uint64_t SyncCount() const;

  /// Makes what was requested durable, then ends the sync thread.
  void Stop();

private:
  struct State;
  explicit SegmentStore(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::joblog
