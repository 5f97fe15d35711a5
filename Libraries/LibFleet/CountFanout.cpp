#include "LibFleet/CountFanout.h"

#include <algorithm>

namespace pumiceturn::fleet {

CountFanout::CountFanout(const CountUpdate& aUpdate,
                         bool aIsWorker,
                         bool aIsRemoteDue,
                         const CellLookup& aCellOf)
  : isFull_(aUpdate.isFull_)
  , isWorker_(aIsWorker)
  , isRemoteDue_(aIsRemoteDue && aUpdate.isFull_)
{
  for (const EndpointCounts& count : aUpdate.changes_) {
    rows_.push_back({ count, aCellOf(count.endpoint_), false, true });
  }
  if (!isFull_) {
    return;
  }
  for (const EndpointCounts& count : aUpdate.counts_) {
    const auto change =
      std::find_if(rows_.begin(), rows_.end(), [&count](const Row& aRow) {
        return aRow.counts_.endpoint_ == count.endpoint_;
      });
    if (change != rows_.end()) {
      change->isCurrent_ = true;
    } else {
      rows_.push_back({ count, aCellOf(count.endpoint_), true, false });
    }
  }
}

std::optional<CountFanout::MessageKey>
CountFanout::KeyFor(CellMap::Relation aRelation,
                    std::optional<std::size_t> aCell) const
{
  switch (aRelation) {
    case CellMap::Relation::Neighbour:
      return MessageKey{ isFull_, std::nullopt };
    case CellMap::Relation::Remote: {
      const auto cell = isWorker_ ? aCell : std::nullopt;
      return isRemoteDue_ ? MessageKey{ true, cell } : ChangesFor(cell);
    }
    case CellMap::Relation::Stranger:
      return aCell ? ChangesFor(aCell) : std::nullopt;
  }
  return std::nullopt;
}

std::optional<CountFanout::MessageKey>
CountFanout::ChangesFor(std::optional<std::size_t> aCell) const
{
  const MessageKey key{ false, aCell };
  const bool isEmpty =
    std::none_of(rows_.begin(), rows_.end(), [this, &key](const Row& aRow) {
      return IsIncluded(aRow, key);
    });
  return isEmpty ? std::nullopt : std::optional(key);
}

std::vector<EndpointCounts>
CountFanout::CountsFor(const MessageKey& aKey) const
{
  std::vector<EndpointCounts> counts;
  for (const Row& row : rows_) {
    if (IsIncluded(row, aKey)) {
      counts.push_back(row.counts_);
    }
  }
  return counts;
}

bool
CountFanout::IsIncluded(const Row& aRow, const MessageKey& aKey) const
{
  if (aKey.cell_ && aRow.cell_ != aKey.cell_) {
    return false;
  }
  if (aKey.isFull_) {
    return aRow.isCurrent_;
  }
  // Counts that don't change are repeated along with full updates, as peers
  // drop those that aren't renewed.
  return aRow.isChange_ || (isRemoteDue_ && aRow.isCurrent_);
}

} // namespace pumiceturn::fleet
