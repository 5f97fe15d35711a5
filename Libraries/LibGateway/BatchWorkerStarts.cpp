#include "LibGateway/BatchWorker.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/Events.h"

#include <algorithm>
#include <utility>

// The part of BatchWorker that starts attempts and preempts them.

namespace pumiceturn::gateway {

namespace {

/// Time limit that an endpoint is given for one attempt. The longest items
/// usually take about 8 s.
constexpr std::chrono::seconds kAttemptTimeLimit{ 30 };

/// How long an item with a partial text waits for a slot at the software
/// version that began it. Then it starts from its beginning elsewhere, as the
/// last endpoints of a version may be busy for long.
constexpr std::chrono::seconds kMaxVersionWait{ 3 };

/// Weight of a new sample in the average number of concurrent attempts. With
/// one sample every 100 ms, the average covers about 5 s, longer than a burst
/// of online work.
constexpr double kAverageAttemptsWeight = 0.02;

} // namespace

void
BatchWorker::StartAttempts(base::Instant aNow)
{
  std::vector<batch::StartCandidate> candidates = CollectCandidates(aNow);
  if (candidates.empty()) {
    return;
  }
  averageAttempts_ +=
    (static_cast<double>(attempts_.size()) - averageAttempts_) *
    kAverageAttemptsWeight;
  batch::StartConditions conditions{ aNow, averageAttempts_ };
  for (const auto& attempt : attempts_) {
    conditions.runningWork_ += UrgencyOf(*attempt).remaining_;
  }
  for (const batch::StartCandidate& candidate :
       batch::OrderStarts(std::move(candidates), conditions)) {
    if (!StartAttempt(candidate, aNow)) {
      return;
    }
  }
}

bool
BatchWorker::StartAttempt(const batch::StartCandidate& aCandidate,
                          base::Instant aNow)
{
  const batch::BatchJob* job = jobs_.Find(aCandidate.job_);
  RunningJob& running = runningJobs_.at(aCandidate.job_);
  const fleet::Route* route = RouteOf(*job);
  if (route == nullptr) {
    // The route may arrive with the next configuration; continue with other
    // jobs.
    return true;
  }
  const std::size_t item = aCandidate.item_;
  const fleet::CrashAssessment assessment =
    shared_.crashes_.HasSuspects()
      ? shared_.crashes_.Assess(
          FeaturesOf((*job->items_)[item], shared_.codec_), aNow)
      : fleet::NotSuspected{};
  if (!MayStart(assessment)) {
    // Others may start.
    return true;
  }
  const auto* suspicion = std::get_if<fleet::Suspected>(&assessment);
  const bool hasProgress = running.schedule_.ProgressOf(item).lastEvent_ > 0;
  const auto choice = hasProgress
                        ? ChooseForRest(running, aCandidate, *route, aNow)
                        : ChooseForStart(*route, suspicion, aNow);
  if (!choice) {
    // Without a slot at one version, or at the endpoint of suspected requests,
    // there may be one for other items.
    return hasProgress || suspicion != nullptr;
  }
  const batch::BatchItem& content = (*job->items_)[item];
  base::Log(kRequestSent,
            { { "request", content.id_ },
              { "lot", aCandidate.job_ },
              { "endpoint", choice->endpoint_.id_ },
              { "running", choice->inFlight_ },
              { "candidates", choice->candidates_ },
              { "software", choice->endpoint_.softwareVersion_ },
              { "after_event", running.schedule_.ProgressOf(item).lastEvent_ },
              { "due_ms", base::ToMs(aCandidate.urgency_.dueAt_ - aNow) },
              { "run_ms", base::ToMs(aCandidate.urgency_.remaining_) },
              { "version", shared_.routes_.Version() } });
  auto attempt = std::make_shared<ItemAttempt>(
    shared_,
    [this](ItemAttempt& aAttempt, batch::ItemAttemptOutcome aOutcome) {
      OnAttemptEnd(aAttempt, aOutcome);
    },
    aCandidate.job_,
    item,
    running.schedule_.ProgressOf(item));
  running.schedule_.Start(item, choice->endpoint_.id_);
  attempts_.push_back(attempt);
  attempt->Start(choice->endpoint_,
                 content,
                 { job->state_.hostName_, CallerOf(*job) },
                 kAttemptTimeLimit);
  return true;
}

bool
BatchWorker::MayStart(const fleet::CrashAssessment& aAssessment) const
{
  if (std::holds_alternative<fleet::CrashesEndpoints>(aAssessment)) {
    return false;
  }
  const auto* suspicion = std::get_if<fleet::Suspected>(&aAssessment);
  if (suspicion == nullptr) {
    return true;
  }
  // One at a time shows whether the feature crashes endpoints.
  return std::none_of(
    attempts_.begin(), attempts_.end(), [suspicion](const auto& aAttempt) {
      const auto& features = aAttempt->Features();
      return features.content_ == suspicion->feature_ ||
             std::find(features.parts_.begin(),
                       features.parts_.end(),
                       suspicion->feature_) != features.parts_.end();
    });
}

std::optional<fleet::EndpointChoice>
BatchWorker::ChooseForStart(const fleet::Route& aRoute,
                            const fleet::Suspected* aSuspicion,
                            base::Instant aNow)
{
  const std::string& service =
    fleet::RouteTable::ChooseService(aRoute, NextRandom(shared_.random_));
  fleet::ChoiceRequest request{ service, fleet::WorkClass::Batch, {} };
  if (aSuspicion != nullptr) {
    request.excluded_ = aSuspicion->crashedEndpoints_;
    request.commonEndpointKey_ = aSuspicion->feature_;
  }
  return shared_.endpoints_.Choose(request, aNow, shared_.random_);
}

std::optional<fleet::EndpointChoice>
BatchWorker::ChooseForRest(RunningJob& aRunning,
                           const batch::StartCandidate& aCandidate,
                           const fleet::Route& aRoute,
                           base::Instant aNow)
{
  const std::size_t item = aCandidate.item_;
  const batch::PartialOutput& progress = aRunning.schedule_.ProgressOf(item);
  const bool isRouted = std::any_of(
    aRoute.targets_.begin(), aRoute.targets_.end(), [&](const auto& aTarget) {
      return aTarget.service_ == progress.service_;
    });
  const bool isServed =
    isRouted &&
    shared_.endpoints_.HasUsable(progress.service_, progress.softwareVersion_);
  std::optional<fleet::EndpointChoice> choice;
  if (isServed) {
    fleet::ChoiceRequest request{ progress.service_,
                                  fleet::WorkClass::Batch,
                                  {} };
    request.softwareVersion_ = progress.softwareVersion_;
    choice = shared_.endpoints_.Choose(request, aNow, shared_.random_);
  }
  const base::Instant waitsSince =
    std::max(aRunning.schedule_.WaitingSince(item), aRunning.acquiredAt_);
  if (choice || (isServed && aNow - waitsSince < kMaxVersionWait)) {
    return choice;
  }
  choice = ChooseForStart(aRoute, nullptr, aNow);
  if (choice) {
    RestartItem(aRunning, aCandidate, isServed);
  }
  return choice;
}

void
BatchWorker::RestartItem(RunningJob& aRunning,
                         const batch::StartCandidate& aCandidate,
                         bool aIsServed)
{
  const batch::PartialOutput& progress =
    aRunning.schedule_.ProgressOf(aCandidate.item_);
  base::Log(kItemRestarted,
            { { "lot", aCandidate.job_ },
              { "item", aCandidate.item_ },
              { "after_event", progress.lastEvent_ },
              { "service", progress.service_ },
              { "software", progress.softwareVersion_ },
              { "cause", aIsServed ? "busy" : "gone" } });
  shared_.metrics_
    .GetCounter("pumiceturn_items_restarted_total",
                "Batch items whose partial text was dropped.")
    .Add();
  aRunning.schedule_.DiscardProgress(aCandidate.item_);
}

OrganisationName
BatchWorker::CallerOf(const batch::BatchJob& aJob) const
{
  const std::string& organisation = aJob.state_.organisation_;
  const bool isNamed =
    !organisation.empty() || shared_.routes_.Organisations().AreDeclared();
  return isNamed ? OrganisationName{ organisation } : OrganisationName{};
}

void
BatchWorker::PreemptForOnline(base::Instant aNow)
{
  std::vector<std::string> endpoints;
  for (const auto& attempt : attempts_) {
    if (std::find(endpoints.begin(), endpoints.end(), attempt->EndpointId()) ==
        endpoints.end()) {
      endpoints.push_back(attempt->EndpointId());
    }
  }
  for (const std::string& endpoint : endpoints) {
    std::uint32_t remaining = shared_.endpoints_.BatchToPreempt(
      endpoint, aNow, NextRandom(shared_.random_));
    for (; remaining > 0; --remaining) {
      Preempt(endpoint);
    }
  }
}

void
BatchWorker::Preempt(const std::string& aEndpoint)
{
  const base::Instant now = base::MonotonicNow();
  std::shared_ptr<ItemAttempt> chosen;
  for (const auto& attempt : attempts_) {
    if (attempt->EndpointId() != aEndpoint) {
      continue;
    }
    if (!chosen || batch::IsPreemptedBefore(
                     UrgencyOf(*attempt), UrgencyOf(*chosen), now)) {
      chosen = attempt;
    }
  }
  if (!chosen) {
    return;
  }
  chosen->Cancel();
  shared_.endpoints_.RecordPreemption(aEndpoint, now);
  OnAttemptEnd(*chosen, batch::ItemAttemptOutcome::Preempted);
}

} // namespace pumiceturn::gateway
