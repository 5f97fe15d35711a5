#include "LibDispatch/PrefixCacheTracker.h"

#include "LibBase/Ids.h"

#include <algorithm>

namespace pumiceturn::dispatch {

void
PrefixCacheTracker::OnRun(std::uint64_t aPrefix, std::string_view aPayload)
{
  if (aPrefix == 0 || prefixes_.contains(aPrefix)) {
    return;
  }
  Prefix& prefixEntry = prefixes_[aPrefix];
  prefixEntry.head_ = aPayload.substr(0, kHeadBytes);
  insertionOrder_.push_back(aPrefix);
  Index(aPrefix, prefixEntry);
  if (insertionOrder_.size() > kMaxPrefixes) {
    prefixes_.erase(insertionOrder_.front());
    insertionOrder_.pop_front();
  }
  if (prefixesByBlockHash_.size() > 2 * kMaxPrefixes) {
    SetBlockBytes(blockBytes_);
  }
}

void
PrefixCacheTracker::SetBlockBytes(std::uint32_t aBytes)
{
  blockBytes_ = aBytes;
  prefixesByBlockHash_.clear();
  for (const auto& [prefix, prefixEntry] : prefixes_) {
    Index(prefix, prefixEntry);
  }
}

void
PrefixCacheTracker::Index(std::uint64_t aPrefix, const Prefix& aEntry)
{
  if (blockBytes_ == 0 || aEntry.head_.size() < blockBytes_) {
    return;
  }
  const std::string_view block{ aEntry.head_.data(), blockBytes_ };
  prefixesByBlockHash_.emplace(base::HashBytes(block), aPrefix);
}

void
PrefixCacheTracker::OnCacheEvent(CacheUpdate aUpdate,
                                 std::uint64_t aHash,
                                 std::uint32_t aBytes)
{
  // Only the first block is tracked: without it the others are unusable.
  if (aBytes == 0 || (blockBytes_ != 0 && aBytes > blockBytes_)) {
    return;
  }
  if (aBytes != blockBytes_) {
    SetBlockBytes(aBytes);
  }
  const auto [begin, end] = prefixesByBlockHash_.equal_range(aHash);
  for (auto entry = begin; entry != end; ++entry) {
    const auto prefixEntry = prefixes_.find(entry->second);
    if (prefixEntry != prefixes_.end()) {
      RecordChange(prefixEntry->first, prefixEntry->second, aUpdate);
    }
  }
}

void
PrefixCacheTracker::OnEngineRestarted()
{
  for (auto& [prefix, prefixEntry] : prefixes_) {
    RecordChange(prefix, prefixEntry, CacheUpdate::Evicted);
  }
}

void
PrefixCacheTracker::RecordChange(std::uint64_t aPrefix,
                                 Prefix& aEntry,
                                 CacheUpdate aUpdate)
{
  const bool isCached = aUpdate == CacheUpdate::Stored;
  if (aEntry.isCached_ == isCached) {
    return;
  }
  aEntry.isCached_ = isCached;
  changes_.push_back({ aPrefix, aUpdate });
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
    ++firstChange_;
  }
}

PrefixCacheTracker::Changes
PrefixCacheTracker::DrainChangesFor(const std::string& aPeer)
{
  std::uint64_t& next = nextChangeByPeer_[aPeer];
  next = std::max(next, firstChange_);
  Changes drained;
  const std::uint64_t last =
    std::min(firstChange_ + changes_.size(), next + kMaxChangesPerHeartbeat);
  for (; next < last; ++next) {
    const Change& change = changes_[next - firstChange_];
    auto& into =
      change.update_ == CacheUpdate::Stored ? drained.added_ : drained.dropped_;
    into.push_back(change.prefix_);
  }
  return drained;
}

void
PrefixCacheTracker::RemovePeer(const std::string& aPeer)
{
  nextChangeByPeer_.erase(aPeer);
}

} // namespace pumiceturn::dispatch
