#include "LibFleet/OrganisationTable.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pumiceturn::fleet {

void
OrganisationTable::Install(
  std::optional<std::vector<Organisation>> aOrganisations)
{
  areDeclared_ = aOrganisations.has_value();
  byKey_.clear();
  byName_.clear();
  organisations_ =
    std::move(aOrganisations).value_or(std::vector<Organisation>{});
  for (std::uint32_t index = 0; index < organisations_.size(); ++index) {
    Organisation& organisation = organisations_[index];
    byName_.emplace(organisation.name_, index);
    for (const base::TokenDigest& key : organisation.keys_) {
      byKey_.emplace(key, index);
    }
    // Keys are held in byKey_ only, to save memory with many organisations.
    organisation.keys_ = {};
  }
}

const Organisation*
OrganisationTable::FindByKey(const base::TokenDigest& aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : &organisations_[found->second];
}

std::uint32_t
OrganisationTable::HighestPriority(std::uint32_t aRoutePriority) const
{
  if (organisations_.empty()) {
    return aRoutePriority;
  }
  std::uint32_t highest = std::numeric_limits<std::uint32_t>::max();
  for (const Organisation& organisation : organisations_) {
    highest =
      std::min(highest, organisation.priority_.value_or(aRoutePriority));
  }
  return highest;
}

const Organisation*
OrganisationTable::FindByName(std::string_view aName) const
{
  const auto found = byName_.find(aName);
  return found == byName_.end() ? nullptr : &organisations_[found->second];
}

} // namespace pumiceturn::fleet
