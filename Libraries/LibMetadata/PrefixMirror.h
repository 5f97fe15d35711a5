#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/RestartableTimer.h"
#include "LibMetadata/MirrorDelta.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"
#include "LibMetadata/ViewTracker.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::metadata {

/// Keeps a copy of all keys below a prefix: reads them page by page, then
/// follows the changes, and reads the prefix again if the store has dropped its
/// history.
///
/// Each call to the store is counted and charged, so only a few hosts watch the
/// prefix; they send the changes to the others (SetFollows, ApplyDelta,
/// ApplyView). A host whose copy was not confirmed for a while queries the
/// store itself. Used on the event thread only.
class PrefixMirror
{
public:
  struct Options
  {
    std::string prefix_;
    /// Maximum duration of a follower's watch.
    base::Duration maxWatchWait_{ std::chrono::seconds{ 1 } };
    /// Pause after a follower's watch that returned changes, so that the next
    /// watch returns the changes of a whole interval.
    base::Duration pauseAfterChanges_{ std::chrono::milliseconds{ 250 } };
    /// Pause after a failed call.
    base::Duration retryPause_{ std::chrono::milliseconds{ 250 } };
    /// How long a copy is used without a query after the store confirmed it, to
    /// this host or to a follower.
    base::Duration freshnessLifetime_{ std::chrono::seconds{ 1 } };
    /// Consistency of the first read. A copy that may be stale is confirmed
    /// like any other before it counts as recent.
    ReadConsistency firstRead_ = ReadConsistency::Linearizable;
    /// How long a follower may take to confirm a copy that may be stale before
    /// the store is queried.
    base::Duration confirmationWait_{ std::chrono::seconds{ 2 } };
  };

  /// Called for each key that is added, changed, or removed.
  /// @return whether the change is relevant; an unchanged registration that is
  ///         written again isn't, and isn't forwarded.
  using ChangeHandler = std::function<bool(const StoreItem&)>;

  /// Called with the changes that the store reported to a follower.
  using DeltaHandler = std::function<void(const MirrorDelta&)>;

  PrefixMirror(boost::asio::io_context& aContext,
               StoreClient& aClient,
               StoreHealth& aHealth,
               Options aOptions,
               ChangeHandler aOnChange);

  void SetOnDelta(DeltaHandler aHandler) { onDelta_ = std::move(aHandler); }

  void Start() { Read(options_.firstRead_); }

  /// Sets whether this host follows the prefix for its peers.
  void SetFollows(bool aFollows);
  [[nodiscard]] bool Follows() const { return follows_; }

  /// Sets how long a copy is used after it was confirmed.
  void SetFreshnessLifetime(base::Duration aLifetime)
  {
    options_.freshnessLifetime_ = aLifetime;
  }

  /// Applies the reported state of a follower's copy.
  /// @param aCatchUpAfter Delay before the store is queried if the copy lacks a
  ///        change. Random, since all hosts notice it at the same time.
  void ApplyView(const MirrorView& aView, base::Duration aCatchUpAfter);

  /// Applies changes sent by a follower.
  /// @param aCatchUpAfter As for ApplyView().
  void ApplyDelta(const MirrorDelta& aDelta, base::Duration aCatchUpAfter);

  /// Queries the store now, unless a call is in progress.
  void CatchUpNow();

  /// Called after this host was suspended: the store is queried
  /// before reports of peers are used again.
  void MarkStale();

  /// @return whether the prefix was read completely at least once.
  [[nodiscard]] bool IsComplete() const { return isComplete_; }

  /// @return the latest time such that the copy is known to include all changes
  ///         made before it; empty before the first read.
  [[nodiscard]] std::optional<base::BootInstant> CompleteAsOf() const
  {
    return tracker_.CompleteAsOf();
  }

  /// @return the state of the copy, to send to peers.
  [[nodiscard]] MirrorView View() const
  {
    return tracker_.View(base::BootNow());
  }

private:
  enum class Phase : std::uint8_t
  {
    Reading,  ///< Reading the whole prefix.
    Waiting,  ///< Waiting for the next call.
    Watching, ///< A watch is in progress.
  };

  void Read(ReadConsistency aConsistency);
  void ReadPage(const std::string& aAfter);
  void OnPage(RangeResponse aResponse);
  void FinishReading();
  void Watch();
  void OnWatch(const WatchResponse& aResponse, base::BootInstant aRequestedAt);

  /// Makes the next call if it is due; otherwise keeps waiting.
  void Continue();
  void WaitFor(base::Duration aPause);

  /// Queries the store after a delay, unless a delta brings the copy up to
  /// aRevision before that.
  void CatchUp(std::uint64_t aRevision, base::Duration aAfter);

  /// @return whether the change is relevant.
  bool Apply(const StoreItem& aItem);
  void ForwardChanges(std::uint64_t aPreviousChange,
                      std::vector<StoreItem> aChanges);
  void Schedule(base::Duration aPause, void (PrefixMirror::*aStep)());
  void Restart() { Read(ReadConsistency::Linearizable); }

  StoreClient& client_;
  StoreHealth& health_;
  Options options_;
  ChangeHandler onChange_;
  DeltaHandler onDelta_ = [](const MirrorDelta&) {};
  /// At most one call or wait is pending at a time; overlapping reads would
  /// mix their pages.
  base::RestartableTimer timer_;
  ViewTracker tracker_;
  std::unordered_map<std::string, std::uint64_t> revisions_;
  std::vector<StoreItem> readItems_; ///< Items of the current read so far.
  std::optional<std::uint64_t> readRevision_;
  base::BootInstant readStartedAt_;
  ReadConsistency readConsistency_ = ReadConsistency::Linearizable;
  Phase phase_ = Phase::Reading;
  bool isComplete_ = false;
  bool follows_ = false;
  /// A query is scheduled because the copy lacks a change.
  bool isCatchingUp_ = false;
  std::uint64_t neededRevision_ = 0; ///< Up to which the copy lacks a change.
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::metadata
