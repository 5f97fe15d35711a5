#include "LibGateway/StreamOriginStore.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

using metadata::StoreStatus;

namespace {

/// Time between two writes of a process, and the writes of all of them a
/// second: a quarter of what the smallest store allows.
constexpr std::chrono::milliseconds kMinWriteInterval{ 50 };
constexpr std::size_t kMaxWritesPerSecond = 100;

/// Pause after a write that failed.
constexpr std::chrono::milliseconds kRetryPause{ 300 };

/// The store removes the key of a process that has ended after this time: later
/// than the records in it expire.
constexpr std::chrono::seconds kLeaseLifetime{ 300 };
constexpr std::chrono::seconds kLeaseUse{ 60 };

/// Least time between two reads: after a restart of all hosts, each of them
/// reads.
constexpr std::chrono::milliseconds kReadPause{ 250 };

/// Time after which nobody waits for a read that was asked for.
constexpr std::chrono::seconds kMaxRequestAge{ 1 };

} // namespace

StreamOriginStore::StreamOriginStore(metadata::StoreClient& aStore,
                                     std::string aKeyPrefix,
                                     const std::string& aOwnName)
  : store_(aStore)
  , keyPrefix_(std::move(aKeyPrefix))
  , ownKey_(keyPrefix_ + aOwnName)
{
}

void
StreamOriginStore::Add(StoredOrigin aRow, base::WallTime aNow)
{
  if (rows_.size() >= kMaxRows) {
    Expire(aNow);
  }
  if (rows_.size() >= kMaxRows) {
    ++leftOut_;
    return;
  }
  rows_.push_back(std::move(aRow));
  hasUnwritten_ = true;
}

void
StreamOriginStore::Expire(base::WallTime aNow)
{
  std::erase_if(rows_, [aNow](const StoredOrigin& aRow) {
    return aRow.expiresAt_ <= aNow;
  });
}

void
StreamOriginStore::Tick(base::Instant aNow,
                        base::WallTime aWallNow,
                        std::size_t aHosts)
{
  if (readRequestedAt_ && aNow - *readRequestedAt_ > kMaxRequestAge) {
    readRequestedAt_.reset();
  }
  if (readRequestedAt_ && !isReading_ && aNow >= sentAt_ + kReadPause) {
    Read(aNow);
  }
  if (!hasUnwritten_ || isWriting_ || aNow < nextWriteAt_) {
    return;
  }
  const base::Duration shared =
    base::Duration(std::chrono::seconds(aHosts)) / kMaxWritesPerSecond;
  nextWriteAt_ = aNow + std::max<base::Duration>(kMinWriteInterval, shared);
  Expire(aWallNow);
  if (lease_ == 0 || aNow - leaseGrantedAt_ > kLeaseUse) {
    GrantLease(aNow);
  } else {
    Write(aNow);
  }
}

void
StreamOriginStore::GrantLease(base::Instant aNow)
{
  isWriting_ = true;
  store_.GrantLease(
    kLeaseLifetime,
    lifetime_.Guard([this, aNow](const metadata::LeaseResponse& aResponse) {
      isWriting_ = false;
      if (aResponse.status_ != StoreStatus::Ok) {
        nextWriteAt_ = aNow + kRetryPause;
        return;
      }
      lease_ = aResponse.lease_;
      leaseGrantedAt_ = aNow;
      Write(aNow);
    }));
}

void
StreamOriginStore::Write(base::Instant aNow)
{
  isWriting_ = true;
  hasUnwritten_ = false;
  metadata::Transaction transaction;
  transaction.writes_.push_back({ ownKey_, EncodeOriginRows(rows_), lease_ });
  store_.Commit(
    transaction,
    lifetime_.Guard([this, aNow, rows = rows_.size()](
                      const metadata::TransactionResponse& aResponse) {
      isWriting_ = false;
      const bool isWritten = aResponse.status_ == StoreStatus::Ok;
      base::Log(kStreamRecordsStored,
                { { "rows", rows },
                  { "left_out", std::exchange(leftOut_, 0) },
                  { "written", isWritten } });
      if (isWritten) {
        return;
      }
      hasUnwritten_ = true;
      nextWriteAt_ = aNow + kRetryPause;
      if (aResponse.status_ == StoreStatus::NotFound) {
        lease_ = 0;
      }
    }));
}

void
StreamOriginStore::RequestRead(base::Instant aNow)
{
  readRequestedAt_ = aNow;
  if (!isReading_ && aNow >= sentAt_ + kReadPause) {
    Read(aNow);
  }
}

void
StreamOriginStore::Read(base::Instant aNow)
{
  isReading_ = true;
  sentAt_ = aNow;
  readRows_.clear();
  ReadAfter({}, aNow);
}

void
StreamOriginStore::ReadAfter(const std::string& aKey, base::Instant aSentAt)
{
  store_.Range(
    keyPrefix_,
    aKey,
    metadata::ReadConsistency::Linearizable,
    lifetime_.Guard([this, aSentAt](const metadata::RangeResponse& aResponse) {
      if (aResponse.status_ != StoreStatus::Ok) {
        isReading_ = false;
        return;
      }
      for (const metadata::StoreItem& item : aResponse.items_) {
        auto rows = DecodeOriginRows(item.value_);
        if (!rows) {
          base::Log(kStreamRecordsUnreadable, { { "key", item.key_ } });
          continue;
        }
        std::move(rows->begin(), rows->end(), std::back_inserter(readRows_));
      }
      if (aResponse.isTruncated_ && !aResponse.items_.empty()) {
        ReadAfter(aResponse.items_.back().key_, aSentAt);
        return;
      }
      isReading_ = false;
      if (readRequestedAt_ && *readRequestedAt_ <= aSentAt) {
        readRequestedAt_.reset();
      }
      onRead_(aSentAt, std::exchange(readRows_, {}));
    }));
}

} // namespace pumiceturn::gateway
