#pragma once

#include "LibBatch/BatchJobKeys.h"
#include "LibBatch/SpooledJob.h"
#include "LibMetadata/StoreClient.h"

namespace pumiceturn::gateway {

/// @return what stores a new job, its content in parts. It takes effect once,
///         whoever makes it and however often: the job's state must not exist.
metadata::Transaction
MakeCreation(const batch::BatchJobKeySpace& aKeys,
             const batch::SpooledJob& aJob);

} // namespace pumiceturn::gateway
