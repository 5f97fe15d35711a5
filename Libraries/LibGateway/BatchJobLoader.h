#pragma once

#include "LibBatch/BatchJobTable.h"
#include "LibMetadata/StoreClient.h"

#include <functional>
#include <string>

namespace pumiceturn::gateway {

/// Reads jobs from the store into the table. Must be used on the event thread.
class BatchJobLoader
{
public:
  /// Called once with the status. After Ok, the table contains the values that
  /// were read; the job may not exist.
  using Done = std::function<void(metadata::StoreStatus)>;

  BatchJobLoader(metadata::StoreClient& aStore, batch::BatchJobTable& aJobs)
    : store_(aStore)
    , jobs_(aJobs)
  {
  }

  /// Reads a job's state.
  void ReadState(const std::string& aJob, Done aDone);

  /// Reads a job's content, results and progress. Marks the job as loaded if
  /// its content was complete.
  void ReadData(const std::string& aJob, Done aDone);

private:
  /// Reads all keys with a prefix that follow a given key.
  void ReadAllAfter(const std::string& aPrefix,
                    const std::string& aAfter,
                    Done aDone);

  metadata::StoreClient& store_;
  batch::BatchJobTable& jobs_;
};

} // namespace pumiceturn::gateway
