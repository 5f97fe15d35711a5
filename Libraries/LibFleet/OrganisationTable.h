#pragma once

#include "LibBase/TokenDigest.h"
#include "LibFleet/Declarations.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// The organisations of the declarations in force, by access key and by name.
/// Belongs to the event thread.
class OrganisationTable
{
public:
  /// Replaces all organisations.
  /// @param aOrganisations Nothing: callers need no keys.
  void Install(std::optional<std::vector<Organisation>> aOrganisations);

  /// @return whether callers need a key at all.
  [[nodiscard]] bool AreDeclared() const { return areDeclared_; }

  /// @return nullptr where no organisation has the key. Valid until the next
  ///         Install().
  [[nodiscard]] const Organisation* FindByKey(
    const base::TokenDigest& aKey) const;

  [[nodiscard]] const Organisation* FindByName(std::string_view aName) const;

private:
  bool areDeclared_ = false;
  std::vector<Organisation> organisations_;
  std::unordered_map<base::TokenDigest, std::uint32_t, base::TokenDigestHash>
    byKey_; ///< To a place in organisations_.
  std::unordered_map<std::string_view, std::uint32_t> byName_;
};

} // namespace pumiceturn::fleet
