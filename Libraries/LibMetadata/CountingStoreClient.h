#pragma once

#include "LibMetadata/StoreClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace pumiceturn::metadata {

/// Passes calls on to another client and reports each by its kind and the group
/// of keys that it concerns, as all calls to the store are limited and priced.
class CountingStoreClient : public StoreClient
{
public:
  /// @param aCall Kind of the call, such as "watch".
  /// @param aKeys Group of keys, such as "pumiceturn/host/"; empty for leases.
  using CallHandler =
    std::function<void(std::string_view aCall, std::string_view aKeys)>;

  /// Number of calls by kind and group of keys.
  using CallCounts =
    std::map<std::pair<std::string, std::string>, std::uint64_t>;

  CountingStoreClient(StoreClient& aClient, CallHandler aOnCall)
    : client_(aClient)
    , onCall_(std::move(aOnCall))
  {
  }

  [[nodiscard]] const CallCounts& Counts() const { return counts_; }

  void Range(const std::string& aPrefix,
             const std::string& aAfter,
             ReadConsistency aConsistency,
             Callback<RangeResponse> aCallback) override;
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             base::Duration aMaxWait,
             Callback<WatchResponse> aCallback) override;
  void Commit(const Transaction& aTransaction,
              Callback<TransactionResponse> aCallback) override;
  void GrantLease(base::Duration aLifetime,
                  Callback<LeaseResponse> aCallback) override;
  void RenewLease(std::uint64_t aLease,
                  Callback<LeaseResponse> aCallback) override;
  void EndLease(std::uint64_t aLease,
                Callback<LeaseResponse> aCallback) override;

private:
  void Count(std::string_view aCall, std::string_view aKeys);

  StoreClient& client_;
  CallHandler onCall_;
  CallCounts counts_;
};

} // namespace pumiceturn::metadata
