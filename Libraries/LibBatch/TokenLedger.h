#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// Tokens of accepted items that wait on one route, by job. The store keeps one
/// ledger a capped route. Whoever accepts a job adds its row in the transaction
/// that creates the job, so that hosts that accept at the same moment can't
/// exceed the cap together; the host that runs a job lowers its row.
class TokenLedger
{
public:
  [[nodiscard]] std::uint64_t Total() const { return total_; }

  /// @return whether a job of that many tokens may be accepted.
  [[nodiscard]] bool Fits(std::uint64_t aTokens, std::uint64_t aCap) const
  {
    return aTokens <= aCap && total_ <= aCap - aTokens;
  }

  /// @return the tokens of a job that wait, or nothing where it has no row.
  [[nodiscard]] std::optional<std::uint64_t> Of(const std::string& aJob) const;

  /// Adds a job or changes its row; zero tokens remove it.
  void Set(const std::string& aJob, std::uint64_t aTokens);

  [[nodiscard]] const std::map<std::string, std::uint64_t>& Entries() const
  {
    return entries_;
  }

  bool operator==(const TokenLedger&) const = default;

private:
  std::map<std::string, std::uint64_t> entries_; ///< Without zeros.
  std::uint64_t total_ = 0;                      ///< Of all rows.
};

std::string
EncodeLedger(const TokenLedger& aLedger);

/// @return nothing where the text is no ledger.
std::optional<TokenLedger>
DecodeLedger(std::string_view aText);

} // namespace pumiceturn::batch
