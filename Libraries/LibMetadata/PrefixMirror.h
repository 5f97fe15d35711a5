#pragma once

#include "LibBase/Lifetime.h"
#include "LibMetadata/MirrorDelta.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"
#include "LibMetadata/ViewTracker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pumiceturn::metadata {

/// Keeps a copy of all keys below a prefix: reads them page by page, then
/// follows the changes, and reads anew where the store has dropped the history.
///
/// Each call to the store is counted and charged, so that few hosts follow it
/// by watches and pass what changed on to the others (SetFollows, ApplyDelta,
/// ApplyView). A host whose copy nobody has confirmed for a while asks the
/// store itself. Belongs to the event thread.
class PrefixMirror
{
public:
  struct Options
  {
    std::string prefix_;
    /// A follower's.
    base::Duration maxWatch_{ std::chrono::seconds{ 1 } };
    /// Pause after a follower's watch that brought changes: one watch brings
    /// the changes of a whole interval.
    base::Duration pause_{ std::chrono::milliseconds{ 250 } };
    /// Pause after a failed call.
    base::Duration retryPause_{ std::chrono::milliseconds{ 250 } };
    /// How long a copy that the store confirmed, to this host or to a follower,
    /// is relied on without asking.
    base::Duration freshFor_{ std::chrono::seconds{ 1 } };
  };

  /// Called for each key that appears, changes, or is removed.
  /// @return whether it matters to anyone: what is registered again unchanged
  ///         isn't passed on.
  using ChangeHandler = std::function<bool(const StoreItem&)>;

  /// Called with changes that the store told a follower.
  using DeltaHandler = std::function<void(const MirrorDelta&)>;

  PrefixMirror(boost::asio::io_context& aContext,
               StoreClient& aClient,
               StoreHealth& aHealth,
               Options aOptions,
               ChangeHandler aOnChange);

  void SetOnDelta(DeltaHandler aHandler) { onDelta_ = std::move(aHandler); }

  void Start() { ReadPage({}); }

  /// This host begins or ceases to follow the prefix for its peers.
  void SetFollows(bool aFollows);
  [[nodiscard]] bool Follows() const { return follows_; }

  /// Sets how long a confirmed copy is relied on.
  void SetFreshness(base::Duration aFreshFor)
  {
    options_.freshFor_ = aFreshFor;
  }

  /// Takes in how far a follower's copy has got.
  /// @param aCatchUpAfter When to ask the store, if the copy lacks something:
  ///                      spread, as all hosts learn of it at once.
  void ApplyView(const MirrorView& aView, base::Duration aCatchUpAfter);

  /// Takes in what a follower passes on.
  void ApplyDelta(const MirrorDelta& aDelta, base::Duration aCatchUpAfter);

  /// This host did not run for a while: asks the store before it relies on what
  /// peers say.
  void MarkStale();

  /// @return whether the prefix has been read once.
  [[nodiscard]] bool IsComplete() const { return complete_; }

  /// @return the moment of which the copy surely holds all changes.
  [[nodiscard]] std::optional<base::BootInstant> CompleteAsOf() const
  {
    return tracker_.CompleteAsOf();
  }

  /// @return how far the copy has got, for peers.
  [[nodiscard]] MirrorView View() const
  {
    return tracker_.View(base::BootNow());
  }

private:
  enum class Phase : std::uint8_t
  {
    Reading, ///< The whole prefix.
    Waiting, ///< For the next call.
    Calling, ///< A watch is under way.
  };

  void ReadPage(const std::string& aAfter);
  void OnPage(RangeResponse aResponse);
  void FinishReading();
  void Watch();
  void OnWatch(const WatchResponse& aResponse, base::BootInstant aAskedAt);

  /// Makes the next call if it is due, otherwise waits on.
  void Continue();
  void WaitFor(base::Duration aPause);
  void CatchUp(base::Duration aAfter);

  /// @return whether the change matters.
  bool Apply(const StoreItem& aItem);
  void PassOn(std::uint64_t aPreviousChange, std::vector<StoreItem> aChanges);
  void After(base::Duration aPause, void (PrefixMirror::*aStep)());
  void Restart() { ReadPage({}); }

  StoreClient& client_;
  StoreHealth& health_;
  Options options_;
  ChangeHandler onChange_;
  DeltaHandler onDelta_ = [](const MirrorDelta&) {};
  boost::asio::steady_timer timer_;
  ViewTracker tracker_;
  std::unordered_map<std::string, std::uint64_t> revisions_;
  std::vector<StoreItem> pages_; ///< Read so far.
  std::optional<std::uint64_t> readRevision_;
  base::BootInstant readBegan_;
  Phase phase_ = Phase::Reading;
  bool complete_ = false;
  bool follows_ = false;
  bool isCatchingUp_ = false; ///< The store is to be asked though confirmed.
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::metadata
