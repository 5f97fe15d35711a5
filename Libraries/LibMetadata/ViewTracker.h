#pragma once

#include "LibBase/Time.h"
#include "LibMetadata/MirrorDelta.h"

#include <cstdint>
#include <optional>

namespace pumiceturn::metadata {

/// How a peer's report relates to the copy.
enum class ReportOutcome : std::uint8_t
{
  Ignored, ///< The report can't be used.
  Usable,  ///< The report follows on from the copy without a gap.
  Gap,     ///< The copy lacks a change: the store must be queried.
};

/// Tracks up to which revision a copy of a prefix is complete, and when the
/// store last confirmed it, to this host or to a peer that reported it. The
/// revision never decreases. Performs no I/O. Not thread-safe.
///
/// Times are on the clock that advances while a machine is suspended: a peer
/// that was suspended must not report an old view as a recent one.
class ViewTracker
{
public:
  /// Records that the whole prefix was read, after RecordChange() was called
  /// for each difference.
  /// @param aRevision The copy may lack changes after this revision.
  /// @param aRequestedAt When the first call was made.
  void RecordRead(std::uint64_t aRevision,
                  base::BootInstant aRequestedAt,
                  base::BootInstant aNow);

  /// Records a first read of the whole prefix that may be older than the call.
  /// Doesn't confirm the copy.
  /// @param aRevision As for RecordRead().
  void RecordStaleRead(std::uint64_t aRevision);

  /// Records that a relevant change was applied to the copy.
  void RecordChange(std::uint64_t aRevision);

  /// Records a response of the store to this host.
  /// @param aRevision The copy is complete up to this revision.
  /// @param aRequestedAt When the call was made.
  void RecordResponse(std::uint64_t aRevision,
                      base::BootInstant aRequestedAt,
                      base::BootInstant aNow);

  /// Applies the reported state of a peer's copy.
  ReportOutcome ApplyView(const MirrorView& aView, base::BootInstant aNow);

  /// Checks whether a peer's changes follow on from the copy without a gap.
  /// @return Usable if the caller should apply those after FollowedRevision()
  ///         and then call RecordDelta().
  [[nodiscard]] ReportOutcome CheckDelta(const MirrorDelta& aDelta) const;

  /// Records that the changes of a peer were applied.
  void RecordDelta(const MirrorView& aView, base::BootInstant aNow);

  /// Called after this host was suspended. Messages still to be read may have
  /// been sent before that, so only a call made from now on confirms the copy.
  void MarkStale(base::BootInstant aNow);

  /// @return whether the store confirmed the copy within aLifetime.
  [[nodiscard]] bool IsConfirmed(base::Duration aLifetime,
                                 base::BootInstant aNow) const;

  /// @return when the confirmation expires unless it is renewed.
  [[nodiscard]] base::BootInstant ConfirmedUntil(base::Duration aLifetime) const
  {
    return confirmedAt_ + aLifetime;
  }

  /// @return the latest time such that the copy is known to include all changes
  ///         made before it, however late the response or message arrived that
  ///         showed this; empty before the first read.
  [[nodiscard]] std::optional<base::BootInstant> CompleteAsOf() const
  {
    return completeAsOf_;
  }

  /// @return the view to send to peers. Its age counts from the store's last
  ///         response to this host directly: if ages were passed on from peer
  ///         to peer, they would shrink by the time each message waits to be
  ///         read.
  [[nodiscard]] MirrorView View(base::BootInstant aNow) const;

  [[nodiscard]] std::uint64_t FollowedRevision() const
  {
    return followedRevision_;
  }

private:
  void RecordComplete(base::BootInstant aMoment);

  std::uint64_t lastChangeRevision_ = 0;
  std::uint64_t followedRevision_ = 0;
  base::BootInstant confirmedAt_ = base::BootInstant::min();
  /// Time of the store's last response to this host.
  base::BootInstant respondedAt_{};
  std::optional<base::BootInstant> completeAsOf_;
  std::optional<base::BootInstant> markedStaleAt_;
};

} // namespace pumiceturn::metadata
