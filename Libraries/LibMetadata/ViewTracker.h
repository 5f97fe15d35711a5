#pragma once

#include "LibBase/Time.h"
#include "LibMetadata/MirrorDelta.h"

#include <cstdint>
#include <optional>

namespace pumiceturn::metadata {

/// What a peer's report does to a copy.
enum class ReportOutcome : std::uint8_t
{
  Ignored, ///< It tells nothing that may be relied on.
  Current, ///< The copy holds all that the report is about.
  Gap,     ///< The copy lacks a change: the store must be asked.
};

/// Knows up to which revision a copy of a prefix is complete, and when the
/// store last said so, to this host or to a peer that passed it on. The
/// revision never goes back. Decides only; not thread-safe.
///
/// Times are on the clock that goes on while a machine is suspended: a peer
/// that was suspended must not pass an old view on as a fresh one.
class ViewTracker
{
public:
  /// The whole prefix was read, and what differed noted by RecordChange().
  /// @param aRevision Changes after it are not all in the copy.
  /// @param aAskedAt  When the first call was made.
  void RecordRead(std::uint64_t aRevision,
                  base::BootInstant aAskedAt,
                  base::BootInstant aNow);

  /// A change that matters went into the copy.
  void RecordChange(std::uint64_t aRevision);

  /// The store answered this host.
  /// @param aRevision Up to which the copy is complete now.
  /// @param aAskedAt  When the call was made.
  void NoteAnswer(std::uint64_t aRevision,
                  base::BootInstant aAskedAt,
                  base::BootInstant aNow);

  /// Takes in how far a peer's copy has got.
  ReportOutcome ApplyView(const MirrorView& aView, base::BootInstant aNow);

  /// @return whether the changes that a peer passes on join up with the copy.
  ///         Those after Followed() are to be applied, then RecordDelta() is
  ///         due.
  [[nodiscard]] ReportOutcome Judge(const MirrorDelta& aDelta) const;

  /// The changes that a peer passed on are in the copy.
  void RecordDelta(const MirrorView& aView, base::BootInstant aNow);

  /// This host did not run for a while. What waits to be read may be as old,
  /// so only a call that is made from now on confirms the copy.
  void MarkStale(base::BootInstant aNow);

  /// @return whether the store confirmed the copy lately.
  [[nodiscard]] bool IsConfirmed(base::Duration aFreshFor,
                                 base::BootInstant aNow) const;

  /// @return when the copy stops being confirmed, if nothing happens.
  [[nodiscard]] base::BootInstant ConfirmedUntil(base::Duration aFreshFor) const
  {
    return confirmedAt_ + aFreshFor;
  }

  /// @return the moment of which the copy surely holds all changes, wherever
  ///         an answer or a message waited since; nothing before the first.
  [[nodiscard]] std::optional<base::BootInstant> CompleteAsOf() const
  {
    return completeAsOf_;
  }

  /// @return what to tell peers, with the time since the store's last answer to
  ///         this host itself: passed on from peer to peer, ages would shrink
  ///         by the time that each message waits to be read.
  [[nodiscard]] MirrorView View(base::BootInstant aNow) const;

  [[nodiscard]] std::uint64_t Followed() const { return followed_; }

private:
  void NoteComplete(base::BootInstant aMoment);

  std::uint64_t lastChange_ = 0;
  std::uint64_t followed_ = 0;
  base::BootInstant confirmedAt_{};
  base::BootInstant answeredAt_{}; ///< By the store, to this host.
  std::optional<base::BootInstant> completeAsOf_;
  std::optional<base::BootInstant> markedStaleAt_;
};

} // namespace pumiceturn::metadata
