#include "LibDispatch/PrefixBook.h"

#include "LibBase/Ids.h"

#include <algorithm>

namespace pumiceturn::dispatch {

void
PrefixBook::OnRun(std::uint64_t aPrefix, std::string_view aPayload)
{
  if (aPrefix == 0 || known_.contains(aPrefix)) {
    return;
  }
  Prefix& known = known_[aPrefix];
  known.head_ = aPayload.substr(0, kHeadBytes);
  order_.push_back(aPrefix);
  Index(aPrefix, known);
  if (order_.size() > kMaxPrefixes) {
    known_.erase(order_.front());
    order_.pop_front();
  }
  if (byBlock_.size() > 2 * kMaxPrefixes) {
    SetBlockBytes(blockBytes_);
  }
}

void
PrefixBook::SetBlockBytes(std::uint32_t aBytes)
{
  blockBytes_ = aBytes;
  byBlock_.clear();
  for (const auto& [prefix, known] : known_) {
    Index(prefix, known);
  }
}

void
PrefixBook::Index(std::uint64_t aPrefix, const Prefix& aKnown)
{
  if (blockBytes_ == 0 || aKnown.head_.size() < blockBytes_) {
    return;
  }
  const std::string_view block{ aKnown.head_.data(), blockBytes_ };
  byBlock_.emplace(base::HashBytes(block), aPrefix);
}

void
PrefixBook::OnCacheEvent(CacheNews aNews,
                         std::uint64_t aHash,
                         std::uint32_t aBytes)
{
  // The first block stands for all: without it the others cannot be used.
  if (aBytes == 0 || (blockBytes_ != 0 && aBytes > blockBytes_)) {
    return;
  }
  if (aBytes != blockBytes_) {
    SetBlockBytes(aBytes);
  }
  const auto [begin, end] = byBlock_.equal_range(aHash);
  for (auto entry = begin; entry != end; ++entry) {
    const auto known = known_.find(entry->second);
    if (known != known_.end()) {
      Note(known->first, known->second, aNews);
    }
  }
}

void
PrefixBook::OnEngineRestarted()
{
  for (auto& [prefix, known] : known_) {
    Note(prefix, known, CacheNews::Evicted);
  }
}

void
PrefixBook::Note(std::uint64_t aPrefix, Prefix& aKnown, CacheNews aNews)
{
  const bool isCached = aNews == CacheNews::Stored;
  if (aKnown.isCached_ == isCached) {
    return;
  }
  aKnown.isCached_ = isCached;
  changes_.push_back({ aPrefix, aNews });
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
    ++firstChange_;
  }
}

PrefixBook::Changes
PrefixBook::TakeChangesFor(const std::string& aPeer)
{
  std::uint64_t& next = told_[aPeer];
  next = std::max(next, firstChange_);
  Changes taken;
  const std::uint64_t last =
    std::min(firstChange_ + changes_.size(), next + kMaxTold);
  for (; next < last; ++next) {
    const Change& change = changes_[next - firstChange_];
    auto& into =
      change.news_ == CacheNews::Stored ? taken.added_ : taken.dropped_;
    into.push_back(change.prefix_);
  }
  return taken;
}

void
PrefixBook::ForgetPeer(const std::string& aPeer)
{
  told_.erase(aPeer);
}

} // namespace pumiceturn::dispatch
