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

bool
HasTarget(const fleet::Route& aRoute, std::string_view aService)
{
  return std::any_of(
    aRoute.targets_.begin(), aRoute.targets_.end(), [&](const auto& aTarget) {
      return aTarget.service_ == aService;
    });
}

batch::StartObstacle
ToObstacle(fleet::BatchCapacity aCapacity)
{
  switch (aCapacity) {
    case fleet::BatchCapacity::NoEndpoint:
      return batch::StartObstacle::NoEndpoint;
    case fleet::BatchCapacity::Full:
      return batch::StartObstacle::NoFreeSlot;
    case fleet::BatchCapacity::FreeSlot:
      break;
  }
  return batch::StartObstacle::None;
}

} // namespace

void
BatchWorker::StartAttempts(base::Instant aNow)
{
  const auto changes = starter_.StartWaiting(
    CollectQueues(aNow),
    aNow,
    [this, aNow](const std::string& aService,
                 const batch::StartCandidate& aCandidate) {
      return StartAttempt(aService, aCandidate, aNow);
    });
  for (const batch::ServiceObstacle& change : changes) {
    base::Log(kItemsWaiting,
              { { "service", change.service_ },
                { "cause", batch::ToString(change.obstacle_) },
                { "items", change.waiting_ },
                { "running", attempts_.size() },
                { "version", shared_.routes_.Version() } });
  }
}

batch::ItemStarter::ServiceQueues
BatchWorker::CollectQueues(base::Instant aNow)
{
  const auto hasSurvived = [this, aNow](const std::string& aEndpoint,
                                        base::Instant aTime) {
    return shared_.endpoints_.HasSurvived(aEndpoint, aTime, aNow);
  };
  batch::ItemStarter::ServiceQueues queues;
  pausingItems_ = 0;
  for (auto& [id, running] : runningJobs_) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (job == nullptr || !job->items_ ||
        aNow >= running.schedule_.Limits().abandonAt_) {
      continue;
    }
    const fleet::Route* route = RouteOf(*job);
    const std::vector<std::size_t> items =
      running.schedule_.StartableItems(aNow, hasSurvived);
    pausingItems_ += running.schedule_.WaitingCount() - items.size();
    for (const std::size_t item : items) {
      const std::string service =
        route == nullptr ? std::string()
                         : NextService(running, item, *route, queues, aNow);
      const std::uint64_t lastEvent =
        running.schedule_.ProgressOf(item).lastEvent_;
      QueueOf(queues, service, aNow)
        .waiting_.push_back({ id,
                              item,
                              UrgencyOf(running, route, item, lastEvent),
                              lastEvent > 0 });
    }
  }
  for (const auto& attempt : attempts_) {
    const auto queue = queues.find(attempt->Service());
    if (queue != queues.end()) {
      ++queue->second.attempts_;
      queue->second.runningWork_ += UrgencyOf(*attempt).remaining_;
    }
  }
  return queues;
}

batch::ServiceQueue&
BatchWorker::QueueOf(batch::ItemStarter::ServiceQueues& aQueues,
                     const std::string& aService,
                     base::Instant aNow)
{
  const auto [entry, isNew] = aQueues.try_emplace(aService);
  if (isNew) {
    entry->second.obstacle_ =
      aService.empty()
        ? batch::StartObstacle::RouteMissing
        : ToObstacle(shared_.endpoints_.BatchCapacityOf(aService, aNow));
  }
  return entry->second;
}

std::string
BatchWorker::NextService(const RunningJob& aRunning,
                         std::size_t aItem,
                         const fleet::Route& aRoute,
                         batch::ItemStarter::ServiceQueues& aQueues,
                         base::Instant aNow)
{
  const batch::PartialOutput& progress = aRunning.schedule_.ProgressOf(aItem);
  const bool waitsForVersion = progress.lastEvent_ > 0 &&
                               HasTarget(aRoute, progress.service_) &&
                               !HasWaitedForVersion(aRunning, aItem, aNow);
  if (waitsForVersion && QueueOf(aQueues, progress.service_, aNow).obstacle_ !=
                           batch::StartObstacle::NoEndpoint) {
    return progress.service_;
  }
  const auto hasFreeSlot = [&](const std::string& aService) {
    return QueueOf(aQueues, aService, aNow).obstacle_ ==
           batch::StartObstacle::None;
  };
  const std::string* free = fleet::RouteTable::ChooseServiceAmong(
    aRoute, NextRandom(shared_.random_), hasFreeSlot);
  return free != nullptr ? *free
                         : fleet::RouteTable::ChooseService(
                             aRoute, NextRandom(shared_.random_));
}

bool
BatchWorker::HasWaitedForVersion(const RunningJob& aRunning,
                                 std::size_t aItem,
                                 base::Instant aNow)
{
  const base::Instant waitsSince =
    std::max(aRunning.schedule_.WaitingSince(aItem), aRunning.acquiredAt_);
  return aNow - waitsSince >= kMaxVersionWait;
}

batch::StartObstacle
BatchWorker::StartAttempt(const std::string& aService,
                          const batch::StartCandidate& aCandidate,
                          base::Instant aNow)
{
  const batch::BatchJob* job = jobs_.Find(aCandidate.job_);
  RunningJob& running = runningJobs_.at(aCandidate.job_);
  const std::size_t item = aCandidate.item_;
  const fleet::CrashAssessment assessment =
    shared_.crashes_.HasSuspects()
      ? shared_.crashes_.Assess(
          FeaturesOf((*job->items_)[item], shared_.codec_), aNow)
      : fleet::NotSuspected{};
  if (!MayStart(assessment)) {
    return batch::StartObstacle::Suspected;
  }
  const bool hasProgress = running.schedule_.ProgressOf(item).lastEvent_ > 0;
  const auto choice =
    hasProgress
      ? ChooseForRest(running, aCandidate, *RouteOf(*job), aService, aNow)
      : ChooseForStart(aService, assessment, aNow);
  if (!choice) {
    return hasProgress ? batch::StartObstacle::VersionFull
                       : batch::StartObstacle::NoFreeSlot;
  }
  if (MustSpareEndpoint(running, item, *choice)) {
    return batch::StartObstacle::Suspected;
  }
  if (const auto* refused = std::get_if<fleet::CrashesEndpoints>(&assessment)) {
    base::Log(kCrashTrial,
              { { "request", (*job->items_)[item].id_ },
                { "feature", ToString(refused->feature_) },
                { "endpoint", choice->endpoint_.id_ } });
    shared_.crashes_.BeginTrial(refused->feature_, aNow);
  }
  BeginAttempt(*job, running, aCandidate, *choice, aNow);
  return batch::StartObstacle::None;
}

void
BatchWorker::BeginAttempt(const batch::BatchJob& aJob,
                          RunningJob& aRunning,
                          const batch::StartCandidate& aCandidate,
                          const fleet::EndpointChoice& aChoice,
                          base::Instant aNow)
{
  const std::size_t item = aCandidate.item_;
  const batch::BatchItem& content = (*aJob.items_)[item];
  base::Log(
    kRequestSent,
    { { "request", content.id_ },
      { "lot", aCandidate.job_ },
      { "service", aChoice.endpoint_.service_ },
      { "endpoint", aChoice.endpoint_.id_ },
      { "running", aChoice.inFlight_ },
      { "candidates", aChoice.candidates_ },
      { "software", aChoice.endpoint_.softwareVersion_ },
      { "born_ms", aChoice.endpoint_.startedAtMs_ },
      { "registration_age_ms", base::ToMs(aNow - aChoice.registrationReadAt_) },
      { "after_event", aRunning.schedule_.ProgressOf(item).lastEvent_ },
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
    aRunning.schedule_.ProgressOf(item));
  aRunning.schedule_.Start(item, aChoice.endpoint_.id_);
  attempts_.push_back(attempt);
  attempt->Start(aChoice.endpoint_,
                 content,
                 { aJob.state_.hostName_, CallerOf(aJob) },
                 kAttemptTimeLimit);
}

bool
BatchWorker::MayStart(const fleet::CrashAssessment& aAssessment) const
{
  struct Visitor
  {
    const BatchWorker& worker_;

    bool operator()(const fleet::NotSuspected& /*aNone*/) const { return true; }
    bool operator()(const fleet::Suspected& aSuspicion) const
    {
      return !worker_.IsRunning(aSuspicion.feature_);
    }
    bool operator()(const fleet::CrashesEndpoints& aRefusal) const
    {
      return aRefusal.isBatchTrialDue_ && !worker_.IsRunning(aRefusal.feature_);
    }
  };
  return std::visit(Visitor{ *this }, aAssessment);
}

bool
BatchWorker::IsRunning(std::uint64_t aFeature) const
{
  return std::any_of(
    attempts_.begin(), attempts_.end(), [aFeature](const auto& aAttempt) {
      const auto& features = aAttempt->Features();
      return features.content_ == aFeature ||
             std::find(features.parts_.begin(),
                       features.parts_.end(),
                       aFeature) != features.parts_.end();
    });
}

bool
BatchWorker::MustSpareEndpoint(const RunningJob& aRunning,
                               std::size_t aItem,
                               const fleet::EndpointChoice& aChoice) const
{
  if (aChoice.candidates_ > 1 ||
      !aRunning.schedule_.WasInterruptedRepeatedly(aItem)) {
    return false;
  }
  return std::any_of(
    attempts_.begin(), attempts_.end(), [&](const auto& aAttempt) {
      const auto running = runningJobs_.find(aAttempt->JobId());
      return aAttempt->EndpointId() == aChoice.endpoint_.id_ &&
             aAttempt->NewEvents() == 0 && running != runningJobs_.end() &&
             running->second.schedule_.WasInterruptedRepeatedly(
               aAttempt->Item());
    });
}

std::optional<fleet::EndpointChoice>
BatchWorker::ChooseForStart(const std::string& aService,
                            const fleet::CrashAssessment& aAssessment,
                            base::Instant aNow)
{
  fleet::ChoiceRequest request{ aService, fleet::WorkClass::Batch, {} };
  if (const auto* refused =
        std::get_if<fleet::CrashesEndpoints>(&aAssessment)) {
    request.commonEndpointKey_ = refused->feature_;
  }
  if (const auto* suspicion = std::get_if<fleet::Suspected>(&aAssessment)) {
    request.commonEndpointKey_ = suspicion->feature_;
    request.excluded_ = suspicion->crashedEndpoints_;
    // All endpoints of the service may have crashed and be back.
    if (auto choice =
          shared_.endpoints_.Choose(request, aNow, shared_.random_)) {
      return choice;
    }
    request.excluded_ = {};
  }
  return shared_.endpoints_.Choose(request, aNow, shared_.random_);
}

std::optional<fleet::EndpointChoice>
BatchWorker::ChooseForRest(RunningJob& aRunning,
                           const batch::StartCandidate& aCandidate,
                           const fleet::Route& aRoute,
                           const std::string& aService,
                           base::Instant aNow)
{
  const std::size_t item = aCandidate.item_;
  const batch::PartialOutput& progress = aRunning.schedule_.ProgressOf(item);
  const bool isServed =
    HasTarget(aRoute, progress.service_) &&
    shared_.endpoints_.HasUsable(progress.service_, progress.softwareVersion_);
  std::optional<fleet::EndpointChoice> choice;
  if (isServed) {
    fleet::ChoiceRequest request{ progress.service_,
                                  fleet::WorkClass::Batch,
                                  {} };
    request.softwareVersion_ = progress.softwareVersion_;
    choice = shared_.endpoints_.Choose(request, aNow, shared_.random_);
  }
  if (choice || (isServed && !HasWaitedForVersion(aRunning, item, aNow))) {
    return choice;
  }
  choice = ChooseForStart(aService, fleet::NotSuspected{}, aNow);
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
  OnAttemptEnd(*chosen, chosen->OutcomeIfCancelled());
}

} // namespace pumiceturn::gateway
