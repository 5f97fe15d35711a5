#pragma once

#include "LibLots/HeldLot.h"
#include "LibLots/LotKeys.h"
#include "LibMetadata/StoreClient.h"

namespace pumiceturn::gateway {

/// @return what stores a new lot, its content in parts. It takes effect once,
///         whoever makes it and however often: the lot's state must not exist.
metadata::Transaction
MakeCreation(const lots::LotKeySpace& aKeys, const lots::HeldLot& aLot);

} // namespace pumiceturn::gateway
