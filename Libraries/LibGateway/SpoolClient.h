#pragma once

#include "LibBatch/HostSet.h"
#include "LibBatch/SpooledJob.h"
#include "LibGateway/PeerClients.h"

#include <cstddef>
#include <functional>
#include <span>

namespace pumiceturn::gateway {

/// The outcome of spooling a job on other hosts.
struct SpoolOutcome
{
  /// Whether enough workers have spooled the job.
  bool isSpooled_ = false;
  /// Whether any worker may have spooled the job, so that it may be stored
  /// later.
  bool mayBeSpooled_ = false;
};

/// Spools a job on the disks of several workers while the store is unavailable.
/// Must be used on the event thread.
class SpoolClient
{
public:
  using Done = std::function<void(SpoolOutcome)>;

  /// @param aCopies Number of hosts that must spool a job.
  SpoolClient(PeerClients& aClients, std::size_t aCopies)
    : clients_(aClients)
    , copies_(aCopies)
  {
  }

  /// Sends the job to all workers among the peers. Calls back once: when enough
  /// of them have spooled it, or when all have responded or timed out. Calls
  /// back immediately if there are fewer workers than copies.
  void Spool(const batch::SpooledJob& aJob,
             std::span<const batch::PeerAddress> aPeers,
             Done aDone);

private:
  PeerClients& clients_;
  std::size_t copies_;
};

} // namespace pumiceturn::gateway
