#include "LibFleet/StreamOriginTable.h"

#include <algorithm>

namespace pumiceturn::fleet {

bool
StreamOriginTable::Record(const Row& aRow, Source aSource, base::Instant aNow)
{
  if (aRow.id_.empty() || aRow.id_.size() > kMaxIdBytes) {
    return false;
  }
  auto found = records_.find(aRow.id_);
  if (found == records_.end()) {
    if (records_.size() >= kMaxRecords) {
      return false;
    }
    found = records_.emplace(aRow.id_, Entry{ aRow.origin_, aNow, aNow }).first;
  }
  Entry& entry = found->second;
  entry.isAmbiguous_ = entry.isAmbiguous_ || entry.origin_ != aRow.origin_;
  entry.expiresAt_ = std::max(entry.expiresAt_, aNow + aRow.lifetime_);
  entry.isOwn_ = entry.isOwn_ || aSource == Source::OwnStream;
  return true;
}

OriginRecord
StreamOriginTable::Find(std::string_view aId, base::Instant aNow) const
{
  const auto found = records_.find(aId);
  if (found == records_.end() || found->second.expiresAt_ <= aNow) {
    return UnknownOrigin{};
  }
  const Entry& entry = found->second;
  if (entry.isAmbiguous_) {
    return AmbiguousOrigin{};
  }
  return KnownOrigin{ entry.origin_, aNow - entry.recordedAt_ };
}

std::vector<StreamOriginTable::Row>
StreamOriginTable::OwnRowsOf(std::string_view aService,
                             base::Instant aNow) const
{
  std::vector<Row> rows;
  for (const auto& [id, entry] : records_) {
    if (entry.isOwn_ && entry.origin_.service_ == aService &&
        entry.expiresAt_ > aNow) {
      rows.push_back({ id, entry.origin_, entry.expiresAt_ - aNow });
    }
  }
  return rows;
}

void
StreamOriginTable::Expire(base::Instant aNow)
{
  std::erase_if(records_, [aNow](const auto& aEntry) {
    return aEntry.second.expiresAt_ <= aNow;
  });
}

} // namespace pumiceturn::fleet
