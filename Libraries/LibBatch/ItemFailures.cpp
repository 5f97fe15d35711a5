#include "LibBatch/ItemFailures.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pumiceturn::batch {

using nlohmann::json;

void
MergeFailures(FailureCounts& aInto, const FailureCounts& aFrom)
{
  for (const auto& [item, failures] : aFrom) {
    ItemFailures& merged = aInto[item];
    merged.count_ = std::max(merged.count_, failures.count_);
    merged.isRejected_ = merged.isRejected_ || failures.isRejected_;
  }
}

bool
HasAllFailures(const FailureCounts& aCounts, const FailureCounts& aOther)
{
  return std::all_of(
    aOther.begin(), aOther.end(), [&aCounts](const auto& aEntry) {
      const auto found = aCounts.find(aEntry.first);
      return found != aCounts.end() &&
             found->second.count_ >= aEntry.second.count_ &&
             (found->second.isRejected_ || !aEntry.second.isRejected_);
    });
}

std::string
EncodeFailures(const FailureCounts& aCounts)
{
  json rows = json::object();
  for (const auto& [item, failures] : aCounts) {
    rows[item] = { { "failures", failures.count_ },
                   { "rejected", failures.isRejected_ } };
  }
  return rows.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<FailureCounts>
DecodeFailures(std::string_view aText)
{
  try {
    FailureCounts counts;
    const json rows = json::parse(aText);
    for (const auto& [item, row] : rows.items()) {
      counts[item] = { row.at("failures").get<std::uint32_t>(),
                       row.at("rejected").get<bool>() };
    }
    return counts;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace pumiceturn::batch
