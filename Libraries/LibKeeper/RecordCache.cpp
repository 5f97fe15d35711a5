#include "LibKeeper/RecordCache.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::keeper {

RecordCache::Bytes
RecordCache::Find(const joblog::LogPosition& aPosition)
{
  const std::lock_guard lock(mutex_);
  const auto found = std::find_if(entries_.begin(),
                                  entries_.end(),
                                  [&aPosition](const CachedRecord& aCached) {
                                    return aCached.position_ == aPosition;
                                  });
  if (found == entries_.end()) {
    return nullptr;
  }
  entries_.splice(entries_.begin(), entries_, found);
  return entries_.front().bytes_;
}

base::Result<RecordCache::Bytes>
RecordCache::Get(const joblog::LogPosition& aPosition)
{
  if (Bytes bytes = Find(aPosition)) {
    return bytes;
  }
  BOOST_LEAF_AUTO(content, read_(aPosition));
  Bytes bytes = std::make_shared<const std::string>(std::move(content));
  const std::lock_guard lock(mutex_);
  entries_.push_front({ aPosition, bytes });
  bytes_ += bytes->size();
  while (bytes_ > maxBytes_ && entries_.size() > 1) {
    bytes_ -= entries_.back().bytes_->size();
    entries_.pop_back();
  }
  return bytes;
}

} // namespace pumiceturn::keeper
