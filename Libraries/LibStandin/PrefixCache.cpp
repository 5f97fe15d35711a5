#include "LibStandin/PrefixCache.h"

#include "LibBase/Ids.h"

namespace pumiceturn::standin {

std::size_t
PrefixCache::CachedBytes(std::string_view aText) const
{
  std::size_t cached = 0;
  for (std::size_t end = kBlockBytes; end <= aText.size(); end += kBlockBytes) {
    if (!byHash_.contains(base::HashBytes(aText.substr(0, end)))) {
      break;
    }
    cached = end;
  }
  return cached;
}

void
PrefixCache::Store(std::string_view aText)
{
  // From the last block to the first, so that a prefix is never evicted before
  // what follows it.
  const std::size_t blocks = aText.size() / kBlockBytes;
  for (std::size_t block = blocks; block > 0; --block) {
    const std::size_t end = block * kBlockBytes;
    const std::uint64_t hash = base::HashBytes(aText.substr(0, end));
    const auto known = byHash_.find(hash);
    if (known != byHash_.end()) {
      recentFirst_.splice(recentFirst_.begin(), recentFirst_, known->second);
      continue;
    }
    const auto bytes = static_cast<std::uint32_t>(end);
    recentFirst_.push_front(Block{ hash, bytes });
    byHash_.emplace(hash, recentFirst_.begin());
    changes_.push_back(PrefixChange{ true, hash, bytes });
  }
  while (recentFirst_.size() > maxBlocks_) {
    const Block evicted = recentFirst_.back();
    byHash_.erase(evicted.hash_);
    recentFirst_.pop_back();
    changes_.push_back(PrefixChange{ false, evicted.hash_, evicted.bytes_ });
  }
}

void
PrefixCache::Clear()
{
  recentFirst_.clear();
  byHash_.clear();
  changes_.clear();
}

std::vector<PrefixChange>
PrefixCache::TakeChanges()
{
  std::vector<PrefixChange> changes;
  changes.swap(changes_);
  return changes;
}

} // namespace pumiceturn::standin
