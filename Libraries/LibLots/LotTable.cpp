#include "LibLots/LotTable.h"

#include <utility>

namespace pumiceturn::lots {

std::optional<std::string>
LotTable::Apply(std::string_view aKey,
                std::string_view aValue,
                std::uint64_t aRevision)
{
  const auto key = keys_.ParseKey(aKey);
  if (!key) {
    return std::nullopt;
  }
  Lot& lot = lots_[key->lot_];
  lot.id_ = key->lot_;
  switch (key->part_) {
    case KeyPart::State:
      if (auto state = DecodeState(aValue);
          state && aRevision > lot.stateRevision_) {
        lot.state_ = std::move(*state);
        lot.stateRevision_ = aRevision;
      }
      break;
    case KeyPart::Content:
      lot.parts_[key->number_] = std::string(aValue);
      break;
    case KeyPart::Results:
      if (auto results = DecodeResults(aValue)) {
        lot.pages_.try_emplace(key->number_, std::move(*results));
      }
      JoinPages(lot);
      break;
    case KeyPart::Progress:
      if (auto progress = DecodeProgress(aValue)) {
        lot.progress_ = std::move(*progress);
      }
      break;
  }
  JoinParts(lot);
  return key->lot_;
}

void
LotTable::JoinParts(Lot& aLot)
{
  const bool isWhole = aLot.stateRevision_ != 0 && !aLot.items_ &&
                       aLot.parts_.size() == aLot.state_.partCount_;
  if (!isWhole) {
    return;
  }
  std::string content;
  for (const auto& [number, part] : aLot.parts_) {
    content.append(part);
  }
  aLot.items_ = decoder_(content);
  aLot.parts_.clear();
}

void
LotTable::JoinPages(Lot& aLot)
{
  auto page =
    aLot.pages_.find(static_cast<std::uint32_t>(aLot.results_.size()));
  while (page != aLot.pages_.end()) {
    for (ItemResult& result : page->second) {
      aLot.results_.push_back(std::move(result));
    }
    aLot.pages_.erase(page);
    page = aLot.pages_.find(static_cast<std::uint32_t>(aLot.results_.size()));
  }
}

void
LotTable::Remove(std::string_view aKey)
{
  const auto key = keys_.ParseKey(aKey);
  if (key && key->part_ == KeyPart::State) {
    lots_.erase(key->lot_);
  }
}

const Lot*
LotTable::Find(const std::string& aId) const
{
  const auto found = lots_.find(aId);
  if (found == lots_.end() || found->second.stateRevision_ == 0) {
    return nullptr;
  }
  return &found->second;
}

bool
LotTable::FinishLoading(const std::string& aId)
{
  const auto found = lots_.find(aId);
  if (found == lots_.end() || !found->second.items_) {
    return false;
  }
  found->second.isLoaded_ = true;
  return true;
}

void
LotTable::Unload(const std::string& aId)
{
  const auto found = lots_.find(aId);
  if (found == lots_.end()) {
    return;
  }
  Lot bare;
  bare.id_ = aId;
  bare.state_ = std::move(found->second.state_);
  bare.stateRevision_ = found->second.stateRevision_;
  if (bare.stateRevision_ == 0) {
    lots_.erase(found);
    return;
  }
  found->second = std::move(bare);
}

std::vector<std::string>
LotTable::OpenLots() const
{
  std::vector<std::string> open;
  for (const auto& [id, lot] : lots_) {
    if (lot.stateRevision_ != 0 && lot.IsOpen()) {
      open.push_back(id);
    }
  }
  return open;
}

std::vector<std::string>
LotTable::AllLots() const
{
  std::vector<std::string> all;
  for (const auto& [id, lot] : lots_) {
    if (lot.stateRevision_ != 0) {
      all.push_back(id);
    }
  }
  return all;
}

} // namespace pumiceturn::lots
