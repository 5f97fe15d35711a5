#include "LibFleet/EndpointTable.h"

#include "LibFleet/CellMap.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// How strongly endpoints with more free slots are preferred. All hosts see the
/// same counts, which are 10 to 100 ms old: if each chose the emptiest
/// endpoint, all requests until the next update would go to it.
constexpr double kFreeSlotsExponent = 2.0;

/// Weight of an endpoint whose slots are all taken and that has no queue; with
/// one free slot the weight is 1.
constexpr double kFullWeight = 1e-4;
/// How strongly the weight decreases with the number of attempts queued.
constexpr double kQueueExponent = 3.0;

/// Factor on the weight of an endpoint that failed recently: it is chosen only
/// if all others fail too.
constexpr double kAvoidedWeight = 1e-9;

/// Factor on the weight of an endpoint on probation that has no attempt in
/// flight. With one in flight it gets no other, as a silent endpoint would take
/// many before the first one times out.
constexpr double kProbationWeight = 0.1;

/// Factor on the weight of an endpoint that failed recently for a request that
/// can't be retried: a free slot there is still better than a queue.
constexpr double kFailedWeight = 1e-4;

/// Share of a service's slots taken by online requests from which on it is
/// short of them.
constexpr double kShortageShare = 0.8;

/// Adding up the load of hundreds of endpoints for each request would cost as
/// much as choosing one.
constexpr std::chrono::milliseconds kLoadLifetime{ 10 };

/// Bounds the shift; with the default limits, maxAvoidance_ is reached by then.
constexpr std::uint32_t kMaxDoublings = 3;

/// How long it is remembered that an endpoint's process was replaced; far
/// longer than late heartbeats take (seconds).
constexpr std::chrono::minutes kReplacedRetention{ 10 };

} // namespace

EndpointTable::EndpointTable(std::string aFailureDomain, Limits aLimits)
  : failureDomain_(std::move(aFailureDomain))
  , limits_(aLimits)
{
}

RegistrationOutcome
EndpointTable::Put(const EndpointRecord& aRecord, base::Instant aNow)
{
  const auto replaced = replaced_.find(aRecord.id_);
  if (replaced != replaced_.end()) {
    if (aRecord.startedAtMs_ <= replaced->second.startedAtMs_) {
      return RegistrationOutcome::Outdated;
    }
    replaced_.erase(replaced);
  }
  const auto [found, isNew] = endpoints_.try_emplace(aRecord.id_);
  Endpoint& endpoint = found->second;
  RegistrationOutcome outcome =
    isNew ? RegistrationOutcome::New : RegistrationOutcome::Known;
  if (!isNew && aRecord.startedAtMs_ < endpoint.record_.startedAtMs_) {
    return RegistrationOutcome::Outdated;
  }
  if (!isNew && aRecord.startedAtMs_ > endpoint.record_.startedAtMs_) {
    endpoint = {};
    paces_.Remove(aRecord.id_);
    outcome = RegistrationOutcome::Restarted;
  }
  if (outcome != RegistrationOutcome::Known) {
    endpoint.registeredAt_ = aNow;
    areCellsOutdated_ = true;
  }
  endpoint.record_ = aRecord;
  endpoint.isUnreadable_ = false;
  endpoint.removalDueAt_.reset();
  return outcome;
}

bool
EndpointTable::IsUnchanged(const EndpointRecord& aRecord) const
{
  const auto found = endpoints_.find(aRecord.id_);
  return found != endpoints_.end() && found->second.record_ == aRecord &&
         !found->second.isUnreadable_ && !found->second.removalDueAt_;
}

void
EndpointTable::MarkUnreadable(std::string_view aId)
{
  const auto found = endpoints_.find(std::string(aId));
  if (found != endpoints_.end()) {
    found->second.isUnreadable_ = true;
  }
}

EndpointTable::Endpoint*
EndpointTable::Find(const EndpointIncarnation& aEndpoint)
{
  const auto found = endpoints_.find(aEndpoint.id_);
  const bool isCurrent =
    found != endpoints_.end() &&
    found->second.record_.startedAtMs_ == aEndpoint.startedAtMs_;
  return isCurrent ? &found->second : nullptr;
}

void
EndpointTable::Remove(std::string_view aId,
                      std::optional<base::Instant> aStoreRecoveredAt,
                      base::Instant aNow)
{
  const auto found = endpoints_.find(std::string(aId));
  if (found == endpoints_.end()) {
    return;
  }
  if (aStoreRecoveredAt && !found->second.record_.isDraining_ &&
      aNow - *aStoreRecoveredAt < limits_.removalGrace_) {
    found->second.removalDueAt_ = *aStoreRecoveredAt + limits_.removalGrace_;
    return;
  }
  outliers_.Remove(found->first);
  paces_.Remove(found->first);
  endpoints_.erase(found);
  areCellsOutdated_ = true;
}

std::vector<std::string>
EndpointTable::Expire(base::Instant aNow)
{
  std::erase_if(replaced_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.recordedAt_ > kReplacedRetention;
  });
  std::vector<std::string> dropped;
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const auto& until = entry->second.removalDueAt_;
    if (until && *until <= aNow) {
      dropped.push_back(entry->first);
      outliers_.Remove(entry->first);
      paces_.Remove(entry->first);
      entry = endpoints_.erase(entry);
      areCellsOutdated_ = true;
    } else {
      ++entry;
    }
  }
  return dropped;
}

InFlightCounts
EndpointTable::CountsOf(const Endpoint& aEndpoint, base::Instant aNow) const
{
  InFlightCounts counts = aEndpoint.own_;
  for (const auto& [peer, entry] : aEndpoint.peers_) {
    if (aNow - entry.recordedAt_ <= limits_.peerCountLifetime_) {
      counts.online_ += entry.counts_.online_;
      counts.batch_ += entry.counts_.batch_;
    }
  }
  const bool isLoadUsed =
    !IsInOwnCell(aEndpoint) && aEndpoint.loadRecordedAt_ &&
    aNow - *aEndpoint.loadRecordedAt_ <= limits_.loadLifetime_;
  if (isLoadUsed) {
    const std::uint32_t reported =
      aEndpoint.load_.running_ + aEndpoint.load_.waiting_;
    // Unknown attempts count as online work, which can't be preempted.
    counts.online_ += reported - std::min(reported, counts.Total());
  }
  return counts;
}

bool
EndpointTable::IsAvoided(const Endpoint& aEndpoint, base::Instant aNow) const
{
  const bool isEjected = outliers_.VerdictOf(aEndpoint.record_.Incarnation()) ==
                         EndpointVerdict::Ejected;
  if (aEndpoint.avoidedUntil_ > aNow || isEjected) {
    return true;
  }
  const auto failed = std::count_if(aEndpoint.peers_.begin(),
                                    aEndpoint.peers_.end(),
                                    [this, aNow](const auto& aPeer) {
                                      return aPeer.second.isAvoided_ &&
                                             aNow - aPeer.second.recordedAt_ <=
                                               limits_.peerCountLifetime_;
                                    });
  return failed >= limits_.minPeersReportingFailure_;
}

double
EndpointTable::WeightOf(const Endpoint& aEndpoint,
                        const ChoiceRequest& aRequest,
                        const InFlightCounts& aCounts,
                        base::Instant aNow) const
{
  const std::uint32_t slots = aEndpoint.record_.slots_;
  const std::uint32_t total = aCounts.Total();
  double weight = 0.0;
  if (total < slots) {
    weight = std::pow(slots - total, kFreeSlotsExponent);
  } else {
    weight = kFullWeight / std::pow(1.0 + total - slots, kQueueExponent);
  }
  if (aEndpoint.record_.failureDomain_ != failureDomain_) {
    weight *= limits_.otherDomainWeight_;
  }
  weight *= SpeedOf(aEndpoint, aNow);
  weight *= ReliabilityFactor(aEndpoint, aRequest, aCounts, aNow);
  return weight;
}

double
EndpointTable::SpeedOf(const Endpoint& aEndpoint, base::Instant aNow) const
{
  const EndpointIncarnation incarnation = aEndpoint.record_.Incarnation();
  return paces_.SpeedOf(incarnation) *
         paces_.MomentarySpeedOf(incarnation, aNow);
}

double
EndpointTable::ReliabilityFactor(const Endpoint& aEndpoint,
                                 const ChoiceRequest& aRequest,
                                 const InFlightCounts& aCounts,
                                 base::Instant aNow) const
{
  if (IsAvoided(aEndpoint, aNow)) {
    return kAvoidedWeight;
  }
  const EndpointIncarnation incarnation = aEndpoint.record_.Incarnation();
  const bool isOnProbation =
    outliers_.VerdictOf(incarnation) == EndpointVerdict::Probation;
  const bool hasFailed = outliers_.HasRecentFailure(incarnation, aNow);
  if (!aRequest.isRetryable_ && (isOnProbation || hasFailed)) {
    return kFailedWeight;
  }
  if (isOnProbation) {
    return aCounts.Total() == 0 ? kProbationWeight : kAvoidedWeight;
  }
  return 1.0;
}

double
EndpointTable::PreemptionWeight(const Endpoint& aEndpoint,
                                const InFlightCounts& aCounts)
{
  const std::uint32_t slots = aEndpoint.record_.slots_;
  if (aCounts.batch_ == 0 || aCounts.online_ >= slots) {
    return 0.0;
  }
  const std::uint32_t total = aCounts.Total();
  const std::uint32_t waiting = total > slots ? total - slots : 0;
  return aCounts.batch_ / std::pow(1.0 + waiting, kQueueExponent);
}

bool
EndpointTable::IsEligible(const Endpoint& aEndpoint,
                          const ChoiceRequest& aRequest,
                          const InFlightCounts& aCounts,
                          base::Instant aNow) const
{
  const bool isExcluded =
    std::find(aRequest.excluded_.begin(),
              aRequest.excluded_.end(),
              aEndpoint.record_.id_) != aRequest.excluded_.end();
  if (aEndpoint.record_.service_ != aRequest.service_ ||
      aEndpoint.record_.isDraining_ || aEndpoint.isUnreadable_ || isExcluded) {
    return false;
  }
  if (aRequest.work_ == WorkClass::Online) {
    return true;
  }
  const bool hasFreeSlot =
    aCounts.Total() + 1 + limits_.batchHeadroom_ <= aEndpoint.record_.slots_;
  const bool isSound = outliers_.VerdictOf(aEndpoint.record_.Incarnation()) ==
                       EndpointVerdict::Sound;
  return hasFreeSlot && !aEndpoint.removalDueAt_ && isSound &&
         aEndpoint.batchPausedUntil_ <= aNow && !IsAvoided(aEndpoint, aNow);
}

void
EndpointTable::Consider(Best& aBest,
                        const Endpoint& aEndpoint,
                        const InFlightCounts& aCounts,
                        double aScore)
{
  if (aBest.endpoint_ == nullptr || aScore < aBest.score_) {
    aBest = { &aEndpoint, aScore, aCounts };
  }
}

std::string
EndpointTable::PeerWithMostBatch(const Endpoint& aEndpoint)
{
  std::string peer;
  std::uint32_t maxBatch = 0;
  for (const auto& [name, entry] : aEndpoint.peers_) {
    if (entry.counts_.batch_ > maxBatch) {
      maxBatch = entry.counts_.batch_;
      peer = name;
    }
  }
  return peer;
}

EndpointTable::Ranking
EndpointTable::Rank(const ChoiceRequest& aRequest,
                    bool aIsOwnCell,
                    base::Instant aNow,
                    std::mt19937_64& aRandom) const
{
  std::exponential_distribution<double> draw(1.0);
  Ranking ranking;
  for (const auto& [id, endpoint] : endpoints_) {
    if (IsInOwnCell(endpoint) != aIsOwnCell) {
      continue;
    }
    const InFlightCounts counts = CountsOf(endpoint, aNow);
    if (!IsEligible(endpoint, aRequest, counts, aNow)) {
      continue;
    }
    ++ranking.candidates_;
    // The minimum of exponential variables, each divided by its weight, selects
    // each endpoint in proportion to its weight.
    Consider(ranking.best_,
             endpoint,
             counts,
             draw(aRandom) / WeightOf(endpoint, aRequest, counts, aNow));
    const double preemptionWeight = PreemptionWeight(endpoint, counts);
    if (preemptionWeight > 0.0 && !IsAvoided(endpoint, aNow)) {
      Consider(ranking.bestToPreempt_,
               endpoint,
               counts,
               draw(aRandom) / preemptionWeight);
    }
  }
  return ranking;
}

bool
EndpointTable::HasFreeSlot(const Best& aBest, base::Instant aNow) const
{
  return aBest.endpoint_ != nullptr &&
         aBest.counts_.Total() < aBest.endpoint_->record_.slots_ &&
         !IsAvoided(*aBest.endpoint_, aNow);
}

std::optional<EndpointChoice>
EndpointTable::Choose(const ChoiceRequest& aRequest,
                      base::Instant aNow,
                      std::mt19937_64& aRandom)
{
  if (areCellsOutdated_) {
    AssignEndpointCells();
  }
  Ranking ranking = Rank(aRequest, true, aNow, aRandom);
  const bool isOnline = aRequest.work_ == WorkClass::Online;
  // The attempts of other cells aren't known, so their endpoints are used only
  // if no slot can be had in this cell.
  if (isOnline && ownCell_ && !HasFreeSlot(ranking.best_, aNow) &&
      ranking.bestToPreempt_.endpoint_ == nullptr) {
    const Ranking others = Rank(aRequest, false, aNow, aRandom);
    if (ranking.best_.endpoint_ == nullptr || HasFreeSlot(others.best_, aNow)) {
      ranking = others;
    }
  }
  Best best = ranking.best_;
  if (best.endpoint_ == nullptr) {
    return std::nullopt;
  }
  EndpointChoice choice;
  choice.candidates_ = ranking.candidates_;
  const bool isFull = best.counts_.Total() >= best.endpoint_->record_.slots_;
  if (isOnline && isFull && ranking.bestToPreempt_.endpoint_ != nullptr) {
    best = ranking.bestToPreempt_;
    choice.preemptsBatch_ = true;
    if (best.endpoint_->own_.batch_ == 0) {
      choice.preemptedPeer_ = PeerWithMostBatch(*best.endpoint_);
    }
  }
  choice.endpoint_ = best.endpoint_->record_;
  choice.inFlight_ = best.counts_.Total();
  choice.speed_ = SpeedOf(*best.endpoint_, aNow);
  return choice;
}

bool
EndpointTable::IsInOwnCell(const Endpoint& aEndpoint) const
{
  return !ownCell_ || aEndpoint.cell_ == *ownCell_;
}

void
EndpointTable::SetCells(std::size_t aCells, std::optional<std::size_t> aOwnCell)
{
  areCellsOutdated_ = areCellsOutdated_ || cells_ != aCells;
  cells_ = aCells;
  ownCell_ = aOwnCell;
}

std::optional<std::size_t>
EndpointTable::CellOf(const std::string& aId)
{
  if (areCellsOutdated_) {
    AssignEndpointCells();
  }
  const auto found = endpoints_.find(aId);
  return found != endpoints_.end() ? std::optional(found->second.cell_)
                                   : std::nullopt;
}

void
EndpointTable::AssignEndpointCells()
{
  areCellsOutdated_ = false;
  std::unordered_map<std::string, std::vector<std::string>> byService;
  for (const auto& [id, endpoint] : endpoints_) {
    byService[endpoint.record_.service_].push_back(id);
  }
  for (const auto& [service, ids] : byService) {
    for (const auto& [id, cell] : AssignCells(ids, cells_)) {
      endpoints_.at(id).cell_ = cell;
    }
  }
}

void
EndpointTable::RecordPreemption(const std::string& aId, base::Instant aNow)
{
  if (const auto found = endpoints_.find(aId); found != endpoints_.end()) {
    found->second.batchPausedUntil_ = aNow + limits_.pauseAfterPreemption_;
  }
}

void
EndpointTable::AssumePreemption(const std::string& aId,
                                const std::string& aPeer)
{
  const auto found = endpoints_.find(aId);
  if (found == endpoints_.end()) {
    return;
  }
  const auto peer = found->second.peers_.find(aPeer);
  if (peer != found->second.peers_.end() && peer->second.counts_.batch_ > 0) {
    --peer->second.counts_.batch_;
  }
}

void
EndpointTable::CountStart(const EndpointIncarnation& aEndpoint, WorkClass aWork)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  InFlightCounts& own = endpoint->own_;
  ++(aWork == WorkClass::Online ? own.online_ : own.batch_);
}

void
EndpointTable::CountEnd(const EndpointIncarnation& aEndpoint, WorkClass aWork)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  InFlightCounts& own = endpoint->own_;
  std::uint32_t& count = aWork == WorkClass::Online ? own.online_ : own.batch_;
  // An endpoint that was dropped and registered again starts at zero,
  // although earlier attempts may still be in flight there.
  count -= count > 0 ? 1 : 0;
}

void
EndpointTable::RecordFailure(const EndpointIncarnation& aEndpoint,
                             base::Instant aNow)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  const std::uint32_t doublings = std::min(endpoint->failures_, kMaxDoublings);
  const base::Duration avoidance = limits_.firstAvoidance_ * (1U << doublings);
  endpoint->avoidedUntil_ = aNow + std::min(avoidance, limits_.maxAvoidance_);
  ++endpoint->failures_;
}

void
EndpointTable::RecordSuccess(const EndpointIncarnation& aEndpoint)
{
  if (Endpoint* endpoint = Find(aEndpoint)) {
    endpoint->failures_ = 0;
    endpoint->avoidedUntil_ = {};
  }
}

void
EndpointTable::RecordActivity(const EndpointIncarnation& aEndpoint,
                              base::Instant aAttemptStartedAt,
                              base::Instant aNow)
{
  if (Endpoint* endpoint = Find(aEndpoint)) {
    endpoint->lastActivityAt_ = aNow;
    endpoint->activeAttemptStartedAt_ = aAttemptStartedAt;
  }
}

void
EndpointTable::RecordLoad(const EndpointIncarnation& aEndpoint,
                          const EndpointLoad& aLoad,
                          base::Instant aNow)
{
  if (Endpoint* endpoint = Find(aEndpoint)) {
    endpoint->load_ = aLoad;
    endpoint->loadRecordedAt_ = aNow;
    if (aLoad.slownessPercent_) {
      paces_.RecordSlowness(aEndpoint, *aLoad.slownessPercent_, aNow);
    }
  }
}

void
EndpointTable::RecordEventInterval(const EndpointIncarnation& aEndpoint,
                                   base::Duration aInterval,
                                   base::Instant aNow)
{
  if (!paces_.IsEnabled()) {
    return;
  }
  if (const Endpoint* endpoint = Find(aEndpoint)) {
    // Queued attempts don't slow down those that run.
    const std::uint32_t running =
      std::min(CountsOf(*endpoint, aNow).Total(), endpoint->record_.slots_);
    paces_.RecordEventInterval(
      aEndpoint, endpoint->record_.service_, aInterval, running, aNow);
  }
}

void
EndpointTable::RecordReplaced(const EndpointIncarnation& aEndpoint,
                              base::Instant aNow)
{
  const auto found = endpoints_.find(aEndpoint.id_);
  if (found != endpoints_.end() &&
      found->second.record_.startedAtMs_ > aEndpoint.startedAtMs_) {
    return;
  }
  replaced_[aEndpoint.id_] = { aEndpoint.startedAtMs_, aNow };
  outliers_.Remove(aEndpoint.id_);
  if (found != endpoints_.end()) {
    paces_.Remove(aEndpoint.id_);
    endpoints_.erase(found);
    areCellsOutdated_ = true;
  }
}

bool
EndpointTable::HasSurvived(const std::string& aId,
                           base::Instant aMoment,
                           base::Instant aNow) const
{
  const auto found = endpoints_.find(aId);
  if (found == endpoints_.end()) {
    return false;
  }
  const Endpoint& endpoint = found->second;
  if (endpoint.registeredAt_ > aMoment) {
    return false;
  }
  const bool wasActive = endpoint.lastActivityAt_ > aMoment &&
                         endpoint.activeAttemptStartedAt_ <= aMoment;
  return wasActive || aNow - aMoment > limits_.registrationTimeout_;
}

void
EndpointTable::SetPeerCounts(const std::string& aPeer,
                             std::span<const EndpointCounts> aCounts,
                             base::Instant aNow)
{
  std::unordered_set<std::string>& known = endpointsByPeer_[aPeer];
  for (const std::string& id : known) {
    if (const auto found = endpoints_.find(id); found != endpoints_.end()) {
      found->second.peers_.erase(aPeer);
    }
  }
  known.clear();
  UpdatePeerCounts(aPeer, aCounts, aNow);
}

void
EndpointTable::UpdatePeerCounts(const std::string& aPeer,
                                std::span<const EndpointCounts> aCounts,
                                base::Instant aNow)
{
  for (const EndpointCounts& count : aCounts) {
    if (Endpoint* endpoint = Find({ count.endpoint_, count.startedAtMs_ })) {
      endpoint->peers_[aPeer] = { count.counts_, count.isAvoided_, aNow };
      endpointsByPeer_[aPeer].insert(count.endpoint_);
    }
  }
}

std::vector<EndpointCounts>
EndpointTable::OwnCounts(base::Instant aNow) const
{
  std::vector<EndpointCounts> counts;
  for (const auto& [id, endpoint] : endpoints_) {
    const bool isAvoided = endpoint.avoidedUntil_ > aNow;
    if (endpoint.own_.Total() > 0 || isAvoided) {
      counts.push_back(
        { id, endpoint.own_, isAvoided, endpoint.record_.startedAtMs_ });
    }
  }
  return counts;
}

std::uint32_t
EndpointTable::BatchToPreempt(const std::string& aId,
                              base::Instant aNow,
                              double aRandom) const
{
  const auto found = endpoints_.find(aId);
  if (found == endpoints_.end() || found->second.own_.batch_ == 0) {
    return 0;
  }
  const Endpoint& endpoint = found->second;
  const InFlightCounts all = CountsOf(endpoint, aNow);
  if (all.Total() <= endpoint.record_.slots_) {
    return 0;
  }
  const std::uint32_t excess = all.Total() - endpoint.record_.slots_;
  const double share = static_cast<double>(excess) * endpoint.own_.batch_ /
                       static_cast<double>(all.batch_);
  const auto preempted =
    static_cast<std::uint32_t>(std::floor(share + aRandom));
  return std::min(preempted, endpoint.own_.batch_);
}

ServiceLoad
EndpointTable::LoadOf(const std::string& aService, base::Instant aNow)
{
  CachedLoad& cached = loads_[aService];
  if (aNow - cached.computedAt_ < kLoadLifetime) {
    return cached.load_;
  }
  ServiceLoad load;
  for (const auto& [id, endpoint] : endpoints_) {
    const EndpointRecord& record = endpoint.record_;
    if (record.service_ != aService || record.isDraining_ ||
        endpoint.isUnreadable_ || IsAvoided(endpoint, aNow)) {
      continue;
    }
    load.inFlight_ += CountsOf(endpoint, aNow).online_;
    load.slots_ += record.slots_;
  }
  cached = { load, aNow };
  return load;
}

void
EndpointTable::SetPeerOutcomes(const std::string& aPeer,
                               std::span<const EndpointOutcomes> aOutcomes,
                               base::Instant aNow)
{
  std::vector<EndpointOutcomes> known;
  for (const EndpointOutcomes& row : aOutcomes) {
    if (Find({ row.endpoint_, row.startedAtMs_ }) != nullptr) {
      known.push_back(row);
    }
  }
  outliers_.SetPeerOutcomes(aPeer, known, aNow);
}

std::vector<VerdictChange>
EndpointTable::UpdateVerdicts(base::Instant aNow)
{
  if (!outliers_.IsEnabled()) {
    return {};
  }
  std::vector<EndpointRecord> records;
  records.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    records.push_back(endpoint.record_);
  }
  const auto isShort = [this, aNow](const std::string& aService) {
    const ServiceLoad load = LoadOf(aService, aNow);
    return load.inFlight_ >= kShortageShare * load.slots_;
  };
  return outliers_.Update(records, isShort, aNow);
}

bool
EndpointTable::IsUsable(const std::string& aId) const
{
  const auto found = endpoints_.find(aId);
  return found != endpoints_.end() && !found->second.record_.isDraining_ &&
         !found->second.isUnreadable_;
}

} // namespace pumiceturn::fleet
