#pragma once

#include "LibBatch/BatchJobKeys.h"
#include "LibGateway/SharedState.h"
#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <string>

namespace pumiceturn::gateway {

/// Updates the cached ledger from the response to a conflicting transaction.
void
UpdateCachedLedger(SharedState& aShared,
                   const batch::BatchJobKeySpace& aKeys,
                   const std::string& aLedger,
                   const metadata::TransactionResponse& aResponse);

/// @return whether the response to a conflicting transaction shows that a key
///   exists.
bool
ContainsKey(const metadata::TransactionResponse& aResponse,
            const std::string& aKey);

/// Extends the transaction that creates a job: it also adds the job's row to
/// the ledger, and expects the cached revision of the ledger.
void
AddLedgerRow(metadata::Transaction& aCreation,
             const SharedState& aShared,
             const batch::BatchJobKeySpace& aKeys,
             const std::string& aLedger,
             const std::string& aJob,
             std::uint64_t aTokens);

} // namespace pumiceturn::gateway
