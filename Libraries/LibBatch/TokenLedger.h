#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// Waiting tokens of an organisation's accepted jobs on one route, by job.
/// Accepting a job adds its row in the transaction that creates the job, so
/// that hosts accepting concurrently cannot exceed the cap together. The owner
/// of the job decreases its row.
class TokenLedger
{
public:
  [[nodiscard]] std::uint64_t Total() const { return total_; }

  /// @return whether a job with this many tokens may be accepted.
  [[nodiscard]] bool Fits(std::uint64_t aTokens, std::uint64_t aCap) const
  {
    return aTokens <= aCap && total_ <= aCap - aTokens;
  }

  /// @return the waiting tokens of a job, or nullopt if it has no row.
  [[nodiscard]] std::optional<std::uint64_t> Find(
    const std::string& aJob) const;

  /// Sets the row of a job; zero removes it.
  void Set(const std::string& aJob, std::uint64_t aTokens);

  [[nodiscard]] const std::map<std::string, std::uint64_t>& Rows() const
  {
    return rows_;
  }

  bool operator==(const TokenLedger&) const = default;

private:
  /// Rows with zero tokens are removed.
  std::map<std::string, std::uint64_t> rows_;
  std::uint64_t total_ = 0; ///< Sum of all rows.
};

std::string
EncodeLedger(const TokenLedger& aLedger);

/// @return the ledger, or nullopt if the text is malformed.
std::optional<TokenLedger>
DecodeLedger(std::string_view aText);

} // namespace pumiceturn::batch
