#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibMetadata/StoreClient.h"

#include <functional>
#include <string>

namespace pumiceturn::gateway {

/// Reads jobs from the store into the table. Belongs to the event thread.
class BatchJobLoader
{
public:
  /// Receives how the reading went; after Ok the table has what the store has.
  using Done = std::function<void(metadata::StoreStatus)>;

  BatchJobLoader(metadata::StoreClient& aStore, batch::BatchJobTable& aJobs)
    : store_(aStore)
    , jobs_(aJobs)
  {
  }

  /// Reads a job's state.
  void ReadState(const std::string& aJob, Done aDone);

  /// Reads a job's content, results and progress. The table's copy counts as
  /// loaded afterwards, if the content was whole.
  void ReadData(const std::string& aJob, Done aDone);

private:
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                Done aDone);

  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
};

} // namespace pumiceturn::gateway
