#include "LibKeeper/JobService.h"

#include "LibJobs/RecordCodec.h"
#include "LibKeeper/Events.h"
#include "LibRouting/Fingerprint.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::keeper {

namespace {

/// Limit the size of a record.
constexpr std::size_t kMaxResultsPerRecord = 256;
constexpr std::size_t kMaxResultBytesPerRecord = 1U << 20U;
/// Limits the memory for forwarded reports that are not answered.
constexpr std::size_t kMaxForwardedRuns = 65536;
/// Deadline of online runs whose kind sets none.
constexpr std::uint32_t kDefaultDeadlineMs = 30000;

std::uint32_t
RemainingMs(std::int64_t aDeadlineUnixMs,
            std::int64_t aNowUnixMs,
            std::uint32_t aMinMs)
{
  const std::int64_t left = aDeadlineUnixMs - aNowUnixMs;
  return left > aMinMs ? static_cast<std::uint32_t>(left) : aMinMs;
}

} // namespace

void
JobService::Handle(const std::string& aPeer, const wire::BatchGrant& aGrant)
{
  scheduler_.Grant(aPeer, aGrant.service_, aGrant.granted_);
  Dispatch();
}

void
JobService::Handle(const std::string& /*aPeer*/,
                   const wire::RunRecorded& aRecorded)
{
  const auto found = forwarded_.find(aRecorded.run_);
  if (found == forwarded_.end()) {
    return;
  }
  Send(found->second, aRecorded);
  forwarded_.erase(found);
}

void
JobService::Handle(const std::string& aPeer, const wire::RunEnded& aEnded)
{
  const base::JobId& id = aEnded.run_.job_;
  const Route route = RouteTo(id);
  if (route.partition_ == nullptr) {
    const auto found = partitions_.find(route.index_);
    if (route.code_ == base::ResultCode::NotOwner) {
      Forward(aPeer, route.index_, aEnded);
    } else if (found != partitions_.end()) {
      found->second.deferredUntilOwned_.push_back({ aPeer, aEnded });
    }
    return;
  }
  if (route.partition_->table_.IsAccepting(id)) {
    Defer(*route.partition_, id, aPeer, aEnded);
    return;
  }
  HandleRunEnd(aPeer, route, aEnded);
}

void
JobService::Forward(const std::string& aPeer,
                    std::uint32_t aPartition,
                    const wire::RunEnded& aEnded)
{
  const std::string owner = ports_.ownerOf_(aPartition);
  // Only reports from agents are forwarded. Otherwise two keepers with
  // different views of the owner would forward a message back and forth.
  if (!scheduler_.IsAgent(aPeer) || owner.empty() || owner == ports_.host_) {
    return;
  }
  if (forwarded_.size() >= kMaxForwardedRuns) {
    forwarded_.clear();
  }
  forwarded_[aEnded.run_] = aPeer;
  Send(owner, aEnded);
}

void
JobService::HandleRunEnd(const std::string& aPeer,
                         const Route& aRoute,
                         const wire::RunEnded& aEnded)
{
  OwnedPartition& partition = *aRoute.partition_;
  const base::RunId& id = aEnded.run_;
  const bool isOk = aEnded.code_ == base::ResultCode::Ok;
  const jobs::RunInFlight* inFlight = scheduler_.FindRun(id);
  if (inFlight != nullptr && inFlight->agent_ != aPeer && !isOk) {
    // The run is now at another agent, so this agent's failure does not end it.
    Send(aPeer, wire::RunRecorded{ id });
    return;
  }
  jobs::EndDecision decision = partition.table_.DecideRunEnd(aEnded);
  if (decision.action_ == jobs::EndAction::Wait) {
    Defer(partition, id.job_, aPeer, aEnded);
    return;
  }
  const auto run = scheduler_.RemoveRun(id, aPeer);
  if (run && isOk && !run->online_) {
    scheduler_.RecordServiceTime(run->service_, ports_.now_() - run->started_);
  }
  switch (decision.action_) {
    case jobs::EndAction::Append: {
      PendingResult pending{ std::move(*decision.record_),
                             ResultNotification::RunRecorded,
                             { aPeer, 0 } };
      pending.ended_.result_.name_ = run ? run->itemName_ : std::string();
      ResolveNameAndRecord(aRoute, std::move(pending));
      break;
    }
    case jobs::EndAction::Requeue:
      OnItemRequeued(aRoute, aPeer, aEnded);
      break;
    case jobs::EndAction::Discard:
    case jobs::EndAction::Reject:
    case jobs::EndAction::Wait:
      if (isOk) {
        ++counts_.resultsDropped_;
        base::Log(kResultDropped,
                  { { "run", base::ToString(id) }, { "agent", aPeer } });
      }
      Send(aPeer, wire::RunRecorded{ id });
      break;
  }
  Dispatch();
}

void
JobService::OnItemRequeued(const Route& aRoute,
                           const std::string& aPeer,
                           const wire::RunEnded& aEnded)
{
  const base::RunId& id = aEnded.run_;
  OwnedPartition& partition = *aRoute.partition_;
  ++counts_.requeued_;
  base::Log(kItemRequeued,
            { { "run", base::ToString(id) },
              { "agent", aPeer },
              { "code", base::NameOf(aEnded.code_) },
              { "not_run", aEnded.ran_ == base::Ran::NotRun } });
  if (aEnded.ran_ == base::Ran::NotRun) {
    scheduler_.Pause(
      aPeer, ports_.now_() + std::chrono::milliseconds(aEnded.retryAfterMs_));
  } else {
    Send(aPeer, wire::RunRecorded{ id });
  }
  const jobs::Job& job = *partition.table_.Find(id.job_);
  if (!job.description_.online_) {
    AddWaiting(job, 1);
  } else if (job.description_.idempotent_) {
    orphans_.insert(id.job_);
  } else {
    EndWithoutRun(aRoute, id, aEnded.code_, base::Ran::NotRun, aEnded.detail_);
  }
}

void
JobService::EndWithoutRun(const Route& aRoute,
                          const base::RunId& aRun,
                          base::ResultCode aCode,
                          base::Ran aRan,
                          std::string aDetail)
{
  wire::ItemResult result;
  result.code_ = aCode;
  result.ran_ = aRan;
  result.detail_ = std::move(aDetail);
  jobs::EndDecision decision =
    aRoute.partition_->table_.DecideItemEnd(aRun, result);
  if (decision.action_ == jobs::EndAction::Append) {
    ResolveNameAndRecord(
      aRoute, { std::move(*decision.record_), ResultNotification::None, {} });
  }
}

void
JobService::ResolveNameAndRecord(const Route& aRoute, PendingResult aPending)
{
  OwnedPartition& partition = *aRoute.partition_;
  const jobs::Job& job = *partition.table_.Find(aPending.ended_.run_.job_);
  const wire::ItemResult& result = aPending.ended_.result_;
  if (result.code_ != base::ResultCode::Ok) {
    base::Log(kItemFailed,
              { { "run", base::ToString(aPending.ended_.run_) },
                { "code", base::NameOf(result.code_) },
                { "detail", result.detail_ } });
  }
  if (job.description_.online_ || !result.name_.empty()) {
    QueueResult(aRoute.index_, partition, std::move(aPending));
    return;
  }
  // The run was started by a previous owner or the item ends without a run, so
  // the item's name is read from the log.
  const jobs::ItemLocation location =
    job.LocateItem(aPending.ended_.run_.item_);
  outbox_.Add([this,
               self = shared_from_this(),
               index = aRoute.index_,
               epoch = partition.epoch_,
               location,
               pending = std::move(aPending)] {
    ports_.post_([this, self, index, epoch, location, pending]() mutable {
      const auto item = ReadItemAt(location);
      Lock lock(mutex_);
      OwnedPartition* owned = FindPartition(index, epoch);
      if (owned != nullptr) {
        if (const auto* found = std::get_if<wire::JobItem>(&item)) {
          pending.ended_.result_.name_ = found->name_;
        }
        QueueResult(index, *owned, std::move(pending));
      }
      UnlockAndRunOutbox(std::move(lock));
    });
  });
}

base::Outcome<wire::JobItem>
JobService::ReadItemAt(const jobs::ItemLocation& aLocation)
{
  return base::Capture([&]() -> base::Result<wire::JobItem> {
    BOOST_LEAF_AUTO(bytes, cache_.Get(aLocation.record_));
    return jobs::ReadItem(*bytes, aLocation.index_);
  });
}

void
JobService::QueueResult(std::uint32_t aIndex,
                        OwnedPartition& aPartition,
                        PendingResult aPending)
{
  aPartition.pendingResults_.push_back(std::move(aPending));
  AppendQueuedResults(aIndex, aPartition);
}

void
JobService::AppendQueuedResults(std::uint32_t aIndex,
                                OwnedPartition& aPartition)
{
  // One record of results is appended at a time, and results that arrive in the
  // meantime go into the next one. So the number of results per record
  // grows with the load, and no timer is needed.
  if (aPartition.resultAppendInFlight_ || aPartition.pendingResults_.empty()) {
    return;
  }
  std::vector<PendingResult>& pendingResults = aPartition.pendingResults_;
  std::size_t count = 0;
  std::size_t bytes = 0;
  jobs::ItemsEnded body;
  while (count < pendingResults.size() && count < kMaxResultsPerRecord &&
         bytes < kMaxResultBytesPerRecord) {
    body.ended_.push_back(pendingResults[count].ended_);
    bytes += pendingResults[count].ended_.result_.text_.size();
    ++count;
  }
  const auto last = pendingResults.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<PendingResult> results(
    std::make_move_iterator(pendingResults.begin()),
    std::make_move_iterator(last));
  pendingResults.erase(pendingResults.begin(), last);
  aPartition.resultAppendInFlight_ = true;
  Append(
    aIndex,
    { jobs::Record{ ports_.wallUnixMs_(), std::move(body) } },
    FailureHandling::Retry,
    [this, aIndex, epoch = aPartition.epoch_, results = std::move(results)](
      base::ResultCode aCode, std::span<const jobs::RecordEffects> aEffects) {
      OnResultsAppended(aIndex, epoch, results, aCode, aEffects);
    });
}

void
JobService::OnResultsAppended(std::uint32_t aIndex,
                              std::uint64_t aEpoch,
                              const std::vector<PendingResult>& aPendingResults,
                              base::ResultCode aCode,
                              std::span<const jobs::RecordEffects> aEffects)
{
  OwnedPartition* partition = FindPartition(aIndex, aEpoch);
  for (std::size_t index = 0; index < aPendingResults.size(); ++index) {
    const PendingResult& pending = aPendingResults[index];
    if (aCode != base::ResultCode::Ok || partition == nullptr) {
      NotifyNotOwner(aIndex, pending);
      continue;
    }
    NotifyRecorded(*partition, pending, aEffects.front().ended_[index].first_);
  }
  if (partition == nullptr) {
    return;
  }
  partition->resultAppendInFlight_ = false;
  for (const PendingResult& pending : aPendingResults) {
    HandleDeferred(*partition, pending.ended_.run_.job_);
  }
  AppendQueuedResults(aIndex, *partition);
}

void
JobService::NotifyRecorded(const OwnedPartition& aPartition,
                           const PendingResult& aPending,
                           bool aIsFirst)
{
  switch (aPending.notification_) {
    case ResultNotification::None:
      return;
    case ResultNotification::RunRecorded:
      Send(aPending.requester_.peer_,
           wire::RunRecorded{ aPending.ended_.run_ });
      return;
    case ResultNotification::RecordResultReply:
      break;
  }
  const auto reference =
    FindOnlineResult(aPartition.table_, aPending.ended_.run_.job_);
  if (!aIsFirst && reference) {
    ReplyRecorded(aPending.requester_, *reference, aPending.ended_.result_);
    return;
  }
  wire::RecordResultReply reply;
  reply.call_ = aPending.requester_.call_;
  reply.first_ = true;
  Send(aPending.requester_.peer_, std::move(reply));
}

void
JobService::NotifyNotOwner(std::uint32_t aIndex, const PendingResult& aPending)
{
  const std::string owner = ports_.ownerOf_(aIndex);
  const Requester& requester = aPending.requester_;
  if (aPending.notification_ == ResultNotification::RecordResultReply) {
    wire::RecordResultReply reply;
    reply.call_ = requester.call_;
    reply.code_ = base::ResultCode::NotOwner;
    reply.ownerHint_ = owner;
    Send(requester.peer_, std::move(reply));
    return;
  }
  if (aPending.notification_ == ResultNotification::RunRecorded) {
    const wire::ItemResult& result = aPending.ended_.result_;
    wire::RunEnded ended;
    ended.run_ = aPending.ended_.run_;
    ended.code_ = result.code_;
    ended.ran_ = result.ran_;
    ended.text_ = result.text_;
    ended.tokens_ = result.tokens_;
    ended.detail_ = result.detail_;
    Forward(requester.peer_, aIndex, ended);
  }
}

void
JobService::AddWaiting(const jobs::Job& aJob, std::uint32_t aItems)
{
  scheduler_.AddWork(aJob.description_,
                     ports_.batchWeightOf_(aJob.description_.partner_),
                     aItems);
}

void
JobService::SendDemand(const std::vector<jobs::DemandNotice>& aNotices)
{
  for (const jobs::DemandNotice& notice : aNotices) {
    Send(notice.agent_, notice.demand_);
  }
}

void
JobService::Dispatch()
{
  if (draining_) {
    return;
  }
  for (const std::string& service : scheduler_.Services()) {
    DispatchService(service);
  }
}

void
JobService::DispatchService(const std::string& aService)
{
  const base::Instant now = ports_.now_();
  const std::int64_t nowUnixMs = ports_.wallUnixMs_();
  while (const auto assignment =
           scheduler_.AssignNext(aService, now, nowUnixMs)) {
    const jobs::Selection& selection = assignment->selection_;
    const Route route = RouteTo(selection.job_);
    std::optional<jobs::DispatchedItem> dispatch;
    if (route.partition_ != nullptr) {
      dispatch = route.partition_->table_.TakeItem(selection.job_);
    }
    if (!dispatch) {
      // The item ended while it was waiting, its job is being cancelled, or the
      // partition is not served now.
      scheduler_.ReturnCredit(assignment->agent_, aService);
      continue;
    }
    base::Log(
      kBatchAssigned,
      { { "run", base::ToString(dispatch->run_) },
        { "service", aService },
        { "agent", assignment->agent_ },
        { "credits_left", assignment->remainingCredits_ },
        { "partner", selection.partner_ },
        { "reason",
          selection.reason_ == jobs::SelectionReason::Share ? "share"
                                                            : "urgent" },
        { "laxity_ms", selection.laxityMs_ },
        { "waiting_of_job", selection.waiting_ },
        { "partners_waiting", selection.partners_ } });
    LoadPayload(route,
                *dispatch,
                { assignment->agent_, aService, {}, now, false, false });
  }
}

void
JobService::LoadPayload(const Route& aRoute,
                        const jobs::DispatchedItem& aDispatch,
                        jobs::RunInFlight aRun)
{
  const LoadingRun loading{ aRoute.index_,
                            aRoute.partition_->epoch_,
                            aDispatch };
  scheduler_.AddRun(aDispatch.run_, std::move(aRun));
  outbox_.Add([this, self = shared_from_this(), loading] {
    ports_.post_([this, self, loading] {
      const auto item = ReadItemAt(loading.dispatch_.location_);
      Lock lock(mutex_);
      OnPayloadLoaded(loading, item);
      UnlockAndRunOutbox(std::move(lock));
    });
  });
}

void
JobService::OnPayloadLoaded(const LoadingRun& aLoading,
                            const base::Outcome<wire::JobItem>& aItem)
{
  const base::RunId& id = aLoading.dispatch_.run_;
  OwnedPartition* partition =
    FindPartition(aLoading.partition_, aLoading.epoch_);
  if (partition == nullptr || scheduler_.FindRun(id) == nullptr ||
      !partition->table_.IsRunning(id)) {
    // The job was cancelled, the item ended by a late result, or the partition
    // was released while the payload was read. The run is not started.
    DropRun(id);
    return;
  }
  const Route route{ partition, aLoading.partition_, {}, {} };
  if (const auto* failure = std::get_if<base::Failure>(&aItem)) {
    base::Log(kUnreadableRecord,
              { { "run", base::ToString(id) },
                { "code", base::NameOf(failure->code_) },
                { "detail", failure->detail_ } });
    DropRun(id);
    EndWithoutRun(
      route, id, failure->code_, base::Ran::NotRun, failure->detail_);
    return;
  }
  StartLoadedRun(route, aLoading, std::get<wire::JobItem>(aItem));
}

void
JobService::StartLoadedRun(const Route& aRoute,
                           const LoadingRun& aLoading,
                           const wire::JobItem& aItem)
{
  const base::RunId& id = aLoading.dispatch_.run_;
  const std::string& service = scheduler_.FindRun(id)->service_;
  if (ports_.isQuarantined_(
        routing::MakeFingerprint(service, aItem.payload_))) {
    DropRun(id);
    EndWithoutRun(aRoute,
                  id,
                  base::ResultCode::Quarantined,
                  base::Ran::NotRun,
                  "its content crashed endpoints");
    return;
  }
  jobs::RunInFlight* run = scheduler_.FindRun(id);
  run->itemName_ = aItem.name_;
  if (!aLoading.dispatch_.recordStart_) {
    SendStart(aLoading, aItem);
    return;
  }
  // Without a durable record, the next owner could run a non-idempotent item
  // again or exceed the attempt limit of an idempotent one. So the start is
  // recorded before StartRun is sent.
  Append(
    aLoading.partition_,
    { jobs::Record{ ports_.wallUnixMs_(),
                    jobs::ItemStarted{ id, run->agent_ } } },
    FailureHandling::Report,
    [this, aLoading, aItem](base::ResultCode aCode,
                            std::span<const jobs::RecordEffects> /*aEffects*/) {
      if (aCode == base::ResultCode::Ok) {
        SendStart(aLoading, aItem);
      } else {
        RequeueUnstarted(aLoading);
      }
    });
}

void
JobService::SendStart(const LoadingRun& aLoading, const wire::JobItem& aItem)
{
  const base::RunId& id = aLoading.dispatch_.run_;
  const OwnedPartition* partition =
    FindPartition(aLoading.partition_, aLoading.epoch_);
  jobs::RunInFlight* run = scheduler_.FindRun(id);
  if (partition == nullptr || run == nullptr ||
      !partition->table_.IsRunning(id)) {
    DropRun(id);
    return;
  }
  run->sent_ = true;
  run->started_ = ports_.now_();
  ++(run->online_ ? counts_.startedOrphans_ : counts_.startedBatchRuns_);
  outbox_.Add([this,
               self = shared_from_this(),
               agent = run->agent_,
               start = MakeStart(*partition, id, aItem),
               aLoading]() mutable {
    if (ports_.send_(agent, std::move(start)) != base::ResultCode::Ok) {
      Lock lock(mutex_);
      RequeueUnstarted(aLoading);
      UnlockAndRunOutbox(std::move(lock));
    }
  });
}

void
JobService::RequeueUnstarted(const LoadingRun& aLoading)
{
  const base::RunId& id = aLoading.dispatch_.run_;
  OwnedPartition* partition =
    FindPartition(aLoading.partition_, aLoading.epoch_);
  DropRun(id);
  if (partition == nullptr || !partition->table_.Requeue(id)) {
    return;
  }
  ++counts_.requeued_;
  const jobs::Job& job = *partition->table_.Find(id.job_);
  if (job.description_.online_) {
    orphans_.insert(id.job_);
  } else {
    AddWaiting(job, 1);
  }
}

void
JobService::DropRun(const base::RunId& aRun)
{
  const auto run = scheduler_.RemoveRun(aRun, {});
  if (run && !run->online_) {
    scheduler_.ReturnCredit(run->agent_, run->service_);
  }
}

wire::StartRun
JobService::MakeStart(const OwnedPartition& aPartition,
                      const base::RunId& aRun,
                      const wire::JobItem& aItem) const
{
  const wire::JobDescription& job =
    aPartition.table_.Find(aRun.job_)->description_;
  wire::StartRun start;
  start.run_ = aRun;
  start.service_ = job.service_;
  start.kind_ = job.kind_;
  start.online_ = job.online_;
  start.idempotent_ = job.idempotent_;
  start.dueUnixMs_ = job.dueUnixMs_;
  start.fingerprint_ = routing::MakeFingerprint(job.service_, aItem.payload_);
  start.prefix_ = routing::HashPrefix(aItem.payload_);
  start.maxTokens_ = job.maxTokens_;
  start.payload_ = aItem.payload_;
  start.fence_ = aPartition.epoch_;
  if (job.online_) {
    // The run gets at least the deadline of its kind, even if the caller's has
    // passed: the caller can still read the result by its key.
    const std::uint32_t kindDeadlineMs =
      ports_.limitsOf_(job.service_, job.kind_).deadlineMs_;
    start.deadlineMs_ =
      RemainingMs(job.dueUnixMs_,
                  ports_.wallUnixMs_(),
                  kindDeadlineMs == 0 ? kDefaultDeadlineMs : kindDeadlineMs);
  }
  return start;
}

void
JobService::EndRunsOfAgent(const std::string& aAgent, RunsToEnd aRuns)
{
  std::size_t ended = 0;
  for (const base::RunId& id : scheduler_.RunsOnAgent(aAgent)) {
    const Route route = RouteTo(id.job_);
    const jobs::Job* job = route.partition_ == nullptr
                             ? nullptr
                             : route.partition_->table_.Find(id.job_);
    if (job == nullptr) {
      scheduler_.RemoveRun(id, {});
      continue;
    }
    if (!job->description_.idempotent_ && aRuns == RunsToEnd::Idempotent) {
      continue;
    }
    const bool isSent = scheduler_.FindRun(id)->sent_;
    wire::RunEnded lost;
    lost.run_ = id;
    lost.code_ = base::ResultCode::EndpointLost;
    lost.ran_ = isSent ? base::Ran::Unknown : base::Ran::NotRun;
    lost.detail_ = aAgent;
    HandleRunEnd(aAgent, route, lost);
    ++ended;
  }
  if (ended > 0) {
    base::Log(kAgentLost, { { "agent", aAgent }, { "runs", ended } });
  }
}

void
JobService::OnEntryLost(const std::string& aEntry)
{
  std::size_t count = 0;
  for (auto& [index, partition] : partitions_) {
    std::vector<base::JobId> jobs;
    for (const auto& [job, run] : partition.online_) {
      if (run.runner_.peer_ == aEntry && !run.isRunByOwner_) {
        jobs.push_back(job);
      }
    }
    std::sort(jobs.begin(), jobs.end());
    for (const base::JobId& job : jobs) {
      HandleLostRunner({ &partition, index, {}, {} }, job);
    }
    count += jobs.size();
  }
  if (count > 0) {
    base::Log(kEntryLost, { { "entry", aEntry }, { "requests", count } });
  }
}

void
JobService::HandleLostRunner(const Route& aRoute, const base::JobId& aJob)
{
  OwnedPartition& partition = *aRoute.partition_;
  const jobs::Job* job = partition.table_.Find(aJob);
  if (job == nullptr || job->IsClosed()) {
    return;
  }
  partition.online_[aJob].isRunByOwner_ = true;
  if (!job->description_.idempotent_) {
    // The start is recorded, but the outcome of the run is unknown.
    EndWithoutRun(aRoute,
                  { aJob, 0, job->items_.front().attempt_ },
                  base::ResultCode::OutcomeUnknown,
                  base::Ran::Unknown,
                  "the entry that ran it was lost");
    return;
  }
  if (partition.table_.MarkOrphaned(aJob)) {
    orphans_.insert(aJob);
  }
}

void
JobService::DispatchOrphans()
{
  const base::Instant now = ports_.now_();
  const std::set<base::JobId> orphans = orphans_;
  for (const base::JobId& id : orphans) {
    const Route route = RouteTo(id);
    const jobs::Job* job =
      route.partition_ == nullptr ? nullptr : route.partition_->table_.Find(id);
    if (job == nullptr) {
      orphans_.erase(id);
      continue;
    }
    const std::string service = job->description_.service_;
    const auto agent = scheduler_.SelectOnlineAgent(service, now);
    if (!agent) {
      continue;
    }
    orphans_.erase(id);
    const auto dispatch = route.partition_->table_.TakeItem(id);
    if (!dispatch) {
      continue;
    }
    base::Log(kOrphanAssigned,
              { { "run", base::ToString(dispatch->run_) },
                { "service", service },
                { "agent", *agent },
                { "orphans", orphans.size() } });
    LoadPayload(route, *dispatch, { *agent, service, {}, now, true, false });
  }
}

} // namespace pumiceturn::keeper
