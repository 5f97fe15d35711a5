#include "LibFleet/OutlierDetector.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// Failures within the window from which an endpoint may be ejected.
constexpr std::uint32_t kMinFailures = 3;

/// Failure rate from which an endpoint may be ejected, and the same while the
/// service is short of slots: an endpoint that completes a good part of its
/// requests is then worth more than their retries cost.
constexpr double kMinFailureRate = 0.3;
constexpr double kMinFailureRateInShortage = 0.6;

/// How many times the service's usual rate it must be.
constexpr double kMinRatio = 3.0;

/// Largest share of a service's endpoints that is out of use at once.
constexpr double kMaxEjectedShare = 0.3;

/// Time from the first failure to an ejection, for the peers' successes to
/// arrive: a failure at each of several hosts would look like nothing else.
constexpr std::chrono::milliseconds kEvidenceDelay{ 200 };

/// Duration of the first ejection and the longest one.
constexpr std::chrono::seconds kFirstEjection{ 2 };
constexpr std::chrono::seconds kMaxEjection{ 8 };
constexpr std::uint32_t kMaxDoublings = 2;

/// Time without a failure after which the next ejection is a first one.
constexpr std::chrono::seconds kRecoveredAfter{ 10 };

/// Successes that end a probation.
constexpr std::uint32_t kProbationSuccesses = 3;

/// Age from which a peer's row isn't used, and from which it is forgotten.
constexpr std::chrono::seconds kPeerRowLifetime{ 1 };
constexpr std::chrono::seconds kPeerRowRetention{ 10 };

/// Endpoints that a host must have used before it can count as cut off.
constexpr std::size_t kMinUsedEndpoints = 3;

double
MedianOf(std::vector<double> aRates)
{
  if (aRates.empty()) {
    return 0.0;
  }
  const auto middle =
    aRates.begin() + static_cast<std::ptrdiff_t>(aRates.size() / 2);
  std::nth_element(aRates.begin(), middle, aRates.end());
  return *middle;
}

} // namespace

double
OutcomeCounts::FailureRate() const
{
  const std::uint32_t all = successes_ + failures_;
  return all == 0 ? 0.0 : static_cast<double>(failures_) / all;
}

void
OutlierDetector::Window::Add(const OutcomeCounts& aCounts, base::Instant aNow)
{
  const std::int64_t number = aNow.time_since_epoch() / kSliceTime;
  Slice& slice = slices_[static_cast<std::size_t>(number) % kSlices];
  if (slice.number_ != number) {
    slice = { number, {} };
  }
  slice.counts_.successes_ += aCounts.successes_;
  slice.counts_.failures_ += aCounts.failures_;
}

OutcomeCounts
OutlierDetector::Window::Sum(base::Instant aNow) const
{
  const std::int64_t number = aNow.time_since_epoch() / kSliceTime;
  OutcomeCounts sum;
  for (const Slice& slice : slices_) {
    if (slice.number_ > number - static_cast<std::int64_t>(kSlices)) {
      sum.successes_ += slice.counts_.successes_;
      sum.failures_ += slice.counts_.failures_;
    }
  }
  return sum;
}

OutlierDetector::Endpoint*
OutlierDetector::EndpointFor(const EndpointIncarnation& aEndpoint)
{
  Endpoint& endpoint = endpoints_[aEndpoint.id_];
  if (endpoint.startedAtMs_ > aEndpoint.startedAtMs_) {
    return nullptr;
  }
  if (endpoint.startedAtMs_ < aEndpoint.startedAtMs_) {
    endpoint = {};
    endpoint.startedAtMs_ = aEndpoint.startedAtMs_;
  }
  return &endpoint;
}

const OutlierDetector::Endpoint*
OutlierDetector::Find(const EndpointIncarnation& aEndpoint) const
{
  const auto found = endpoints_.find(aEndpoint.id_);
  const bool isCurrent = found != endpoints_.end() &&
                         found->second.startedAtMs_ == aEndpoint.startedAtMs_;
  return isCurrent ? &found->second : nullptr;
}

void
OutlierDetector::Record(Endpoint& aEndpoint,
                        const OutcomeCounts& aCounts,
                        base::Instant aNow)
{
  if (aCounts.failures_ > 0) {
    const base::Duration quiet = aNow - aEndpoint.lastFailureAt_;
    if (!aEndpoint.firstFailureAt_ || quiet > kWindow) {
      aEndpoint.firstFailureAt_ = aNow;
      aEndpoint.quietBefore_ = quiet;
    }
    aEndpoint.lastFailureAt_ = aNow;
  }
  if (aEndpoint.verdict_ == EndpointVerdict::Probation) {
    aEndpoint.onProbation_.successes_ += aCounts.successes_;
    aEndpoint.onProbation_.failures_ += aCounts.failures_;
  }
}

void
OutlierDetector::RecordOutcome(const EndpointIncarnation& aEndpoint,
                               bool aIsFailure,
                               base::Instant aNow)
{
  Endpoint* endpoint = isEnabled_ ? EndpointFor(aEndpoint) : nullptr;
  if (endpoint == nullptr) {
    return;
  }
  const OutcomeCounts counts{ aIsFailure ? 0U : 1U, aIsFailure ? 1U : 0U };
  endpoint->ownTotal_.successes_ += counts.successes_;
  endpoint->ownTotal_.failures_ += counts.failures_;
  endpoint->own_.Add(counts, aNow);
  Record(*endpoint, counts, aNow);
}

void
OutlierDetector::SetPeerOutcomes(const std::string& aPeer,
                                 std::span<const EndpointOutcomes> aOutcomes,
                                 base::Instant aNow)
{
  if (!isEnabled_) {
    return;
  }
  for (const EndpointOutcomes& row : aOutcomes) {
    Endpoint* endpoint = EndpointFor({ row.endpoint_, row.startedAtMs_ });
    if (endpoint == nullptr) {
      continue;
    }
    const auto [known, isNew] = endpoint->peers_.try_emplace(aPeer);
    const OutcomeCounts& before = known->second.total_;
    const bool isContinued = !isNew &&
                             row.total_.successes_ >= before.successes_ &&
                             row.total_.failures_ >= before.failures_;
    // Hosts clear what is recent when a probation begins.
    OutcomeCounts change = row.recent_;
    if (isContinued) {
      change = { row.total_.successes_ - before.successes_,
                 row.total_.failures_ - before.failures_ };
    }
    known->second = { row.recent_, row.total_, aNow };
    Record(*endpoint, change, aNow);
  }
}

bool
OutlierDetector::IsCutOff(base::Instant aNow) const
{
  std::size_t used = 0;
  std::size_t failing = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const OutcomeCounts own = endpoint.own_.Sum(aNow);
    used += own != OutcomeCounts{} ? 1 : 0;
    failing += own.failures_ > own.successes_ ? 1 : 0;
  }
  return used >= kMinUsedEndpoints && 2 * failing > used;
}

std::vector<EndpointOutcomes>
OutlierDetector::OutcomesToReport(base::Instant aNow) const
{
  std::vector<EndpointOutcomes> rows;
  if (!isEnabled_ || IsCutOff(aNow)) {
    return rows;
  }
  for (const auto& [id, endpoint] : endpoints_) {
    const OutcomeCounts own = endpoint.own_.Sum(aNow);
    const bool hasFailed =
      endpoint.firstFailureAt_ && aNow - endpoint.lastFailureAt_ <= kWindow;
    const bool isSound = endpoint.verdict_ == EndpointVerdict::Sound;
    if ((hasFailed || !isSound) && own != OutcomeCounts{}) {
      rows.push_back({ id, endpoint.startedAtMs_, own, endpoint.ownTotal_ });
    }
  }
  std::sort(rows.begin(),
            rows.end(),
            [](const EndpointOutcomes& aLeft, const EndpointOutcomes& aRight) {
              return aLeft.recent_.failures_ > aRight.recent_.failures_;
            });
  rows.resize(std::min(rows.size(), kMaxReported));
  return rows;
}

OutlierDetector::Evidence
OutlierDetector::EvidenceOf(const Endpoint& aEndpoint,
                            bool aIsOwnUsed,
                            base::Instant aNow) const
{
  Evidence evidence;
  const auto add = [&evidence](const OutcomeCounts& aCounts) {
    evidence.recent_.successes_ += aCounts.successes_;
    evidence.recent_.failures_ += aCounts.failures_;
    evidence.usedHosts_ += aCounts != OutcomeCounts{} ? 1 : 0;
    evidence.failedHosts_ += aCounts.failures_ > 0 ? 1 : 0;
  };
  if (aIsOwnUsed) {
    add(aEndpoint.own_.Sum(aNow));
  }
  for (const auto& [peer, row] : aEndpoint.peers_) {
    if (aNow - row.recordedAt_ <= kPeerRowLifetime) {
      add(row.recent_);
    }
  }
  return evidence;
}

VerdictChange
OutlierDetector::Eject(const EndpointRecord& aRecord,
                       Endpoint& aEndpoint,
                       base::Instant aNow)
{
  if (aEndpoint.verdict_ == EndpointVerdict::Sound &&
      aEndpoint.quietBefore_ > kRecoveredAfter) {
    aEndpoint.ejections_ = 0;
  }
  const base::Duration duration = std::min<base::Duration>(
    kFirstEjection * (1U << std::min(aEndpoint.ejections_, kMaxDoublings)),
    kMaxEjection);
  ++aEndpoint.ejections_;
  aEndpoint.verdict_ = EndpointVerdict::Ejected;
  aEndpoint.ejectedUntil_ = aNow + duration;
  VerdictChange change;
  change.endpoint_ = aRecord.Incarnation();
  change.verdict_ = EndpointVerdict::Ejected;
  change.duration_ = duration;
  return change;
}

void
OutlierDetector::Readmit(const EndpointRecord& aRecord,
                         Endpoint& aEndpoint,
                         base::Instant aNow,
                         std::vector<VerdictChange>& aChanges)
{
  if (aEndpoint.verdict_ == EndpointVerdict::Ejected &&
      aNow >= aEndpoint.ejectedUntil_) {
    aEndpoint.verdict_ = EndpointVerdict::Probation;
    aEndpoint.onProbation_ = {};
    // What failed before the ejection must not eject it again.
    aEndpoint.own_.Clear();
    aChanges.push_back(
      { aRecord.Incarnation(), EndpointVerdict::Probation, {} });
    return;
  }
  if (aEndpoint.verdict_ != EndpointVerdict::Probation) {
    return;
  }
  if (aEndpoint.onProbation_.failures_ > 0) {
    aChanges.push_back(Eject(aRecord, aEndpoint, aNow));
    aChanges.back().recent_ = aEndpoint.onProbation_;
  } else if (aEndpoint.onProbation_.successes_ >= kProbationSuccesses) {
    aEndpoint.verdict_ = EndpointVerdict::Sound;
    aEndpoint.firstFailureAt_.reset();
    aChanges.push_back({ aRecord.Incarnation(),
                         EndpointVerdict::Sound,
                         aEndpoint.onProbation_ });
  }
}

void
OutlierDetector::UpdateService(
  std::span<const EndpointRecord* const> aEndpoints,
  double aMinFailureRate,
  bool aIsOwnUsed,
  base::Instant aNow,
  std::vector<VerdictChange>& aChanges)
{
  struct Candidate
  {
    const EndpointRecord* record_ = nullptr;
    Endpoint* endpoint_ = nullptr;
    Evidence evidence_;
  };
  std::vector<Candidate> candidates;
  std::vector<double> rates;
  std::size_t outOfUse = 0;
  for (const EndpointRecord* record : aEndpoints) {
    const auto found = endpoints_.find(record->id_);
    if (found == endpoints_.end() ||
        found->second.startedAtMs_ != record->startedAtMs_) {
      rates.push_back(0.0);
      continue;
    }
    Endpoint& endpoint = found->second;
    Readmit(*record, endpoint, aNow, aChanges);
    outOfUse += endpoint.verdict_ != EndpointVerdict::Sound ? 1 : 0;
    const Evidence evidence = EvidenceOf(endpoint, aIsOwnUsed, aNow);
    rates.push_back(evidence.recent_.FailureRate());
    const bool isLongEnough =
      endpoint.firstFailureAt_ &&
      aNow - *endpoint.firstFailureAt_ >= kEvidenceDelay;
    const bool isConfirmed =
      evidence.failedHosts_ >= std::min<std::size_t>(evidence.usedHosts_, 2);
    if (endpoint.verdict_ == EndpointVerdict::Sound && isLongEnough &&
        isConfirmed && evidence.recent_.failures_ >= kMinFailures &&
        evidence.recent_.FailureRate() >= aMinFailureRate) {
      candidates.push_back({ record, &endpoint, evidence });
    }
  }
  const double usualRate = MedianOf(std::move(rates));
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.evidence_.recent_.failures_ >
                     aRight.evidence_.recent_.failures_;
            });
  const double maxOutOfUse =
    kMaxEjectedShare * static_cast<double>(aEndpoints.size());
  for (const Candidate& candidate : candidates) {
    const OutcomeCounts& recent = candidate.evidence_.recent_;
    if (recent.FailureRate() < kMinRatio * usualRate ||
        static_cast<double>(outOfUse + 1) > maxOutOfUse) {
      continue;
    }
    ++outOfUse;
    VerdictChange change =
      Eject(*candidate.record_, *candidate.endpoint_, aNow);
    change.recent_ = recent;
    change.failedHosts_ = candidate.evidence_.failedHosts_;
    change.usualFailureRate_ = usualRate;
    aChanges.push_back(std::move(change));
  }
}

std::vector<VerdictChange>
OutlierDetector::Update(std::span<const EndpointRecord> aEndpoints,
                        const std::function<bool(const std::string&)>& aIsShort,
                        base::Instant aNow)
{
  std::vector<VerdictChange> changes;
  if (!isEnabled_) {
    return changes;
  }
  std::map<std::string, std::vector<const EndpointRecord*>> byService;
  for (const EndpointRecord& record : aEndpoints) {
    byService[record.service_].push_back(&record);
  }
  const bool isOwnUsed = !IsCutOff(aNow);
  for (const auto& [service, records] : byService) {
    const double minFailureRate =
      aIsShort(service) ? kMinFailureRateInShortage : kMinFailureRate;
    UpdateService(records, minFailureRate, isOwnUsed, aNow, changes);
  }
  for (auto& [id, endpoint] : endpoints_) {
    std::erase_if(endpoint.peers_, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.recordedAt_ > kPeerRowRetention;
    });
  }
  return changes;
}

EndpointVerdict
OutlierDetector::VerdictOf(const EndpointIncarnation& aEndpoint) const
{
  const Endpoint* endpoint = isEnabled_ ? Find(aEndpoint) : nullptr;
  return endpoint != nullptr ? endpoint->verdict_ : EndpointVerdict::Sound;
}

bool
OutlierDetector::HasRecentFailure(const EndpointIncarnation& aEndpoint,
                                  base::Instant aNow) const
{
  const Endpoint* endpoint = isEnabled_ ? Find(aEndpoint) : nullptr;
  return endpoint != nullptr && endpoint->firstFailureAt_ &&
         aNow - endpoint->lastFailureAt_ <= kWindow;
}

void
OutlierDetector::Remove(const std::string& aId)
{
  endpoints_.erase(aId);
}

std::size_t
OutlierDetector::EjectedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& aEntry) {
      return aEntry.second.verdict_ == EndpointVerdict::Ejected;
    }));
}

} // namespace pumiceturn::fleet
