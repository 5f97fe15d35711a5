#include "LibGateway/ProgressKeeper.h"

#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Shortest time between two calls of a host: what a failure costs an item.
constexpr std::chrono::milliseconds kInterval{ 1000 };

/// Each host's share of the calls; all hosts together make 20 a second, a
/// twentieth of what the platform allows.
constexpr std::chrono::milliseconds kIntervalOfEachHost{ 50 };

/// Lots in one call: an expectation and a write each, of the platform's 32.
constexpr std::size_t kMostLots = 15;

/// Output in one call. The store takes values up to 1 MB in base64.
constexpr std::size_t kMostBytes = 400000;

std::size_t
SizeOf(const LotProgress& aLot)
{
  std::size_t bytes = 0;
  for (const auto& [item, run] : aLot.runs_) {
    bytes += item.size() + run.output_.size();
  }
  return bytes;
}

} // namespace

ProgressKeeper::ProgressKeeper(metadata::StoreClient& aStore,
                               const lots::LotKeySpace& aKeys)
  : store_(aStore)
  , keys_(aKeys)
{
}

bool
ProgressKeeper::IsDue(std::size_t aHosts, base::Instant aNow) const
{
  const base::Duration interval =
    std::max<base::Duration>(kInterval, kIntervalOfEachHost * aHosts);
  return !isUnderWay_ && aNow - last_ >= interval;
}

bool
ProgressKeeper::HasAdvanced(const LotProgress& aLot) const
{
  const auto stored = stored_.find(aLot.lot_);
  return std::any_of(
    aLot.runs_.begin(), aLot.runs_.end(), [&](const auto& aRun) {
      if (stored == stored_.end()) {
        return true;
      }
      const auto event = stored->second.events_.find(aRun.first);
      return event == stored->second.events_.end() ||
             event->second < aRun.second.lastEvent_;
    });
}

base::Instant
ProgressKeeper::StoredAt(const LotProgress& aLot) const
{
  const auto stored = stored_.find(aLot.lot_);
  return stored == stored_.end() ? base::Instant{} : stored->second.at_;
}

void
ProgressKeeper::Store(std::vector<LotProgress> aLots, base::Instant aNow)
{
  std::erase_if(aLots,
                [this](const LotProgress& aLot) { return !HasAdvanced(aLot); });
  std::stable_sort(aLots.begin(),
                   aLots.end(),
                   [this](const LotProgress& aLeft, const LotProgress& aRight) {
                     return StoredAt(aLeft) < StoredAt(aRight);
                   });
  metadata::Transaction transaction;
  std::vector<LotProgress> sent;
  std::size_t bytes = 0;
  for (LotProgress& lot : aLots) {
    const std::size_t size = SizeOf(lot);
    if (sent.size() == kMostLots || bytes + size > kMostBytes) {
      continue;
    }
    bytes += size;
    // A lot that was closed or taken over gets no more progress: its keys may
    // be removed already.
    transaction.expectations_.push_back(
      { keys_.StateOf(lot.lot_), lot.stateRevision_ });
    transaction.writes_.push_back(
      { keys_.MakeKey({ lot.lot_, lots::KeyPart::Progress, 0 }),
        lots::EncodeProgress(lot.runs_),
        0 });
    sent.push_back(std::move(lot));
  }
  if (sent.empty()) {
    return;
  }
  last_ = aNow;
  isUnderWay_ = true;
  store_.Commit(transaction,
                [this, sent = std::move(sent), aNow](
                  const metadata::TransactionReply& aReply) {
                  isUnderWay_ = false;
                  // After a failure the next call has newer progress; after a
                  // conflict the mirror tells which lot is another's now.
                  if (aReply.status_ != metadata::StoreStatus::Ok) {
                    return;
                  }
                  for (const LotProgress& lot : sent) {
                    NoteStored(lot, aNow);
                  }
                });
}

void
ProgressKeeper::NoteStored(const LotProgress& aLot, base::Instant aNow)
{
  Stored& stored = stored_[aLot.lot_];
  stored.at_ = aNow;
  stored.events_.clear();
  for (const auto& [item, run] : aLot.runs_) {
    stored.events_[item] = run.lastEvent_;
  }
}

} // namespace pumiceturn::gateway
