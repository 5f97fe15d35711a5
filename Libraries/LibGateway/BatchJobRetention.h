#pragma once

#include "LibBase/Time.h"
#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibMetadata/StoreClient.h"

#include <string>

namespace pumiceturn::gateway {

/// Removes expired jobs from the store. Each job is removed by the host that it
/// is assigned to. Must be used on the event thread.
class BatchJobRetention
{
public:
  /// @param aRetention Time after its acceptance at which a closed (cancelled
  ///   or finished) job is removed.
  BatchJobRetention(metadata::StoreClient& aStore,
                    const batch::BatchJobTable& aJobs,
                    const batch::HostSet& aHosts,
                    std::string aOwnName,
                    base::Duration aRetention);

  /// Removes expired jobs if the next scan is due.
  void Tick(base::Instant aNow, base::WallTime aWallNow);

private:
  [[nodiscard]] bool IsExpired(const batch::BatchJob& aJob,
                               base::WallTime aWallNow) const;
  void Remove(const std::string& aJob);

  metadata::StoreClient& store_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  base::Duration retention_;
  base::Instant nextScan_;
  std::size_t pendingRemovals_ = 0;
};

} // namespace pumiceturn::gateway
