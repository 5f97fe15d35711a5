#pragma once

#include "LibBatch/BatchJobKeys.h"
#include "LibGateway/Shared.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <string>

namespace pumiceturn::gateway {

/// Takes over the ledger that a refused transaction brought.
void
LearnLedger(Shared& aShared,
            const batch::BatchJobKeySpace& aKeys,
            const std::string& aLedger,
            const metadata::TransactionReply& aReply);

/// @return whether the reply to a refused transaction shows that a key exists.
bool
ShowsKey(const metadata::TransactionReply& aReply, const std::string& aKey);

/// Adds a job's row to its ledger, in the transaction that creates the
/// job, under the condition that the ledger is as known here.
void
AddRow(metadata::Transaction& aCreation,
       const Shared& aShared,
       const batch::BatchJobKeySpace& aKeys,
       const std::string& aLedger,
       const std::string& aJob,
       std::uint64_t aTokens);

} // namespace pumiceturn::gateway
