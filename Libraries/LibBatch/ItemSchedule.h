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

/// How a run of an item ended.
enum class ItemAttemptOutcome : std::uint8_t
{
  Completed,
  Failed,     ///< The endpoint reported an error of its own.
  Impossible, ///< The endpoint says that the item can never be done.
  NotRun,     ///< The endpoint had no place.
  Broken,     ///< The stream broke off.
  Preempted,  ///< Cancelled here, for online work.
};

/// What a job's route says of its items.
struct ItemLimits
{
  std::uint32_t maxAttempts_ = 1; ///< Failures after which an item is given up.
  base::Instant dueAt_ = base::Instant::max();
  base::Instant giveUpAt_ = base::Instant::max();
};

/// Decides which item of a job runs next, and what becomes of it when its run
/// ends. For the job's owner alone; takes the time as an argument. Not
/// thread-safe.
class ItemSchedule
{
public:
  /// Endpoints that ended with an item's run, without a new event, after which
  /// the item is held until it is given up: a request that crashes each
  /// endpoint that runs it would take the whole fleet down. An endpoint that
  /// lived on doesn't count: it only reset the connection.
  static constexpr std::size_t kMaxCrashes = 3;

  /// Tells whether an endpoint lived on after a moment.
  using HasSurvived =
    std::function<bool(const std::string& aEndpoint, base::Instant aMoment)>;

  /// Pause after a break or an error, so that an item doesn't go straight back
  /// to the trouble that ended its run.
  static constexpr base::Duration kRetryPause{ std::chrono::milliseconds{
    200 } };

  /// Pause after an endpoint had no place.
  static constexpr base::Duration kNoSlotPause{ std::chrono::milliseconds{
    100 } };

  ItemSchedule(const BatchJob& aJob, ItemLimits aLimits);

  void SetLimits(const ItemLimits& aLimits) { limits_ = aLimits; }
  [[nodiscard]] const ItemLimits& Limits() const { return limits_; }

  /// @return the indices of the items that may start now.
  [[nodiscard]] std::vector<std::size_t> StartableItems(
    base::Instant aNow,
    const HasSurvived& aHasLivedOn);

  [[nodiscard]] std::uint64_t TokensOf(std::size_t aItem) const
  {
    return items_[aItem].tokens_;
  }

  /// @return what a run of the item goes on from.
  [[nodiscard]] const PartialOutput& ProgressOf(std::size_t aItem) const
  {
    return items_[aItem].progress_;
  }

  void Start(std::size_t aItem, const std::string& aEndpoint);

  /// Records the end of a run.
  /// @param aProgress All events so far, those of earlier runs included.
  /// @return the item's result, if it now has one.
  std::optional<ItemResult> End(std::size_t aItem,
                                ItemAttemptOutcome aEnd,
                                PartialOutput aProgress,
                                base::Instant aNow);

  /// Gives up what has waited too long and doesn't run.
  std::vector<ItemResult> GiveUp(base::Instant aNow);

  /// @return the tokens of all items that have no result.
  [[nodiscard]] std::uint64_t WaitingTokens() const;

  /// @return partial runs of items without a result, for the next owner.
  [[nodiscard]] std::unordered_map<std::string, PartialOutput> Progress() const;

private:
  enum class Phase : std::uint8_t
  {
    Waiting,
    Running,
    Done,
  };
  struct Break
  {
    std::string endpoint_;
    base::Instant at_;
  };
  struct Item
  {
    std::string id_;
    std::uint64_t tokens_ = 0;
    Phase phase_ = Phase::Waiting;
    PartialOutput progress_;
    std::uint32_t failures_ = 0;
    std::string endpoint_;       ///< Of the run.
    std::vector<Break> crashes_; ///< Not disproved yet.
    base::Instant notBefore_;
  };

  ItemResult Finish(Item& aItem, ItemState aState, std::string aOutput);
  void Postpone(Item& aItem, base::Duration aPause, base::Instant aNow);

  ItemLimits limits_;
  std::vector<Item> items_;
};

} // namespace pumiceturn::batch
