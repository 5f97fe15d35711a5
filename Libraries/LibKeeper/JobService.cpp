#include "LibKeeper/JobService.h"

#include "LibJobs/RecordCodec.h"
#include "LibKeeper/Events.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace pumiceturn::keeper {

/// Calls the Handle() overload for a message. Other message types are ignored.
struct JobService::MessageVisitor
{
  JobService& service_;
  const std::string& peer_;

  template<typename Message>
  void operator()(const Message& aMessage)
  {
    constexpr bool kIsForKeeper =
      std::is_same_v<Message, wire::RecordRequest> ||
      std::is_same_v<Message, wire::RecordResult> ||
      std::is_same_v<Message, wire::SubmitFrame> ||
      std::is_same_v<Message, wire::GetJob> ||
      std::is_same_v<Message, wire::ReadResults> ||
      std::is_same_v<Message, wire::CancelJob> ||
      std::is_same_v<Message, wire::BatchGrant> ||
      std::is_same_v<Message, wire::RunEnded> ||
      std::is_same_v<Message, wire::RunRecorded>;
    if constexpr (kIsForKeeper) {
      service_.Handle(peer_, aMessage);
    }
  }
};

std::shared_ptr<JobService>
JobService::Make(Ports aPorts, Options aOptions)
{
  return std::make_shared<JobService>(std::move(aPorts), aOptions);
}

JobService::JobService(Ports aPorts, Options aOptions)
  : ports_(std::move(aPorts))
  , options_(aOptions)
  , cache_(ports_.read_, aOptions.maxCacheBytes_)
{
}

void
JobService::UnlockAndRunOutbox(Lock aLock)
{
  SendDemand(scheduler_.CollectRisenFromZero(ports_.wallUnixMs_()));
  aLock.unlock();
  outbox_.Run();
}

void
JobService::SetAgents(const std::string& aService,
                      const std::vector<std::string>& aAgents)
{
  Lock lock(mutex_);
  scheduler_.SetAgents(aService, aAgents);
  UnlockAndRunOutbox(std::move(lock));
}

bool
JobService::IsAgentUp(const std::string& aAgent) const
{
  const Lock lock(mutex_);
  return scheduler_.IsUp(aAgent);
}

void
JobService::OnMessage(const std::string& aPeer, const wire::Message& aMessage)
{
  Lock lock(mutex_);
  Handle(aPeer, aMessage);
  UnlockAndRunOutbox(std::move(lock));
}

void
JobService::Handle(const std::string& aPeer, const wire::Message& aMessage)
{
  std::visit(MessageVisitor{ *this, aPeer }, aMessage);
}

void
JobService::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  Lock lock(mutex_);
  switch (aState) {
    case wire::LinkState::Lost:
      scheduler_.OnLinkLost(aPeer);
      lostPeers_.try_emplace(aPeer, ports_.now_());
      break;
    case wire::LinkState::Replaced:
      // Another process uses this name now and does not know the runs of the
      // previous one.
      lostPeers_.erase(aPeer);
      EndRunsOfAgent(aPeer, RunsToEnd::All);
      OnEntryLost(aPeer);
      [[fallthrough]];
    case wire::LinkState::Up:
      lostPeers_.erase(aPeer);
      scheduler_.OnLinkUp(aPeer);
      for (const base::RunId& run : scheduler_.RunsOnAgent(aPeer)) {
        // The report of its end may have been lost with the old connection. An
        // agent that does not know the run reports it as lost.
        if (scheduler_.FindRun(run)->sent_) {
          Send(aPeer, wire::AttachRun{ run, 0 });
        }
      }
      SendDemand(scheduler_.DemandForAgent(aPeer, ports_.wallUnixMs_()));
      break;
  }
  UnlockAndRunOutbox(std::move(lock));
}

void
JobService::OnRecovering(std::uint32_t aPartition, std::uint64_t aEpoch)
{
  OnReleased(aPartition);
  Lock lock(mutex_);
  OwnedPartition& partition = partitions_[aPartition];
  partition.epoch_ = aEpoch;
  base::Log(kRecoveringJobs,
            { { "partition", aPartition }, { "epoch", aEpoch } });
  UnlockAndRunOutbox(std::move(lock));
}

void
JobService::OnReplay(std::uint32_t aPartition,
                     std::uint64_t aSequence,
                     joblog::LogPosition aPosition,
                     std::string_view aRecord)
{
  auto record = base::Capture(
    [&] { return jobs::DecodeRecord(aRecord, jobs::PayloadMode::Skip); });
  const Lock lock(mutex_);
  const auto found = partitions_.find(aPartition);
  if (found == partitions_.end()) {
    return;
  }
  OwnedPartition& partition = found->second;
  partition.nextSequence_ = aSequence + 1;
  if (const auto* failure = std::get_if<base::Failure>(&record)) {
    base::Log(kUnreadableRecord,
              { { "partition", aPartition },
                { "sequence", aSequence },
                { "code", base::NameOf(failure->code_) },
                { "detail", failure->detail_ } });
    return;
  }
  partition.table_.Apply(std::get<jobs::Record>(record), aPosition, aSequence);
}

void
JobService::OnOwned(std::uint32_t aPartition, std::uint64_t aEpoch)
{
  Lock lock(mutex_);
  OwnedPartition* partition = FindPartition(aPartition, aEpoch);
  if (partition == nullptr) {
    return;
  }
  const bool hasWork = ResumeJobs(*partition);
  partition->phase_ = OwnedPartition::Phase::Settling;
  partition->settlingEndsAt_ = ports_.now_();
  if (hasWork) {
    partition->settlingEndsAt_ += options_.settlingTime_;
  } else {
    BeginServing(aPartition, *partition);
  }
  for (DeferredMessage& deferred :
       std::exchange(partition->deferredUntilOwned_, {})) {
    Handle(deferred.peer_, deferred.message_);
  }
  UnlockAndRunOutbox(std::move(lock));
}

bool
JobService::ResumeJobs(OwnedPartition& aPartition)
{
  std::vector<base::JobId> batchJobs;
  aPartition.table_.ForEachUnfinished([&](const jobs::Job& aJob) {
    if (aJob.description_.online_) {
      aPartition.online_.try_emplace(aJob.description_.id_);
    } else {
      batchJobs.push_back(aJob.description_.id_);
    }
  });
  // Agents are likely to report the items that the previous owner had in
  // flight. The other items of a long job are dispatched without waiting for
  // that.
  for (const base::JobId& job : batchJobs) {
    const std::uint32_t items =
      aPartition.table_.SkipInFlight(job, options_.maxInFlightAtTakeover_);
    AddWaiting(*aPartition.table_.Find(job), items);
  }
  return !batchJobs.empty() || !aPartition.online_.empty();
}

void
JobService::OnReleased(std::uint32_t aPartition)
{
  Lock lock(mutex_);
  const auto found = partitions_.find(aPartition);
  if (found == partitions_.end()) {
    return;
  }
  OwnedPartition partition = std::move(found->second);
  partitions_.erase(found);
  partition.table_.ForEachUnfinished([this](const jobs::Job& aJob) {
    scheduler_.RemoveJob(aJob.description_.id_, aJob.description_.service_);
    orphans_.erase(aJob.description_.id_);
  });
  const std::uint32_t count = ports_.partitionCount_();
  // The runs continue at their agents, whose reports are forwarded to the new
  // owner.
  for (const base::RunId& run :
       scheduler_.FindRuns([&](const base::RunId& aRun) {
         return count != 0 && base::PartitionOf(aRun.job_, count) == aPartition;
       })) {
    scheduler_.RemoveRun(run, {});
  }
  wire::RecordReply released;
  released.code_ = base::ResultCode::NotOwner;
  for (const auto& [job, run] : partition.online_) {
    for (const Requester& requester : run.waitingRequesters_) {
      released.call_ = requester.call_;
      Send(requester.peer_, released);
    }
  }
  for (const RetriedAppend& retry : partition.retries_) {
    retry.callback_(base::ResultCode::NotOwner, {});
  }
  for (const PendingResult& pending : partition.pendingResults_) {
    NotifyNotOwner(aPartition, pending);
  }
  for (auto& [job, messages] : partition.deferred_) {
    for (const DeferredMessage& deferred : messages) {
      Handle(deferred.peer_, deferred.message_);
    }
  }
  base::Log(kReleasedJobs,
            { { "partition", aPartition }, { "epoch", partition.epoch_ } });
  UnlockAndRunOutbox(std::move(lock));
}

void
JobService::BeginServing(std::uint32_t aIndex, OwnedPartition& aPartition)
{
  aPartition.phase_ = OwnedPartition::Phase::Serving;
  std::vector<base::JobId> withoutRunner;
  aPartition.table_.ForEachUnfinished([&](const jobs::Job& aJob) {
    const wire::JobDescription& job = aJob.description_;
    if (!job.online_) {
      scheduler_.RemoveJob(job.id_, job.service_);
      AddWaiting(aJob, aJob.Waiting());
    }
  });
  for (const auto& [job, run] : aPartition.online_) {
    if (run.runner_.peer_.empty() && !run.isRunByOwner_) {
      withoutRunner.push_back(job);
    }
  }
  const Route route{ &aPartition, aIndex, {}, {} };
  for (const base::JobId& job : withoutRunner) {
    HandleLostRunner(route, job);
  }
  for (const base::RunId& run : aPartition.table_.UncertainRuns()) {
    // A previous owner started the run and its end is not in the log. It may
    // have run, so it is not run again.
    EndWithoutRun(route,
                  run,
                  base::ResultCode::OutcomeUnknown,
                  base::Ran::Unknown,
                  "started by a former owner");
  }
  base::Log(kServingJobs,
            { { "partition", aIndex },
              { "epoch", aPartition.epoch_ },
              { "jobs", aPartition.table_.JobCount() } });
}

JobService::Route
JobService::RouteTo(const base::JobId& aJob)
{
  const std::uint32_t count = ports_.partitionCount_();
  if (count == 0) {
    return { nullptr, 0, base::ResultCode::Recovering, {} };
  }
  const std::uint32_t index = base::PartitionOf(aJob, count);
  const auto found = partitions_.find(index);
  if (found == partitions_.end()) {
    return {
      nullptr, index, base::ResultCode::NotOwner, ports_.ownerOf_(index)
    };
  }
  if (found->second.phase_ == OwnedPartition::Phase::Recovering) {
    return { nullptr, index, base::ResultCode::Recovering, {} };
  }
  return { &found->second, index, base::ResultCode::Ok, {} };
}

OwnedPartition*
JobService::FindPartition(std::uint32_t aPartition, std::uint64_t aEpoch)
{
  const auto found = partitions_.find(aPartition);
  if (found == partitions_.end() || found->second.epoch_ != aEpoch) {
    return nullptr;
  }
  return &found->second;
}

void
JobService::Send(const std::string& aPeer, wire::Message aMessage)
{
  outbox_.Add([this, aPeer, message = std::move(aMessage)]() mutable {
    ports_.send_(aPeer, std::move(message));
  });
}

void
JobService::Defer(OwnedPartition& aPartition,
                  const base::JobId& aJob,
                  const std::string& aPeer,
                  wire::Message aMessage)
{
  aPartition.deferred_[aJob].push_back({ aPeer, std::move(aMessage) });
}

void
JobService::HandleDeferred(OwnedPartition& aPartition, const base::JobId& aJob)
{
  const auto found = aPartition.deferred_.find(aJob);
  if (found == aPartition.deferred_.end()) {
    return;
  }
  const std::vector<DeferredMessage> messages = std::move(found->second);
  aPartition.deferred_.erase(found);
  for (const DeferredMessage& deferred : messages) {
    Handle(deferred.peer_, deferred.message_);
  }
}

void
JobService::Append(std::uint32_t aPartition,
                   std::vector<jobs::Record> aRecords,
                   FailureHandling aFailureHandling,
                   AppendCallback aCallback)
{
  ++appendsInFlight_;
  auto records =
    std::make_shared<std::vector<jobs::Record>>(std::move(aRecords));
  const std::uint64_t epoch = partitions_.at(aPartition).epoch_;
  outbox_.Add([self = weak_from_this(),
               this,
               aPartition,
               epoch,
               records,
               aFailureHandling,
               callback = std::move(aCallback)] {
    std::vector<std::string> encoded;
    encoded.reserve(records->size());
    for (const jobs::Record& record : *records) {
      encoded.push_back(jobs::EncodeRecord(record));
    }
    ports_.append_(
      aPartition,
      std::move(encoded),
      [self, aPartition, epoch, records, aFailureHandling, callback](
        base::ResultCode aCode,
        std::span<const joblog::LogPosition> aPositions) {
        if (const auto service = self.lock()) {
          service->OnAppended(aPartition,
                              epoch,
                              records,
                              aFailureHandling,
                              callback,
                              aCode,
                              aPositions);
        }
      });
  });
}

void
JobService::OnAppended(
  std::uint32_t aPartition,
  std::uint64_t aEpoch,
  const std::shared_ptr<std::vector<jobs::Record>>& aRecords,
  FailureHandling aFailureHandling,
  const AppendCallback& aCallback,
  base::ResultCode aCode,
  std::span<const joblog::LogPosition> aPositions)
{
  Lock lock(mutex_);
  --appendsInFlight_;
  OwnedPartition* partition = FindPartition(aPartition, aEpoch);
  if (partition == nullptr) {
    // The partition has been released. Its owner, which has replayed the log,
    // answers, so the requester is redirected.
    aCallback(base::ResultCode::NotOwner, {});
    UnlockAndRunOutbox(std::move(lock));
    return;
  }
  if (aCode == base::ResultCode::Ok) {
    std::vector<jobs::RecordEffects> effects;
    for (std::size_t index = 0; index < aRecords->size(); ++index) {
      effects.push_back(ApplyDurable(
        aPartition, *partition, (*aRecords)[index], aPositions[index]));
    }
    aCallback(aCode, effects);
    UnlockAndRunOutbox(std::move(lock));
    return;
  }
  ++counts_.appendsFailed_;
  base::Log(kAppendFailed,
            { { "partition", aPartition },
              { "code", base::NameOf(aCode) },
              { "records", aRecords->size() } });
  const bool isLost = aCode == base::ResultCode::NotOwner ||
                      aCode == base::ResultCode::StaleEpoch;
  if (aFailureHandling == FailureHandling::Retry && !isLost) {
    // The records may nevertheless be in the log. A different decision would
    // contradict them in a replay, so they are appended again until they are
    // durable or the partition is released.
    partition->retries_.push_back({ aRecords, aCallback });
  } else {
    aCallback(aCode, {});
  }
  UnlockAndRunOutbox(std::move(lock));
}

jobs::RecordEffects
JobService::ApplyDurable(std::uint32_t aIndex,
                         OwnedPartition& aPartition,
                         const jobs::Record& aRecord,
                         joblog::LogPosition aPosition)
{
  jobs::RecordEffects effects =
    aPartition.table_.Apply(aRecord, aPosition, aPartition.nextSequence_++);
  if (effects.accepted_) {
    OnJobAccepted(*aPartition.table_.Find(*effects.accepted_));
  }
  if (const auto* ended = std::get_if<jobs::ItemsEnded>(&aRecord.body_)) {
    OnResultsDurable(aPartition, *ended, effects);
  }
  if (effects.cancelled_) {
    OnJobCancelled(aPartition, *aPartition.table_.Find(*effects.cancelled_));
    AppendQueuedResults(aIndex, aPartition);
  }
  for (const base::JobId& job : effects.finished_) {
    if (const jobs::Job* finished = aPartition.table_.Find(job)) {
      OnJobFinished(*finished);
    }
  }
  return effects;
}

void
JobService::OnJobAccepted(const jobs::Job& aJob)
{
  const wire::JobDescription& description = aJob.description_;
  if (description.online_) {
    ++counts_.acceptedOnline_;
    return;
  }
  counts_.acceptedItems_ += description.itemCount_;
  base::Log(kJobAccepted,
            { { "job", base::ToString(description.id_) },
              { "partner", description.partner_ },
              { "service", description.service_ },
              { "kind", description.kind_ },
              { "items", description.itemCount_ },
              { "due_unix_ms", description.dueUnixMs_ } });
  AddWaiting(aJob, aJob.Waiting());
  Dispatch();
}

void
JobService::OnResultsDurable(OwnedPartition& aPartition,
                             const jobs::ItemsEnded& aEnded,
                             const jobs::RecordEffects& aEffects)
{
  for (std::size_t index = 0; index < aEnded.ended_.size(); ++index) {
    const jobs::ItemEnded& ended = aEnded.ended_[index];
    const base::JobId& id = ended.run_.job_;
    if (!aEffects.ended_[index].first_) {
      ++counts_.resultsDropped_;
      continue;
    }
    const bool isOk = ended.result_.code_ == base::ResultCode::Ok;
    ++(isOk ? counts_.succeeded_ : counts_.failed_);
    const jobs::Job* job = aPartition.table_.Find(id);
    const bool isWithdrawn =
      std::find(aEffects.withdrawn_.begin(), aEffects.withdrawn_.end(), id) !=
      aEffects.withdrawn_.end();
    if (isWithdrawn) {
      ++counts_.withdrawn_;
      base::Log(kRequestWithdrawn,
                { { "job", base::ToString(id) },
                  { "code", base::NameOf(ended.result_.code_) } });
    } else {
      StopOtherRuns(aPartition, ended.run_, job);
    }
    if (job != nullptr) {
      continue;
    }
    wire::RecordReply reply;
    reply.state_ = wire::RecordState::Finished;
    reply.result_ = ended.result_;
    reply.code_ = isWithdrawn ? ended.result_.code_ : base::ResultCode::Ok;
    ReplyWaiters(aPartition, id, reply);
  }
}

void
JobService::StopOtherRuns(const OwnedPartition& aPartition,
                          const base::RunId& aEnded,
                          const jobs::Job* aJob)
{
  // A late result may be the item's first one while the item is rerun.
  std::vector<base::RunId> runs;
  const auto online = aPartition.online_.find(aEnded.job_);
  if (aJob != nullptr) {
    const jobs::Item& item = aJob->items_[aEnded.item_];
    runs.push_back({ aEnded.job_, aEnded.item_, item.attempt_ });
  } else if (online != aPartition.online_.end() &&
             online->second.isRunByOwner_) {
    orphans_.erase(aEnded.job_);
    runs = scheduler_.FindRuns(
      [&aEnded](const base::RunId& aRun) { return aRun.job_ == aEnded.job_; });
  }
  for (const base::RunId& id : runs) {
    if (const auto run = scheduler_.RemoveRun(id, {})) {
      Send(run->agent_, wire::CancelRun{ id });
    }
  }
}

void
JobService::OnJobFinished(const jobs::Job& aJob)
{
  const wire::JobDescription& description = aJob.description_;
  if (description.online_) {
    return;
  }
  const bool isLate = aJob.lastPhaseChangeUnixMs_ > description.dueUnixMs_;
  counts_.lateJobs_ += isLate ? 1 : 0;
  base::Log(kJobFinished,
            { { "job", base::ToString(description.id_) },
              { "partner", description.partner_ },
              { "succeeded", aJob.succeeded_ },
              { "failed", aJob.failed_ },
              { "due_unix_ms", description.dueUnixMs_ },
              { "late", isLate } });
}

void
JobService::OnJobCancelled(OwnedPartition& aPartition, const jobs::Job& aJob)
{
  const base::JobId id = aJob.description_.id_;
  ++counts_.cancelledJobs_;
  scheduler_.RemoveJob(id, aJob.description_.service_);
  orphans_.erase(id);
  const auto runs = scheduler_.FindRuns(
    [&id](const base::RunId& aRun) { return aRun.job_ == id; });
  for (const base::RunId& run : runs) {
    const auto removed = scheduler_.RemoveRun(run, {});
    if (removed->sent_) {
      Send(removed->agent_, wire::CancelRun{ run });
    }
  }
  if (aJob.description_.online_) {
    wire::RecordReply reply;
    reply.state_ = wire::RecordState::Finished;
    reply.result_.code_ = base::ResultCode::Cancelled;
    reply.result_.ran_ = base::Ran::Unknown;
    ReplyWaiters(aPartition, id, reply);
  }
  base::Log(kJobCancelled,
            { { "job", base::ToString(id) },
              { "running", runs.size() },
              { "items", aJob.cancelled_ } });
  HandleDeferred(aPartition, id);
}

void
JobService::ReplyWaiters(OwnedPartition& aPartition,
                         const base::JobId& aJob,
                         const wire::RecordReply& aReply)
{
  const auto found = aPartition.online_.find(aJob);
  if (found == aPartition.online_.end()) {
    return;
  }
  wire::RecordReply reply = aReply;
  for (const Requester& requester : found->second.waitingRequesters_) {
    reply.call_ = requester.call_;
    Send(requester.peer_, reply);
  }
  aPartition.online_.erase(found);
}

void
JobService::BeginDrain()
{
  Lock lock(mutex_);
  if (!draining_) {
    draining_ = true;
    drainDeadline_ = ports_.now_() + options_.drainGrace_;
  }
  UnlockAndRunOutbox(std::move(lock));
}

bool
JobService::IsDraining() const
{
  const Lock lock(mutex_);
  return draining_;
}

bool
JobService::IsIdle() const
{
  const Lock lock(mutex_);
  return handedOver_ && partitions_.empty() && appendsInFlight_ == 0;
}

JobCounts
JobService::Counts() const
{
  const Lock lock(mutex_);
  return counts_;
}

std::uint64_t
JobService::WaitingItems() const
{
  const Lock lock(mutex_);
  std::uint64_t waiting = 0;
  for (const std::string& service : scheduler_.Services()) {
    waiting += scheduler_.Waiting(service);
  }
  return waiting;
}

std::uint64_t
JobService::RunningItems() const
{
  const Lock lock(mutex_);
  return scheduler_.RunCount();
}

void
JobService::Tick()
{
  Lock lock(mutex_);
  const base::Instant now = ports_.now_();
  TickPeers(now);
  TickPartitions(now);
  DispatchOrphans();
  Dispatch();
  SendDemand(scheduler_.CollectChangedDemand(ports_.wallUnixMs_()));
  TickDrain(now);
  UnlockAndRunOutbox(std::move(lock));
}

void
JobService::TickPeers(base::Instant aNow)
{
  for (auto& [peer, since] : lostPeers_) {
    if (aNow - since >= options_.agentGrace_) {
      const bool isNonIdempotentGraceOver =
        aNow - since >= options_.nonIdempotentGrace_;
      EndRunsOfAgent(peer,
                     isNonIdempotentGraceOver ? RunsToEnd::All
                                              : RunsToEnd::Idempotent);
    }
    if (aNow - since >= options_.entryGrace_) {
      OnEntryLost(peer);
    }
  }
  std::erase_if(lostPeers_, [&](const auto& aLost) {
    return aNow - aLost.second >= options_.nonIdempotentGrace_;
  });
}

void
JobService::TickPartitions(base::Instant aNow)
{
  const bool isExpiryDue = aNow >= nextExpiry_;
  if (isExpiryDue) {
    nextExpiry_ = aNow + options_.expireInterval_;
    scheduler_.MarkDemandChanged();
  }
  for (auto& [index, partition] : partitions_) {
    if (partition.phase_ == OwnedPartition::Phase::Recovering) {
      continue;
    }
    if (partition.phase_ == OwnedPartition::Phase::Settling &&
        aNow >= partition.settlingEndsAt_) {
      BeginServing(index, partition);
    }
    for (RetriedAppend& retry : std::exchange(partition.retries_, {})) {
      Append(index, *retry.records_, FailureHandling::Retry, retry.callback_);
    }
    if (!isExpiryDue) {
      continue;
    }
    const std::size_t dropped =
      partition.table_.DropDueJobs(ports_.wallUnixMs_());
    counts_.expiredJobs_ += dropped;
    if (dropped > 0) {
      const std::uint64_t before =
        partition.table_.FirstNeededSequence().value_or(
          partition.nextSequence_);
      outbox_.Add(
        [this, index = index, before] { ports_.trim_(index, before); });
    }
  }
}

void
JobService::TickDrain(base::Instant aNow)
{
  const bool isDone = scheduler_.RunCount() == 0 && appendsInFlight_ == 0;
  if (!draining_ || handedOver_ || (!isDone && aNow < drainDeadline_)) {
    return;
  }
  handedOver_ = true;
  base::Log(kHandingOver,
            { { "partitions", partitions_.size() },
              { "running", scheduler_.RunCount() } });
  outbox_.Add([this] { ports_.handOver_(); });
}

} // namespace pumiceturn::keeper
