#pragma once

#include "LibMetadata/StoreClient.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::metadata {

/// Records calls, which the test responds to.
class FakeStore : public StoreClient
{
public:
  struct WatchCall
  {
    std::uint64_t after_ = 0;
    Callback<WatchResponse> callback_;
  };

  void Range(const std::string& /*aPrefix*/,
             const std::string& aAfter,
             ReadConsistency aConsistency,
             Callback<RangeResponse> aCallback) override
  {
    lastConsistency_ = aConsistency;
    ranges_.push_back({ aAfter, std::move(aCallback) });
  }
  void Watch(const std::string& /*aPrefix*/,
             std::uint64_t aAfterRevision,
             base::Duration /*aMaxWait*/,
             Callback<WatchResponse> aCallback) override
  {
    watches_.push_back({ aAfterRevision, std::move(aCallback) });
  }
  void Commit(const Transaction& aTransaction,
              Callback<TransactionResponse> aCallback) override
  {
    commits_.push_back({ aTransaction, std::move(aCallback) });
  }
  void GrantLease(base::Duration /*aLifetime*/,
                  Callback<LeaseResponse> aCallback) override
  {
    grants_.push_back(std::move(aCallback));
  }
  void RenewLease(std::uint64_t /*aLease*/,
                  Callback<LeaseResponse> aCallback) override
  {
    renewals_.push_back(std::move(aCallback));
  }
  void EndLease(std::uint64_t /*aLease*/,
                Callback<LeaseResponse> aCallback) override
  {
    ends_.push_back(std::move(aCallback));
  }

  /// Removes and returns the oldest call of a queue.
  template<typename Call>
  static Call Pop(std::deque<Call>& aCalls)
  {
    Call call = std::move(aCalls.front());
    aCalls.pop_front();
    return call;
  }

  std::deque<std::pair<std::string, Callback<RangeResponse>>> ranges_;
  ReadConsistency lastConsistency_ = ReadConsistency::Linearizable;
  std::deque<WatchCall> watches_;
  std::deque<std::pair<Transaction, Callback<TransactionResponse>>> commits_;
  std::deque<Callback<LeaseResponse>> grants_;
  std::deque<Callback<LeaseResponse>> renewals_;
  std::deque<Callback<LeaseResponse>> ends_;
};

} // namespace pumiceturn::metadata
