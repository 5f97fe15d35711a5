#include "LibBatch/TokenLedger.h"

#include <nlohmann/json.hpp>

namespace pumiceturn::batch {

using nlohmann::json;

namespace {

/// Upper bound per row, far above any real job, so that corrupt rows cannot
/// overflow the total.
constexpr std::uint64_t kMaxTokensPerJob = 1ULL << 40;

} // namespace

std::optional<std::uint64_t>
TokenLedger::Find(const std::string& aJob) const
{
  const auto row = rows_.find(aJob);
  return row == rows_.end() ? std::nullopt : std::optional(row->second);
}

void
TokenLedger::Set(const std::string& aJob, std::uint64_t aTokens)
{
  total_ -= Find(aJob).value_or(0);
  total_ += aTokens;
  if (aTokens == 0) {
    rows_.erase(aJob);
  } else {
    rows_[aJob] = aTokens;
  }
}

std::string
EncodeLedger(const TokenLedger& aLedger)
{
  return json(aLedger.Rows())
    .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<TokenLedger>
DecodeLedger(std::string_view aText)
{
  const json rows = json::parse(aText, nullptr, false);
  if (!rows.is_object()) {
    return std::nullopt;
  }
  TokenLedger ledger;
  for (const auto& [job, tokens] : rows.items()) {
    if (!tokens.is_number_unsigned() ||
        tokens.get<std::uint64_t>() > kMaxTokensPerJob) {
      return std::nullopt;
    }
    ledger.Set(job, tokens.get<std::uint64_t>());
  }
  return ledger;
}

} // namespace pumiceturn::batch
