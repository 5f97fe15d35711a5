#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// The kind of data that a store key holds.
enum class KeyKind : std::uint8_t
{
  State,
  Content,  ///< One numbered part of the content.
  Results,  ///< A page of results, numbered by its first position.
  Progress, ///< Partial outputs of unfinished items.
  Failures, ///< How often items failed.
};

/// A parsed job key.
struct BatchJobKey
{
  std::string job_;
  KeyKind kind_ = KeyKind::State;
  std::uint32_t number_ = 0; ///< Content part or position of the first result.

  bool operator==(const BatchJobKey&) const = default;
};

/// The key prefixes of jobs in the store. Every host watches the states, which
/// are small. Normally only the host that runs a job reads its content and
/// results.
struct BatchJobKeySpace
{
  std::string statePrefix_;
  std::string dataPrefix_;
  std::string ledgerPrefix_{}; ///< For the token ledgers of capped routes.

  /// @return the key, e.g. "data/JOB/result/000012".
  [[nodiscard]] std::string MakeKey(const BatchJobKey& aKey) const;

  [[nodiscard]] std::string StateKey(const std::string& aJob) const
  {
    return MakeKey({ aJob, KeyKind::State, 0 });
  }

  [[nodiscard]] std::string LedgerKey(const std::string& aLedger) const
  {
    return ledgerPrefix_ + aLedger;
  }

  /// @return the prefix of all keys of a job except its state.
  [[nodiscard]] std::string DataPrefix(std::string_view aJob) const;

  /// @return the parsed key, or nullopt if the text is not a job key.
  [[nodiscard]] std::optional<BatchJobKey> ParseKey(
    std::string_view aText) const;
};

/// @return the name of the ledger that counts the waiting tokens of an
///   organisation on a route. The cap applies to each organisation separately;
///   separate ledgers also avoid write conflicts.
std::string
LedgerName(const std::string& aRoute, const std::string& aOrganisation);

} // namespace pumiceturn::batch
