#include "LibFleet/EndpointTable.h"

#include <algorithm>

// The part of EndpointTable that tells the processes of an endpoint apart.

namespace pumiceturn::fleet {

namespace {

/// No process starts again within this time after its end.
constexpr std::chrono::milliseconds kMinRestartTime{ 50 };

} // namespace

bool
EndpointTable::IsOfLaterProcess(const EndpointRecord& aRecord,
                                const Endpoint& aKnown)
{
  const EndpointRecord& known = aKnown.record_;
  const bool hasOtherSoftware =
    aRecord.startedAtMs_ == known.startedAtMs_ &&
    aRecord.softwareVersion_ != known.softwareVersion_;
  // The clock of a machine may be set back.
  const bool hasNamedItself =
    aKnown.otherProcessAt_ && aRecord.startedAtMs_ == aKnown.otherStartedAtMs_;
  return aRecord.startedAtMs_ > known.startedAtMs_ || hasOtherSoftware ||
         hasNamedItself;
}

void
EndpointTable::RecordProcess(const EndpointIncarnation& aEndpoint,
                             base::Instant aAskedAt)
{
  if (Endpoint* endpoint = Find(aEndpoint)) {
    endpoint->processAskedAt_ = aAskedAt;
    endpoint->otherProcessAt_.reset();
    endpoint->contradictedSince_.reset();
  }
}

void
EndpointTable::RecordToldStart(const EndpointIncarnation& aEndpoint,
                               std::int64_t aStartedAtMs,
                               base::Instant aAskedAt)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint != nullptr && aEndpoint.startedAtMs_ == 0) {
    endpoint->toldStartedAtMs_ = aStartedAtMs;
    RecordProcess(aEndpoint, aAskedAt);
  }
}

std::int64_t
EndpointTable::StartOf(const EndpointIncarnation& aEndpoint) const
{
  const Endpoint* endpoint = Find(aEndpoint);
  const bool isTold = aEndpoint.startedAtMs_ == 0 && endpoint != nullptr;
  return isTold ? endpoint->toldStartedAtMs_ : aEndpoint.startedAtMs_;
}

bool
EndpointTable::RecordOtherProcess(const EndpointIncarnation& aEndpoint,
                                  std::int64_t aStartedAtMs,
                                  base::Instant aNow)
{
  Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return false;
  }
  endpoint->processAskedAt_.reset();
  endpoint->otherStartedAtMs_ = aStartedAtMs;
  endpoint->otherProcessAt_ = aNow;
  endpoint->contradictedSince_ = endpoint->contradictedSince_.value_or(aNow);
  // This process may have been suspended meanwhile.
  if (registrationAgeSetAt_ &&
      aNow - *registrationAgeSetAt_ > limits_.registrationTimeout_) {
    registrationsOldAt_ = aNow;
  }
  const base::Instant since =
    std::max(*endpoint->contradictedSince_,
             registrationsOldAt_.value_or(*endpoint->contradictedSince_));
  if (aNow - since <= limits_.contradictionTimeout_) {
    return false;
  }
  if (aEndpoint.startedAtMs_ == 0) {
    RecordToldStart(aEndpoint, aStartedAtMs, aNow);
    return false;
  }
  endpoint->otherProcessAt_.reset();
  endpoint->wordIgnoredAt_ = aNow;
  return true;
}

void
EndpointTable::SetRegistrationAge(base::Duration aAge, base::Instant aNow)
{
  registrationAgeSetAt_ = aNow;
  if (aAge > limits_.registrationTimeout_) {
    registrationsOldAt_ = aNow;
  }
}

void
EndpointTable::RecordProcessUntold(const EndpointIncarnation& aEndpoint,
                                   base::Instant aAskedAt)
{
  if (Endpoint* endpoint = Find(aEndpoint)) {
    endpoint->untoldAskedAt_ = aAskedAt;
  }
}

ProcessEvidence
EndpointTable::ProcessEvidenceOf(const EndpointIncarnation& aEndpoint,
                                 base::Instant aConnectedAt,
                                 base::Instant aNow) const
{
  if (StartOf(aEndpoint) == 0) {
    // Each start of such an endpoint has another id, as far as is known.
    return ProcessEvidence::NoStart;
  }
  const Endpoint* endpoint = Find(aEndpoint);
  if (endpoint == nullptr) {
    return ProcessEvidence::None;
  }
  const auto& ignoredAt = endpoint->wordIgnoredAt_;
  if (ignoredAt && aNow - *ignoredAt < limits_.contradictionRetention_) {
    return ProcessEvidence::WordIgnored;
  }
  const auto isAnsweredBy = [&](const std::optional<base::Instant>& aAskedAt) {
    return aAskedAt && aConnectedAt <= *aAskedAt + kMinRestartTime;
  };
  if (isAnsweredBy(endpoint->processAskedAt_)) {
    return aConnectedAt <= *endpoint->processAskedAt_
             ? ProcessEvidence::Told
             : ProcessEvidence::ToldBefore;
  }
  return isAnsweredBy(endpoint->untoldAskedAt_) ? ProcessEvidence::Untold
                                                : ProcessEvidence::None;
}

std::optional<std::int64_t>
EndpointTable::LaterProcessOf(const EndpointIncarnation& aEndpoint) const
{
  const auto found = endpoints_.find(aEndpoint.id_);
  const bool isLater =
    found != endpoints_.end() &&
    found->second.record_.startedAtMs_ > aEndpoint.startedAtMs_;
  return isLater ? std::optional(found->second.record_.startedAtMs_)
                 : std::nullopt;
}

} // namespace pumiceturn::fleet
