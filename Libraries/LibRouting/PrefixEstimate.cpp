#include "LibRouting/PrefixEstimate.h"

#include <algorithm>

namespace pumiceturn::routing {

void
PrefixEstimate::Add(std::size_t aPosition, std::uint64_t aPrefix)
{
  if (aPrefix == 0) {
    return;
  }
  std::vector<std::size_t>& holders = holders_[aPrefix];
  if (std::find(holders.begin(), holders.end(), aPosition) != holders.end()) {
    return;
  }
  if (holders.size() == kMaxHoldersPerPrefix) {
    std::erase(insertionOrder_[holders.front()], aPrefix);
    holders.erase(holders.begin());
  }
  holders.push_back(aPosition);
  std::deque<std::uint64_t>& order = insertionOrder_[aPosition];
  order.push_back(aPrefix);
  if (order.size() > kMaxPrefixesPerEndpoint) {
    Drop(aPosition, order.front());
  }
}

void
PrefixEstimate::Drop(std::size_t aPosition, std::uint64_t aPrefix)
{
  const auto found = holders_.find(aPrefix);
  if (found == holders_.end() || std::erase(found->second, aPosition) == 0) {
    return;
  }
  if (found->second.empty()) {
    holders_.erase(found);
  }
  std::erase(insertionOrder_[aPosition], aPrefix);
}

void
PrefixEstimate::Clear(std::size_t aPosition)
{
  const auto found = insertionOrder_.find(aPosition);
  if (found == insertionOrder_.end()) {
    return;
  }
  for (const std::uint64_t prefix : found->second) {
    const auto holders = holders_.find(prefix);
    std::erase(holders->second, aPosition);
    if (holders->second.empty()) {
      holders_.erase(holders);
    }
  }
  insertionOrder_.erase(found);
}

std::span<const std::size_t>
PrefixEstimate::HoldersOf(std::uint64_t aPrefix) const
{
  const auto found = holders_.find(aPrefix);
  if (aPrefix == 0 || found == holders_.end()) {
    return {};
  }
  return found->second;
}

} // namespace pumiceturn::routing
