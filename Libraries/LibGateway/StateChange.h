#pragma once

#include "LibBatch/BatchJobKeys.h"
#include "LibMetadata/StoreClient.h"

namespace pumiceturn::gateway {

/// @return a transaction that changes a job's state and expects the known
///   revision, so that of several concurrent changes only one succeeds.
inline metadata::Transaction
MakeStateChange(const batch::BatchJobKeySpace& aKeys,
                const batch::BatchJob& aJob,
                const batch::BatchJobState& aState)
{
  const std::string key = aKeys.StateKey(aJob.id_);
  metadata::Transaction transaction;
  transaction.expectations_.push_back({ key, aJob.stateRevision_ });
  transaction.writes_.push_back({ key, batch::EncodeState(aState), 0 });
  return transaction;
}

} // namespace pumiceturn::gateway
