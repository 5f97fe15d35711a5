#pragma once

#include "LibBatch/BatchJobKeys.h"
#include "LibMetadata/StoreClient.h"

namespace pumiceturn::gateway {

/// @return a change of a job's state, under the condition that it is as known
/// here. Hosts that act on a job at the same time can't both succeed.
inline metadata::Transaction
MakeStateChange(const batch::BatchJobKeySpace& aKeys,
                const batch::BatchJob& aJob,
                const batch::BatchJobState& aState)
{
  const std::string key = aKeys.StateOf(aJob.id_);
  metadata::Transaction transaction;
  transaction.expectations_.push_back({ key, aJob.stateRevision_ });
  transaction.writes_.push_back({ key, batch::EncodeState(aState), 0 });
  return transaction;
}

} // namespace pumiceturn::gateway
