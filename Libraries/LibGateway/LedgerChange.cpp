#include "LibGateway/LedgerChange.h"

#include "LibGateway/Events.h"

#include <algorithm>

namespace pumiceturn::gateway {

void
UpdateCachedLedger(SharedState& aShared,
                   const batch::BatchJobKeySpace& aKeys,
                   const std::string& aLedger,
                   const metadata::TransactionResponse& aResponse)
{
  const std::string key = aKeys.LedgerKey(aLedger);
  for (const metadata::StoreItem& item : aResponse.current_) {
    if (item.key_ != key || item.revision_ == 0) {
      continue;
    }
    const batch::LedgerUpdateOutcome outcome = aShared.ledgers_.Update(
      aLedger, item.value_, item.revision_, base::MonotonicNow());
    if (outcome == batch::LedgerUpdateOutcome::Malformed) {
      base::Log(kLedgerUnreadable,
                { { "ledger", aLedger }, { "revision", item.revision_ } });
    }
  }
}

bool
ContainsKey(const metadata::TransactionResponse& aResponse,
            const std::string& aKey)
{
  return std::any_of(aResponse.current_.begin(),
                     aResponse.current_.end(),
                     [&aKey](const auto& aItem) {
                       return aItem.key_ == aKey && aItem.revision_ != 0 &&
                              !aItem.isRemoved_;
                     });
}

void
AddLedgerRow(metadata::Transaction& aCreation,
             const SharedState& aShared,
             const batch::BatchJobKeySpace& aKeys,
             const std::string& aLedger,
             const std::string& aJob,
             std::uint64_t aTokens)
{
  const batch::LedgerView& view = aShared.ledgers_.Get(aLedger);
  batch::TokenLedger ledger = view.ledger_;
  ledger.Set(aJob, aTokens);
  const std::string key = aKeys.LedgerKey(aLedger);
  aCreation.expectations_.push_back({ key, view.revision_ });
  aCreation.writes_.push_back({ key, batch::EncodeLedger(ledger), 0 });
}

} // namespace pumiceturn::gateway
