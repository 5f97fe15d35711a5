#include "LibGateway/HeldLots.h"

#include "LibGateway/Events.h"
#include "LibGateway/LotCreation.h"
#include "LibHttpStream/Status.h"

#include <utility>
#include <vector>

namespace pumiceturn::gateway {

namespace {

/// All lots kept at once: the largest that the platform takes, several times.
constexpr std::size_t kMostBytes = 33554432;

/// How long the host that is to run a lot is left to store it alone. Within a
/// second of its acceptance, other hosts must know the lot.
constexpr std::chrono::milliseconds kOwnerFirst{ 300 };

/// Pause before a failed call is made again, and how long a call may take.
constexpr std::chrono::milliseconds kRetryPause{ 300 };
constexpr std::chrono::milliseconds kCallTimeout{ 1500 };

} // namespace

HeldLots::HeldLots(boost::asio::io_context& aContext,
                   metadata::StoreClient& aStore,
                   const metadata::StoreHealth& aHealth,
                   const lots::LotTable& aLots,
                   const lots::HostSet& aHosts,
                   std::string aOwnName,
                   const std::filesystem::path& aFolder,
                   base::Duration aRetention)
  : store_(aStore)
  , health_(aHealth)
  , lots_(aLots)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , retention_(aRetention)
  , files_(aFolder)
  , disk_(aContext)
{
}

void
HeldLots::Start()
{
  auto lots = std::make_shared<std::vector<lots::HeldLot>>();
  disk_.Run([this, lots] { *lots = files_.ReadAll(); },
            [this, lots] {
              const base::Instant now = base::MonotonicNow();
              for (lots::HeldLot& lot : *lots) {
                base::Log(kLotHeld, { { "lot", lot.id_ }, { "from", "disk" } });
                const std::string id = lot.id_;
                held_.try_emplace(id, Entry{ std::move(lot), now, now, true });
              }
            });
}

std::size_t
HeldLots::Bytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, entry] : held_) {
    bytes += entry.lot_.content_.size();
  }
  return bytes;
}

void
HeldLots::Hold(const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  const std::string& body = aExchange->GetRequest().body();
  auto lot = lots::DecodeHeldLot(body);
  if (!lot) {
    aExchange->Answer(
      httpstream::MakeResponse(httpstream::kStatusBadRequest, {}));
    return;
  }
  if (isLeaving_ || Bytes() + body.size() > kMostBytes) {
    aExchange->Answer(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  if (lots_.Find(lot->id_) != nullptr) {
    aExchange->Answer(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const std::string id = lot->id_;
  const bool isOwner = hosts_.OwnerFor(id) == ownName_;
  const base::Instant tryAt = isOwner ? now : now + kOwnerFirst;
  const auto [entry, isNew] =
    held_.try_emplace(id, Entry{ std::move(*lot), now, tryAt, false });
  if (entry->second.isWritten_) {
    aExchange->Answer(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  entry->second.waiting_.push_back(aExchange);
  if (!isNew) {
    return;
  }
  auto outcome = std::make_shared<lots::WriteOutcome>();
  disk_.Run([this,
             outcome,
             copy = entry->second.lot_] { *outcome = files_.Write(copy); },
            [this, outcome, id] { OnWritten(id, *outcome); });
}

void
HeldLots::OnWritten(const std::string& aLot, const lots::WriteOutcome& aOutcome)
{
  // An entry stays until it is written.
  const auto found = held_.find(aLot);
  Entry& entry = found->second;
  const auto waiting = std::exchange(entry.waiting_, {});
  unsigned status = httpstream::kStatusOk;
  if (aOutcome.error_) {
    base::Log(kLotNotHeld,
              { { "lot", aLot },
                { "code", base::NameOf(aOutcome.error_->code_) },
                { "error", aOutcome.error_->detail_ } });
    held_.erase(found);
    // A file that may be there is stored after a restart: not a refusal.
    status = aOutcome.mayBeThere_ ? httpstream::kStatusGatewayTimeout
                                  : httpstream::kStatusUnavailable;
  } else {
    base::Log(kLotHeld, { { "lot", aLot }, { "from", "peer" } });
    entry.isWritten_ = true;
  }
  for (const auto& exchange : waiting) {
    exchange->Answer(httpstream::MakeResponse(status, {}));
  }
}

void
HeldLots::Tick(base::Instant aNow, base::WallTime aWallNow)
{
  std::vector<std::string> ids;
  for (const auto& [id, entry] : held_) {
    ids.push_back(id);
  }
  for (const std::string& id : ids) {
    Entry& entry = held_.at(id);
    if (!entry.isWritten_) {
      continue;
    }
    const base::Duration age =
      aWallNow - base::FromUnixMs(entry.lot_.state_.acceptedAtMs_);
    if (lots_.Find(id) != nullptr) {
      Drop(id, "stored");
    } else if (age > retention_) {
      Drop(id, "too old");
    } else if (!health_.IsLost() && aNow >= entry.tryAt_) {
      Store(entry, aNow);
    }
  }
}

void
HeldLots::Store(Entry& aEntry, base::Instant aNow)
{
  aEntry.tryAt_ = aNow + kCallTimeout;
  store_.Commit(
    MakeCreation(lots_.Keys(), aEntry.lot_),
    [this, id = aEntry.lot_.id_](const metadata::TransactionReply& aReply) {
      OnStored(id, aReply.status_);
    });
}

void
HeldLots::OnStored(const std::string& aLot, metadata::StoreStatus aStatus)
{
  using metadata::StoreStatus;
  const auto found = held_.find(aLot);
  if (found == held_.end()) {
    return;
  }
  // A conflict says that another host, or an earlier try, has stored it.
  if (aStatus == StoreStatus::Ok || aStatus == StoreStatus::Conflict) {
    Drop(aLot, "stored");
    return;
  }
  found->second.tryAt_ = base::MonotonicNow() + kRetryPause;
}

void
HeldLots::Drop(const std::string& aLot, std::string_view aReason)
{
  const auto found = held_.find(aLot);
  base::Log(
    kLotNoLongerHeld,
    { { "lot", aLot },
      { "reason", aReason },
      { "ms", base::ToMs(base::MonotonicNow() - found->second.since_) } });
  held_.erase(found);
  disk_.Run([this, aLot] { files_.Remove(aLot); });
}

} // namespace pumiceturn::gateway
