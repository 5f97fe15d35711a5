#pragma once

#include "LibBase/TokenDigest.h"
#include "LibFleet/Declarations.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::fleet {

/// The organisations of the current declarations, by access key and by name.
/// Used on the event thread only.
class OrganisationTable
{
public:
  /// Replaces all organisations.
  /// @param aOrganisations Without a list, callers don't need keys; with an
  ///        empty one, no key is valid.
  void Install(std::optional<std::vector<Organisation>> aOrganisations);

  /// @return whether organisations are declared, so that callers need a key.
  [[nodiscard]] bool AreDeclared() const { return areDeclared_; }

  /// @return the organisation with this key, or nullptr. Valid until the next
  ///         Install().
  [[nodiscard]] const Organisation* FindByKey(
    const base::TokenDigest& aKey) const;

  [[nodiscard]] const Organisation* FindByName(std::string_view aName) const;

  /// @param aRoutePriority Priority for organisations without one.
  /// @return the highest priority of all organisations, which is the lowest
  ///         number; aRoutePriority if none is declared.
  [[nodiscard]] std::uint32_t HighestPriority(
    std::uint32_t aRoutePriority) const;

private:
  bool areDeclared_ = false;
  std::vector<Organisation> organisations_;
  std::unordered_map<base::TokenDigest, std::uint32_t, base::TokenDigestHash>
    byKey_; ///< Index into organisations_.
  std::unordered_map<std::string_view, std::uint32_t> byName_;
};

} // namespace pumiceturn::fleet
