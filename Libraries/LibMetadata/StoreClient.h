#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pumiceturn::metadata {

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t
{
  Ok,
  Conflict,    ///< A transaction's expectation failed; nothing was done.
  NotFound,    ///< No such key or lease.
  HistoryLost, ///< A watch can't go on; read the prefix anew.
  NotDone,     ///< Refused or not sent: certainly without effect.
  Unknown,     ///< No answer: may have taken effect, or may do so later.
};

/// One key as stored.
struct StoreItem
{
  std::string key_;
  std::string value_;
  std::uint64_t revision_ = 0; ///< Of its last change; 0: not there.
  bool removed_ = false;       ///< In a watch's events only.
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
  std::uint64_t storeRevision_ = 0; ///< Where the next watch goes on.
};

/// A change of several keys, all or nothing.
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
    std::uint64_t lease_ = 0; ///< 0: the key lasts.
  };
  std::vector<Expectation> expectations_;
  std::vector<Write> writes_;
  std::vector<std::string> removals_;
};

struct TransactionResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::uint64_t revision_ = 0;
  std::vector<StoreItem> current_; ///< After Conflict: the expected keys.
};

struct LeaseResponse
{
  StoreStatus status_ = StoreStatus::Unknown;
  std::uint64_t lease_ = 0;
};

/// The platform's metadata store. Calls return at once and call back on the
/// event thread, exactly once. Reads are linearizable.
class StoreClient
{
public:
  template<typename Response>
  using Callback = std::function<void(Response)>;

  virtual ~StoreClient() = default;

  /// Reads one page of a prefix, of the keys that follow aAfter.
  virtual void Range(const std::string& aPrefix,
                     const std::string& aAfter,
                     Callback<RangeResponse> aCallback) = 0;

  /// Waits until something under the prefix changes after a revision.
  virtual void Watch(const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     base::Duration aLongestWait,
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
