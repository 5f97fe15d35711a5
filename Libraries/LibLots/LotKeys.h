#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::lots {

/// What a key of the store holds.
enum class KeyPart : std::uint8_t
{
  State,
  Content,  ///< One part of the content, by number.
  Results,  ///< Results from a position onward.
  Progress, ///< Partial runs of a lot that changes hands.
};

/// A lot's key, taken apart.
struct LotKey
{
  std::string lot_;
  KeyPart part_ = KeyPart::State;
  std::uint32_t number_ = 0; ///< Part or position.

  bool operator==(const LotKey&) const = default;
};

/// Where the store keeps lots. States are small, and every host follows them;
/// content and results are read by the host that runs the lot alone.
struct LotKeySpace
{
  std::string statePrefix_;
  std::string dataPrefix_;
  std::string ledgerPrefix_{}; ///< Of the ledgers of capped routes.

  /// @return the key, e.g. "data/LOT/result/000012".
  [[nodiscard]] std::string MakeKey(const LotKey& aKey) const;

  /// @return the key of a lot's state.
  [[nodiscard]] std::string StateOf(const std::string& aLot) const
  {
    return MakeKey({ aLot, KeyPart::State, 0 });
  }

  /// @return the key of a ledger, by its name.
  [[nodiscard]] std::string LedgerOf(const std::string& aLedger) const
  {
    return ledgerPrefix_ + aLedger;
  }

  /// @return the prefix of all keys of a lot but its state.
  [[nodiscard]] std::string DataOf(std::string_view aLot) const;

  /// @return nothing where the text is no such key.
  [[nodiscard]] std::optional<LotKey> ParseKey(std::string_view aText) const;
};

/// @return the name of the ledger that counts what an organisation has waiting
///         on a route: each has its own, so that not every lot writes the same.
std::string
LedgerName(const std::string& aRoute, const std::string& aOrganisation);

} // namespace pumiceturn::lots
