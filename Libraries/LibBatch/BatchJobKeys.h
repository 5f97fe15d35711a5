#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::batch {

/// What a key of the store holds.
enum class KeyPart : std::uint8_t
{
  State,
  Content,  ///< One part of the content, by number.
  Results,  ///< Results from a position onward.
  Progress, ///< Partial runs of a job that changes hands.
};

/// A job's key, taken apart.
struct BatchJobKey
{
  std::string job_;
  KeyPart part_ = KeyPart::State;
  std::uint32_t number_ = 0; ///< Part or position.

  bool operator==(const BatchJobKey&) const = default;
};

/// Where the store keeps jobs. States are small, and every host follows them;
/// content and results are read by the host that runs the job alone.
struct BatchJobKeySpace
{
  std::string statePrefix_;
  std::string dataPrefix_;
  std::string ledgerPrefix_{}; ///< Of the ledgers of capped routes.

  /// @return the key, e.g. "data/LOT/result/000012".
  [[nodiscard]] std::string MakeKey(const BatchJobKey& aKey) const;

  /// @return the key of a job's state.
  [[nodiscard]] std::string StateOf(const std::string& aJob) const
  {
    return MakeKey({ aJob, KeyPart::State, 0 });
  }

  /// @return the key of a ledger, by its name.
  [[nodiscard]] std::string LedgerOf(const std::string& aLedger) const
  {
    return ledgerPrefix_ + aLedger;
  }

  /// @return the prefix of all keys of a job but its state.
  [[nodiscard]] std::string DataOf(std::string_view aJob) const;

  /// @return nothing where the text is no such key.
  [[nodiscard]] std::optional<BatchJobKey> ParseKey(
    std::string_view aText) const;
};

/// @return the name of the ledger that counts what an organisation has waiting
///         on a route: each has its own, so that not every job writes the same.
std::string
LedgerName(const std::string& aRoute, const std::string& aOrganisation);

} // namespace pumiceturn::batch
