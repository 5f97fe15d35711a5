#pragma once

#include "LibGateway/PeerCallers.h"
#include "LibLots/HeldLot.h"
#include "LibLots/HostSet.h"

#include <cstddef>
#include <functional>
#include <span>

namespace pumiceturn::gateway {

/// What became of a lot that was to be kept on other hosts' disks.
struct HoldOutcome
{
  bool isHeld_ = false;    ///< By as many as must not all be lost.
  bool mayBeHeld_ = false; ///< Some host may have it, and will store it.
};

/// Has a lot kept on the disks of several workers, for the time until the store
/// takes it. Belongs to the event thread.
class HoldCaller
{
public:
  using Done = std::function<void(HoldOutcome)>;

  /// @param aCopies How many hosts must keep a lot.
  HoldCaller(PeerCallers& aCallers, std::size_t aCopies)
    : callers_(aCallers)
    , copies_(aCopies)
  {
  }

  /// Sends the lot to all workers among the peers. Calls back once: as soon as
  /// enough have it, or when all have answered or timed out.
  void Hold(const lots::HeldLot& aLot,
            std::span<const lots::PeerAddress> aPeers,
            Done aDone);

private:
  PeerCallers& callers_;
  std::size_t copies_;
};

} // namespace pumiceturn::gateway
