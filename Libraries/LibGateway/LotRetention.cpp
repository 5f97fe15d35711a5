#include "LibGateway/LotRetention.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// How often a host looks for lots to remove.
constexpr std::chrono::seconds kLookInterval{ 5 };

/// Lots that a host removes at a time: two calls each, spread over time.
constexpr std::size_t kMostAtOnce = 4;

/// Keys in one transaction, of the platform's 32.
constexpr std::size_t kMostRemovals = 30;

/// An open lot is removed too when it is this many times as old: its route has
/// gone, or its sender never came back.
constexpr int kOpenLotFactor = 10;

} // namespace

LotRetention::LotRetention(metadata::StoreClient& aStore,
                           const lots::LotTable& aLots,
                           const lots::HostSet& aHosts,
                           std::string aOwnName,
                           base::Duration aRetention)
  : store_(aStore)
  , lots_(aLots)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , retention_(aRetention)
{
}

bool
LotRetention::IsOver(const lots::Lot& aLot, base::WallTime aWallNow) const
{
  const base::Duration age =
    aWallNow - base::FromUnixMs(aLot.state_.acceptedAtMs_);
  return age > (aLot.IsOpen() ? retention_ * kOpenLotFactor : retention_);
}

void
LotRetention::Tick(base::Instant aNow, base::WallTime aWallNow)
{
  if (aNow < nextLook_) {
    return;
  }
  nextLook_ = aNow + kLookInterval;
  for (const std::string& id : lots_.AllLots()) {
    if (underWay_ >= kMostAtOnce) {
      return;
    }
    if (IsOver(*lots_.Find(id), aWallNow) && hosts_.OwnerFor(id) == ownName_) {
      Remove(id);
    }
  }
}

void
LotRetention::Remove(const std::string& aLot)
{
  ++underWay_;
  store_.Range(
    lots_.Keys().DataOf(aLot), {}, [this, aLot](metadata::RangeReply aReply) {
      if (aReply.status_ != metadata::StoreStatus::Ok) {
        --underWay_;
        return;
      }
      const std::size_t count = std::min(aReply.items_.size(), kMostRemovals);
      metadata::Transaction transaction;
      for (std::size_t index = 0; index < count; ++index) {
        transaction.removals_.push_back(std::move(aReply.items_[index].key_));
      }
      // The state goes last: as long as it is there, a later look goes on.
      const bool isLast = count == aReply.items_.size() && !aReply.isTruncated_;
      if (isLast) {
        transaction.removals_.push_back(lots_.Keys().StateOf(aLot));
      }
      base::Log(kLotRemoved,
                { { "lot", aLot }, { "keys", count }, { "last", isLast } });
      store_.Commit(transaction,
                    [this](const metadata::TransactionReply&) { --underWay_; });
    });
}

} // namespace pumiceturn::gateway
