#include "LibJobs/Job.h"

#include <algorithm>
#include <cassert>

namespace pumiceturn::jobs {

namespace {
constexpr std::int64_t kMsPerSecond = 1000;
}

std::uint32_t
Job::Waiting() const
{
  const std::uint32_t notWaiting =
    succeeded_ + failed_ + cancelled_ + inProgress_;
  return ReceivedItems() > notWaiting ? ReceivedItems() - notWaiting : 0;
}

ItemLocation
Job::LocateItem(std::uint32_t aItem) const
{
  const auto after =
    std::upper_bound(itemRanges_.begin(),
                     itemRanges_.end(),
                     aItem,
                     [](std::uint32_t aValue, const ItemRange& aRange) {
                       return aValue < aRange.firstItem_;
                     });
  assert(after != itemRanges_.begin());
  const ItemRange& range = *std::prev(after);
  return { range.record_, aItem - range.recordFirstItem_ };
}

ResultSource
Job::SourceOf(std::uint32_t aResultIndex) const
{
  const bool isCancelled =
    phase_ == Phase::Cancelled && aResultIndex >= firstCancelledResult_;
  return isCancelled ? ResultSource::Cancelled : ResultSource::Recorded;
}

std::int64_t
Job::ExpiresUnixMs() const
{
  return lastPhaseChangeUnixMs_ +
         static_cast<std::int64_t>(description_.retentionS_) * kMsPerSecond;
}

std::int64_t
FinishedRequest::ExpiresUnixMs() const
{
  return endedUnixMs_ + std::int64_t{ retentionS_ } * kMsPerSecond;
}

} // namespace pumiceturn::jobs
