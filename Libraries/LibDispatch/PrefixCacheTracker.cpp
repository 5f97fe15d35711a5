#include "LibDispatch/PrefixCacheTracker.h"

#include "LibBase/Ids.h"

#include <algorithm>

namespace pumiceturn::dispatch {

void
PrefixCacheTracker::OnRun(std::uint64_t aPrefixId, std::string_view aPayload)
{
  if (aPrefixId == 0 || prefixes_.contains(aPrefixId)) {
    return;
  }
  Prefix& prefixEntry = prefixes_[aPrefixId];
  prefixEntry.head_ = aPayload.substr(0, kHeadBytes);
  insertionOrder_.push_back(aPrefixId);
  Index(aPrefixId, prefixEntry);
  if (insertionOrder_.size() > kMaxPrefixes) {
    prefixes_.erase(insertionOrder_.front());
    insertionOrder_.pop_front();
  }
  if (prefixesByBlockHash_.size() > 2 * kMaxPrefixes) {
    RebuildIndex(blockBytes_);
  }
}

void
PrefixCacheTracker::RebuildIndex(std::uint32_t aBytes)
{
  blockBytes_ = aBytes;
  prefixesByBlockHash_.clear();
  for (const auto& [prefix, prefixEntry] : prefixes_) {
    Index(prefix, prefixEntry);
  }
}

void
PrefixCacheTracker::Index(std::uint64_t aPrefixId, const Prefix& aState)
{
  if (blockBytes_ == 0 || aState.head_.size() < blockBytes_) {
    return;
  }
  const std::string_view block{ aState.head_.data(), blockBytes_ };
  prefixesByBlockHash_.emplace(base::HashBytes(block), aPrefixId);
}

void
PrefixCacheTracker::OnCacheEvent(CacheChange aChange,
                                 std::uint64_t aHash,
                                 std::uint32_t aBytes)
{
  // Only the first block is tracked: without it the others are unusable.
  if (aBytes == 0 || (blockBytes_ != 0 && aBytes > blockBytes_)) {
    return;
  }
  if (aBytes != blockBytes_) {
    RebuildIndex(aBytes);
  }
  const auto [begin, end] = prefixesByBlockHash_.equal_range(aHash);
  for (auto entry = begin; entry != end; ++entry) {
    const auto prefixEntry = prefixes_.find(entry->second);
    if (prefixEntry != prefixes_.end()) {
      RecordChange(prefixEntry->first, prefixEntry->second, aChange);
    }
  }
}

void
PrefixCacheTracker::OnEngineRestarted()
{
  for (auto& [prefix, prefixEntry] : prefixes_) {
    RecordChange(prefix, prefixEntry, CacheChange::Evicted);
  }
}

void
PrefixCacheTracker::RecordChange(std::uint64_t aPrefixId,
                                 Prefix& aState,
                                 CacheChange aChange)
{
  const bool isCached = aChange == CacheChange::Stored;
  if (aState.isCached_ == isCached) {
    return;
  }
  aState.isCached_ = isCached;
  changes_.push_back({ aPrefixId, aChange });
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
    ++firstChange_;
  }
}

PrefixCacheTracker::Changes
PrefixCacheTracker::TakeChangesFor(const std::string& aPeer)
{
  std::uint64_t& next = nextChangeByPeer_[aPeer];
  next = std::max(next, firstChange_);
  Changes taken;
  const std::uint64_t last =
    std::min(firstChange_ + changes_.size(), next + kMaxChangesPerHeartbeat);
  for (; next < last; ++next) {
    const PrefixChange& change = changes_[next - firstChange_];
    auto& into =
      change.change_ == CacheChange::Stored ? taken.stored_ : taken.evicted_;
    into.push_back(change.prefix_);
  }
  return taken;
}

void
PrefixCacheTracker::RemovePeer(const std::string& aPeer)
{
  nextChangeByPeer_.erase(aPeer);
}

} // namespace pumiceturn::dispatch
