#pragma once

#include "LibBase/Time.h"
#include "LibMetadata/StoreClient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <utility>

namespace pumiceturn::gateway {

/// A client of which only reads and writes are called.
class ReadWriteClient : public metadata::StoreClient
{
public:
  void Watch(const std::string& /*aPrefix*/,
             std::uint64_t /*aAfterRevision*/,
             base::Duration /*aMaxWait*/,
             Callback<metadata::WatchResponse> /*aCallback*/) override
  {
  }
  void GrantLease(base::Duration /*aLifetime*/,
                  Callback<metadata::LeaseResponse> /*aCallback*/) override
  {
  }
  void RenewLease(std::uint64_t /*aLease*/,
                  Callback<metadata::LeaseResponse> /*aCallback*/) override
  {
  }
  void EndLease(std::uint64_t /*aLease*/,
                Callback<metadata::LeaseResponse> /*aCallback*/) override
  {
  }
};

/// A store of one entry on virtual time: a call takes effect at one moment
/// between its start and its response, and may get no response.
class ModelVersionStore : public ReadWriteClient
{
public:
  /// Granularity of the virtual time.
  static constexpr std::chrono::milliseconds kStep{ 10 };

  /// @param aNow The virtual time.
  /// @param aKey The only key of the store.
  ModelVersionStore(const base::Instant& aNow,
                    std::mt19937& aRandom,
                    std::string aKey)
    : now_(aNow)
    , random_(aRandom)
    , key_(std::move(aKey))
  {
  }

  /// Runs what is due.
  void Run()
  {
    for (std::size_t at = 0; at < calls_.size(); ++at) {
      if (calls_[at].at_ > now_) {
        continue;
      }
      const auto run = std::move(calls_[at].run_);
      calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(at));
      run();
      at = static_cast<std::size_t>(-1);
    }
  }

  /// Lets something happen on the virtual time.
  void RunAfter(base::Duration aTime, std::function<void()> aRun)
  {
    calls_.push_back({ now_ + aTime, std::move(aRun) });
  }

  void SetSlowest(base::Duration aTime) { slowest_ = aTime; }
  void SetAway(bool aIsAway) { isAway_ = aIsAway; }

  void Range(const std::string& /*aPrefix*/,
             const std::string& /*aAfter*/,
             metadata::ReadConsistency /*aConsistency*/,
             Callback<metadata::RangeResponse> aCallback) override
  {
    const bool isLost = isAway_;
    Call([this, isLost, aCallback = std::move(aCallback)] {
      metadata::RangeResponse response;
      if (!isLost) {
        response.status_ = metadata::StoreStatus::Ok;
        if (!value_.empty()) {
          response.items_.push_back({ key_, value_, revision_ });
        }
      }
      Call([response, aCallback] { aCallback(response); });
    });
  }

  void Commit(const metadata::Transaction& aTransaction,
              Callback<metadata::TransactionResponse> aCallback) override
  {
    const bool isLost = isAway_;
    Call([this, isLost, aTransaction, aCallback = std::move(aCallback)] {
      metadata::TransactionResponse response;
      if (!isLost) {
        const bool isExpected = aTransaction.expectations_.front().revision_ ==
                                (value_.empty() ? 0 : revision_);
        response.status_ = isExpected ? metadata::StoreStatus::Ok
                                      : metadata::StoreStatus::Conflict;
        if (isExpected) {
          value_ = aTransaction.writes_.empty()
                     ? std::string()
                     : aTransaction.writes_.front().value_;
          response.revision_ = ++revision_;
        }
      }
      Call([response, aCallback] { aCallback(response); });
    });
  }

private:
  struct PendingCall
  {
    base::Instant at_;
    std::function<void()> run_;
  };

  void Call(std::function<void()> aRun)
  {
    const auto steps = std::uniform_int_distribution<int>(
      0, static_cast<int>(slowest_ / kStep))(random_);
    RunAfter(steps * kStep, std::move(aRun));
  }

  const base::Instant& now_;
  std::mt19937& random_;
  std::string key_;
  std::deque<PendingCall> calls_;
  std::string value_;
  std::uint64_t revision_ = 0;
  base::Duration slowest_{ std::chrono::milliseconds{ 20 } };
  bool isAway_ = false;
};

} // namespace pumiceturn::gateway
