#include "LibBatch/ItemSchedule.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pumiceturn::batch {

ItemSchedule::ItemSchedule(const BatchJob& aJob, ItemLimits aLimits)
  : limits_(aLimits)
{
  assert(aJob.items_);
  std::unordered_set<std::string> itemsWithResult;
  for (const ItemResult& result : aJob.results_) {
    itemsWithResult.insert(result.item_);
  }
  for (const BatchItem& batchItem : *aJob.items_) {
    Item item;
    item.id_ = batchItem.id_;
    item.tokens_ = batchItem.tokens_;
    if (itemsWithResult.contains(batchItem.id_)) {
      item.phase_ = Phase::Done;
    }
    if (const auto found = aJob.progress_.find(batchItem.id_);
        found != aJob.progress_.end()) {
      item.progress_ = found->second;
    }
    if (const auto found = aJob.failures_.find(batchItem.id_);
        found != aJob.failures_.end()) {
      item.failures_ = found->second;
      hasFailures_ = true;
    }
    items_.push_back(std::move(item));
  }
}

std::vector<std::size_t>
ItemSchedule::StartableItems(base::Instant aNow,
                             const HasSurvived& aHasSurvived)
{
  std::vector<std::size_t> startable;
  for (std::size_t index = 0; index < items_.size(); ++index) {
    Item& item = items_[index];
    if (item.phase_ != Phase::Waiting || item.notBefore_ > aNow ||
        item.hasUnstoredFailure_) {
      continue;
    }
    std::erase_if(item.possibleCrashes_,
                  [&aHasSurvived](const InterruptedAttempt& aAttempt) {
                    return aHasSurvived(aAttempt.endpoint_,
                                        aAttempt.interruptedAt_);
                  });
    startable.push_back(index);
  }
  return startable;
}

void
ItemSchedule::Start(std::size_t aItem, const std::string& aEndpoint)
{
  assert(items_[aItem].phase_ == Phase::Waiting);
  items_[aItem].endpoint_ = aEndpoint;
  items_[aItem].phase_ = Phase::Running;
}

std::optional<ItemResult>
ItemSchedule::End(std::size_t aItem,
                  ItemAttemptOutcome aOutcome,
                  PartialOutput aProgress,
                  base::Instant aNow)
{
  Item& item = items_[aItem];
  if (item.phase_ != Phase::Running) {
    return std::nullopt;
  }
  const bool hasAdvanced = aProgress.lastEvent_ > item.progress_.lastEvent_;
  item.progress_ = std::move(aProgress);
  switch (aOutcome) {
    case ItemAttemptOutcome::Completed:
      return Finish(
        item, ItemState::Completed, std::move(item.progress_.output_));
    case ItemAttemptOutcome::Rejected:
    case ItemAttemptOutcome::Failed:
      hasFailures_ = true;
      if (aOutcome == ItemAttemptOutcome::Rejected) {
        item.failures_.isRejected_ = true;
      } else {
        ++item.failures_.count_;
      }
      if (HasFailedForGood(item)) {
        return Finish(item, ItemState::Errored, {});
      }
      item.hasUnstoredFailure_ = true;
      Postpone(item, kRetryDelay, aNow);
      break;
    case ItemAttemptOutcome::NotRun:
      Postpone(item, kNotRunDelay, aNow);
      break;
    case ItemAttemptOutcome::Interrupted:
      if (hasAdvanced) {
        item.possibleCrashes_.clear();
        Postpone(item, kRetryDelay, aNow);
      } else {
        RecordPossibleCrash(item, aNow);
      }
      break;
    case ItemAttemptOutcome::Silent:
    case ItemAttemptOutcome::Unconfirmed:
      // Unlike connections that break off, these don't suggest a crash.
      Postpone(item, kRetryDelay, aNow);
      break;
    case ItemAttemptOutcome::Preempted:
      Postpone(item, base::Duration::zero(), aNow);
      break;
  }
  return std::nullopt;
}

ItemResult
ItemSchedule::Finish(Item& aItem, ItemState aState, std::string aOutput)
{
  aItem.phase_ = Phase::Done;
  return { aItem.id_, aState, std::move(aOutput) };
}

void
ItemSchedule::Postpone(Item& aItem, base::Duration aDelay, base::Instant aNow)
{
  aItem.phase_ = Phase::Waiting;
  aItem.notBefore_ = aNow + aDelay;
}

void
ItemSchedule::RecordPossibleCrash(Item& aItem, base::Instant aNow)
{
  // Enough for the longest delay.
  constexpr std::size_t kMaxRemembered = 8;
  base::Duration delay = kRetryDelay;
  for (std::size_t crash = 0; crash < aItem.possibleCrashes_.size(); ++crash) {
    delay = std::min(delay * 2, kMaxRetryDelay);
  }
  if (aItem.possibleCrashes_.size() >= kMaxRemembered) {
    aItem.possibleCrashes_.erase(aItem.possibleCrashes_.begin());
  }
  aItem.possibleCrashes_.push_back({ aItem.endpoint_, aNow });
  Postpone(aItem, delay, aNow);
}

bool
ItemSchedule::HasFailedForGood(const Item& aItem) const
{
  return aItem.failures_.isRejected_ ||
         aItem.failures_.count_ >= limits_.maxAttempts_;
}

FailureCounts
ItemSchedule::Failures() const
{
  FailureCounts failures;
  for (const Item& item : items_) {
    if (item.failures_ != ItemFailures{}) {
      failures.emplace(item.id_, item.failures_);
    }
  }
  return failures;
}

void
ItemSchedule::RecordFailuresStored(const FailureCounts& aStored)
{
  for (Item& item : items_) {
    const auto stored = aStored.find(item.id_);
    if (stored != aStored.end() &&
        stored->second.count_ >= item.failures_.count_) {
      item.hasUnstoredFailure_ = false;
    }
  }
}

std::vector<ItemResult>
ItemSchedule::FinishFailed()
{
  std::vector<ItemResult> results;
  if (!hasFailures_) {
    return results;
  }
  for (Item& item : items_) {
    if (item.phase_ == Phase::Waiting && HasFailedForGood(item)) {
      results.push_back(Finish(item, ItemState::Errored, {}));
    }
  }
  return results;
}

std::vector<ItemResult>
ItemSchedule::AbandonWaiting(base::Instant aNow)
{
  std::vector<ItemResult> results;
  if (aNow < limits_.abandonAt_) {
    return results;
  }
  for (Item& item : items_) {
    if (item.phase_ == Phase::Waiting) {
      results.push_back(Finish(item, ItemState::Errored, {}));
    }
  }
  return results;
}

std::size_t
ItemSchedule::WaitingCount() const
{
  return static_cast<std::size_t>(
    std::count_if(items_.begin(), items_.end(), [](const Item& aItem) {
      return aItem.phase_ == Phase::Waiting;
    }));
}

std::uint64_t
ItemSchedule::UnfinishedTokens() const
{
  std::uint64_t tokens = 0;
  for (const Item& item : items_) {
    tokens += item.phase_ == Phase::Done ? 0 : item.tokens_;
  }
  return tokens;
}

std::unordered_map<std::string, PartialOutput>
ItemSchedule::Progress() const
{
  std::unordered_map<std::string, PartialOutput> progress;
  for (const Item& item : items_) {
    if (item.phase_ != Phase::Done && item.progress_.lastEvent_ > 0) {
      progress.emplace(item.id_, item.progress_);
    }
  }
  return progress;
}

} // namespace pumiceturn::batch
