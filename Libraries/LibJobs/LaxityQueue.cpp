#include "LibJobs/LaxityQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pumiceturn::jobs {

namespace {

/// Weight of a new sample in the moving averages. A larger factor follows
/// changes faster, but also single outliers.
constexpr double kSmoothingFactor = 0.1;
constexpr double kMinServiceTimeMs = 0.1;
constexpr double kMicrosecondsPerMs = 1000.0;

/// The order is rebuilt when the measured time per item differs by this factor
/// from the one used for the current order. A rebuild visits every job, and a
/// small difference rarely changes the order.
constexpr double kRebuildDrift = 1.5;

/// Maximum number of jobs that a rebuild visits per item removed since the last
/// rebuild. Bounds the amortised cost when the time per item fluctuates.
constexpr std::uint64_t kMaxRebuiltJobsPerPop = 4;

/// Maximum number of consecutive selections that may go to urgent jobs after a
/// time without any.
constexpr double kMaxUrgentAllowance = 8.0;

} // namespace

LaxityQueue::LaxityQueue()
  : LaxityQueue(Options{})
{
}

LaxityQueue::LaxityQueue(Options aOptions)
  : options_(aOptions)
  , serviceMs_(static_cast<double>(aOptions.initialServiceTime_.count()) /
               kMicrosecondsPerMs)
  , orderedByMsPerItem_(serviceMs_)
{
}

void
LaxityQueue::Add(const base::JobId& aJob,
                 std::string_view aPartner,
                 std::uint32_t aWeight,
                 std::int64_t aDueUnixMs,
                 std::uint32_t aItems)
{
  if (aItems == 0) {
    return;
  }
  const auto [found, isNew] = queuedJobs_.try_emplace(aJob);
  QueuedJob& queued = found->second;
  if (isNew) {
    queued.partner_ = FindOrAddPartner(aPartner, aWeight);
    queued.dueUnixMs_ = aDueUnixMs;
    queued.latestStart_ = LatestStartOf(queued);
  }
  waiting_ += aItems;
  SetItemCount(aJob, queued, queued.items_ + aItems);
}

void
LaxityQueue::Remove(const base::JobId& aJob)
{
  const auto found = queuedJobs_.find(aJob);
  if (found == queuedJobs_.end()) {
    return;
  }
  waiting_ -= found->second.items_;
  SetItemCount(aJob, found->second, 0);
}

std::optional<Selection>
LaxityQueue::Pop(std::int64_t aNowUnixMs)
{
  if (partnersByServiceTime_.empty()) {
    return std::nullopt;
  }
  RebuildIfDrifted();
  const std::size_t partners = partnersByServiceTime_.size();
  std::uint32_t index = 0;
  const SelectionReason reason = SelectPartner(aNowUnixMs, index);
  Partner& partner = partners_[index];
  const base::JobId job = partner.jobs_.begin()->second;
  QueuedJob& queued = queuedJobs_.at(job);
  const Selection selection{ job,           partner.name_,
                             reason,        queued.latestStart_ - aNowUnixMs,
                             queued.items_, partners };
  if (reason == SelectionReason::Share) {
    virtualTime_ = std::max(virtualTime_, partner.normalisedServiceTime_);
  }
  UnindexPartner(index);
  partner.normalisedServiceTime_ += serviceMs_ / partner.weight_;
  IndexPartner(index);
  --waiting_;
  ++poppedSinceRebuild_;
  SetItemCount(job, queued, queued.items_ - 1);
  return selection;
}

SelectionReason
LaxityQueue::SelectPartner(std::int64_t aNowUnixMs, std::uint32_t& aPartner)
{
  aPartner = partnersByServiceTime_.begin()->second;
  const auto& [latestStart, urgent] = *partnersByUrgency_.begin();
  const bool isUrgent = latestStart - aNowUnixMs < options_.urgentLaxityMs_;
  urgentAllowance_ =
    std::min(urgentAllowance_ + options_.urgentShare_, kMaxUrgentAllowance);
  if (!isUrgent || urgent == aPartner || urgentAllowance_ < 1.0) {
    return SelectionReason::Share;
  }
  urgentAllowance_ -= 1.0;
  aPartner = urgent;
  return SelectionReason::Urgent;
}

void
LaxityQueue::RecordServiceTime(base::Duration aTime)
{
  const double measured = std::max(
    static_cast<double>(aTime.count()) / kMicrosecondsPerMs, kMinServiceTimeMs);
  serviceMs_ += kSmoothingFactor * (measured - serviceMs_);
}

void
LaxityQueue::RecordParallelism(std::uint32_t aRunning)
{
  const double measured = std::max<double>(aRunning, 1.0);
  parallelism_ += kSmoothingFactor * (measured - parallelism_);
}

std::uint32_t
LaxityQueue::WaitingOf(const base::JobId& aJob) const
{
  const auto found = queuedJobs_.find(aJob);
  return found == queuedJobs_.end() ? 0 : found->second.items_;
}

std::optional<std::int64_t>
LaxityQueue::MinLaxityMs(std::int64_t aNowUnixMs) const
{
  if (partnersByUrgency_.empty()) {
    return std::nullopt;
  }
  return partnersByUrgency_.begin()->first - aNowUnixMs;
}

std::int64_t
LaxityQueue::WorkMs(double aItems) const
{
  // Even with many concurrent runs, an item takes at least one service time.
  const double shared = aItems * serviceMs_ / parallelism_;
  return static_cast<std::int64_t>(std::max(shared, serviceMs_));
}

double
LaxityQueue::ShareOf(std::uint32_t aPartner) const
{
  double weights = 0.0;
  for (const auto& [served, index] : partnersByServiceTime_) {
    weights += partners_[index].weight_;
  }
  return weights == 0.0 ? 1.0 : partners_[aPartner].weight_ / weights;
}

std::int64_t
LaxityQueue::ExpectedDurationMs(const base::JobId& aJob,
                                std::uint32_t aRunning) const
{
  const auto found = queuedJobs_.find(aJob);
  if (found == queuedJobs_.end()) {
    return WorkMs(aRunning);
  }
  const std::uint32_t partner = found->second.partner_;
  double items = aRunning;
  for (const auto& [latestStart, job] : partners_[partner].jobs_) {
    items += queuedJobs_.at(job).items_;
    if (job == aJob) {
      break;
    }
  }
  return WorkMs(items / ShareOf(partner));
}

LaxityQueue::LatestStart
LaxityQueue::LatestStartOf(const QueuedJob& aQueued) const
{
  const double work =
    std::max(orderedByMsPerItem_ * aQueued.items_, serviceMs_);
  return aQueued.dueUnixMs_ - static_cast<std::int64_t>(work);
}

std::uint32_t
LaxityQueue::FindOrAddPartner(std::string_view aName, std::uint32_t aWeight)
{
  const auto found = partnerIndex_.find(aName);
  if (found != partnerIndex_.end()) {
    partners_[found->second].weight_ = std::max(aWeight, 1U);
    return found->second;
  }
  const auto index = static_cast<std::uint32_t>(partners_.size());
  partners_.push_back({ std::string(aName), std::max(aWeight, 1U), 0.0, {} });
  partnerIndex_.emplace(aName, index);
  return index;
}

void
LaxityQueue::IndexPartner(std::uint32_t aPartner)
{
  const Partner& partner = partners_[aPartner];
  if (partner.jobs_.empty()) {
    return;
  }
  partnersByServiceTime_.insert({ partner.normalisedServiceTime_, aPartner });
  partnersByUrgency_.insert({ partner.jobs_.begin()->first, aPartner });
}

void
LaxityQueue::UnindexPartner(std::uint32_t aPartner)
{
  const Partner& partner = partners_[aPartner];
  if (partner.jobs_.empty()) {
    return;
  }
  partnersByServiceTime_.erase({ partner.normalisedServiceTime_, aPartner });
  partnersByUrgency_.erase({ partner.jobs_.begin()->first, aPartner });
}

void
LaxityQueue::SetItemCount(const base::JobId& aJob,
                          QueuedJob& aQueued,
                          std::uint32_t aItems)
{
  const std::uint32_t index = aQueued.partner_;
  Partner& partner = partners_[index];
  UnindexPartner(index);
  const bool wasIdle = partner.jobs_.empty();
  partner.jobs_.erase({ aQueued.latestStart_, aJob });
  aQueued.items_ = aItems;
  if (aItems == 0) {
    queuedJobs_.erase(aJob);
  } else {
    aQueued.latestStart_ = LatestStartOf(aQueued);
    partner.jobs_.insert({ aQueued.latestStart_, aJob });
  }
  if (wasIdle) {
    // An idle partner accumulates no share. Otherwise it would block the others
    // until it had caught up.
    partner.normalisedServiceTime_ =
      std::max(partner.normalisedServiceTime_, virtualTime_);
  }
  IndexPartner(index);
}

void
LaxityQueue::RebuildIfDrifted()
{
  const double currentMsPerItem = serviceMs_ / parallelism_;
  const bool hasDrifted =
    currentMsPerItem > orderedByMsPerItem_ * kRebuildDrift ||
    currentMsPerItem * kRebuildDrift < orderedByMsPerItem_;
  if (hasDrifted &&
      poppedSinceRebuild_ * kMaxRebuiltJobsPerPop >= queuedJobs_.size()) {
    Rebuild();
  }
}

void
LaxityQueue::Rebuild()
{
  orderedByMsPerItem_ = serviceMs_ / parallelism_;
  poppedSinceRebuild_ = 0;
  partnersByServiceTime_.clear();
  partnersByUrgency_.clear();
  for (Partner& partner : partners_) {
    partner.jobs_.clear();
  }
  for (auto& [job, queued] : queuedJobs_) {
    queued.latestStart_ = LatestStartOf(queued);
    partners_[queued.partner_].jobs_.insert({ queued.latestStart_, job });
  }
  for (std::uint32_t index = 0; index < partners_.size(); ++index) {
    IndexPartner(index);
  }
}

} // namespace pumiceturn::jobs
