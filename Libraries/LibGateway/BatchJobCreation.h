#pragma once

#include "LibBatch/BatchJobKeys.h"
#include "LibBatch/SpooledJob.h"
#include "LibMetadata/StoreClient.h"

namespace pumiceturn::gateway {

/// @return a transaction that creates a job and stores its content in parts. It
///   expects that the job doesn't exist, so it takes effect only once.
metadata::Transaction
MakeCreationTransaction(const batch::BatchJobKeySpace& aKeys,
                        const batch::SpooledJob& aJob);

} // namespace pumiceturn::gateway
