#include "LibGateway/HeldLots.h"

#include "LibGateway/Events.h"
#include "LibGateway/LedgerChange.h"
#include "LibGateway/LotCreation.h"
#include "LibHttpStream/Status.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::gateway {

namespace {

/// All lots kept at once: the largest that the platform takes, several times.
constexpr std::size_t kMostBytes = 33554432;

/// How long the host that is to run a lot is left to store it alone. Within a
/// second of its acceptance, other hosts must know the lot.
constexpr std::chrono::milliseconds kOwnerFirst{ 300 };

/// How long a lot that was stored still counts as held: this host's view of the
/// ledger may be older than the lot's row by the mirror's pause, the pause
/// between two changes of the ledger, and a call without an answer.
constexpr std::chrono::seconds kLedgerLag{ 3 };

/// Pause before a failed call is made again, and how long a call may take.
constexpr std::chrono::milliseconds kRetryPause{ 300 };
constexpr std::chrono::milliseconds kCallTimeout{ 1500 };

} // namespace

HeldLots::HeldLots(boost::asio::io_context& aContext,
                   Shared& aShared,
                   metadata::StoreClient& aStore,
                   const metadata::StoreHealth& aHealth,
                   const lots::LotTable& aLots,
                   const lots::HostSet& aHosts,
                   std::string aOwnName,
                   const std::filesystem::path& aFolder,
                   base::Duration aRetention,
                   double aCapShare,
                   std::size_t aCopies)
  : shared_(aShared)
  , store_(aStore)
  , health_(aHealth)
  , lots_(aLots)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , retention_(aRetention)
  , capShare_(aCapShare)
  , copies_(aCopies)
  , files_(aFolder)
  , disk_(aContext)
{
}

void
HeldLots::Start()
{
  auto lots = std::make_shared<std::vector<lots::HeldLot>>();
  disk_.Run(
    [this, lots] { *lots = files_.ReadAll(); },
    [this, lots] {
      const base::Instant now = base::MonotonicNow();
      for (lots::HeldLot& lot : *lots) {
        base::Log(kLotHeld, { { "lot", lot.id_ }, { "from", "disk" } });
        const std::string id = lot.id_;
        const std::uint64_t tokens = TokensOf(lot);
        held_.try_emplace(id, Entry{ std::move(lot), tokens, now, now, true });
      }
    });
}

const fleet::Route*
HeldLots::CappedRouteOf(const lots::HeldLot& aLot) const
{
  return shared_.routes_.FindCapped(aLot.state_.hostName_, aLot.state_.path_);
}

std::string
HeldLots::LedgerOf(const lots::HeldLot& aLot) const
{
  const fleet::Route* route = CappedRouteOf(aLot);
  return route == nullptr
           ? std::string()
           : lots::LedgerName(route->name_, aLot.state_.organisation_);
}

std::uint64_t
HeldLots::TokensOf(const lots::HeldLot& aLot) const
{
  const auto content = shared_.codec_.ReadLotContent(aLot.content_);
  const auto* items = std::get_if<std::vector<lots::LotItem>>(&content);
  return items == nullptr ? 0 : lots::TokensOf(*items);
}

bool
HeldLots::IsWithinCap(const lots::HeldLot& aLot, std::uint64_t aTokens) const
{
  const fleet::Route* route = CappedRouteOf(aLot);
  if (route == nullptr) {
    return true;
  }
  const std::string ledger = LedgerOf(aLot);
  std::uint64_t held = aTokens;
  for (const auto& [id, entry] : held_) {
    held += LedgerOf(entry.lot_) == ledger ? entry.tokens_ : 0;
  }
  for (const StoredLot& stored : stored_) {
    held += stored.ledger_ == ledger ? stored.tokens_ : 0;
  }
  // Accepting by the ledger keeps to the cap itself, so what is beyond it there
  // and on all disks must stay within what the bound allows. Each lot is on so
  // many of the workers' disks.
  const std::uint64_t cap = route->waitingTokenCap_;
  const std::uint64_t counted = shared_.ledgers_.Of(ledger).ledger_.Total();
  const double beyond = static_cast<double>(counted > cap ? counted - cap : 0);
  const double workers =
    static_cast<double>(std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const double onAllDisks =
    static_cast<double>(held) *
    std::max(workers / static_cast<double>(copies_), 1.0);
  return onAllDisks + beyond <= static_cast<double>(cap) * capShare_;
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

bool
HeldLots::IsAnothers(const lots::HeldLot& aLot) const
{
  const std::string& organisation = aLot.state_.organisation_;
  if (const lots::Lot* known = lots_.Find(aLot.id_)) {
    return known->state_.organisation_ != organisation;
  }
  const auto held = held_.find(aLot.id_);
  return held != held_.end() &&
         held->second.lot_.state_.organisation_ != organisation;
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
  if (IsAnothers(*lot)) {
    aExchange->Answer(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  if (lots_.Find(lot->id_) != nullptr) {
    aExchange->Answer(httpstream::MakeResponse(httpstream::kStatusOk, {}));
    return;
  }
  const std::uint64_t tokens = TokensOf(*lot);
  if (!held_.contains(lot->id_) && !IsWithinCap(*lot, tokens)) {
    base::Log(kLotNotHeld,
              { { "lot", lot->id_ }, { "code", "cap" }, { "tokens", tokens } });
    aExchange->Answer(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const std::string id = lot->id_;
  const bool isOwner = hosts_.OwnerFor(id) == ownName_;
  const base::Instant tryAt = isOwner ? now : now + kOwnerFirst;
  const auto [entry, isNew] =
    held_.try_emplace(id, Entry{ std::move(*lot), tokens, now, tryAt, false });
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
  std::erase_if(stored_, [aNow](const StoredLot& aLot) {
    return aNow - aLot.at_ > kLedgerLag;
  });
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
  metadata::Transaction creation = MakeCreation(lots_.Keys(), aEntry.lot_);
  const std::string ledger = LedgerOf(aEntry.lot_);
  if (!ledger.empty()) {
    // Accepted long since: it counts whether it fits or not.
    AddRow(
      creation, shared_, lots_.Keys(), ledger, aEntry.lot_.id_, aEntry.tokens_);
  }
  store_.Commit(creation,
                [this, id = aEntry.lot_.id_, ledger](
                  const metadata::TransactionReply& aReply) {
                  OnStored(id, ledger, aReply);
                });
}

void
HeldLots::OnStored(const std::string& aLot,
                   const std::string& aLedger,
                   const metadata::TransactionReply& aReply)
{
  using metadata::StoreStatus;
  const auto found = held_.find(aLot);
  if (found == held_.end()) {
    return;
  }
  const bool hasLedger = !aLedger.empty();
  const bool isConflict = aReply.status_ == StoreStatus::Conflict;
  // Another host, or an earlier try, has stored it.
  const bool isThere =
    isConflict && (!hasLedger || ShowsKey(aReply, lots_.Keys().StateOf(aLot)));
  if (aReply.status_ == StoreStatus::Ok || isThere) {
    Drop(aLot, "stored");
    return;
  }
  if (isConflict) {
    LearnLedger(shared_, lots_.Keys(), aLedger, aReply);
    found->second.tryAt_ = base::MonotonicNow();
    return;
  }
  found->second.tryAt_ = base::MonotonicNow() + kRetryPause;
}

void
HeldLots::Drop(const std::string& aLot, std::string_view aReason)
{
  const auto found = held_.find(aLot);
  if (std::string ledger = LedgerOf(found->second.lot_); !ledger.empty()) {
    stored_.push_back(
      { std::move(ledger), found->second.tokens_, base::MonotonicNow() });
  }
  base::Log(
    kLotNoLongerHeld,
    { { "lot", aLot },
      { "reason", aReason },
      { "ms", base::ToMs(base::MonotonicNow() - found->second.since_) } });
  held_.erase(found);
  disk_.Run([this, aLot] { files_.Remove(aLot); });
}

} // namespace pumiceturn::gateway
