#include "LibGateway/LedgerKeeper.h"

#include "LibGateway/LedgerChange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Pause between two changes of a ledger by one host: near the cap, so that a
/// refusal rests on a count that is at most a second old with the store's
/// answer and one repetition; and elsewhere.
constexpr std::chrono::milliseconds kPauseNearCap{ 250 };
constexpr std::chrono::seconds kPauseElsewhere{ 5 };

/// Share of the cap from which on a route counts as near it. A flood of 25
/// times the usual lots fills the other half in 3 s.
constexpr double kNearCap = 0.5;

/// A host with lots on a capped route stores its rows at least this often, and
/// so learns of a ledger that someone else has spoiled.
constexpr std::chrono::seconds kLongestPause{ 10 };

/// How long a row's lot must be unknown to be taken for one that was removed
/// after its retention. Mirrors of lots are some seconds old at most.
constexpr std::chrono::seconds kGoneAfter{ 60 };

} // namespace

LedgerKeeper::LedgerKeeper(Shared& aShared,
                           metadata::StoreClient& aStore,
                           const lots::LotTable& aLots,
                           const lots::HostSet& aHosts,
                           std::string aOwnName)
  : shared_(aShared)
  , store_(aStore)
  , lots_(aLots)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
{
}

void
LedgerKeeper::Tick(const std::vector<WaitingLot>& aOwn, base::Instant aNow)
{
  for (const fleet::Route& route : shared_.routes_.CappedRoutes()) {
    Update(route, aOwn, aNow);
  }
}

base::Duration
LedgerKeeper::PauseFor(const fleet::Route& aRoute,
                       const RouteUpdate& aUpdate) const
{
  // The view may be from before a flood; lots are spread evenly over the hosts
  // that run them, so the own ones tell of the others'.
  const std::uint64_t waiting = std::max(
    shared_.ledgers_.Of(aRoute.name_).ledger_.Total(),
    aUpdate.mostSince_ * std::max<std::size_t>(hosts_.WorkerCount(), 1));
  const bool isNear = static_cast<double>(waiting) >
                      kNearCap * static_cast<double>(aRoute.waitingTokenCap_);
  return isNear ? base::Duration(kPauseNearCap)
                : base::Duration(kPauseElsewhere);
}

void
LedgerKeeper::Update(const fleet::Route& aRoute,
                     const std::vector<WaitingLot>& aOwn,
                     base::Instant aNow)
{
  RouteUpdate& update = updates_[aRoute.name_];
  NoteOwn(update, aRoute.name_, aOwn);
  const base::Duration pause = PauseFor(aRoute, update);
  update.nextAt_ = std::min(update.nextAt_, aNow + pause);
  if (update.isUnderWay_ || aNow < update.nextAt_) {
    return;
  }
  update.nextAt_ = aNow + pause;
  const lots::TokenLedger corrected = Corrected(aRoute.name_, aOwn, aNow);
  const bool isOverdue =
    !update.running_.empty() && aNow - update.committedAt_ >= kLongestPause;
  if (corrected != shared_.ledgers_.Of(aRoute.name_).ledger_ ||
      !update.closed_.empty() || isOverdue) {
    Commit(aRoute.name_, corrected);
  }
}

void
LedgerKeeper::NoteOwn(RouteUpdate& aUpdate,
                      const std::string& aRoute,
                      const std::vector<WaitingLot>& aOwn)
{
  std::set<std::string> running;
  std::uint64_t tokens = 0;
  for (const WaitingLot& lot : aOwn) {
    if (lot.route_ != aRoute) {
      continue;
    }
    (lot.tokens_ > 0 ? running : aUpdate.closed_).insert(lot.lot_);
    tokens += lot.tokens_;
  }
  aUpdate.mostSince_ = std::max(aUpdate.mostSince_, tokens);
  std::set_difference(aUpdate.running_.begin(),
                      aUpdate.running_.end(),
                      running.begin(),
                      running.end(),
                      std::inserter(aUpdate.closed_, aUpdate.closed_.end()));
  aUpdate.running_ = std::move(running);
}

lots::TokenLedger
LedgerKeeper::Corrected(const std::string& aRoute,
                        const std::vector<WaitingLot>& aOwn,
                        base::Instant aNow)
{
  lots::TokenLedger ledger = shared_.ledgers_.Of(aRoute).ledger_;
  for (const auto& [lot, tokens] : shared_.ledgers_.Of(aRoute).ledger_.Rows()) {
    if (IsToBeRemoved(lot, aNow)) {
      ledger.Set(lot, 0);
    }
  }
  for (const WaitingLot& own : aOwn) {
    if (own.route_ != aRoute) {
      continue;
    }
    // A row never grows: after a takeover items run again that a server has
    // finished already. A lot without a row was accepted when the route had no
    // cap.
    const std::uint64_t row = ledger.Of(own.lot_).value_or(own.tokens_);
    ledger.Set(own.lot_, std::min(row, own.tokens_));
  }
  return ledger;
}

bool
LedgerKeeper::IsToBeRemoved(const std::string& aLot, base::Instant aNow)
{
  const lots::Lot* lot = lots_.Find(aLot);
  if (lot == nullptr) {
    const auto since = unknownSince_.try_emplace(aLot, aNow).first->second;
    return aNow - since > kGoneAfter && hosts_.OwnerFor(aLot) == ownName_;
  }
  unknownSince_.erase(aLot);
  const bool isMine =
    lot->state_.owner_ == ownName_ ||
    (!hosts_.IsLive(lot->state_.owner_) && hosts_.OwnerFor(aLot) == ownName_);
  return !lot->IsOpen() && isMine;
}

void
LedgerKeeper::Commit(const std::string& aRoute,
                     const lots::TokenLedger& aLedger)
{
  const std::string key = lots_.Keys().LedgerOf(aRoute);
  const std::string value = lots::EncodeLedger(aLedger);
  metadata::Transaction transaction;
  transaction.expectations_.push_back(
    { key, shared_.ledgers_.Of(aRoute).revision_ });
  transaction.writes_.push_back({ key, value, 0 });
  updates_[aRoute].isUnderWay_ = true;
  store_.Commit(
    transaction,
    [this, aRoute, value, closed = updates_[aRoute].closed_](
      const metadata::TransactionReply& aReply) {
      using metadata::StoreStatus;
      RouteUpdate& update = updates_[aRoute];
      update.isUnderWay_ = false;
      const base::Instant now = base::MonotonicNow();
      if (aReply.status_ == StoreStatus::Ok) {
        update.committedAt_ = now;
        update.mostSince_ = 0;
        std::erase_if(update.closed_, [&closed](const std::string& aLot) {
          return closed.contains(aLot);
        });
        shared_.ledgers_.Learn(aRoute, value, aReply.revision_, now);
        return;
      }
      if (aReply.status_ == StoreStatus::Conflict) {
        LearnLedger(shared_, lots_.Keys(), aRoute, aReply);
        // With the present one, at the next look.
        update.nextAt_ = now;
      }
    });
}

} // namespace pumiceturn::gateway
