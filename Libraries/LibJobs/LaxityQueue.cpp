#include "LibJobs/LaxityQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pumiceturn::jobs {

namespace {

constexpr double kSmoothing = 0.1;
constexpr double kLeastServiceMs = 0.1;
constexpr double kMicrosecondsPerMs = 1000.0;

/// Keys are made again once the measured rate differs by this factor: a rebuild
/// visits every job, and a small difference seldom changes the order.
constexpr double kRebuildDrift = 1.5;

/// Jobs visited by a rebuild for each pick since the last one, at most; keeps
/// the cost of a pick bounded when the rate swings.
constexpr std::uint64_t kRebuildJobsPerPick = 4;

/// Picks that urgent jobs may save up for a burst.
constexpr double kMostUrgentCredit = 8.0;

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
  Update(aJob, entry, entry.items_ + aItems);
}

void
LaxityQueue::Remove(const base::JobId& aJob)
{
  const auto found = entries_.find(aJob);
  if (found == entries_.end()) {
    return;
  }
  waiting_ -= found->second.items_;
  Update(aJob, found->second, 0);
}

std::optional<Pick>
LaxityQueue::Take(std::int64_t aNowUnixMs)
{
  if (byService_.empty()) {
    return std::nullopt;
  }
  RebuildIfDrifted();
  const std::size_t partners = byService_.size();
  std::uint32_t index = 0;
  const PickReason reason = Choose(aNowUnixMs, index);
  Partner& partner = partners_[index];
  const base::JobId job = partner.jobs_.begin()->second;
  Entry& entry = entries_.at(job);
  const Pick pick{ job,          partner.name_,
                   reason,       entry.latestStart_ - aNowUnixMs,
                   entry.items_, partners };
  if (reason == PickReason::Share) {
    virtualTime_ = std::max(virtualTime_, partner.served_);
  }
  Unlink(index);
  partner.served_ += serviceMs_ / partner.weight_;
  Link(index);
  --waiting_;
  ++takenSinceRebuild_;
  Update(job, entry, entry.items_ - 1);
  return pick;
}

PickReason
LaxityQueue::Choose(std::int64_t aNowUnixMs, std::uint32_t& aPartner)
{
  aPartner = byService_.begin()->second;
  const auto& [latestStart, urgent] = *byUrgency_.begin();
  const bool isUrgent = latestStart - aNowUnixMs < options_.urgentLaxityMs_;
  urgentCredit_ =
    std::min(urgentCredit_ + options_.urgentShare_, kMostUrgentCredit);
  if (!isUrgent || urgent == aPartner || urgentCredit_ < 1.0) {
    return PickReason::Share;
  }
  urgentCredit_ -= 1.0;
  aPartner = urgent;
  return PickReason::Urgent;
}

void
LaxityQueue::RecordServiceTime(base::Duration aTime)
{
  const double measured = std::max(
    static_cast<double>(aTime.count()) / kMicrosecondsPerMs, kLeastServiceMs);
  serviceMs_ += kSmoothing * (measured - serviceMs_);
}

void
LaxityQueue::SetParallelism(std::uint32_t aRunning)
{
  const double measured = std::max<double>(aRunning, 1.0);
  parallelism_ += kSmoothing * (measured - parallelism_);
}

std::uint32_t
LaxityQueue::WaitingOf(const base::JobId& aJob) const
{
  const auto found = entries_.find(aJob);
  return found == entries_.end() ? 0 : found->second.items_;
}

std::optional<std::int64_t>
LaxityQueue::LeastLaxityMs(std::int64_t aNowUnixMs) const
{
  if (byUrgency_.empty()) {
    return std::nullopt;
  }
  return byUrgency_.begin()->first - aNowUnixMs;
}

std::int64_t
LaxityQueue::WorkMs(double aItems) const
{
  // No item is done sooner than one service time, however many run at once.
  const double shared = aItems * serviceMs_ / parallelism_;
  return static_cast<std::int64_t>(std::max(shared, serviceMs_));
}

double
LaxityQueue::ShareOf(std::uint32_t aPartner) const
{
  double weights = 0.0;
  for (const auto& [served, index] : byService_) {
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
LaxityQueue::Link(std::uint32_t aPartner)
{
  const Partner& partner = partners_[aPartner];
  if (partner.jobs_.empty()) {
    return;
  }
  byService_.insert({ partner.served_, aPartner });
  byUrgency_.insert({ partner.jobs_.begin()->first, aPartner });
}

void
LaxityQueue::Unlink(std::uint32_t aPartner)
{
  const Partner& partner = partners_[aPartner];
  if (partner.jobs_.empty()) {
    return;
  }
  byService_.erase({ partner.served_, aPartner });
  byUrgency_.erase({ partner.jobs_.begin()->first, aPartner });
}

void
LaxityQueue::Update(const base::JobId& aJob,
                    Entry& aEntry,
                    std::uint32_t aItems)
{
  const std::uint32_t index = aEntry.partner_;
  Partner& partner = partners_[index];
  Unlink(index);
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
    // Time without work earns nothing: a partner that comes back does not shut
    // out the others until it has caught up.
    partner.served_ = std::max(partner.served_, virtualTime_);
  }
  Link(index);
}

void
LaxityQueue::RebuildIfDrifted()
{
  const double now = serviceMs_ / parallelism_;
  const bool hasDrifted =
    now > keyMsPerItem_ * kRebuildDrift || now * kRebuildDrift < keyMsPerItem_;
  if (hasDrifted &&
      takenSinceRebuild_ * kRebuildJobsPerPick >= entries_.size()) {
    Rebuild();
  }
}

void
LaxityQueue::Rebuild()
{
  keyMsPerItem_ = serviceMs_ / parallelism_;
  takenSinceRebuild_ = 0;
  byService_.clear();
  byUrgency_.clear();
  for (Partner& partner : partners_) {
    partner.jobs_.clear();
  }
  for (auto& [job, entry] : entries_) {
    entry.latestStart_ = LatestStartOf(entry);
    partners_[entry.partner_].jobs_.insert({ entry.latestStart_, job });
  }
  for (std::uint32_t index = 0; index < partners_.size(); ++index) {
    Link(index);
  }
}

} // namespace pumiceturn::jobs
