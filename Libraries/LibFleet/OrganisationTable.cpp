#include "LibFleet/OrganisationTable.h"

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
  for (std::uint32_t place = 0; place < organisations_.size(); ++place) {
    Organisation& organisation = organisations_[place];
    byName_.emplace(organisation.name_, place);
    for (const base::TokenDigest& key : organisation.keys_) {
      byKey_.emplace(key, place);
    }
    // The index has them; 32,000 organisations would keep them twice.
    organisation.keys_ = {};
  }
}

const Organisation*
OrganisationTable::FindByKey(const base::TokenDigest& aKey) const
{
  const auto found = byKey_.find(aKey);
  return found == byKey_.end() ? nullptr : &organisations_[found->second];
}

const Organisation*
OrganisationTable::FindByName(std::string_view aName) const
{
  const auto found = byName_.find(aName);
  return found == byName_.end() ? nullptr : &organisations_[found->second];
}

} // namespace pumiceturn::fleet
