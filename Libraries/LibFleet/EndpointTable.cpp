#include "LibFleet/EndpointTable.h"

#include "LibFleet/CellMap.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// Share of a service's slots taken by online requests from which on it is
/// short of them.
constexpr double kShortageShare = 0.8;

/// Endpoints that must be silent at once for that to have a common cause.
constexpr std::uint32_t kMinCommonSilent = 2;

/// Adding up the load of hundreds of endpoints for each request would cost as
/// much as choosing one.
constexpr std::chrono::milliseconds kLoadLifetime{ 10 };

/// Bounds the shift; with the default limits, maxAvoidance_ is reached by then.
constexpr std::uint32_t kMaxDoublings = 3;

/// How long it is remembered that an endpoint's process was replaced; far
/// longer than late heartbeats take (seconds).
constexpr std::chrono::minutes kReplacedRetention{ 10 };

/// @return the endpoint, or nullptr unless the given process is its current
///         one.
template<typename Endpoints>
auto*
FindProcess(Endpoints& aEndpoints, const EndpointIncarnation& aEndpoint)
{
  const auto found = aEndpoints.find(aEndpoint.id_);
  const bool isCurrent =
    found != aEndpoints.end() &&
    found->second.record_.startedAtMs_ == aEndpoint.startedAtMs_;
  return isCurrent ? &found->second : nullptr;
}

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
  if (!isNew && IsOfLaterProcess(aRecord, endpoint)) {
    endpoint = {};
    paces_.Remove(aRecord.id_);
    outcome = RegistrationOutcome::Restarted;
  } else if (!isNew && aRecord.startedAtMs_ < endpoint.record_.startedAtMs_) {
    return RegistrationOutcome::Outdated;
  }
  if (outcome != RegistrationOutcome::Known) {
    endpoint.registeredAt_ = aNow;
    areCellsOutdated_ = true;
  }
  if (!aRecord.isDraining_) {
    endpoint.drainingSince_.reset();
  } else if (outcome == RegistrationOutcome::Known &&
             !endpoint.record_.isDraining_) {
    endpoint.drainingSince_ = aNow;
  }
  endpoint.record_ = aRecord;
  endpoint.registrationReadAt_ = aNow;
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
  return FindProcess(endpoints_, aEndpoint);
}

const EndpointTable::Endpoint*
EndpointTable::Find(const EndpointIncarnation& aEndpoint) const
{
  return FindProcess(endpoints_, aEndpoint);
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
EndpointTable::CountStreaming(const EndpointIncarnation& aEndpoint,
                              base::Instant aNow)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  if (endpoint->streaming_ == 0) {
    endpoint->streamingSince_ = aNow;
  }
  ++endpoint->streaming_;
}

void
EndpointTable::CountNotStreaming(const EndpointIncarnation& aEndpoint)
{
  Endpoint* endpoint = Find(aEndpoint);
  // An endpoint that was registered again starts at zero.
  if (endpoint != nullptr && endpoint->streaming_ > 0) {
    --endpoint->streaming_;
  }
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
    endpoint->silentSince_.reset();
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

ServiceActivity
EndpointTable::ActivityOf(std::string_view aService, base::Instant aNow) const
{
  ServiceActivity activity;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.record_.service_ != aService) {
      continue;
    }
    if (IsSilent(endpoint, aNow)) {
      ++activity.silent_;
    } else if (endpoint.streaming_ > 0) {
      ++activity.active_;
    }
  }
  return activity;
}

bool
EndpointTable::RecordSilence(const EndpointIncarnation& aEndpoint,
                             base::Duration aSilence,
                             base::Instant aNow)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return false;
  }
  if (!endpoint->silentSince_) {
    endpoint->silentSince_ =
      std::max(aNow - aSilence, endpoint->lastActivityAt_);
  }
  const ServiceActivity activity = ActivityOf(endpoint->record_.service_, aNow);
  const bool isCommon =
    activity.silent_ >= kMinCommonSilent && activity.silent_ > activity.active_;
  if (isCommon && SilenceOf(*endpoint, aNow) < limits_.maxCommonSilence_) {
    return false;
  }
  RecordFailure(aEndpoint, aNow);
  return true;
}

bool
EndpointTable::IsReplaced(const EndpointRecord& aEndpoint) const
{
  if (replaced_.contains(aEndpoint.id_)) {
    return true;
  }
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&aEndpoint](const auto& aEntry) {
      const EndpointRecord& other = aEntry.second.record_;
      const bool isSamePlace =
        other.id_ == aEndpoint.id_ || other.address_ == aEndpoint.address_;
      return isSamePlace && other.startedAtMs_ > aEndpoint.startedAtMs_;
    });
}

bool
EndpointTable::IsLeaving(const EndpointIncarnation& aEndpoint) const
{
  const Endpoint* endpoint = Find(aEndpoint);
  return endpoint == nullptr || endpoint->record_.isDraining_;
}

bool
EndpointTable::IsSilent(const Endpoint& aEndpoint, base::Instant aNow) const
{
  return aEndpoint.silentSince_ ||
         SilenceOf(aEndpoint, aNow) > limits_.silenceThreshold_;
}

base::Duration
EndpointTable::SilenceOf(const Endpoint& aEndpoint, base::Instant aNow)
{
  if (aEndpoint.silentSince_) {
    return aNow - *aEndpoint.silentSince_;
  }
  return aEndpoint.streaming_ > 0 ? aNow - std::max(aEndpoint.streamingSince_,
                                                    aEndpoint.lastActivityAt_)
                                  : base::Duration::zero();
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

bool
EndpointTable::HasUsable(std::string_view aService,
                         std::string_view aSoftwareVersion) const
{
  return std::any_of(
    endpoints_.begin(), endpoints_.end(), [&](const auto& aEntry) {
      const EndpointRecord& record = aEntry.second.record_;
      return record.service_ == aService &&
             record.softwareVersion_ == aSoftwareVersion &&
             !record.isDraining_ && !aEntry.second.isUnreadable_;
    });
}

void
EndpointTable::ForEachRecord(
  const std::function<void(const EndpointRecord&)>& aVisit) const
{
  for (const auto& [id, endpoint] : endpoints_) {
    aVisit(endpoint.record_);
  }
}

} // namespace pumiceturn::fleet
