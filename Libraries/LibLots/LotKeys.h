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

/// A key below the lots' prefix, taken apart.
struct LotKey
{
  std::string lot_;
  KeyPart part_ = KeyPart::State;
  std::uint32_t number_ = 0; ///< Part or position.
};

/// @return the key below the prefix, e.g. "LOT/result/000012".
std::string
MakeKey(const LotKey& aKey);

/// @return nothing where the text is no such key.
std::optional<LotKey>
ParseKey(std::string_view aText);

} // namespace pumiceturn::lots
