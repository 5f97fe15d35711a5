#pragma once

#include "LibGateway/PeerCallers.h"
#include "LibLots/HeldLot.h"
#include "LibLots/HostSet.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

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
  HoldCaller(boost::asio::any_io_executor aExecutor, std::size_t aCopies)
    : callers_(std::move(aExecutor))
    , copies_(aCopies)
  {
  }

  void SetPeers(const std::vector<lots::PeerAddress>& aPeers);

  /// Sends the lot to all workers. Calls back once: as soon as enough have it,
  /// or when all have answered or timed out.
  void Hold(const lots::HeldLot& aLot, Done aDone);

private:
  PeerCallers callers_;
  std::vector<lots::PeerAddress> workers_;
  std::size_t copies_;
};

} // namespace pumiceturn::gateway
