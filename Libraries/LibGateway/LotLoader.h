#pragma once

#include "LibLots/LotTable.h"
#include "LibMetadata/StoreClient.h"

#include <functional>
#include <string>

namespace pumiceturn::gateway {

/// Reads lots from the store into the table. Belongs to the event thread.
class LotLoader
{
public:
  /// Receives how the reading went; after Ok the table has what the store has.
  using Done = std::function<void(metadata::StoreStatus)>;

  LotLoader(metadata::StoreClient& aStore, lots::LotTable& aLots)
    : store_(aStore)
    , lots_(aLots)
  {
  }

  /// Reads a lot's state.
  void ReadState(const std::string& aLot, Done aDone);

  /// Reads a lot's content, results and progress. The table's copy counts as
  /// loaded afterwards, if the content was whole.
  void ReadData(const std::string& aLot, Done aDone);

private:
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                Done aDone);

  metadata::StoreClient& store_;
  lots::LotTable& lots_;
};

} // namespace pumiceturn::gateway
