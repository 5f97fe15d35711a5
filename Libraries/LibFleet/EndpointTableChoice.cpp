#include "LibFleet/EndpointTable.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <cmath>
#include <utility>

// The part of EndpointTable that chooses the endpoint of an attempt.

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

/// Factor on the weight of an endpoint that is silent. Gets few requests, which
/// show when it goes on.
constexpr double kSilentWeight = 0.1;

/// Factor on the weight of an endpoint that failed recently for a request that
/// can't be retried: a free slot there is still better than a queue.
constexpr double kFailedWeight = 1e-4;

} // namespace

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
  return IsSilent(aEndpoint, aNow) ? kSilentWeight : 1.0;
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
EndpointTable::HasEvidence(const Endpoint& aEndpoint,
                           Evidence aEvidence,
                           base::Instant aNow) const
{
  if (aEvidence == Evidence::None) {
    return true;
  }
  const bool hasSentLately =
    aEndpoint.own_.Total() == 0 ||
    aNow - aEndpoint.lastActivityAt_ <= limits_.silenceThreshold_;
  return !IsSilent(aEndpoint, aNow) &&
         (aEvidence == Evidence::NotSilent || hasSentLately);
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
  const std::string& version = aEndpoint.record_.softwareVersion_;
  const bool isOtherVersion =
    (aRequest.softwareVersion_ && *aRequest.softwareVersion_ != version) ||
    (aRequest.allowedVersions_ != nullptr &&
     !aRequest.allowedVersions_->contains(version));
  if (aEndpoint.record_.service_ != aRequest.service_ || isOtherVersion ||
      aEndpoint.isUnreadable_ || isExcluded) {
    return false;
  }
  const bool needsProcess =
    aRequest.needsProcess_ || aRequest.work_ == WorkClass::Batch;
  const bool isOtherProcess =
    aEndpoint.otherProcessAt_ &&
    aNow - *aEndpoint.otherProcessAt_ < limits_.otherProcessRetention_;
  if ((needsProcess && isOtherProcess) ||
      !HasEvidence(aEndpoint, aRequest.evidence_, aNow)) {
    return false;
  }
  if (aRequest.work_ == WorkClass::Online) {
    return true;
  }
  // One that has a single slot has none to spare.
  const std::uint32_t slots = aEndpoint.record_.slots_;
  const std::uint32_t headroom =
    std::min(limits_.batchHeadroom_, std::max(slots, 1U) - 1);
  const bool hasFreeSlot = aCounts.Total() + 1 + headroom <= slots;
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

bool
EndpointTable::MayContinueStreams(const Endpoint& aEndpoint,
                                  base::Instant aNow) const
{
  return aEndpoint.drainingSince_ &&
         aNow - *aEndpoint.drainingSince_ < limits_.drainingUse_;
}

bool
EndpointTable::MayGetRests(const EndpointIncarnation& aEndpoint,
                           base::Instant aNow) const
{
  const Endpoint* endpoint = Find(aEndpoint);
  return endpoint != nullptr && (!endpoint->record_.isDraining_ ||
                                 MayContinueStreams(*endpoint, aNow));
}

bool
EndpointTable::IsCandidate(const Endpoint& aEndpoint,
                           Candidates aCandidates,
                           base::Instant aNow) const
{
  if (aCandidates == Candidates::Draining) {
    return aEndpoint.record_.isDraining_ && MayContinueStreams(aEndpoint, aNow);
  }
  const bool isOwnCell = aCandidates == Candidates::OwnCell;
  return !aEndpoint.record_.isDraining_ && IsInOwnCell(aEndpoint) == isOwnCell;
}

EndpointTable::Ranking
EndpointTable::Rank(const ChoiceRequest& aRequest,
                    Candidates aCandidates,
                    base::Instant aNow,
                    std::mt19937_64& aRandom) const
{
  std::exponential_distribution<double> draw(1.0);
  Ranking ranking;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!IsCandidate(endpoint, aCandidates, aNow)) {
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
EndpointTable::ChooseCommon(const ChoiceRequest& aRequest,
                            base::Instant aNow) const
{
  Best best;
  std::uint64_t highest = 0;
  std::uint32_t candidates = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const InFlightCounts counts = CountsOf(endpoint, aNow);
    const Best candidate{ &endpoint, 0.0, counts };
    if (endpoint.record_.isDraining_ ||
        !IsEligible(endpoint, aRequest, counts, aNow) ||
        !HasFreeSlot(candidate, aNow)) {
      continue;
    }
    ++candidates;
    const std::uint64_t rank =
      base::HashBytes(id, *aRequest.commonEndpointKey_);
    if (best.endpoint_ == nullptr || rank > highest) {
      best = candidate;
      highest = rank;
    }
  }
  if (best.endpoint_ == nullptr) {
    return std::nullopt;
  }
  EndpointChoice choice;
  choice.endpoint_ = best.endpoint_->record_;
  choice.inFlight_ = best.counts_.Total();
  choice.candidates_ = candidates;
  choice.hasSlot_ = true;
  choice.speed_ = SpeedOf(*best.endpoint_, aNow);
  choice.registrationReadAt_ = best.endpoint_->registrationReadAt_;
  return choice;
}

EndpointTable::Candidates
EndpointTable::BatchCandidates(std::string_view aService,
                               base::Instant aNow) const
{
  const bool isInOwnCell =
    !ownCell_ ||
    std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& aEntry) {
      return aEntry.second.record_.service_ == aService &&
             !aEntry.second.isUnreadable_ &&
             IsCandidate(aEntry.second, Candidates::OwnCell, aNow);
    });
  return isInOwnCell ? Candidates::OwnCell : Candidates::OtherCells;
}

BatchCapacity
EndpointTable::BatchCapacityOf(const std::string& aService, base::Instant aNow)
{
  if (areCellsOutdated_) {
    AssignEndpointCells();
  }
  const ChoiceRequest request{ aService, WorkClass::Batch, {} };
  const Candidates candidates = BatchCandidates(aService, aNow);
  BatchCapacity capacity = BatchCapacity::NoEndpoint;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.record_.service_ != aService || endpoint.isUnreadable_ ||
        !IsCandidate(endpoint, candidates, aNow)) {
      continue;
    }
    if (IsEligible(endpoint, request, CountsOf(endpoint, aNow), aNow)) {
      return BatchCapacity::FreeSlot;
    }
    capacity = BatchCapacity::Full;
  }
  return capacity;
}

std::optional<EndpointChoice>
EndpointTable::Choose(const ChoiceRequest& aRequest,
                      base::Instant aNow,
                      std::mt19937_64& aRandom)
{
  if (areCellsOutdated_) {
    AssignEndpointCells();
  }
  if (aRequest.commonEndpointKey_) {
    if (auto common = ChooseCommon(aRequest, aNow)) {
      return common;
    }
  }
  Ranking ranking = Rank(aRequest, Candidates::OwnCell, aNow, aRandom);
  const bool isOnline = aRequest.work_ == WorkClass::Online;
  // The attempts of other cells aren't known, so their endpoints are used only
  // if no slot can be had in this cell.
  if (isOnline && ownCell_ && !HasFreeSlot(ranking.best_, aNow) &&
      ranking.bestToPreempt_.endpoint_ == nullptr) {
    const Ranking others =
      Rank(aRequest, Candidates::OtherCells, aNow, aRandom);
    if (ranking.best_.endpoint_ == nullptr || HasFreeSlot(others.best_, aNow)) {
      ranking = others;
    }
  }
  if (!isOnline && ranking.best_.endpoint_ == nullptr &&
      BatchCandidates(aRequest.service_, aNow) == Candidates::OtherCells) {
    ranking = Rank(aRequest, Candidates::OtherCells, aNow, aRandom);
  }
  if (ranking.best_.endpoint_ == nullptr && aRequest.softwareVersion_ &&
      isOnline) {
    ranking = Rank(aRequest, Candidates::Draining, aNow, aRandom);
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
  choice.hasSlot_ = choice.preemptsBatch_ || HasFreeSlot(best, aNow);
  choice.speed_ = SpeedOf(*best.endpoint_, aNow);
  choice.registrationReadAt_ = best.endpoint_->registrationReadAt_;
  return choice;
}

} // namespace pumiceturn::fleet
