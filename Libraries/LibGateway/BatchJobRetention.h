#pragma once

#include "LibBase/Time.h"
#include "LibBatch/BatchJobTable.h"
#include "LibBatch/HostSet.h"
#include "LibMetadata/StoreClient.h"

#include <string>

namespace pumiceturn::gateway {

/// Removes jobs from the store when nobody may read them any more, so that the
/// store doesn't fill up. Each job is removed by the host that would run it.
/// Belongs to the event thread.
class BatchJobRetention
{
public:
  /// @param aRetention How long a closed job can be read, from its acceptance.
  BatchJobRetention(metadata::StoreClient& aStore,
                    const batch::BatchJobTable& aJobs,
                    const batch::HostSet& aHosts,
                    std::string aOwnName,
                    base::Duration aRetention);

  /// Looks for jobs to remove; called several times a second, looks less often.
  void Tick(base::Instant aNow, base::WallTime aWallNow);

private:
  [[nodiscard]] bool IsOver(const batch::BatchJob& aJob,
                            base::WallTime aWallNow) const;
  void Remove(const std::string& aJob);

  metadata::StoreClient& store_;
  const batch::BatchJobTable& jobs_;
  const batch::HostSet& hosts_;
  std::string ownName_;
  base::Duration retention_;
  base::Instant nextLook_;
  std::size_t underWay_ = 0;
};

} // namespace pumiceturn::gateway
