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
constexpr std::chrono::seconds kItemTimeout{ 30 };

/// How long a job's route must be missing to count as removed. Hosts have a new
/// configuration within 2 to 3 s, and somewhat later when the store was away.
constexpr std::chrono::seconds kRouteGoneAfter{ 10 };

/// How long a claim waits for its answer before another may be made.
constexpr std::chrono::seconds kClaimTimeout{ 3 };

/// Times of day of two hosts differ, and may jump by seconds on one of them. An
/// item that is given up this much later than its route allows costs nobody
/// anything; one that is given up sooner is lost. Within the process, times are
/// steady.
constexpr std::chrono::seconds kClockTolerance{ 10 };

/// @return the time since a job's acceptance, as far as clocks of day tell.
base::Duration
AgeOf(const batch::BatchJob& aJob)
{
  const base::Duration age =
    base::WallNow() - base::FromUnixMs(aJob.state_.acceptedAtMs_);
  return std::max(age, base::Duration::zero());
}

/// Weight of the present number of runs in the usual one, at each look while
/// items wait: an average over the last 5 s, longer than a burst of online
/// work.
constexpr double kUsualRunsWeight = 0.02;

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
NameOf(batch::ItemAttemptOutcome aEnd)
{
  switch (aEnd) {
    case batch::ItemAttemptOutcome::Completed:
      return "completed";
    case batch::ItemAttemptOutcome::Failed:
      return "failed";
    case batch::ItemAttemptOutcome::Impossible:
      return "impossible";
    case batch::ItemAttemptOutcome::NotRun:
      return "not_run";
    case batch::ItemAttemptOutcome::Broken:
      return "broken";
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
{
}

bool
BatchWorker::IsOwn(const batch::BatchJob& aJob) const
{
  return aJob.state_.owner_ == ownName_;
}

void
BatchWorker::UpdateLimits(const batch::BatchJob& aJob,
                          OwnBatchJob& aOwn,
                          base::Instant aNow)
{
  batch::ItemLimits limits = aOwn.schedule_.Limits();
  const fleet::Route* route = RouteOf(aJob);
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
BatchWorker::OnJobChanged(const std::string& aJob)
{
  const batch::BatchJob* job = jobs_.Find(aJob);
  const auto own = own_.find(aJob);
  const bool isOwned = own != own_.end();
  // The store's watch may tell of a job's last result before the answer to the
  // write arrives, or when that answer is lost. Leaving the job now would lose
  // that result for readers here.
  if (isOwned && job != nullptr && IsOwn(*job) && job->state_.isFinished_ &&
      results_.IsStoring(aJob)) {
    return;
  }
  if (job == nullptr || !IsOwn(*job) || !job->IsOpen()) {
    if (isOwned) {
      Leave(aJob, job == nullptr || !job->IsOpen() ? "closed" : "taken over");
    }
    if (job != nullptr && !IsOwn(*job) && job->isLoaded_) {
      jobs_.Unload(aJob);
    }
    return;
  }
  if (!isOwned && !leaving_) {
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
    // Without success the next look tries again.
    if (job != nullptr && job->isLoaded_ && IsOwn(*job) && job->IsOpen() &&
        !leaving_ && !own_.contains(aJob)) {
      Take(*job);
    }
  });
}

void
BatchWorker::Take(const batch::BatchJob& aJob)
{
  const base::Instant now = base::MonotonicNow();
  OwnBatchJob own{ batch::ItemSchedule(aJob, {}) };
  own.acceptedAt_ = now - AgeOf(aJob);
  results_.Begin(aJob);
  UpdateLimits(aJob, own, now);
  own_.emplace(aJob.id_, std::move(own));
  claims_.erase(aJob.id_);
  base::Log(kBatchJobAcquired,
            { { "lot", aJob.id_ },
              { "items", aJob.state_.itemCount_ },
              { "results", aJob.results_.size() },
              { "revision", aJob.stateRevision_ } });
}

void
BatchWorker::Leave(const std::string& aJob, std::string_view aReason)
{
  std::vector<std::shared_ptr<ItemAttempt>> kept;
  for (auto& run : runs_) {
    if (run->JobId() == aJob) {
      run->Cancel();
    } else {
      kept.push_back(std::move(run));
    }
  }
  runs_ = std::move(kept);
  const batch::BatchJob* job = jobs_.Find(aJob);
  const fleet::Route* route = CappedRouteOf(aJob);
  if (route != nullptr && !job->IsOpen()) {
    closedJobs_.push_back(MakeWaitingJob(*job, *route, 0));
  }
  if (results_.IsStoring(aJob)) {
    // Whether its results are stored isn't known here: readers ask the store.
    jobs_.Unload(aJob);
  }
  own_.erase(aJob);
  results_.Forget(aJob);
  progressWriter_.Forget(aJob);
  base::Log(kBatchJobReleased, { { "lot", aJob }, { "reason", aReason } });
}

void
BatchWorker::Tick(base::Instant aNow)
{
  if (leaving_) {
    return;
  }
  for (const std::string& id : jobs_.OpenJobs()) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (IsOwn(*job)) {
      OnJobChanged(id);
    } else if (hosts_.IsGone(job->state_.owner_, aNow) &&
               hosts_.OwnerFor(id) == ownName_) {
      Claim(id);
    }
  }
  for (auto& [id, own] : own_) {
    if (const batch::BatchJob* job = jobs_.Find(id)) {
      UpdateLimits(*job, own, aNow);
    }
    for (batch::ItemResult& result : own.schedule_.GiveUp(aNow)) {
      results_.Add(id, std::move(result), own.schedule_.Limits().dueAt_, aNow);
    }
  }
  results_.Tick(aNow);
  PreemptForOnline(aNow);
  StartRuns(aNow);
  for (const auto& run : std::vector(runs_)) {
    run->ReadOn();
  }
  if (progressWriter_.IsDue(hosts_.Count(), aNow)) {
    progressWriter_.Store(CollectProgress(), aNow);
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
BatchWorker::CollectWaitingJobs()
{
  std::vector<WaitingBatchJob> waiting = std::exchange(closedJobs_, {});
  for (const auto& [id, own] : own_) {
    if (const fleet::Route* route = CappedRouteOf(id)) {
      waiting.push_back(
        MakeWaitingJob(*jobs_.Find(id), *route, own.schedule_.WaitingTokens()));
    }
  }
  return waiting;
}

std::vector<BatchJobProgress>
BatchWorker::CollectProgress() const
{
  std::map<std::string, BatchJobProgress> byJob;
  for (const auto& [id, own] : own_) {
    if (const batch::BatchJob* job = jobs_.Find(id)) {
      byJob[id] = { id, job->stateRevision_, own.schedule_.Progress() };
    }
  }
  for (const auto& run : runs_) {
    const batch::BatchJob* job = jobs_.Find(run->JobId());
    if (job != nullptr && job->items_ && run->Progress().lastEvent_ > 0) {
      byJob[run->JobId()].runs_[(*job->items_)[run->Item()].id_] =
        run->Progress();
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
  // The mirror brings the new state, and with it the job's work; a claim that
  // lost against another host's has no effect.
  store_.Commit(MakeStateChange(jobs_.Keys(), *job, state),
                [](const metadata::TransactionResponse&) {});
}

std::vector<batch::StartCandidate>
BatchWorker::CollectCandidates(base::Instant aNow)
{
  const auto hasLivedOn = [this, aNow](const std::string& aEndpoint,
                                       base::Instant aMoment) {
    return shared_.endpoints_.HasSurvived(aEndpoint, aMoment, aNow);
  };
  std::vector<batch::StartCandidate> candidates;
  for (auto& [id, own] : own_) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (job == nullptr || !job->items_ ||
        aNow >= own.schedule_.Limits().giveUpAt_) {
      continue;
    }
    for (const std::size_t item :
         own.schedule_.StartableItems(aNow, hasLivedOn)) {
      const std::uint64_t lastEvent = own.schedule_.ProgressOf(item).lastEvent_;
      candidates.push_back(
        { id, item, UrgencyOf(*job, own, item, lastEvent), lastEvent > 0 });
    }
  }
  return candidates;
}

batch::ItemUrgency
BatchWorker::UrgencyOf(const batch::BatchJob& aJob,
                       const OwnBatchJob& aOwn,
                       std::size_t aItem,
                       std::uint64_t aLastEvent) const
{
  batch::ItemUrgency urgency{ aOwn.schedule_.Limits().dueAt_ };
  const fleet::Route* route = RouteOf(aJob);
  const auto pace = route != nullptr ? paces_.find(route->name_) : paces_.end();
  if (pace != paces_.end()) {
    urgency.remaining_ =
      pace->second.Remaining(aOwn.schedule_.TokensOf(aItem), aLastEvent);
  }
  return urgency;
}

batch::ItemUrgency
BatchWorker::UrgencyOf(const ItemAttempt& aRun) const
{
  const batch::BatchJob* job = jobs_.Find(aRun.JobId());
  const auto own = own_.find(aRun.JobId());
  if (job == nullptr || own == own_.end()) {
    return {};
  }
  return UrgencyOf(*job, own->second, aRun.Item(), aRun.Progress().lastEvent_);
}

void
BatchWorker::StartRuns(base::Instant aNow)
{
  std::vector<batch::StartCandidate> candidates = CollectCandidates(aNow);
  if (candidates.empty()) {
    return;
  }
  usualRuns_ +=
    (static_cast<double>(runs_.size()) - usualRuns_) * kUsualRunsWeight;
  batch::StartConditions conditions{ aNow, usualRuns_ };
  for (const auto& run : runs_) {
    conditions.runningWork_ += UrgencyOf(*run).remaining_;
  }
  for (const batch::StartCandidate& candidate :
       batch::OrderStarts(std::move(candidates), conditions)) {
    if (!StartOne(candidate, aNow)) {
      return;
    }
  }
}

bool
BatchWorker::StartOne(const batch::StartCandidate& aCandidate,
                      base::Instant aNow)
{
  const batch::BatchJob* job = jobs_.Find(aCandidate.job_);
  OwnBatchJob& own = own_.at(aCandidate.job_);
  const fleet::Route* route = RouteOf(*job);
  if (route == nullptr) {
    // It may come with the next configuration; other jobs go on.
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
  const batch::BatchItem& content = (*job->items_)[item];
  base::Log(kRequestSent,
            { { "request", content.id_ },
              { "lot", aCandidate.job_ },
              { "endpoint", choice->endpoint_.id_ },
              { "running", choice->running_ },
              { "candidates", choice->candidates_ },
              { "after_event", own.schedule_.ProgressOf(item).lastEvent_ },
              { "due_ms", base::ToMs(aCandidate.urgency_.dueAt_ - aNow) },
              { "run_ms", base::ToMs(aCandidate.urgency_.remaining_) },
              { "version", shared_.routes_.Version() } });
  auto run = std::make_shared<ItemAttempt>(
    shared_,
    [this](ItemAttempt& aRun, batch::ItemAttemptOutcome aEnd) {
      OnRunEnd(aRun, aEnd);
    },
    aCandidate.job_,
    item,
    own.schedule_.ProgressOf(item));
  own.schedule_.Start(item, choice->endpoint_.id_);
  runs_.push_back(run);
  run->Start(choice->endpoint_,
             content,
             { job->state_.hostName_, CallerOf(*job) },
             kItemTimeout);
  return true;
}

CallerName
BatchWorker::CallerOf(const batch::BatchJob& aJob) const
{
  const std::string& organisation = aJob.state_.organisation_;
  const bool isNamed =
    !organisation.empty() || shared_.routes_.Organisations().AreDeclared();
  return isNamed ? CallerName{ organisation } : CallerName{};
}

void
BatchWorker::PreemptForOnline(base::Instant aNow)
{
  std::vector<std::string> endpoints;
  for (const auto& run : runs_) {
    if (std::find(endpoints.begin(), endpoints.end(), run->EndpointId()) ==
        endpoints.end()) {
      endpoints.push_back(run->EndpointId());
    }
  }
  for (const std::string& endpoint : endpoints) {
    std::uint32_t left = shared_.endpoints_.BatchToPreempt(
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
  std::shared_ptr<ItemAttempt> chosen;
  for (const auto& run : runs_) {
    if (run->EndpointId() != aEndpoint) {
      continue;
    }
    if (!chosen ||
        batch::IsPreemptedBefore(UrgencyOf(*run), UrgencyOf(*chosen), now)) {
      chosen = run;
    }
  }
  if (!chosen) {
    return;
  }
  chosen->Cancel();
  shared_.endpoints_.RecordPreemption(aEndpoint, now);
  OnRunEnd(*chosen, batch::ItemAttemptOutcome::Preempted);
}

void
BatchWorker::OnRunEnd(ItemAttempt& aRun, batch::ItemAttemptOutcome aEnd)
{
  const std::string job = aRun.JobId();
  const std::size_t item = aRun.Item();
  base::Log(kItemAttemptEnded,
            { { "lot", job },
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
  batch::PartialOutput progress = aRun.TakeProgress();
  RemoveRun(aRun);
  const auto own = own_.find(job);
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
    job, std::move(*result), own->second.schedule_.Limits().dueAt_, now);
}

void
BatchWorker::NotePace(const ItemAttempt& aRun, batch::ItemAttemptOutcome aEnd)
{
  const batch::BatchJob* job = jobs_.Find(aRun.JobId());
  const auto own = own_.find(aRun.JobId());
  const fleet::Route* route = job == nullptr ? nullptr : RouteOf(*job);
  if (route == nullptr || own == own_.end()) {
    return;
  }
  batch::ItemPace& pace = paces_[route->name_];
  pace.RecordRun(aRun.NewEvents(), base::MonotonicNow() - aRun.StartedAt());
  if (aEnd == batch::ItemAttemptOutcome::Completed) {
    pace.RecordCompleted(own->second.schedule_.TokensOf(aRun.Item()),
                         aRun.Progress().lastEvent_);
  }
}

void
BatchWorker::RemoveRun(const ItemAttempt& aRun)
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
    OnRunEnd(*run, batch::ItemAttemptOutcome::Preempted);
  }
  auto left = std::make_shared<std::size_t>(1);
  const auto finishOne = [left, done = std::move(aDone)] {
    if (--*left == 0) {
      done();
    }
  };
  for (const auto& [id, own] : own_) {
    const batch::BatchJob* job = jobs_.Find(id);
    if (job == nullptr) {
      continue;
    }
    batch::BatchJobState state = job->state_;
    state.owner_.clear();
    metadata::Transaction results;
    state.isFinished_ = results_.AddTo(results, *job);
    metadata::Transaction transaction =
      MakeStateChange(jobs_.Keys(), *job, state);
    std::move(results.expectations_.begin(),
              results.expectations_.end(),
              std::back_inserter(transaction.expectations_));
    std::move(results.writes_.begin(),
              results.writes_.end(),
              std::back_inserter(transaction.writes_));
    transaction.writes_.push_back(
      { jobs_.Keys().MakeKey({ id, batch::KeyPart::Progress, 0 }),
        batch::EncodeProgress(own.schedule_.Progress()),
        0 });
    ++*left;
    base::Log(kBatchJobReleased, { { "lot", id }, { "reason", "leaving" } });
    store_.Commit(
      transaction,
      [finishOne](const metadata::TransactionResponse&) { finishOne(); });
  }
  finishOne();
}

} // namespace pumiceturn::gateway
