#pragma once

#include "LibBase/Time.h"
#include "LibBatch/BatchJob.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pumiceturn::batch {

/// The outcome of an attempt to run an item.
enum class ItemAttemptOutcome : std::uint8_t
{
  Completed,
  Failed,      ///< The endpoint reported an error.
  Rejected,    ///< The endpoint rejected the item permanently.
  NotRun,      ///< Not reached, or refused before the item ran.
  Interrupted, ///< The stream was interrupted.
  Silent,      ///< Ended by this host, as nothing arrived.
  Unconfirmed, ///< Ended in order, but the output may not be whole.
  Preempted,   ///< Cancelled in favour of online work.
};

/// Limits that the job's route sets for its items.
struct ItemLimits
{
  /// Number of failures after which an item is abandoned.
  std::uint32_t maxAttempts_ = 1;
  /// When the results should be readable.
  base::Instant dueAt_ = base::Instant::max();
  /// When items that are not running are abandoned.
  base::Instant abandonAt_ = base::Instant::max();
};

/// Tracks the items of a job: which may start, which are running and which are
/// done. Used by the job's owner only. Not thread-safe.
class ItemSchedule
{
public:
  /// Attempts that were interrupted before a new event, and whose endpoint may
  /// have crashed, from which on an item counts as interrupted repeatedly.
  /// Interruptions that the endpoint survived don't count.
  static constexpr std::size_t kManyCrashes = 3;

  /// Returns whether an endpoint is known to have been alive after a given
  /// time.
  using HasSurvived =
    std::function<bool(const std::string& aEndpoint, base::Instant aTime)>;

  /// Delay before an item is retried after an interruption or an error, so that
  /// it isn't sent straight back to the fault that ended its attempt.
  /// Doubles with each interruption before a new event, up to kMaxRetryDelay,
  /// so that an item outlasts a burst of crashes: it is owed however often its
  /// endpoints crash.
  static constexpr base::Duration kRetryDelay{ std::chrono::milliseconds{
    200 } };
  static constexpr base::Duration kMaxRetryDelay{ std::chrono::milliseconds{
    3200 } };

  /// Delay before an item is retried after an attempt that did not run it.
  static constexpr base::Duration kNotRunDelay{ std::chrono::milliseconds{
    100 } };

  ItemSchedule(const BatchJob& aJob, ItemLimits aLimits);

  void SetLimits(const ItemLimits& aLimits) { limits_ = aLimits; }
  [[nodiscard]] const ItemLimits& Limits() const { return limits_; }

  /// @return the indices of the items that may start now.
  [[nodiscard]] std::vector<std::size_t> StartableItems(
    base::Instant aNow,
    const HasSurvived& aHasSurvived);

  /// @return the number of items that aren't done and aren't running.
  [[nodiscard]] std::size_t WaitingCount() const;

  [[nodiscard]] std::uint64_t TokensOf(std::size_t aItem) const
  {
    return items_[aItem].tokens_;
  }

  /// @return the output from which the next attempt resumes.
  [[nodiscard]] const PartialOutput& ProgressOf(std::size_t aItem) const
  {
    return items_[aItem].progress_;
  }

  /// @return when a waiting item could first start; the epoch if it never ran
  ///   here.
  [[nodiscard]] base::Instant WaitingSince(std::size_t aItem) const
  {
    return items_[aItem].notBefore_;
  }

  /// @return whether endpoints may have crashed repeatedly under the item
  /// before
  ///         it got a new event.
  [[nodiscard]] bool WasInterruptedRepeatedly(std::size_t aItem) const
  {
    return items_[aItem].possibleCrashes_.size() >= kManyCrashes;
  }

  /// @return how often an item has failed.
  [[nodiscard]] std::uint32_t FailuresOf(std::size_t aItem) const
  {
    return items_[aItem].failures_.count_;
  }

  /// Discards the output so far: the next attempt starts from the beginning.
  void DiscardProgress(std::size_t aItem) { items_[aItem].progress_ = {}; }

  /// Records the start of an attempt at an endpoint.
  void Start(std::size_t aItem, const std::string& aEndpoint);

  /// Records the end of an attempt.
  /// @param aProgress All events so far, including those of earlier attempts.
  /// @return the item's result if the item is now done.
  std::optional<ItemResult> End(std::size_t aItem,
                                ItemAttemptOutcome aOutcome,
                                PartialOutput aProgress,
                                base::Instant aNow);

  /// @return the failures of all items.
  [[nodiscard]] FailureCounts Failures() const;

  /// Records which failures are stored. An item isn't started again before its
  /// own are, so that its next owner can't run it more often than it should.
  void RecordFailuresStored(const FailureCounts& aStored);

  /// Ends the waiting items that failed as often as they may, or were rejected,
  /// at earlier owners. The limits must be those of the job's route.
  /// @return their results.
  std::vector<ItemResult> FinishFailed();

  /// Abandons all waiting items once abandonAt_ has passed.
  /// @return their results.
  std::vector<ItemResult> AbandonWaiting(base::Instant aNow);

  /// @return the total number of tokens of all waiting and running items.
  [[nodiscard]] std::uint64_t UnfinishedTokens() const;

  /// @return the partial outputs of items without a result, by item ID, for the
  ///   next owner.
  [[nodiscard]] std::unordered_map<std::string, PartialOutput> Progress() const;

private:
  enum class Phase : std::uint8_t
  {
    Waiting,
    Running,
    Done,
  };
  struct InterruptedAttempt
  {
    std::string endpoint_;
    base::Instant interruptedAt_;
  };
  struct Item
  {
    std::string id_;
    std::uint64_t tokens_ = 0;
    Phase phase_ = Phase::Waiting;
    PartialOutput progress_;
    ItemFailures failures_;
    bool hasUnstoredFailure_ = false;
    std::string endpoint_; ///< Endpoint of the current attempt.
    std::vector<InterruptedAttempt>
      possibleCrashes_; ///< Interruptions at endpoints not known to have
                        ///< survived.
    base::Instant notBefore_;
  };

  [[nodiscard]] bool HasFailedForGood(const Item& aItem) const;
  ItemResult Finish(Item& aItem, ItemState aState, std::string aOutput);
  void Postpone(Item& aItem, base::Duration aDelay, base::Instant aNow);
  void RecordPossibleCrash(Item& aItem, base::Instant aNow);

  ItemLimits limits_;
  std::vector<Item> items_;
  bool hasFailures_ = false; ///< Any item has.
};

} // namespace pumiceturn::batch
