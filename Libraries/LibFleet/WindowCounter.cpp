#include "LibFleet/WindowCounter.h"

#include <algorithm>

namespace pumiceturn::fleet {

std::size_t
WindowCounter::IndexOf(std::int64_t aSlice)
{
  return static_cast<std::size_t>(aSlice) % kSlices;
}

bool
WindowCounter::IsKept(std::int64_t aSlice) const
{
  return aSlice <= slice_ && aSlice >= OldestSlice();
}

void
WindowCounter::AdvanceTo(std::int64_t aSlice)
{
  const auto kept = static_cast<std::int64_t>(kSlices);
  for (std::int64_t slice = std::max(slice_ + 1, aSlice - kept + 1);
       slice <= aSlice;
       ++slice) {
    std::int32_t& requests = requests_[IndexOf(slice)];
    sum_ -= requests;
    requests = 0;
  }
  slice_ = std::max(slice_, aSlice);
}

void
WindowCounter::AddAt(std::int64_t aSlice, std::int64_t aRequests)
{
  if (IsKept(aSlice)) {
    requests_[IndexOf(aSlice)] += static_cast<std::int32_t>(aRequests);
    sum_ += aRequests;
  }
}

std::int64_t
WindowCounter::At(std::int64_t aSlice) const
{
  return IsKept(aSlice) ? requests_[IndexOf(aSlice)] : 0;
}

} // namespace pumiceturn::fleet
