#pragma once

#include "LibLots/LotKeys.h"
#include "LibMetadata/StoreClient.h"

namespace pumiceturn::gateway {

/// @return a change of a lot's state, under the condition that it is as known
/// here. Hosts that act on a lot at the same time can't both succeed.
inline metadata::Transaction
MakeStateChange(const lots::LotKeySpace& aKeys,
                const lots::Lot& aLot,
                const lots::LotState& aState)
{
  const std::string key = aKeys.StateOf(aLot.id_);
  metadata::Transaction transaction;
  transaction.expectations_.push_back({ key, aLot.stateRevision_ });
  transaction.writes_.push_back({ key, lots::EncodeState(aState), 0 });
  return transaction;
}

} // namespace pumiceturn::gateway
