#include "LibMetadata/CountingStoreClient.h"

namespace pumiceturn::metadata {

namespace {

/// @return the first two parts of a key: the group that it belongs to.
std::string_view
GroupOf(std::string_view aKey)
{
  const std::size_t first = aKey.find('/');
  const std::size_t second =
    first == std::string_view::npos ? first : aKey.find('/', first + 1);
  return second == std::string_view::npos ? aKey.substr(0, first + 1)
                                          : aKey.substr(0, second + 1);
}

std::string_view
GroupOf(const Transaction& aTransaction)
{
  if (!aTransaction.writes_.empty()) {
    return GroupOf(aTransaction.writes_.front().key_);
  }
  if (!aTransaction.removals_.empty()) {
    return GroupOf(aTransaction.removals_.front());
  }
  return aTransaction.expectations_.empty()
           ? std::string_view()
           : GroupOf(aTransaction.expectations_.front().key_);
}

} // namespace

void
CountingStoreClient::Count(std::string_view aCall, std::string_view aKeys)
{
  ++counts_[{ std::string(aCall), std::string(aKeys) }];
  onCall_(aCall, aKeys);
}

void
CountingStoreClient::Range(const std::string& aPrefix,
                           const std::string& aAfter,
                           ReadConsistency aConsistency,
                           Callback<RangeResponse> aCallback)
{
  Count(aConsistency == ReadConsistency::MayBeStale ? "stale_range" : "range",
        GroupOf(aPrefix));
  client_.Range(aPrefix, aAfter, aConsistency, std::move(aCallback));
}

void
CountingStoreClient::Watch(const std::string& aPrefix,
                           std::uint64_t aAfterRevision,
                           base::Duration aMaxWait,
                           Callback<WatchResponse> aCallback)
{
  Count("watch", GroupOf(aPrefix));
  client_.Watch(aPrefix, aAfterRevision, aMaxWait, std::move(aCallback));
}

void
CountingStoreClient::Commit(const Transaction& aTransaction,
                            Callback<TransactionResponse> aCallback)
{
  Count("commit", GroupOf(aTransaction));
  client_.Commit(aTransaction, std::move(aCallback));
}

void
CountingStoreClient::GrantLease(base::Duration aLifetime,
                                Callback<LeaseResponse> aCallback)
{
  Count("lease_grant", {});
  client_.GrantLease(aLifetime, std::move(aCallback));
}

void
CountingStoreClient::RenewLease(std::uint64_t aLease,
                                Callback<LeaseResponse> aCallback)
{
  Count("lease_renew", {});
  client_.RenewLease(aLease, std::move(aCallback));
}

void
CountingStoreClient::EndLease(std::uint64_t aLease,
                              Callback<LeaseResponse> aCallback)
{
  Count("lease_end", {});
  client_.EndLease(aLease, std::move(aCallback));
}

} // namespace pumiceturn::metadata
