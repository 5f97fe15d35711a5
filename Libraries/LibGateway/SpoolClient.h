#pragma once

#include "LibBatch/HostSet.h"
#include "LibBatch/SpooledJob.h"
#include "LibGateway/PeerClients.h"

#include <cstddef>
#include <functional>
#include <span>

namespace pumiceturn::gateway {

/// What became of a job that was to be kept on other hosts' disks.
struct SpoolOutcome
{
  bool isSpooled_ = false;    ///< By as many as must not all be lost.
  bool mayBeSpooled_ = false; ///< Some host may have it, and will store it.
};

/// Has a job kept on the disks of several workers, for the time until the store
/// takes it. Belongs to the event thread.
class SpoolClient
{
public:
  using Done = std::function<void(SpoolOutcome)>;

  /// @param aCopies How many hosts must keep a job.
  SpoolClient(PeerClients& aClients, std::size_t aCopies)
    : clients_(aClients)
    , copies_(aCopies)
  {
  }

  /// Sends the job to all workers among the peers. Calls back once: as soon as
  /// enough have it, or when all have answered or timed out.
  void Spool(const batch::SpooledJob& aJob,
             std::span<const batch::PeerAddress> aPeers,
             Done aDone);

private:
  PeerClients& clients_;
  std::size_t copies_;
};

} // namespace pumiceturn::gateway
