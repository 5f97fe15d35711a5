#pragma once

#include "LibJobLog/RecordFormat.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace pumiceturn::joblog {

/// Entries from a sequence on, up to the next run, that share an epoch.
struct EpochRun
{
  std::uint64_t firstSequence_ = 0;
  std::uint64_t epoch_ = 0;

  bool operator==(const EpochRun&) const = default;
};

/// What a copy holds of a partition's log, without the entries.
struct CopySummary
{
  CopyState state_;
  std::uint64_t lastSequence_ = 0;
  std::vector<EpochRun> runs_; ///< Ascending, of the entries held.
  /// Entries were lost to damage on disk, so this copy proves nothing.
  bool damaged_ = false;

  bool operator==(const CopySummary&) const = default;

  /// @return the epoch of the last entry, held or trimmed.
  [[nodiscard]] std::uint64_t LastEpoch() const;

  /// @return the epoch of an entry from firstSequence_ - 1 to lastSequence_.
  [[nodiscard]] std::uint64_t EpochAt(std::uint64_t aSequence) const;

  /// Takes in one entry; entries at and after its sequence become void.
  void Extend(std::uint64_t aSequence, std::uint64_t aEpoch);

  /// Takes over a state; entries before its first sequence are forgotten.
  void Apply(const CopyState& aState);
};

/// Where the entries of one partition lie in the segments. Eight bytes an
/// entry, in blocks of 512 bytes. Not thread-safe.
class CopyIndex
{
public:
  struct Place
  {
    std::uint32_t segment_ = 0;
    std::uint32_t offset_ = 0; ///< Of the record's header, in bytes.

    bool operator==(const Place&) const = default;
  };

  /// Receives the segment of each entry that is dropped from the index.
  using Dropped = std::function<void(std::uint32_t aSegment)>;

  void AddEntry(const RecordHeader& aHeader,
                Place aPlace,
                const Dropped& aDropped);
  void ApplyState(const CopyState& aState, const Dropped& aDropped);
  void Reset(const CopyState& aState, const Dropped& aDropped);
  void MarkDamaged() { summary_.damaged_ = true; }

  [[nodiscard]] const CopySummary& Summary() const { return summary_; }

  /// @param aSequence From firstSequence_ to lastSequence_.
  [[nodiscard]] Place PlaceOf(std::uint64_t aSequence) const;

private:
  void DropFrom(std::uint64_t aSequence, const Dropped& aDropped);
  void DropBefore(std::uint64_t aSequence, const Dropped& aDropped);

  CopySummary summary_;
  /// Of the entries from summary_.state_.firstSequence_ on.
  std::deque<Place> places_;
};

} // namespace pumiceturn::joblog
