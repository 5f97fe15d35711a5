#include "LibFleet/UnconfirmedOrigins.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::fleet {

void
UnconfirmedOrigins::Add(const StreamOriginTable::Row& aRow, base::Instant aNow)
{
  if (waiting_.size() < kMaxRows) {
    waiting_.try_emplace(aRow.id_, Waiting{ aRow, aNow });
  }
}

void
UnconfirmedOrigins::Confirm(const std::string& aId)
{
  waiting_.erase(aId);
  areHoldersSilent_ = false;
}

std::vector<StreamOriginTable::Row>
UnconfirmedOrigins::TakeOverdue(base::Instant aNow)
{
  areHoldersSilent_ |=
    std::any_of(waiting_.begin(), waiting_.end(), [aNow](const auto& aEntry) {
      return aNow - aEntry.second.addedAt_ >= kConfirmTime;
    });
  std::vector<StreamOriginTable::Row> overdue;
  if (!areHoldersSilent_) {
    return overdue;
  }
  overdue.reserve(waiting_.size());
  for (auto& [id, waiting] : std::exchange(waiting_, {})) {
    overdue.push_back(std::move(waiting.row_));
  }
  return overdue;
}

} // namespace pumiceturn::fleet
