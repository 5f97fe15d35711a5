#pragma once

#include "LibBase/Time.h"
#include "LibLots/HostSet.h"
#include "LibLots/LotTable.h"
#include "LibMetadata/StoreClient.h"

#include <string>

namespace pumiceturn::gateway {

/// Removes lots from the store when nobody may read them any more, so that the
/// store doesn't fill up. Each lot is removed by the host that would run it.
/// Belongs to the event thread.
class LotRetention
{
public:
  /// @param aRetention How long a closed lot can be read, from its acceptance.
  LotRetention(metadata::StoreClient& aStore,
               const lots::LotTable& aLots,
               const lots::HostSet& aHosts,
               std::string aOwnName,
               base::Duration aRetention);

  /// Looks for lots to remove; called several times a second, looks less often.
  void Tick(base::Instant aNow, base::WallTime aWallNow);

private:
  [[nodiscard]] bool IsOver(const lots::Lot& aLot,
                            base::WallTime aWallNow) const;
  void Remove(const std::string& aLot);

  metadata::StoreClient& store_;
  const lots::LotTable& lots_;
  const lots::HostSet& hosts_;
  std::string ownName_;
  base::Duration retention_;
  base::Instant nextLook_;
  std::size_t underWay_ = 0;
};

} // namespace pumiceturn::gateway
