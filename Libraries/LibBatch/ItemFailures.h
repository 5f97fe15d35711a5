#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// What endpoints said of an item that they didn't complete.
struct ItemFailures
{
  std::uint32_t count_ = 0; ///< Failed attempts, those at former owners too.
  bool isRejected_ = false; ///< An endpoint rejected the item permanently.

  bool operator==(const ItemFailures&) const = default;
};

/// The failures of a job's items, by item ID. Items without any aren't listed.
using FailureCounts = std::map<std::string, ItemFailures>;

/// Adds what another count knows. No count goes down, so that counts of several
/// owners can be merged in any order.
void
MergeFailures(FailureCounts& aInto, const FailureCounts& aFrom);

/// @return whether a count has all failures that another one has.
[[nodiscard]] bool
HasAllFailures(const FailureCounts& aCounts, const FailureCounts& aOther);

std::string
EncodeFailures(const FailureCounts& aCounts);

/// @return the counts, or nullopt if the text is malformed.
std::optional<FailureCounts>
DecodeFailures(std::string_view aText);

} // namespace pumiceturn::batch
