#include "LibGateway/BatchWorker.h"

#include "LibGateway/Events.h"
#include "LibGateway/StateChange.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// How long a route must be missing to count as removed. A new configuration
/// reaches all hosts within 2 to 3 s, or later if the store was unavailable.
constexpr std::chrono::seconds kRouteRemovalDelay{ 10 };

/// Time after which an unanswered claim is repeated.
constexpr std::chrono::seconds kClaimTimeout{ 3 };

/// Tolerance for differences between the wall clocks of hosts, which may also
/// jump by seconds. An item that is abandoned early is lost, whereas abandoning
/// it this much later costs nothing.
constexpr std::chrono::seconds kClockTolerance{ 10 };

/// @return the time since a job's acceptance, by wall clock.
base::Duration
AgeOf(const batch::BatchJob& aJob)
{
  const base::Duration age =
    base::WallNow() - base::FromUnixMs(aJob.state_.acceptedAtMs_);
  return std::max(age, base::Duration::zero());
}

WaitingBatchJob
MakeWaitingJob(const batch::BatchJob& aJob,
               const fleet::Route& aRoute,
               std::uint64_t aTokens)
{
  return { aJob.id_,
           batch::LedgerName(aRoute.name_, aJob.state_.organisation_),
           aRoute.waitingTokenCap_,
           aTokens };
}

std::string_view
NameOf(batch::ItemAttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case batch::ItemAttemptOutcome::Completed:
      return "completed";
    case batch::ItemAttemptOutcome::Failed:
      return "failed";
    case batch::ItemAttemptOutcome::Rejected:
      return "impossible";
    case batch::ItemAttemptOutcome::NotRun:
      return "not_run";
    case batch::ItemAttemptOutcome::Interrupted:
      return "broken";
    case batch::ItemAttemptOutcome::Silent:
      return "silent";
    case batch::ItemAttemptOutcome::Unconfirmed:
      return "unconfirmed";
    case batch::ItemAttemptOutcome::Preempted:
      break;
  }
  return "preempted";
}

} // namespace

BatchWorker::BatchWorker(boost::asio::io_context& aContext,
                         SharedState& aShared,
                         metadata::StoreClient& aStore,
                         batch::BatchJobTable& aJobs,
                         BatchJobLoader& aLoader,
                         const batch::HostSet& aHosts,
                         std::string aOwnName)
  : context_(aContext)
  , shared_(aShared)
  , store_(aStore)
  , jobs_(aJobs)
  , loader_(aLoader)
  , hosts_(aHosts)
  , ownName_(std::move(aOwnName))
  , results_(aStore,
             aJobs,
             [this](const std::string& aJob) { onResults_(aJob); })
  , progressWriter_(aStore, aJobs.Keys())
  , failureWriter_(
      aStore,
      aJobs,
      [this](const std::string& aJob, const batch::FailureCounts& aStored) {
        const auto running = runningJobs_.find(aJob);
        if (running != runningJobs_.end()) {
          running->second.schedule_.RecordFailuresStored(aStored);
        }
      })
{
}

bool
BatchWorker::IsOwnerOf(const batch::BatchJob& aJob) const
{
  return aJob.state_.owner_ == ownName_;
}

void
BatchWorker::UpdateLimits(const batch::BatchJob& aJob,
                          RunningJob& aRunning,
                          base::Instant aNow)
{
  batch::ItemLimits limits = aRunning.schedule_.Limits();
  const fleet::Route* route = RouteOf(aJob);
  if (route != nullptr) {
    aRunning.routeMissingSince_.reset();
    limits.maxAttempts_ = route->maxAttempts_;
    limits.dueAt_ = aRunning.acceptedAt_ + route->dueAfter_;
    limits.abandonAt_ =
      aRunning.acceptedAt_ + route->giveUpAfter_ + kClockTolerance;
  } else {
    // The configuration may not have reached this host yet. Waiting items are
    // abandoned only if the route stays missing.
    if (!aRunning.routeMissingSince_) {
      aRunning.routeMissingSince_ = aNow;
    }
    const bool isRemoved =
      shared_.routes_.Version() > 0 &&
      aNow - *aRunning.routeMissingSince_ > kRouteRemovalDelay;
    limits.abandonAt_ = isRemoved ? aNow : base::Instant::max();
  }
  aRunning.schedule_.SetLimits(limits);
}

void
BatchWorker::OnJobChanged(const std::string& aJob)
{
  const batch::BatchJob* job = jobs_.Find(aJob);
  const auto running = runningJobs_.find(aJob);
  const bool isRunning = running != runningJobs_.end();
  // The store's watch may report a finished job before the response to the
  // write of its last result arrives, or when that response is lost. Releasing
  // the job now would lose that result for readers on this host.
  if (isRunning && job != nullptr && IsOwnerOf(*job) &&
      job->state_.isFinished_ && results_.IsStoring(aJob)) {
    return;
  }
  if (job == nullptr || !IsOwnerOf(*job) || !job->IsOpen()) {
    if (isRunning) {
      Release(aJob, job == nullptr || !job->IsOpen() ? "closed" : "taken over");
    }
    if (job != nullptr && !IsOwnerOf(*job) && job->isLoaded_) {
      jobs_.Unload(aJob);
    }
    return;
  }
  if (!isRunning && !isDraining_) {
    Load(aJob);
  }
}

void
BatchWorker::Load(const std::string& aJob)
{
  if (!loading_.insert(aJob).second) {
    return;
  }
  loader_.ReadData(aJob, [this, aJob](metadata::StoreStatus /*aStatus*/) {
    loading_.erase(aJob);
    const batch::BatchJob* job = jobs_.Find(aJob);
    // If loading failed, the next tick retries.
    if (job != nullptr && job->isLoaded_ && IsOwnerOf(*job) && job->IsOpen() &&
        !isDraining_ && !runningJobs_.contains(aJob)) {
      Acquire(*job);
    }
  });
}

void
BatchWorker::Acquire(const batch::BatchJob& aJob)
{
  const base::Instant now = base::MonotonicNow();
  RunningJob running{ batch::ItemSchedule(aJob, {}) };
  running.acceptedAt_ = now - AgeOf(aJob);
  running.acquiredAt_ = now;
  results_.Begin(aJob);
  UpdateLimits(aJob, running, now);
  runningJobs_.emplace(aJob.id_, std::move(running));
  claims_.erase(aJob.id_);
  base::Log(kBatchJobAcquired,
            { { "lot", aJob.id_ },
              { "items", aJob.state_.itemCount_ },
              { "results", aJob.results_.size() },
              { "items_failed", aJob.failures_.size() },
              { "failures_unreadable", aJob.areFailuresUnreadable_ },
              { "revision", aJob.stateRevision_ } });
}

void
BatchWorker::Release(const std::string& aJob, std::string_view aReason)
{
  std::vector<std::shared_ptr<ItemAttempt>> kept;
  for (auto& attempt : attempts_) {
    if (attempt->JobId() == aJob) {
      attempt->Cancel();
    } else {
      kept.push_back(std::move(attempt));
    }
  }
  attempts_ = std::move(kept);
  const batch::BatchJob* job = jobs_.Find(aJob);
  const fleet::Route* route = CappedRouteOf(aJob);
  if (route != nullptr && !job->IsOpen()) {
    closedJobs_.push_back(MakeWaitingJob(*job, *route, 0));
  }
  if (results_.IsStoring(aJob)) {
    // The outcome of the write is unknown, so reads must go to the store.
    jobs_.Unload(aJob);
  }
  runningJobs_.erase(aJob);
  results_.Forget(aJob);
  progressWriter_.Forget(aJob);
  failureWriter_.Forget(aJob);
  base::Log(kBatchJobReleased, { { "lot", aJob }, { "reason", aReason } });
}

void
BatchWorker::Tick(base::Instant aNow)
{
  if (isDraining_) {
    return;
  }
  for (const std::string& id : jobs_.OpenJobs()) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (IsOwnerOf(*job)) {
      OnJobChanged(id);
    } else if (hosts_.CanTakeOverFrom(job->state_.owner_, aNow) &&
               hosts_.AssignedOwner(id) == ownName_) {
      Claim(id);
    }
  }
  for (auto& [id, running] : runningJobs_) {
    if (const batch::BatchJob* job = jobs_.Find(id)) {
      UpdateLimits(*job, running, aNow);
      EndWaitingItems(*job, running, aNow);
    }
  }
  failureWriter_.Store(hosts_.Count(), aNow);
  results_.Tick(aNow);
  PreemptForOnline(aNow);
  StartAttempts(aNow);
  for (const auto& attempt : std::vector(attempts_)) {
    attempt->ResumeReading();
  }
  if (progressWriter_.IsDue(hosts_.Count(), aNow)) {
    progressWriter_.Store(CollectProgress(), aNow);
  }
}

void
BatchWorker::EndWaitingItems(const batch::BatchJob& aJob,
                             RunningJob& aRunning,
                             base::Instant aNow)
{
  const base::Instant dueAt = aRunning.schedule_.Limits().dueAt_;
  // Without the route its maximum of attempts isn't known.
  if (RouteOf(aJob) != nullptr) {
    for (batch::ItemResult& result : aRunning.schedule_.FinishFailed()) {
      base::Log(kItemNotRunAgain,
                { { "lot", aJob.id_ }, { "item", result.item_ } });
      results_.Add(aJob.id_, std::move(result), dueAt, aNow);
    }
  }
  for (batch::ItemResult& result : aRunning.schedule_.AbandonWaiting(aNow)) {
    results_.Add(aJob.id_, std::move(result), dueAt, aNow);
  }
}

void
BatchWorker::StoreFailures(const std::string& aJob, const RunningJob& aRunning)
{
  failureWriter_.Add(aJob, aRunning.schedule_.Failures());
  if (!isDraining_) {
    failureWriter_.Store(hosts_.Count(), base::MonotonicNow());
  }
}

const fleet::Route*
BatchWorker::RouteOf(const batch::BatchJob& aJob) const
{
  return shared_.routes_.Find(aJob.state_.hostName_, aJob.state_.path_);
}

const fleet::Route*
BatchWorker::CappedRouteOf(const std::string& aJob) const
{
  const batch::BatchJob* job = jobs_.Find(aJob);
  return job == nullptr ? nullptr
                        : shared_.routes_.FindCapped(job->state_.hostName_,
                                                     job->state_.path_);
}

std::vector<WaitingBatchJob>
BatchWorker::TakeTokenCounts()
{
  std::vector<WaitingBatchJob> waiting = std::exchange(closedJobs_, {});
  for (const auto& [id, running] : runningJobs_) {
    if (const fleet::Route* route = CappedRouteOf(id)) {
      waiting.push_back(MakeWaitingJob(
        *jobs_.Find(id), *route, running.schedule_.UnfinishedTokens()));
    }
  }
  return waiting;
}

std::vector<BatchJobProgress>
BatchWorker::CollectProgress() const
{
  std::map<std::string, BatchJobProgress> byJob;
  for (const auto& [id, running] : runningJobs_) {
    if (const batch::BatchJob* job = jobs_.Find(id)) {
      byJob[id] = { id, job->stateRevision_, running.schedule_.Progress() };
    }
  }
  for (const auto& attempt : attempts_) {
    const batch::BatchJob* job = jobs_.Find(attempt->JobId());
    if (job != nullptr && job->items_ && attempt->Progress().lastEvent_ > 0) {
      byJob[attempt->JobId()].outputs_[(*job->items_)[attempt->Item()].id_] =
        attempt->Progress();
    }
  }
  std::vector<BatchJobProgress> jobs;
  jobs.reserve(byJob.size());
  for (auto& [id, progress] : byJob) {
    jobs.push_back(std::move(progress));
  }
  return jobs;
}

void
BatchWorker::Claim(const std::string& aJob)
{
  const base::Instant now = base::MonotonicNow();
  const auto claim = claims_.find(aJob);
  if (claim != claims_.end() && now - claim->second < kClaimTimeout) {
    return;
  }
  const batch::BatchJob* job = jobs_.Find(aJob);
  claims_[aJob] = now;
  batch::BatchJobState state = job->state_;
  state.owner_ = ownName_;
  // This host then reads the new state through its watch of the store, and
  // OnJobChanged() loads the job. A claim that conflicts with another host's
  // has no effect.
  store_.Commit(MakeStateChange(jobs_.Keys(), *job, state),
                [](const metadata::TransactionResponse&) {});
}

batch::ItemUrgency
BatchWorker::UrgencyOf(const RunningJob& aRunning,
                       const fleet::Route* aRoute,
                       std::size_t aItem,
                       std::uint64_t aLastEvent) const
{
  batch::ItemUrgency urgency{ aRunning.schedule_.Limits().dueAt_ };
  const auto estimator = aRoute != nullptr
                           ? durationEstimators_.find(aRoute->name_)
                           : durationEstimators_.end();
  if (estimator != durationEstimators_.end()) {
    urgency.remaining_ = estimator->second.EstimateRemaining(
      aRunning.schedule_.TokensOf(aItem), aLastEvent);
  }
  return urgency;
}

batch::ItemUrgency
BatchWorker::UrgencyOf(const ItemAttempt& aAttempt) const
{
  const batch::BatchJob* job = jobs_.Find(aAttempt.JobId());
  const auto running = runningJobs_.find(aAttempt.JobId());
  if (job == nullptr || running == runningJobs_.end()) {
    return {};
  }
  return UrgencyOf(running->second,
                   RouteOf(*job),
                   aAttempt.Item(),
                   aAttempt.Progress().lastEvent_);
}

void
BatchWorker::OnAttemptEnd(ItemAttempt& aAttempt,
                          batch::ItemAttemptOutcome aOutcome)
{
  const std::string job = aAttempt.JobId();
  const std::size_t item = aAttempt.Item();
  shared_.metrics_
    .GetCounter("pumiceturn_item_runs_total",
                "Ended runs of lots' items.",
                fmt::format("end=\"{}\"", NameOf(aOutcome)))
    .Add();
  RecordDuration(aAttempt, aOutcome);
  const std::uint64_t lastEvent = aAttempt.Progress().lastEvent_;
  batch::PartialOutput progress = aAttempt.ReleaseProgress();
  RemoveAttempt(aAttempt);
  const auto running = runningJobs_.find(job);
  if (running == runningJobs_.end()) {
    return;
  }
  batch::ItemSchedule& schedule = running->second.schedule_;
  auto result =
    schedule.End(item, aOutcome, std::move(progress), base::MonotonicNow());
  base::Log(kItemAttemptEnded,
            { { "lot", job },
              { "item", item },
              { "endpoint", aAttempt.EndpointId() },
              { "end", NameOf(aOutcome) },
              { "status", aAttempt.Status() },
              { "last_event", lastEvent },
              { "failures", schedule.FailuresOf(item) },
              { "max_attempts", schedule.Limits().maxAttempts_ },
              { "done", result.has_value() } });
  if (aOutcome == batch::ItemAttemptOutcome::Failed ||
      aOutcome == batch::ItemAttemptOutcome::Rejected) {
    StoreFailures(job, running->second);
  }
  if (!result) {
    return;
  }
  const base::Instant now = base::MonotonicNow();
  results_.Add(job, std::move(*result), schedule.Limits().dueAt_, now);
}

void
BatchWorker::RecordDuration(const ItemAttempt& aAttempt,
                            batch::ItemAttemptOutcome aOutcome)
{
  const batch::BatchJob* job = jobs_.Find(aAttempt.JobId());
  const auto running = runningJobs_.find(aAttempt.JobId());
  const fleet::Route* route = job == nullptr ? nullptr : RouteOf(*job);
  if (route == nullptr || running == runningJobs_.end()) {
    return;
  }
  batch::ItemDurationEstimator& estimator = durationEstimators_[route->name_];
  estimator.RecordAttempt(aAttempt.NewEvents(),
                          base::MonotonicNow() - aAttempt.StartedAt());
  if (aOutcome == batch::ItemAttemptOutcome::Completed) {
    estimator.RecordCompleted(
      running->second.schedule_.TokensOf(aAttempt.Item()),
      aAttempt.Progress().lastEvent_);
  }
}

void
BatchWorker::RemoveAttempt(const ItemAttempt& aAttempt)
{
  const auto found = std::find_if(
    attempts_.begin(), attempts_.end(), [&aAttempt](const auto& aOther) {
      return aOther.get() == &aAttempt;
    });
  if (found == attempts_.end()) {
    return;
  }
  // The attempt may be inside one of its callbacks, so it is destroyed later.
  boost::asio::post(context_, [attempt = std::move(*found)] {});
  attempts_.erase(found);
}

void
BatchWorker::HandOver(std::function<void()> aDone)
{
  isDraining_ = true;
  for (const auto& attempt : std::vector(attempts_)) {
    attempt->Cancel();
    OnAttemptEnd(*attempt, attempt->OutcomeIfCancelled());
  }
  auto pending = std::make_shared<std::size_t>(1);
  const auto finishOne = [pending, done = std::move(aDone)] {
    if (--*pending == 0) {
      done();
    }
  };
  for (const auto& [id, running] : runningJobs_) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (job == nullptr) {
      continue;
    }
    batch::BatchJobState state = job->state_;
    state.owner_.clear();
    metadata::Transaction results;
    state.isFinished_ = results_.AddUnstored(results, *job);
    metadata::Transaction transaction =
      MakeStateChange(jobs_.Keys(), *job, state);
    std::move(results.expectations_.begin(),
              results.expectations_.end(),
              std::back_inserter(transaction.expectations_));
    std::move(results.writes_.begin(),
              results.writes_.end(),
              std::back_inserter(transaction.writes_));
    transaction.writes_.push_back(
      { jobs_.Keys().MakeKey({ id, batch::KeyKind::Progress, 0 }),
        batch::EncodeProgress(running.schedule_.Progress()),
        0 });
    if (const auto failures = running.schedule_.Failures(); !failures.empty()) {
      transaction.writes_.push_back(
        { jobs_.Keys().MakeKey({ id, batch::KeyKind::Failures, 0 }),
          batch::EncodeFailures(failures),
          0 });
    }
    ++*pending;
    base::Log(kBatchJobReleased, { { "lot", id }, { "reason", "leaving" } });
    store_.Commit(
      transaction,
      [finishOne](const metadata::TransactionResponse&) { finishOne(); });
  }
  finishOne();
}

} // namespace pumiceturn::gateway
