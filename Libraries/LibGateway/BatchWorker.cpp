#include "LibGateway/BatchWorker.h"

#include "LibGateway/Events.h"
#include "LibGateway/StateChange.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// Time that an endpoint may spend on one run of an item: the longest items
/// take about 8 s.
constexpr std::chrono::seconds kItemPatience{ 30 };

/// How long a lot's route must be missing to count as removed. Hosts have a new
/// configuration within 2 to 3 s, and somewhat later when the store was away.
constexpr std::chrono::seconds kRouteGoneAfter{ 10 };

/// How long a claim waits for its answer before another may be made.
constexpr std::chrono::seconds kClaimTimeout{ 3 };

/// Times of day of two hosts differ, and may jump by seconds on one of them. An
/// item that is given up this much later than its route allows costs nobody
/// anything; one that is given up sooner is lost. Within the process, times are
/// steady.
constexpr std::chrono::seconds kClockTolerance{ 10 };

/// @return the time since a lot's acceptance, as far as clocks of day tell.
base::Duration
AgeOf(const lots::Lot& aLot)
{
  const base::Duration age =
    base::WallNow() - base::FromUnixMs(aLot.state_.acceptedAtMs_);
  return std::max(age, base::Duration::zero());
}

/// Weight of the present number of runs in the usual one, at each look while
/// items wait: an average over the last 5 s, longer than a burst of online
/// work.
constexpr double kUsualRunsWeight = 0.02;

WaitingLot
MakeWaitingLot(const lots::Lot& aLot,
               const fleet::Route& aRoute,
               std::uint64_t aTokens)
{
  return { aLot.id_,
           lots::LedgerName(aRoute.name_, aLot.state_.organisation_),
           aRoute.waitingTokenCap_,
           aTokens };
}

std::string_view
NameOf(lots::ItemRunEnd aEnd)
{
  switch (aEnd) {
    case lots::ItemRunEnd::Completed:
      return "completed";
    case lots::ItemRunEnd::Failed:
      return "failed";
    case lots::ItemRunEnd::Impossible:
      return "impossible";
    case lots::ItemRunEnd::NotRun:
      return "not_run";
    case lots::ItemRunEnd::Broken:
      return "broken";
    case lots::ItemRunEnd::Preempted:
      break;
  }
  return "preempted";
}

} // namespace

BatchWorker::BatchWorker(boost::asio::io_context& aContext,
                         Shared& aShared,
                         metadata::StoreClient& aStore,
                         lots::LotTable& aLots,
                         LotLoader& aLoader,
                         const lots::HostSet& aHosts,
                         std::string aOwnName)
  : context_(aContext)
  , shared_(aShared)
  , store_(aStore)
  , lots_(aLots)
  , loader_(aLoader)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , results_(aStore,
             aLots,
             [this](const std::string& aLot) { onResults_(aLot); })
  , progressKeeper_(aStore, aLots.Keys())
{
}

bool
BatchWorker::IsOwn(const lots::Lot& aLot) const
{
  return aLot.state_.owner_ == ownName_;
}

void
BatchWorker::UpdateLimits(const lots::Lot& aLot,
                          OwnLot& aOwn,
                          base::Instant aNow)
{
  lots::ItemLimits limits = aOwn.schedule_.Limits();
  const fleet::Route* route = RouteOf(aLot);
  if (route != nullptr) {
    aOwn.routeMissingSince_.reset();
    limits.maxAttempts_ = route->maxAttempts_;
    limits.dueAt_ = aOwn.acceptedAt_ + route->dueAfter_;
    limits.giveUpAt_ = aOwn.acceptedAt_ + route->giveUpAfter_ + kClockTolerance;
  } else {
    // The route may come with a configuration that this host doesn't have yet.
    // Only one that stays away was removed: what is left is given up then.
    if (!aOwn.routeMissingSince_) {
      aOwn.routeMissingSince_ = aNow;
    }
    const bool isRemoved = shared_.routes_.Version() > 0 &&
                           aNow - *aOwn.routeMissingSince_ > kRouteGoneAfter;
    limits.giveUpAt_ = isRemoved ? aNow : base::Instant::max();
  }
  aOwn.schedule_.SetLimits(limits);
}

void
BatchWorker::OnLotChanged(const std::string& aLot)
{
  const lots::Lot* lot = lots_.Find(aLot);
  const auto own = own_.find(aLot);
  const bool isOwned = own != own_.end();
  // The store's watch may tell of a lot's last result before the answer to the
  // write arrives, or when that answer is lost. Leaving the lot now would lose
  // that result for readers here.
  if (isOwned && lot != nullptr && IsOwn(*lot) && lot->state_.isFinished_ &&
      results_.IsStoring(aLot)) {
    return;
  }
  if (lot == nullptr || !IsOwn(*lot) || !lot->IsOpen()) {
    if (isOwned) {
      Leave(aLot, lot == nullptr || !lot->IsOpen() ? "closed" : "taken over");
    }
    if (lot != nullptr && !IsOwn(*lot) && lot->isLoaded_) {
      lots_.Unload(aLot);
    }
    return;
  }
  if (!isOwned && !leaving_) {
    Load(aLot);
  }
}

void
BatchWorker::Load(const std::string& aLot)
{
  if (!loading_.insert(aLot).second) {
    return;
  }
  loader_.ReadData(aLot, [this, aLot](metadata::StoreStatus /*aStatus*/) {
    loading_.erase(aLot);
    const lots::Lot* lot = lots_.Find(aLot);
    // Without success the next look tries again.
    if (lot != nullptr && lot->isLoaded_ && IsOwn(*lot) && lot->IsOpen() &&
        !leaving_ && !own_.contains(aLot)) {
      Take(*lot);
    }
  });
}

void
BatchWorker::Take(const lots::Lot& aLot)
{
  const base::Instant now = base::MonotonicNow();
  OwnLot own{ lots::ItemSchedule(aLot, {}) };
  own.acceptedAt_ = now - AgeOf(aLot);
  results_.Begin(aLot);
  UpdateLimits(aLot, own, now);
  own_.emplace(aLot.id_, std::move(own));
  claims_.erase(aLot.id_);
  base::Log(kLotTaken,
            { { "lot", aLot.id_ },
              { "items", aLot.state_.itemCount_ },
              { "results", aLot.results_.size() },
              { "revision", aLot.stateRevision_ } });
}

void
BatchWorker::Leave(const std::string& aLot, std::string_view aReason)
{
  std::vector<std::shared_ptr<ItemRun>> kept;
  for (auto& run : runs_) {
    if (run->LotId() == aLot) {
      run->Cancel();
    } else {
      kept.push_back(std::move(run));
    }
  }
  runs_ = std::move(kept);
  const lots::Lot* lot = lots_.Find(aLot);
  const fleet::Route* route = CappedRouteOf(aLot);
  if (route != nullptr && !lot->IsOpen()) {
    closedLots_.push_back(MakeWaitingLot(*lot, *route, 0));
  }
  if (results_.IsStoring(aLot)) {
    // Whether its results are stored isn't known here: readers ask the store.
    lots_.Unload(aLot);
  }
  own_.erase(aLot);
  results_.Forget(aLot);
  progressKeeper_.Forget(aLot);
  base::Log(kLotLeft, { { "lot", aLot }, { "reason", aReason } });
}

void
BatchWorker::Tick(base::Instant aNow)
{
  if (leaving_) {
    return;
  }
  for (const std::string& id : lots_.OpenLots()) {
    const lots::Lot* lot = lots_.Find(id);
    if (IsOwn(*lot)) {
      OnLotChanged(id);
    } else if (hosts_.IsGone(lot->state_.owner_, aNow) &&
               hosts_.OwnerFor(id) == ownName_) {
      Claim(id);
    }
  }
  for (auto& [id, own] : own_) {
    if (const lots::Lot* lot = lots_.Find(id)) {
      UpdateLimits(*lot, own, aNow);
    }
    for (lots::ItemResult& result : own.schedule_.GiveUp(aNow)) {
      results_.Add(id, std::move(result), own.schedule_.Limits().dueAt_, aNow);
    }
  }
  results_.Tick(aNow);
  YieldToOnline(aNow);
  StartRuns(aNow);
  for (const auto& run : std::vector(runs_)) {
    run->ReadOn();
  }
  if (progressKeeper_.IsDue(hosts_.Count(), aNow)) {
    progressKeeper_.Store(CollectProgress(), aNow);
  }
}

const fleet::Route*
BatchWorker::RouteOf(const lots::Lot& aLot) const
{
  return shared_.routes_.Find(aLot.state_.hostName_, aLot.state_.path_);
}

const fleet::Route*
BatchWorker::CappedRouteOf(const std::string& aLot) const
{
  const lots::Lot* lot = lots_.Find(aLot);
  return lot == nullptr ? nullptr
                        : shared_.routes_.FindCapped(lot->state_.hostName_,
                                                     lot->state_.path_);
}

std::vector<WaitingLot>
BatchWorker::TakeWaitingLots()
{
  std::vector<WaitingLot> waiting = std::exchange(closedLots_, {});
  for (const auto& [id, own] : own_) {
    if (const fleet::Route* route = CappedRouteOf(id)) {
      waiting.push_back(
        MakeWaitingLot(*lots_.Find(id), *route, own.schedule_.WaitingTokens()));
    }
  }
  return waiting;
}

std::vector<LotProgress>
BatchWorker::CollectProgress() const
{
  std::map<std::string, LotProgress> byLot;
  for (const auto& [id, own] : own_) {
    if (const lots::Lot* lot = lots_.Find(id)) {
      byLot[id] = { id, lot->stateRevision_, own.schedule_.Progress() };
    }
  }
  for (const auto& run : runs_) {
    const lots::Lot* lot = lots_.Find(run->LotId());
    if (lot != nullptr && lot->items_ && run->Progress().lastEvent_ > 0) {
      byLot[run->LotId()].runs_[(*lot->items_)[run->Item()].id_] =
        run->Progress();
    }
  }
  std::vector<LotProgress> lots;
  lots.reserve(byLot.size());
  for (auto& [id, progress] : byLot) {
    lots.push_back(std::move(progress));
  }
  return lots;
}

void
BatchWorker::Claim(const std::string& aLot)
{
  const base::Instant now = base::MonotonicNow();
  const auto claim = claims_.find(aLot);
  if (claim != claims_.end() && now - claim->second < kClaimTimeout) {
    return;
  }
  const lots::Lot* lot = lots_.Find(aLot);
  claims_[aLot] = now;
  lots::LotState state = lot->state_;
  state.owner_ = ownName_;
  // The mirror brings the new state, and with it the lot's work; a claim that
  // lost against another host's has no effect.
  store_.Commit(MakeStateChange(lots_.Keys(), *lot, state),
                [](const metadata::TransactionReply&) {});
}

std::vector<lots::StartCandidate>
BatchWorker::CollectCandidates(base::Instant aNow)
{
  const auto hasLivedOn = [this, aNow](const std::string& aEndpoint,
                                       base::Instant aMoment) {
    return shared_.endpoints_.HasLivedOn(aEndpoint, aMoment, aNow);
  };
  std::vector<lots::StartCandidate> candidates;
  for (auto& [id, own] : own_) {
    const lots::Lot* lot = lots_.Find(id);
    if (lot == nullptr || !lot->items_ ||
        aNow >= own.schedule_.Limits().giveUpAt_) {
      continue;
    }
    for (const std::size_t item :
         own.schedule_.StartableItems(aNow, hasLivedOn)) {
      const std::uint64_t lastEvent = own.schedule_.ProgressOf(item).lastEvent_;
      candidates.push_back(
        { id, item, UrgencyOf(*lot, own, item, lastEvent), lastEvent > 0 });
    }
  }
  return candidates;
}

lots::ItemUrgency
BatchWorker::UrgencyOf(const lots::Lot& aLot,
                       const OwnLot& aOwn,
                       std::size_t aItem,
                       std::uint64_t aLastEvent) const
{
  lots::ItemUrgency urgency{ aOwn.schedule_.Limits().dueAt_ };
  const fleet::Route* route = RouteOf(aLot);
  const auto pace = route != nullptr ? paces_.find(route->name_) : paces_.end();
  if (pace != paces_.end()) {
    urgency.remaining_ =
      pace->second.Remaining(aOwn.schedule_.TokensOf(aItem), aLastEvent);
  }
  return urgency;
}

lots::ItemUrgency
BatchWorker::UrgencyOf(const ItemRun& aRun) const
{
  const lots::Lot* lot = lots_.Find(aRun.LotId());
  const auto own = own_.find(aRun.LotId());
  if (lot == nullptr || own == own_.end()) {
    return {};
  }
  return UrgencyOf(*lot, own->second, aRun.Item(), aRun.Progress().lastEvent_);
}

void
BatchWorker::StartRuns(base::Instant aNow)
{
  std::vector<lots::StartCandidate> candidates = CollectCandidates(aNow);
  if (candidates.empty()) {
    return;
  }
  usualRuns_ +=
    (static_cast<double>(runs_.size()) - usualRuns_) * kUsualRunsWeight;
  lots::StartConditions conditions{ aNow, usualRuns_ };
  for (const auto& run : runs_) {
    conditions.runningWork_ += UrgencyOf(*run).remaining_;
  }
  for (const lots::StartCandidate& candidate :
       lots::OrderStarts(std::move(candidates), conditions)) {
    if (!StartOne(candidate, aNow)) {
      return;
    }
  }
}

bool
BatchWorker::StartOne(const lots::StartCandidate& aCandidate,
                      base::Instant aNow)
{
  const lots::Lot* lot = lots_.Find(aCandidate.lot_);
  OwnLot& own = own_.at(aCandidate.lot_);
  const fleet::Route* route = RouteOf(*lot);
  if (route == nullptr) {
    // It may come with the next configuration; other lots go on.
    return true;
  }
  const std::string& service =
    fleet::RouteTable::ChooseService(*route, NextRandom(shared_.random_));
  const auto choice = shared_.endpoints_.Choose(
    { service, fleet::WorkClass::Batch, {} }, aNow, shared_.random_);
  if (!choice) {
    return false;
  }
  const std::size_t item = aCandidate.item_;
  const lots::LotItem& content = (*lot->items_)[item];
  base::Log(kRequestSent,
            { { "request", content.id_ },
              { "lot", aCandidate.lot_ },
              { "endpoint", choice->endpoint_.id_ },
              { "running", choice->running_ },
              { "candidates", choice->candidates_ },
              { "after_event", own.schedule_.ProgressOf(item).lastEvent_ },
              { "due_ms", base::ToMs(aCandidate.urgency_.dueAt_ - aNow) },
              { "run_ms", base::ToMs(aCandidate.urgency_.remaining_) },
              { "version", shared_.routes_.Version() } });
  auto run = std::make_shared<ItemRun>(
    shared_,
    [this](ItemRun& aRun, lots::ItemRunEnd aEnd) { OnRunEnd(aRun, aEnd); },
    aCandidate.lot_,
    item,
    own.schedule_.ProgressOf(item));
  own.schedule_.Start(item, choice->endpoint_.id_);
  runs_.push_back(run);
  run->Start(choice->endpoint_,
             content,
             { lot->state_.hostName_, CallerOf(*lot) },
             kItemPatience);
  return true;
}

CallerName
BatchWorker::CallerOf(const lots::Lot& aLot) const
{
  const std::string& organisation = aLot.state_.organisation_;
  const bool isNamed =
    !organisation.empty() || shared_.routes_.Organisations().AreDeclared();
  return isNamed ? CallerName{ organisation } : CallerName{};
}

void
BatchWorker::YieldToOnline(base::Instant aNow)
{
  std::vector<std::string> endpoints;
  for (const auto& run : runs_) {
    if (std::find(endpoints.begin(), endpoints.end(), run->EndpointId()) ==
        endpoints.end()) {
      endpoints.push_back(run->EndpointId());
    }
  }
  for (const std::string& endpoint : endpoints) {
    std::uint32_t left = shared_.endpoints_.BatchToYield(
      endpoint, aNow, NextRandom(shared_.random_));
    for (; left > 0; --left) {
      Preempt(endpoint);
    }
  }
}

void
BatchWorker::Preempt(const std::string& aEndpoint)
{
  const base::Instant now = base::MonotonicNow();
  std::shared_ptr<ItemRun> chosen;
  for (const auto& run : runs_) {
    if (run->EndpointId() != aEndpoint) {
      continue;
    }
    if (!chosen ||
        lots::GivesWayBefore(UrgencyOf(*run), UrgencyOf(*chosen), now)) {
      chosen = run;
    }
  }
  if (!chosen) {
    return;
  }
  chosen->Cancel();
  shared_.endpoints_.NoteYield(aEndpoint, now);
  OnRunEnd(*chosen, lots::ItemRunEnd::Preempted);
}

void
BatchWorker::OnRunEnd(ItemRun& aRun, lots::ItemRunEnd aEnd)
{
  const std::string lot = aRun.LotId();
  const std::size_t item = aRun.Item();
  base::Log(kItemRunEnded,
            { { "lot", lot },
              { "item", item },
              { "endpoint", aRun.EndpointId() },
              { "end", NameOf(aEnd) },
              { "last_event", aRun.Progress().lastEvent_ } });
  shared_.metrics_
    .GetCounter("pumiceturn_item_runs_total",
                "Ended runs of lots' items.",
                fmt::format("end=\"{}\"", NameOf(aEnd)))
    .Add();
  NotePace(aRun, aEnd);
  lots::PartialRun progress = aRun.TakeProgress();
  RemoveRun(aRun);
  const auto own = own_.find(lot);
  if (own == own_.end()) {
    return;
  }
  auto result = own->second.schedule_.End(
    item, aEnd, std::move(progress), base::MonotonicNow());
  if (!result) {
    return;
  }
  const base::Instant now = base::MonotonicNow();
  results_.Add(
    lot, std::move(*result), own->second.schedule_.Limits().dueAt_, now);
}

void
BatchWorker::NotePace(const ItemRun& aRun, lots::ItemRunEnd aEnd)
{
  const lots::Lot* lot = lots_.Find(aRun.LotId());
  const auto own = own_.find(aRun.LotId());
  const fleet::Route* route = lot == nullptr ? nullptr : RouteOf(*lot);
  if (route == nullptr || own == own_.end()) {
    return;
  }
  lots::ItemPace& pace = paces_[route->name_];
  pace.NoteRun(aRun.NewEvents(), base::MonotonicNow() - aRun.StartedAt());
  if (aEnd == lots::ItemRunEnd::Completed) {
    pace.NoteCompleted(own->second.schedule_.TokensOf(aRun.Item()),
                       aRun.Progress().lastEvent_);
  }
}

void
BatchWorker::RemoveRun(const ItemRun& aRun)
{
  const auto found =
    std::find_if(runs_.begin(), runs_.end(), [&aRun](const auto& aOther) {
      return aOther.get() == &aRun;
    });
  if (found == runs_.end()) {
    return;
  }
  // The run may be in the middle of a callback: it is freed afterwards.
  boost::asio::post(context_, [run = std::move(*found)] {});
  runs_.erase(found);
}

void
BatchWorker::HandOver(std::function<void()> aDone)
{
  leaving_ = true;
  for (const auto& run : std::vector(runs_)) {
    run->Cancel();
    OnRunEnd(*run, lots::ItemRunEnd::Preempted);
  }
  auto left = std::make_shared<std::size_t>(1);
  const auto finishOne = [left, done = std::move(aDone)] {
    if (--*left == 0) {
      done();
    }
  };
  for (const auto& [id, own] : own_) {
    const lots::Lot* lot = lots_.Find(id);
    if (lot == nullptr) {
      continue;
    }
    lots::LotState state = lot->state_;
    state.owner_.clear();
    metadata::Transaction results;
    state.isFinished_ = results_.AddTo(results, *lot);
    metadata::Transaction transaction =
      MakeStateChange(lots_.Keys(), *lot, state);
    std::move(results.expectations_.begin(),
              results.expectations_.end(),
              std::back_inserter(transaction.expectations_));
    std::move(results.writes_.begin(),
              results.writes_.end(),
              std::back_inserter(transaction.writes_));
    transaction.writes_.push_back(
      { lots_.Keys().MakeKey({ id, lots::KeyPart::Progress, 0 }),
        lots::EncodeProgress(own.schedule_.Progress()),
        0 });
    ++*left;
    base::Log(kLotLeft, { { "lot", id }, { "reason", "leaving" } });
    store_.Commit(transaction, [finishOne](const metadata::TransactionReply&) {
      finishOne();
    });
  }
  finishOne();
}

} // namespace pumiceturn::gateway
