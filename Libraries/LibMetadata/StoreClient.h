#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pumiceturn::metadata {

/// Result of a call to the store.
enum class StoreStatus : std::uint8_t
{
  Ok,
  /// An expectation of the transaction was not met; nothing was changed.
  Conflict,
  NotFound,    ///< No such key or lease.
  HistoryLost, ///< The watch can't continue; the prefix must be read again.
  NotDone,     ///< Refused or not sent: certainly had no effect.
  Unknown,     ///< No response: may have taken effect, or may do so later.
};

/// One key as stored.
struct StoreItem
{
  std::string key_;
  std::string value_;
  /// Revision of its last change; 0: the key doesn't exist.
  std::uint64_t revision_ = 0;
  /// The key was removed; never set in a RangeResponse.
  bool isRemoved_ = false;
};

struct RangeResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::vector<StoreItem> items_;
  bool isTruncated_ = false;
  std::uint64_t storeRevision_ = 0;
};

struct WatchResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::vector<StoreItem> events_;
  std::uint64_t storeRevision_ = 0; ///< Revision to start the next watch from.
};

/// An atomic change of several keys.
struct Transaction
{
  struct Expectation
  {
    std::string key_;
    std::uint64_t revision_ = 0; ///< 0: the key must not exist.
  };
  struct Write
  {
    std::string key_;
    std::string value_;
    std::uint64_t lease_ = 0; ///< 0: the key isn't tied to a lease.
  };
  std::vector<Expectation> expectations_;
  std::vector<Write> writes_;
  std::vector<std::string> removals_;
};

struct TransactionResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::uint64_t revision_ = 0;
  /// After Conflict: the current items of the expected keys.
  std::vector<StoreItem> current_;
};

struct LeaseResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::uint64_t lease_ = 0;
};

/// How recent the result of a read must be.
enum class ReadConsistency : std::uint8_t
{
  Linearizable,
  MayBeStale, ///< May be seconds old; cheap and not limited in rate.
};

/// Client of the platform's metadata store. Calls return immediately and call
/// back exactly once, on the event thread. Watches are linearizable.
class StoreClient
{
public:
  template<typename Response>
  using Callback = std::function<void(Response)>;

  virtual ~StoreClient() = default;

  /// Reads one page of a prefix, starting after the key aAfter.
  virtual void Range(const std::string& aPrefix,
                     const std::string& aAfter,
                     ReadConsistency aConsistency,
                     Callback<RangeResponse> aCallback) = 0;

  /// Waits until a key under the prefix changes after a revision.
  /// @param aMaxWait Time after which the call completes without a change.
  virtual void Watch(const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     base::Duration aMaxWait,
                     Callback<WatchResponse> aCallback) = 0;

  virtual void Commit(const Transaction& aTransaction,
                      Callback<TransactionResponse> aCallback) = 0;

  virtual void GrantLease(base::Duration aLifetime,
                          Callback<LeaseResponse> aCallback) = 0;
  virtual void RenewLease(std::uint64_t aLease,
                          Callback<LeaseResponse> aCallback) = 0;
  virtual void EndLease(std::uint64_t aLease,
                        Callback<LeaseResponse> aCallback) = 0;
};

} // namespace pumiceturn::metadata
