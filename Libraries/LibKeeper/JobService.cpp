#include "LibKeeper/JobService.h"

#include "LibJobs/RecordCodec.h"
#include "LibKeeper/Events.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace pumiceturn::keeper {

/// Calls the Handle() that fits a message; the other messages are not for the
/// keeper.
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
JobService::Leave(Lock aLock)
{
  TellDemand(scheduler_.UrgentDemand(ports_.wallUnixMs_()));
  aLock.unlock();
  outbox_.Drain();
}

void
JobService::SetAgents(const std::string& aService,
                      const std::vector<std::string>& aAgents)
{
  Lock lock(mutex_);
  scheduler_.SetAgents(aService, aAgents);
  Leave(std::move(lock));
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
  Leave(std::move(lock));
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
      scheduler_.LinkLost(aPeer);
      lostPeers_.try_emplace(aPeer, ports_.now_());
      break;
    case wire::LinkState::Replaced:
      // Another process answers under this name: it knows nothing of what the
      // former one ran.
      lostPeers_.erase(aPeer);
      EndRunsAt(aPeer, Runs::All);
      OrphanRequestsOf(aPeer);
      [[fallthrough]];
    case wire::LinkState::Up:
      lostPeers_.erase(aPeer);
      scheduler_.LinkUp(aPeer);
      for (const base::RunId& run : scheduler_.RunsAt(aPeer)) {
        // Its end may have been lost with the old connection. An agent that
        // does not know the run says so.
        if (scheduler_.FindRun(run)->sent_) {
          Send(aPeer, wire::AttachRun{ run, 0 });
        }
      }
      TellDemand(scheduler_.DemandFor(aPeer, ports_.wallUnixMs_()));
      break;
  }
  Leave(std::move(lock));
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
  Leave(std::move(lock));
}

void
JobService::OnReplay(std::uint32_t aPartition,
                     std::uint64_t aSequence,
                     joblog::LogPosition aPosition,
                     std::string_view aRecord)
{
  auto record = base::Capture(
    [&] { return jobs::DecodeRecord(aRecord, jobs::Payloads::Skip); });
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
  OwnedPartition* partition = FindEpoch(aPartition, aEpoch);
  if (partition == nullptr) {
    return;
  }
  const bool hasWork = ResumeLots(*partition);
  partition->phase_ = OwnedPartition::Phase::Settling;
  partition->settlesAt_ = ports_.now_();
  if (hasWork) {
    partition->settlesAt_ += options_.settleTime_;
  } else {
    BeginServing(aPartition, *partition);
  }
  for (HeldMessage& held : std::exchange(partition->heldUntilOwned_, {})) {
    Handle(held.peer_, held.message_);
  }
  Leave(std::move(lock));
}

bool
JobService::ResumeLots(OwnedPartition& aPartition)
{
  std::vector<base::JobId> lots;
  aPartition.table_.ForEachUnfinished([&](const jobs::Job& aJob) {
    if (aJob.description_.online_) {
      aPartition.online_.try_emplace(aJob.description_.id_);
    } else {
      lots.push_back(aJob.description_.id_);
    }
  });
  // What the former owner had out is likely to be reported yet; the rest of a
  // long lot need not wait for that.
  for (const base::JobId& lot : lots) {
    const std::uint32_t items =
      aPartition.table_.SkipInFlight(lot, options_.inFlightAtTakeover_);
    AddWaiting(*aPartition.table_.Find(lot), items);
  }
  return !lots.empty() || !aPartition.online_.empty();
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
  // The runs go on at their agents; what they report is forwarded to the new
  // owner.
  for (const base::RunId& run :
       scheduler_.RunsWhere([&](const base::RunId& aRun) {
         return count != 0 && base::PartitionOf(aRun.job_, count) == aPartition;
       })) {
    scheduler_.EndRun(run, {});
  }
  wire::RecordReply moved;
  moved.code_ = base::ResultCode::NotOwner;
  for (const auto& [job, run] : partition.online_) {
    for (const Asker& asker : run.waiters_) {
      moved.call_ = asker.call_;
      Send(asker.peer_, moved);
    }
  }
  for (const RetriedAppend& retry : partition.retries_) {
    retry.settled_(base::ResultCode::NotOwner, {});
  }
  for (const WaitingEnd& end : partition.ends_) {
    NotifyMoved(aPartition, end);
  }
  for (auto& [job, messages] : partition.held_) {
    for (const HeldMessage& held : messages) {
      Handle(held.peer_, held.message_);
    }
  }
  base::Log(kReleasedJobs,
            { { "partition", aPartition }, { "epoch", partition.epoch_ } });
  Leave(std::move(lock));
}

void
JobService::BeginServing(std::uint32_t aIndex, OwnedPartition& aPartition)
{
  aPartition.phase_ = OwnedPartition::Phase::Serving;
  std::vector<base::JobId> ownerless;
  aPartition.table_.ForEachUnfinished([&](const jobs::Job& aJob) {
    const wire::JobDescription& job = aJob.description_;
    if (!job.online_) {
      scheduler_.RemoveJob(job.id_, job.service_);
      AddWaiting(aJob, aJob.Waiting());
    }
  });
  for (const auto& [job, run] : aPartition.online_) {
    if (run.runner_.peer_.empty() && !run.ownerRuns_) {
      ownerless.push_back(job);
    }
  }
  const Route route{ &aPartition, aIndex, {}, {} };
  for (const base::JobId& job : ownerless) {
    OrphanRequest(route, job);
  }
  for (const base::RunId& run : aPartition.table_.UncertainRuns()) {
    // A former owner started it and its end is not in the log. It may have run,
    // so it is not run again.
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
JobService::FindEpoch(std::uint32_t aPartition, std::uint64_t aEpoch)
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
JobService::Hold(OwnedPartition& aPartition,
                 const base::JobId& aJob,
                 const std::string& aPeer,
                 wire::Message aMessage)
{
  aPartition.held_[aJob].push_back({ aPeer, std::move(aMessage) });
}

void
JobService::ReleaseHeld(OwnedPartition& aPartition, const base::JobId& aJob)
{
  const auto found = aPartition.held_.find(aJob);
  if (found == aPartition.held_.end()) {
    return;
  }
  const std::vector<HeldMessage> messages = std::move(found->second);
  aPartition.held_.erase(found);
  for (const HeldMessage& held : messages) {
    Handle(held.peer_, held.message_);
  }
}

void
JobService::Append(std::uint32_t aPartition,
                   std::vector<jobs::Record> aRecords,
                   OnFailure aOnFailure,
                   Settled aSettled)
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
               aOnFailure,
               settled = std::move(aSettled)] {
    std::vector<std::string> encoded;
    encoded.reserve(records->size());
    for (const jobs::Record& record : *records) {
      encoded.push_back(jobs::EncodeRecord(record));
    }
    ports_.append_(
      aPartition,
      std::move(encoded),
      [self, aPartition, epoch, records, aOnFailure, settled](
        base::ResultCode aCode,
        std::span<const joblog::LogPosition> aPositions) {
        if (const auto service = self.lock()) {
          service->OnAppended(
            aPartition, epoch, records, aOnFailure, settled, aCode, aPositions);
        }
      });
  });
}

void
JobService::OnAppended(
  std::uint32_t aPartition,
  std::uint64_t aEpoch,
  const std::shared_ptr<std::vector<jobs::Record>>& aRecords,
  OnFailure aOnFailure,
  const Settled& aSettled,
  base::ResultCode aCode,
  std::span<const joblog::LogPosition> aPositions)
{
  Lock lock(mutex_);
  --appendsInFlight_;
  OwnedPartition* partition = FindEpoch(aPartition, aEpoch);
  if (partition == nullptr) {
    // Another owner answers from its replay: the asker is sent there.
    aSettled(base::ResultCode::NotOwner, {});
    Leave(std::move(lock));
    return;
  }
  if (aCode == base::ResultCode::Ok) {
    std::vector<jobs::Applied> applied;
    for (std::size_t index = 0; index < aRecords->size(); ++index) {
      applied.push_back(ApplyDurable(
        aPartition, *partition, (*aRecords)[index], aPositions[index]));
    }
    aSettled(aCode, applied);
    Leave(std::move(lock));
    return;
  }
  ++counts_.appendsFailed_;
  base::Log(kAppendFailed,
            { { "partition", aPartition },
              { "code", base::NameOf(aCode) },
              { "records", aRecords->size() } });
  const bool isLost = aCode == base::ResultCode::NotOwner ||
                      aCode == base::ResultCode::StaleEpoch;
  if (aOnFailure == OnFailure::Retry && !isLost) {
    // The records may be in the log although nobody was told. A later, other
    // decision would contradict them in a replay, so they are appended again
    // until they are durable or the partition is lost.
    partition->retries_.push_back({ aRecords, aSettled });
  } else {
    aSettled(aCode, {});
  }
  Leave(std::move(lock));
}

jobs::Applied
JobService::ApplyDurable(std::uint32_t aIndex,
                         OwnedPartition& aPartition,
                         const jobs::Record& aRecord,
                         joblog::LogPosition aPosition)
{
  jobs::Applied applied =
    aPartition.table_.Apply(aRecord, aPosition, aPartition.nextSequence_++);
  if (applied.accepted_) {
    AfterAccepted(*aPartition.table_.Find(*applied.accepted_));
  }
  if (const auto* ended = std::get_if<jobs::ItemsEnded>(&aRecord.body_)) {
    AfterEnds(aPartition, *ended, applied);
  }
  if (applied.cancelled_) {
    AfterCancelled(aPartition, *aPartition.table_.Find(*applied.cancelled_));
    FlushEnds(aIndex, aPartition);
  }
  for (const base::JobId& job : applied.finished_) {
    if (const jobs::Job* finished = aPartition.table_.Find(job)) {
      AfterFinished(*finished);
    }
  }
  return applied;
}

void
JobService::AfterAccepted(const jobs::Job& aJob)
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
JobService::AfterEnds(OwnedPartition& aPartition,
                      const jobs::ItemsEnded& aEnded,
                      const jobs::Applied& aApplied)
{
  for (std::size_t index = 0; index < aEnded.ended_.size(); ++index) {
    const jobs::ItemEnded& ended = aEnded.ended_[index];
    const base::JobId& id = ended.run_.job_;
    if (!aApplied.ended_[index].first_) {
      ++counts_.resultsDropped_;
      continue;
    }
    const bool isOk = ended.result_.code_ == base::ResultCode::Ok;
    ++(isOk ? counts_.succeeded_ : counts_.failed_);
    const jobs::Job* job = aPartition.table_.Find(id);
    const bool isWithdrawn =
      std::find(aApplied.withdrawn_.begin(), aApplied.withdrawn_.end(), id) !=
      aApplied.withdrawn_.end();
    if (isWithdrawn) {
      ++counts_.withdrawn_;
      base::Log(kRequestWithdrawn,
                { { "job", base::ToString(id) },
                  { "code", base::NameOf(ended.result_.code_) } });
    } else {
      StopOtherAttempt(aPartition, ended.run_, job);
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
JobService::StopOtherAttempt(const OwnedPartition& aPartition,
                             const base::RunId& aEnded,
                             const jobs::Job* aJob)
{
  // A result that came late may be the first, while the item runs again.
  std::vector<base::RunId> runs;
  const auto online = aPartition.online_.find(aEnded.job_);
  if (aJob != nullptr) {
    const jobs::Item& item = aJob->items_[aEnded.item_];
    runs.push_back({ aEnded.job_, aEnded.item_, item.attempt_ });
  } else if (online != aPartition.online_.end() && online->second.ownerRuns_) {
    orphans_.erase(aEnded.job_);
    runs = scheduler_.RunsWhere(
      [&aEnded](const base::RunId& aRun) { return aRun.job_ == aEnded.job_; });
  }
  for (const base::RunId& id : runs) {
    if (const auto run = scheduler_.EndRun(id, {})) {
      Send(run->agent_, wire::CancelRun{ id });
    }
  }
}

void
JobService::AfterFinished(const jobs::Job& aJob)
{
  const wire::JobDescription& description = aJob.description_;
  if (description.online_) {
    return;
  }
  const bool isLate = aJob.lastRecordUnixMs_ > description.dueUnixMs_;
  counts_.dueMissed_ += isLate ? 1 : 0;
  base::Log(kJobFinished,
            { { "job", base::ToString(description.id_) },
              { "partner", description.partner_ },
              { "succeeded", aJob.succeeded_ },
              { "failed", aJob.failed_ },
              { "due_unix_ms", description.dueUnixMs_ },
              { "late", isLate } });
}

void
JobService::AfterCancelled(OwnedPartition& aPartition, const jobs::Job& aJob)
{
  const base::JobId id = aJob.description_.id_;
  ++counts_.cancelledJobs_;
  scheduler_.RemoveJob(id, aJob.description_.service_);
  orphans_.erase(id);
  const auto runs = scheduler_.RunsWhere(
    [&id](const base::RunId& aRun) { return aRun.job_ == id; });
  for (const base::RunId& run : runs) {
    const auto known = scheduler_.EndRun(run, {});
    if (known->sent_) {
      Send(known->agent_, wire::CancelRun{ run });
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
  ReleaseHeld(aPartition, id);
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
  for (const Asker& asker : found->second.waiters_) {
    reply.call_ = asker.call_;
    Send(asker.peer_, reply);
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
  Leave(std::move(lock));
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
  PlaceOrphans();
  Dispatch();
  TellDemand(scheduler_.ChangedDemand(ports_.wallUnixMs_()));
  TickDrain(now);
  Leave(std::move(lock));
}

void
JobService::TickPeers(base::Instant aNow)
{
  for (auto& [peer, since] : lostPeers_) {
    if (aNow - since >= options_.agentGrace_) {
      const bool isLong = aNow - since >= options_.unknownEndGrace_;
      EndRunsAt(peer, isLong ? Runs::All : Runs::Idempotent);
    }
    if (aNow - since >= options_.entryGrace_) {
      OrphanRequestsOf(peer);
    }
  }
  std::erase_if(lostPeers_, [&](const auto& aLost) {
    return aNow - aLost.second >= options_.unknownEndGrace_;
  });
}

void
JobService::TickPartitions(base::Instant aNow)
{
  const bool isExpiryDue = aNow >= nextExpiry_;
  if (isExpiryDue) {
    nextExpiry_ = aNow + options_.expireInterval_;
    scheduler_.RepeatDemand();
  }
  for (auto& [index, partition] : partitions_) {
    if (partition.phase_ == OwnedPartition::Phase::Recovering) {
      continue;
    }
    if (partition.phase_ == OwnedPartition::Phase::Settling &&
        aNow >= partition.settlesAt_) {
      BeginServing(index, partition);
    }
    for (RetriedAppend& retry : std::exchange(partition.retries_, {})) {
      Append(index, *retry.records_, OnFailure::Retry, retry.settled_);
    }
    if (!isExpiryDue) {
      continue;
    }
    const std::size_t dropped = partition.table_.Expire(ports_.wallUnixMs_());
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
