#include "LibGateway/OnlineProxy.h"

#include <utility>

// The part of OnlineProxy that decides whether there is another attempt, and
// chooses its endpoint.

namespace pumiceturn::gateway {

namespace {

/// Attempts that didn't reach the endpoint after which no other is made at
/// once.
constexpr std::uint32_t kMaxUndelivered = 3;

} // namespace

std::size_t
OnlineProxy::CountedAttempts() const
{
  const std::uint32_t uncounted =
    uncountedAttempts_ + (stream_.HasBegun() ? refusedAttempts_ : 0);
  return triedEndpoints_.size() - uncounted - (isLostToCrash_ ? 1 : 0);
}

bool
OnlineProxy::MayTryAgain() const
{
  return CountedAttempts() < route_.maxAttempts_ &&
         undeliveredAttempts_ < kMaxUndelivered && stream_.CanGoOn() &&
         TimeLeft() >= kMinAttemptTime;
}

void
OnlineProxy::TryNextEndpoint()
{
  if (isFinished_) {
    return;
  }
  if (!AdmitByCrashes()) {
    return;
  }
  auto choice = std::exchange(replacement_, std::nullopt);
  if (!choice && MayTryAgain()) {
    choice = ChooseEndpoint(fleet::Evidence::None);
  }
  if (!choice) {
    if (!WaitForSlot()) {
      LogIfNotContinued();
      EndWithoutAttempt();
    }
    return;
  }
  if (!AdmitByShare(choice->endpoint_.service_) || !Admit(*choice)) {
    return;
  }
  if (choice->preemptsBatch_) {
    preemptBatch_(*choice);
  }
  Send(*choice);
}

std::optional<fleet::EndpointChoice>
OnlineProxy::ChooseEndpoint(fleet::Evidence aEvidence)
{
  std::vector<std::string> excluded = triedEndpoints_;
  excluded.insert(excluded.end(), passedOver_.begin(), passedOver_.end());
  if (!crashedEndpoints_.empty()) {
    std::vector<std::string> sound = excluded;
    sound.insert(
      sound.end(), crashedEndpoints_.begin(), crashedEndpoints_.end());
    if (auto choice = ChooseExcept(sound, aEvidence)) {
      return choice;
    }
  }
  auto choice = ChooseExcept(excluded, aEvidence);
  // The rest of a stream waits for a slot instead.
  if (choice || passedOver_.empty() || stream_.HasBegun()) {
    return choice;
  }
  return ChooseExcept(triedEndpoints_, aEvidence);
}

std::optional<fleet::EndpointChoice>
OnlineProxy::ChooseExcept(std::span<const std::string> aExcluded,
                          fleet::Evidence aEvidence)
{
  const bool isRest = stream_.HasBegun();
  if (isRest && !stream_.Origin()) {
    return std::nullopt;
  }
  fleet::ChoiceRequest request{ isRest ? stream_.Origin()->service_
                                       : fleet::RouteTable::ChooseService(
                                           route_, NextRandom(shared_.random_)),
                                fleet::WorkClass::Online,
                                aExcluded,
                                IsRetryable() &&
                                  CountedAttempts() + 1 < route_.maxAttempts_ };
  if (isRest) {
    request.softwareVersion_ = stream_.Origin()->version_;
  }
  request.needsProcess_ = NeedsProcess();
  request.evidence_ = aEvidence;
  request.commonEndpointKey_ = suspectFeature_;
  const base::Instant now = base::MonotonicNow();
  if (!isRest && route_.isResumable_) {
    request.allowedVersions_ =
      origins_.VersionsToBeginAt(std::string(request.service_));
    auto choice = shared_.endpoints_.Choose(request, now, shared_.random_);
    if (choice || request.allowedVersions_ == nullptr) {
      return choice;
    }
    request.allowedVersions_ = nullptr;
  }
  return shared_.endpoints_.Choose(request, now, shared_.random_);
}

} // namespace pumiceturn::gateway
