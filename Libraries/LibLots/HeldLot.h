#pragma once

#include "LibLots/Lot.h"

#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::lots {

/// A lot that was accepted before the store had it.
struct HeldLot
{
  std::string id_;
  LotState state_;
  std::string content_; ///< As its sender gave it.

  bool operator==(const HeldLot&) const = default;
};

/// @return the lot as one text with a checksum, for a disk or a peer.
std::string
EncodeHeldLot(const HeldLot& aLot);

/// @return nothing where the text is not whole.
std::optional<HeldLot>
DecodeHeldLot(std::string_view aText);

} // namespace pumiceturn::lots
