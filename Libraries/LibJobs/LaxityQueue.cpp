#include "LibJobs/LaxityQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pumiceturn::jobs {

namespace {

constexpr double kSmoothingFactor = 0.1;
constexpr double kMinServiceTimeMs = 0.1;
constexpr double kMicrosecondsPerMs = 1000.0;

/// The order is rebuilt when the measured time per item differs by this factor.
/// A rebuild visits every job, and a small difference rarely changes the order.
constexpr double kRebuildDrift = 1.5;

/// Maximum number of jobs that a rebuild visits per item removed since the last
/// rebuild. Bounds the amortised cost when the time per item fluctuates.
constexpr std::uint64_t kMaxRebuiltJobsPerPop = 4;

/// Maximum number of selections that urgent jobs may accumulate for a burst.
constexpr double kMaxUrgentCredit = 8.0;

} // namespace

LaxityQueue::LaxityQueue()
  : LaxityQueue(Options{})
{
}

LaxityQueue::LaxityQueue(Options aOptions)
  : options_(aOptions)
  , serviceMs_(static_cast<double>(aOptions.initialServiceTime_.count()) /
               kMicrosecondsPerMs)
  , keyMsPerItem_(serviceMs_)
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
  const auto [found, isNew] = entries_.try_emplace(aJob);
  Entry& entry = found->second;
  if (isNew) {
    entry.partner_ = PartnerIndex(aPartner, aWeight);
    entry.dueUnixMs_ = aDueUnixMs;
    entry.latestStart_ = LatestStartOf(entry);
  }
  waiting_ += aItems;
  SetItemCount(aJob, entry, entry.items_ + aItems);
}

void
LaxityQueue::Remove(const base::JobId& aJob)
{
  const auto found = entries_.find(aJob);
  if (found == entries_.end()) {
    return;
  }
  waiting_ -= found->second.items_;
  SetItemCount(aJob, found->second, 0);
}

std::optional<Selection>
LaxityQueue::Pop(std::int64_t aNowUnixMs)
{
  if (partnersByService_.empty()) {
    return std::nullopt;
  }
  RebuildIfDrifted();
  const std::size_t partners = partnersByService_.size();
  std::uint32_t index = 0;
  const SelectionReason reason = SelectPartner(aNowUnixMs, index);
  Partner& partner = partners_[index];
  const base::JobId job = partner.jobs_.begin()->second;
  Entry& entry = entries_.at(job);
  const Selection selection{ job,          partner.name_,
                             reason,       entry.latestStart_ - aNowUnixMs,
                             entry.items_, partners };
  if (reason == SelectionReason::Share) {
    virtualTime_ = std::max(virtualTime_, partner.normalisedService_);
  }
  UnindexPartner(index);
  partner.normalisedService_ += serviceMs_ / partner.weight_;
  IndexPartner(index);
  --waiting_;
  ++poppedSinceRebuild_;
  SetItemCount(job, entry, entry.items_ - 1);
  return selection;
}

SelectionReason
LaxityQueue::SelectPartner(std::int64_t aNowUnixMs, std::uint32_t& aPartner)
{
  aPartner = partnersByService_.begin()->second;
  const auto& [latestStart, urgent] = *partnersByUrgency_.begin();
  const bool isUrgent = latestStart - aNowUnixMs < options_.urgentLaxityMs_;
  urgentCredit_ =
    std::min(urgentCredit_ + options_.urgentShare_, kMaxUrgentCredit);
  if (!isUrgent || urgent == aPartner || urgentCredit_ < 1.0) {
    return SelectionReason::Share;
  }
  urgentCredit_ -= 1.0;
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
  const auto found = entries_.find(aJob);
  return found == entries_.end() ? 0 : found->second.items_;
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
  for (const auto& [served, index] : partnersByService_) {
    weights += partners_[index].weight_;
  }
  return weights == 0.0 ? 1.0 : partners_[aPartner].weight_ / weights;
}

std::int64_t
LaxityQueue::ExpectedWorkMs(const base::JobId& aJob,
                            std::uint32_t aRunning) const
{
  const auto found = entries_.find(aJob);
  if (found == entries_.end()) {
    return WorkMs(aRunning);
  }
  const std::uint32_t partner = found->second.partner_;
  double items = aRunning;
  for (const auto& [latestStart, job] : partners_[partner].jobs_) {
    items += entries_.at(job).items_;
    if (job == aJob) {
      break;
    }
  }
  return WorkMs(items / ShareOf(partner));
}

LaxityQueue::LatestStart
LaxityQueue::LatestStartOf(const Entry& aEntry) const
{
  const double work = std::max(keyMsPerItem_ * aEntry.items_, serviceMs_);
  return aEntry.dueUnixMs_ - static_cast<std::int64_t>(work);
}

std::uint32_t
LaxityQueue::PartnerIndex(std::string_view aName, std::uint32_t aWeight)
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
  partnersByService_.insert({ partner.normalisedService_, aPartner });
  partnersByUrgency_.insert({ partner.jobs_.begin()->first, aPartner });
}

void
LaxityQueue::UnindexPartner(std::uint32_t aPartner)
{
  const Partner& partner = partners_[aPartner];
  if (partner.jobs_.empty()) {
    return;
  }
  partnersByService_.erase({ partner.normalisedService_, aPartner });
  partnersByUrgency_.erase({ partner.jobs_.begin()->first, aPartner });
}

void
LaxityQueue::SetItemCount(const base::JobId& aJob,
                          Entry& aEntry,
                          std::uint32_t aItems)
{
  const std::uint32_t index = aEntry.partner_;
  Partner& partner = partners_[index];
  UnindexPartner(index);
  const bool wasIdle = partner.jobs_.empty();
  partner.jobs_.erase({ aEntry.latestStart_, aJob });
  aEntry.items_ = aItems;
  if (aItems == 0) {
    entries_.erase(aJob);
  } else {
    aEntry.latestStart_ = LatestStartOf(aEntry);
    partner.jobs_.insert({ aEntry.latestStart_, aJob });
  }
  if (wasIdle) {
    // An idle partner accumulates no share. Otherwise it would block the others
    // until it had caught up.
    partner.normalisedService_ =
      std::max(partner.normalisedService_, virtualTime_);
  }
  IndexPartner(index);
}

void
LaxityQueue::RebuildIfDrifted()
{
  const double now = serviceMs_ / parallelism_;
  const bool hasDrifted =
    now > keyMsPerItem_ * kRebuildDrift || now * kRebuildDrift < keyMsPerItem_;
  if (hasDrifted &&
      poppedSinceRebuild_ * kMaxRebuiltJobsPerPop >= entries_.size()) {
    Rebuild();
  }
}

void
LaxityQueue::Rebuild()
{
  keyMsPerItem_ = serviceMs_ / parallelism_;
  poppedSinceRebuild_ = 0;
  partnersByService_.clear();
  partnersByUrgency_.clear();
  for (Partner& partner : partners_) {
    partner.jobs_.clear();
  }
  for (auto& [job, entry] : entries_) {
    entry.latestStart_ = LatestStartOf(entry);
    partners_[entry.partner_].jobs_.insert({ entry.latestStart_, job });
  }
  for (std::uint32_t index = 0; index < partners_.size(); ++index) {
    IndexPartner(index);
  }
}

} // namespace pumiceturn::jobs
