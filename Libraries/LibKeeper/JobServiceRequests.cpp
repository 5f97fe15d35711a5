#include "LibKeeper/JobService.h"

#include "LibJobs/RecordCodec.h"
#include "LibKeeper/Events.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::keeper {

namespace {

constexpr std::uint32_t kRecoveringRetryMs = 200;
constexpr std::uint32_t kMaxPageItems = 1000;

/// @return the code of the reply to a requester whose records are not durable.
base::ResultCode
RefusalFor(base::ResultCode aCode)
{
  switch (aCode) {
    case base::ResultCode::NotOwner:
    case base::ResultCode::StaleEpoch:
      return base::ResultCode::NotOwner;
    case base::ResultCode::DiskFull:
    case base::ResultCode::TooFewCopies:
      return aCode;
    default:
      return base::ResultCode::NotRecorded;
  }
}

std::uint32_t
RetryAfterFor(base::ResultCode aCode)
{
  return aCode == base::ResultCode::Recovering ? kRecoveringRetryMs : 0;
}

} // namespace

void
JobService::Handle(const std::string& aPeer,
                   const wire::RecordRequest& aRequest)
{
  const Route route = RouteTo(aRequest.job_);
  wire::RecordReply reply;
  reply.call_ = aRequest.call_;
  reply.code_ = route.code_;
  reply.ownerHint_ = route.ownerHint_;
  reply.retryAfterMs_ = RetryAfterFor(route.code_);
  if (route.partition_ == nullptr) {
    Send(aPeer, std::move(reply));
    return;
  }
  OwnedPartition& partition = *route.partition_;
  const bool isKnown = partition.table_.Find(aRequest.job_) != nullptr ||
                       partition.table_.FindFinished(aRequest.job_) != nullptr;
  if (!isKnown && (draining_ || !ports_.hasRoom_())) {
    reply.code_ =
      draining_ ? base::ResultCode::Draining : base::ResultCode::DiskFull;
    Send(aPeer, std::move(reply));
    return;
  }
  const KindLimits limits = ports_.limitsOf_(aRequest.service_, aRequest.kind_);
  jobs::AcceptDecision decision = partition.table_.DecideOnline(
    aRequest, limits.maxAttempts_, ports_.wallUnixMs_());
  const Requester requester{ aPeer, aRequest.call_ };
  switch (decision.action_) {
    case jobs::AcceptAction::Append:
      Append(route.index_,
             std::move(decision.records_),
             FailureHandling::Report,
             [this, index = route.index_, requester, job = aRequest.job_](
               base::ResultCode aCode,
               std::span<const jobs::RecordEffects> /*aEffects*/) {
               OnOnlineAppended(index, requester, job, aCode);
             });
      return;
    case jobs::AcceptAction::Wait:
      Defer(partition, aRequest.job_, aPeer, aRequest);
      return;
    case jobs::AcceptAction::Finished:
      ++counts_.duplicateSubmissions_;
      ReplyFinished(requester,
                    *FindOnlineResult(partition.table_, aRequest.job_));
      return;
    case jobs::AcceptAction::Running:
    case jobs::AcceptAction::Duplicate:
    case jobs::AcceptAction::Received:
      ReplyRunning(partition, aPeer, aRequest);
      return;
    case jobs::AcceptAction::Conflict:
    case jobs::AcceptAction::Invalid:
      break;
  }
  ++counts_.keyConflicts_;
  reply.code_ = base::ResultCode::KeyConflict;
  Send(aPeer, std::move(reply));
}

void
JobService::OnOnlineAppended(std::uint32_t aPartition,
                             const Requester& aRequester,
                             const base::JobId& aJob,
                             base::ResultCode aCode)
{
  wire::RecordReply reply;
  reply.call_ = aRequester.call_;
  reply.state_ = wire::RecordState::New;
  const auto found = partitions_.find(aPartition);
  if (aCode != base::ResultCode::Ok) {
    reply.code_ = RefusalFor(aCode);
    reply.ownerHint_ = ports_.ownerOf_(aPartition);
  }
  Send(aRequester.peer_, std::move(reply));
  if (found == partitions_.end()) {
    return;
  }
  OwnedPartition& partition = found->second;
  partition.table_.OnAcceptAppended(aJob, aCode == base::ResultCode::Ok);
  if (aCode == base::ResultCode::Ok) {
    partition.online_[aJob].runner_ = aRequester;
  }
  HandleDeferred(partition, aJob);
}

void
JobService::ReplyRunning(OwnedPartition& aPartition,
                         const std::string& aPeer,
                         const wire::RecordRequest& aRequest)
{
  wire::RecordReply reply;
  reply.call_ = aRequest.call_;
  OnlineRun& run = aPartition.online_[aRequest.job_];
  const Requester requester{ aPeer, aRequest.call_ };
  const bool isResent = run.runner_ == requester && !run.isRunByOwner_;
  // After a takeover the runner of an idempotent request is unknown, so the
  // first entry that sends the request again runs it.
  const bool isTakenByNewRunner =
    run.runner_.peer_.empty() && !run.isRunByOwner_ && aRequest.idempotent_;
  if (isResent || isTakenByNewRunner) {
    run.runner_ = requester;
    reply.state_ = wire::RecordState::New;
    Send(aPeer, std::move(reply));
    return;
  }
  ++counts_.duplicateSubmissions_;
  if (std::find(run.waitingRequesters_.begin(),
                run.waitingRequesters_.end(),
                requester) == run.waitingRequesters_.end()) {
    run.waitingRequesters_.push_back(requester);
  }
  reply.state_ = wire::RecordState::Running;
  Send(aPeer, std::move(reply));
}

void
JobService::Handle(const std::string& aPeer, const wire::RecordResult& aResult)
{
  const base::JobId& id = aResult.run_.job_;
  const Route route = RouteTo(id);
  wire::RecordResultReply reply;
  reply.call_ = aResult.call_;
  reply.code_ = route.code_;
  reply.ownerHint_ = route.ownerHint_;
  if (route.partition_ == nullptr) {
    Send(aPeer, std::move(reply));
    return;
  }
  OwnedPartition& partition = *route.partition_;
  const Requester requester{ aPeer, aResult.call_ };
  if (partition.table_.IsAccepting(id)) {
    Defer(partition, id, aPeer, aResult);
    return;
  }
  const auto online = partition.online_.find(id);
  const bool isRunner = online != partition.online_.end() &&
                        online->second.runner_.peer_ == aPeer &&
                        !online->second.isRunByOwner_;
  jobs::EndDecision decision =
    partition.table_.DecideResult(aResult.run_, aResult.result_, isRunner);
  switch (decision.action_) {
    case jobs::EndAction::Append:
      QueueResult(route.index_,
                  partition,
                  { std::move(*decision.record_),
                    ResultNotification::RecordResultReply,
                    requester });
      return;
    case jobs::EndAction::Wait:
      Defer(partition, id, aPeer, aResult);
      return;
    case jobs::EndAction::Reject:
    case jobs::EndAction::Requeue:
      // Another runner has the request, so this sender's failure does not end
      // it.
      reply.code_ = base::ResultCode::StillRunning;
      Send(aPeer, std::move(reply));
      return;
    case jobs::EndAction::Discard:
      break;
  }
  if (const auto reference = FindOnlineResult(partition.table_, id)) {
    ++counts_.resultsDropped_;
    ReplyRecorded(requester, *reference, aResult.result_);
    return;
  }
  // A repeated report that the request was not run has no effect and is
  // answered with Ok.
  reply.first_ = aResult.result_.ran_ == base::Ran::NotRun;
  reply.code_ =
    reply.first_ ? base::ResultCode::Ok : base::ResultCode::NotFound;
  Send(aPeer, std::move(reply));
}

void
JobService::Handle(const std::string& aPeer, const wire::SubmitFrame& aFrame)
{
  const base::JobId& id = aFrame.job_.id_;
  const Route route = RouteTo(id);
  wire::SubmitReply reply;
  reply.call_ = aFrame.call_;
  reply.code_ = route.code_;
  reply.ownerHint_ = route.ownerHint_;
  reply.job_ = aFrame.job_;
  if (route.partition_ == nullptr) {
    Send(aPeer, std::move(reply));
    return;
  }
  OwnedPartition& partition = *route.partition_;
  const jobs::Job* existing = partition.table_.Find(id);
  const bool isAccepted = existing != nullptr && existing->IsAccepted();
  if (!isAccepted && (draining_ || !ports_.hasRoom_())) {
    reply.code_ =
      draining_ ? base::ResultCode::Draining : base::ResultCode::DiskFull;
    Send(aPeer, std::move(reply));
    return;
  }
  jobs::AcceptDecision decision =
    partition.table_.DecideFrame(aFrame, ports_.wallUnixMs_());
  switch (decision.action_) {
    case jobs::AcceptAction::Append:
      Append(
        route.index_,
        std::move(decision.records_),
        FailureHandling::Report,
        [this,
         index = route.index_,
         requester = Requester{ aPeer, aFrame.call_ },
         job = aFrame.job_](base::ResultCode aCode,
                            std::span<const jobs::RecordEffects> /*aEffects*/) {
          OnFrameAppended(index, requester, job, aCode);
        });
      return;
    case jobs::AcceptAction::Wait:
      Defer(partition, id, aPeer, aFrame);
      return;
    case jobs::AcceptAction::Received:
      break;
    case jobs::AcceptAction::Duplicate:
    case jobs::AcceptAction::Running:
    case jobs::AcceptAction::Finished:
      ++counts_.duplicateSubmissions_;
      reply.duplicate_ = true;
      reply.job_ = existing == nullptr ? aFrame.job_ : existing->description_;
      break;
    case jobs::AcceptAction::Conflict:
      ++counts_.keyConflicts_;
      reply.code_ = base::ResultCode::KeyConflict;
      break;
    case jobs::AcceptAction::Invalid:
      reply.code_ = base::ResultCode::InvalidRequest;
      reply.detail_ = "the frame's items do not follow the received items or "
                      "do not match the item count";
      break;
  }
  Send(aPeer, std::move(reply));
}

void
JobService::OnFrameAppended(std::uint32_t aPartition,
                            const Requester& aRequester,
                            const wire::JobDescription& aJob,
                            base::ResultCode aCode)
{
  wire::SubmitReply reply;
  reply.call_ = aRequester.call_;
  reply.job_ = aJob;
  const auto found = partitions_.find(aPartition);
  if (aCode != base::ResultCode::Ok) {
    reply.code_ = RefusalFor(aCode);
    reply.ownerHint_ = ports_.ownerOf_(aPartition);
    base::Log(
      kJobRefused,
      { { "job", base::ToString(aJob.id_) }, { "code", base::NameOf(aCode) } });
  } else if (found != partitions_.end()) {
    const jobs::Job* job = found->second.table_.Find(aJob.id_);
    reply.job_ = job == nullptr ? aJob : job->description_;
  }
  Send(aRequester.peer_, std::move(reply));
  if (found != partitions_.end()) {
    found->second.table_.OnAcceptAppended(aJob.id_,
                                          aCode == base::ResultCode::Ok);
    HandleDeferred(found->second, aJob.id_);
  }
}

wire::JobStatusReply
JobService::StatusOf(const OwnedPartition& aPartition,
                     const base::JobId& aJob,
                     const std::string& aPartner) const
{
  wire::JobStatusReply reply = aPartition.table_.Status(aJob, aPartner);
  if (reply.state_ == wire::JobState::Running && !reply.job_.online_) {
    reply.expectedFinishUnixMs_ =
      ports_.wallUnixMs_() +
      scheduler_.ExpectedDurationMs(reply.job_.service_, aJob, reply.running_);
  }
  return reply;
}

void
JobService::Handle(const std::string& aPeer, const wire::GetJob& aRequest)
{
  const Route route = RouteTo(aRequest.job_);
  wire::JobStatusReply reply;
  reply.code_ = route.code_;
  if (route.partition_ != nullptr) {
    reply = StatusOf(*route.partition_, aRequest.job_, aRequest.partner_);
  }
  reply.call_ = aRequest.call_;
  reply.ownerHint_ = route.ownerHint_;
  Send(aPeer, std::move(reply));
}

void
JobService::Handle(const std::string& aPeer, const wire::CancelJob& aRequest)
{
  const Route route = RouteTo(aRequest.job_);
  wire::JobStatusReply reply;
  reply.call_ = aRequest.call_;
  reply.code_ = route.code_;
  reply.ownerHint_ = route.ownerHint_;
  if (route.partition_ == nullptr) {
    Send(aPeer, std::move(reply));
    return;
  }
  OwnedPartition& partition = *route.partition_;
  if (partition.table_.IsAccepting(aRequest.job_)) {
    Defer(partition, aRequest.job_, aPeer, aRequest);
    return;
  }
  jobs::CancelDecision decision;
  if (partition.table_.Find(aRequest.job_, aRequest.partner_) != nullptr) {
    decision =
      partition.table_.DecideCancel(aRequest.job_, ports_.wallUnixMs_());
  }
  if (decision.action_ == jobs::CancelAction::Wait) {
    Defer(partition, aRequest.job_, aPeer, aRequest);
    return;
  }
  if (decision.action_ == jobs::CancelAction::NotCancellable) {
    reply = StatusOf(partition, aRequest.job_, aRequest.partner_);
    reply.call_ = aRequest.call_;
    Send(aPeer, std::move(reply));
    return;
  }
  Append(
    route.index_,
    { std::move(*decision.record_) },
    FailureHandling::Retry,
    [this, aPeer, aRequest](base::ResultCode /*aCode*/,
                            std::span<const jobs::RecordEffects> /*aEffects*/) {
      // Replies with the cancelled job, or with the new owner.
      Handle(aPeer,
             wire::GetJob{ aRequest.call_, aRequest.job_, aRequest.partner_ });
    });
}

JobService::ResultReference
JobService::MakeResultReference(const jobs::Job& aJob, std::uint32_t aPosition)
{
  const jobs::ResultLocation& location = aJob.results_[aPosition];
  const jobs::Item& item = aJob.items_[location.item_];
  // Starts of idempotent items are not always recorded, so one without a record
  // may have run.
  const bool isNotRun =
    !aJob.description_.idempotent_ && item.recordedStarts_ == 0;
  return { aJob.SourceOf(aPosition),
           location,
           aJob.LocateItem(location.item_),
           aPosition,
           isNotRun ? base::Ran::NotRun : base::Ran::Unknown };
}

std::optional<JobService::ResultReference>
JobService::FindOnlineResult(const jobs::JobTable& aTable,
                             const base::JobId& aJob)
{
  if (const jobs::FinishedRequest* finished = aTable.FindFinished(aJob)) {
    return ResultReference{
      jobs::ResultSource::Recorded, finished->result_, {}, 0, {}
    };
  }
  const jobs::Job* job = aTable.Find(aJob);
  if (job == nullptr || !job->IsClosed()) {
    return std::nullopt;
  }
  return MakeResultReference(*job, 0);
}

std::vector<JobService::ResultReference>
JobService::SelectPage(const jobs::JobTable& aTable,
                       const wire::ReadResults& aRequest,
                       bool& aEndsJob)
{
  std::vector<ResultReference> references;
  const jobs::Job* job = aTable.Find(aRequest.job_);
  if (job == nullptr) {
    aEndsJob = true;
    if (const auto online = FindOnlineResult(aTable, aRequest.job_);
        online && aRequest.from_ == 0) {
      references.push_back(*online);
    }
    return references;
  }
  const auto size = static_cast<std::uint32_t>(job->results_.size());
  const std::uint32_t limit = aRequest.limit_ == 0
                                ? kMaxPageItems
                                : std::min(aRequest.limit_, kMaxPageItems);
  const std::uint32_t begin = std::min(aRequest.from_, size);
  const std::uint32_t end = begin + std::min(limit, size - begin);
  references.reserve(end - begin);
  for (std::uint32_t position = begin; position < end; ++position) {
    references.push_back(MakeResultReference(*job, position));
  }
  aEndsJob = job->IsClosed() && end == size;
  return references;
}

base::Result<wire::ItemResult>
JobService::ReadResult(const ResultReference& aReference)
{
  if (aReference.source_ == jobs::ResultSource::Cancelled) {
    BOOST_LEAF_AUTO(bytes, cache_.Get(aReference.item_.record_));
    BOOST_LEAF_AUTO(item, jobs::ReadItem(*bytes, aReference.item_.index_));
    wire::ItemResult result;
    result.position_ = aReference.position_;
    result.item_ = aReference.location_.item_;
    result.name_ = std::move(item.name_);
    result.code_ = base::ResultCode::Cancelled;
    result.ran_ = aReference.ranIfCancelled_;
    return result;
  }
  BOOST_LEAF_AUTO(bytes, cache_.Get(aReference.location_.record_));
  BOOST_LEAF_AUTO(ended,
                  jobs::ReadItemEnded(*bytes, aReference.location_.index_));
  ended.result_.position_ = aReference.position_;
  return std::move(ended.result_);
}

wire::ResultsPage
JobService::ReadPage(const std::vector<ResultReference>& aReferences,
                     bool aEndsJob)
{
  wire::ResultsPage page;
  std::size_t bytes = 0;
  for (const ResultReference& reference : aReferences) {
    auto read = base::Capture([&] { return ReadResult(reference); });
    if (const auto* failure = std::get_if<base::Failure>(&read)) {
      page.code_ = failure->code_;
      base::Log(kUnreadableRecord,
                { { "code", base::NameOf(failure->code_) },
                  { "detail", failure->detail_ } });
      return page;
    }
    page.items_.push_back(std::get<wire::ItemResult>(std::move(read)));
    bytes += page.items_.back().text_.size();
    if (bytes >= options_.maxPageBytes_) {
      break;
    }
  }
  page.ended_ = aEndsJob && page.items_.size() == aReferences.size();
  return page;
}

void
JobService::Handle(const std::string& aPeer, const wire::ReadResults& aRequest)
{
  const Route route = RouteTo(aRequest.job_);
  wire::ResultsPage refusal;
  refusal.call_ = aRequest.call_;
  refusal.code_ = route.code_;
  refusal.ownerHint_ = route.ownerHint_;
  if (route.partition_ != nullptr) {
    refusal.code_ =
      route.partition_->table_.Status(aRequest.job_, aRequest.partner_).code_;
  }
  if (route.partition_ == nullptr || refusal.code_ != base::ResultCode::Ok) {
    Send(aPeer, std::move(refusal));
    return;
  }
  bool endsJob = false;
  std::vector<ResultReference> references =
    SelectPage(route.partition_->table_, aRequest, endsJob);
  outbox_.Add([this,
               self = shared_from_this(),
               aPeer,
               call = aRequest.call_,
               references = std::move(references),
               endsJob] {
    ports_.post_([this, self, aPeer, call, references, endsJob] {
      wire::ResultsPage page = ReadPage(references, endsJob);
      page.call_ = call;
      ports_.send_(aPeer, std::move(page));
    });
  });
}

void
JobService::ReplyFinished(const Requester& aRequester,
                          const ResultReference& aReference)
{
  outbox_.Add(
    [this, self = shared_from_this(), aRequester, reference = aReference] {
      ports_.post_([this, self, aRequester, reference] {
        wire::ResultsPage page = ReadPage({ reference }, true);
        wire::RecordReply reply;
        reply.call_ = aRequester.call_;
        reply.code_ = page.code_;
        reply.state_ = wire::RecordState::Finished;
        if (!page.items_.empty()) {
          reply.result_ = std::move(page.items_.front());
        }
        ports_.send_(aRequester.peer_, std::move(reply));
      });
    });
}

void
JobService::ReplyRecorded(const Requester& aRequester,
                          const ResultReference& aReference,
                          const wire::ItemResult& aReported)
{
  outbox_.Add([this,
               self = shared_from_this(),
               aRequester,
               reference = aReference,
               aReported] {
    ports_.post_([this, self, aRequester, reference, aReported] {
      wire::ResultsPage page = ReadPage({ reference }, true);
      wire::RecordResultReply reply;
      reply.call_ = aRequester.call_;
      reply.code_ = page.code_;
      if (!page.items_.empty()) {
        reply.result_ = std::move(page.items_.front());
        // An equal result is the first one, reported again because the reply
        // was lost.
        reply.first_ = reply.result_.code_ == aReported.code_ &&
                       reply.result_.text_ == aReported.text_;
      }
      ports_.send_(aRequester.peer_, std::move(reply));
    });
  });
}

} // namespace pumiceturn::keeper
