#include "LibJobLog/PartitionHost.h"

#include "LibJobLog/Events.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace pumiceturn::joblog {

using base::ResultCode;
using partition::PartitionRecord;

namespace {

constexpr std::uint64_t kFrameBytes = 1U << 20U;
/// Between two attempts to name another owner, in takeover intervals.
constexpr int kYieldTakeovers = 10;
/// From a failed write to the next claim, in takeover intervals.
constexpr int kUnfitTakeovers = 5;
constexpr std::uint64_t kReplayBytes = 4U << 20U;
/// A page that begins with the entry asked for must hold one more, or the
/// asker would make no progress.
constexpr std::size_t kMinPageEntries = 2;

std::string
JoinNames(const std::vector<std::string>& aNames)
{
  return fmt::format("{}", fmt::join(aNames, ","));
}

PartitionOwner::Options
OwnerOptions(std::uint32_t aPartition, const LogShared& aShared)
{
  PartitionOwner::Options options;
  options.partition_ = aPartition;
  options.self_ = aShared.options_.host_;
  options.incarnation_ = aShared.incarnation_;
  options.copies_ = aShared.options_.copies_;
  options.minCopies_ = aShared.options_.minCopies_;
  options.copyLostAfter_ = aShared.options_.takeoverAfter_ / 2;
  return options;
}

} // namespace

PartitionHost::PartitionHost(std::uint32_t aPartition,
                             std::shared_ptr<LogShared> aShared)
  : partition_(aPartition)
  , shared_(std::move(aShared))
  , strand_(shared_->ports_.pool_)
  , replica_(aPartition, shared_->store_->SummaryOf(aPartition))
  , owner_(OwnerOptions(aPartition, *shared_))
{
}

/// Runs a task on the strand, and then what it led to.
template<typename Task>
void
PartitionHost::Post(Task aTask)
{
  strand_.Post([self = shared_from_this(), task = std::move(aTask)]() mutable {
    if (self->shared_->isStopped_) {
      return;
    }
    task(*self);
    self->NoteState();
  });
}

void
PartitionHost::OnRecord(const PartitionRecord& aRecord,
                        std::shared_ptr<const FleetView> aFleet)
{
  Post([record = aRecord, fleet = std::move(aFleet)](PartitionHost& aSelf) {
    aSelf.isRecordKnown_ = true;
    aSelf.replica_.OnRecordedEpoch(record.epoch_);
    aSelf.Run(aSelf.owner_.OnRecord(record, *fleet, base::MonotonicNow()));
    aSelf.NoteOwner(*fleet);
  });
}

void
PartitionHost::OnNoRecord()
{
  Post([](PartitionHost& aSelf) {
    aSelf.isRecordKnown_ = true;
    aSelf.replica_.OnRecordedEpoch(0);
  });
}

void
PartitionHost::OnSwap(SwapOutcome aOutcome,
                      std::shared_ptr<const FleetView> aFleet)
{
  Post([outcome = std::move(aOutcome),
        fleet = std::move(aFleet)](PartitionHost& aSelf) {
    const base::Instant now = base::MonotonicNow();
    if (const auto* applied = std::get_if<SwapApplied>(&outcome)) {
      aSelf.Run(aSelf.owner_.OnSwapApplied(
        applied->writeId_, applied->modRevision_, *fleet, now));
    } else {
      const auto& refused = std::get<SwapRefused>(outcome);
      aSelf.Run(aSelf.owner_.OnSwapRefused(
        refused.writeId_, refused.current_, *fleet, now));
    }
    const PartitionRecord& record = aSelf.owner_.Record();
    aSelf.replica_.OnRecordedEpoch(record.epoch_);
    aSelf.shared_->ports_.table_.Update(record);
  });
}

void
PartitionHost::OnMessage(const std::string& aPeer, wire::Message aMessage)
{
  Post([peer = aPeer,
        message = std::move(aMessage)](PartitionHost& aSelf) mutable {
    aSelf.Deliver(peer, std::move(message));
  });
}

void
PartitionHost::OnLinkUp(const std::string& aPeer)
{
  Post([peer = aPeer](PartitionHost& aSelf) {
    aSelf.Run(aSelf.owner_.OnLinkUp(peer, base::MonotonicNow()));
  });
}

void
PartitionHost::Append(std::vector<std::string> aRecords,
                      LogService::Appended aDone)
{
  Post([records = std::move(aRecords),
        done = std::move(aDone)](PartitionHost& aSelf) mutable {
    const std::uint64_t token = aSelf.nextToken_++;
    const std::uint64_t before = aSelf.owner_.LastSequence();
    auto actions =
      aSelf.owner_.Append(std::move(records), token, base::MonotonicNow());
    aSelf.appending_[token] =
      Appending{ before + 1, aSelf.owner_.LastSequence(), std::move(done) };
    aSelf.Run(std::move(actions));
  });
}

void
PartitionHost::Trim(std::uint64_t aBeforeSequence)
{
  Post([aBeforeSequence](PartitionHost& aSelf) {
    aSelf.Run(aSelf.owner_.Trim(aBeforeSequence, base::MonotonicNow()));
  });
}

void
PartitionHost::HandOver(std::shared_ptr<const FleetView> aFleet)
{
  Post([fleet = std::move(aFleet)](PartitionHost& aSelf) {
    if (!aSelf.owner_.IsOwned()) {
      return;
    }
    const std::string successor =
      ChooseSuccessor(aSelf.owner_.Record(), *fleet);
    base::Log(kPartitionHandedOver,
              { { "partition", aSelf.partition_ },
                { "successor", successor },
                { "copies", JoinNames(aSelf.owner_.Record().copies_) } });
    if (!successor.empty()) {
      aSelf.Run(aSelf.owner_.HandOver(successor));
    }
  });
}

void
PartitionHost::Tick(std::shared_ptr<const FleetView> aFleet)
{
  Post([fleet = std::move(aFleet)](PartitionHost& aSelf) {
    aSelf.Run(aSelf.owner_.Tick(*fleet, base::MonotonicNow()));
    aSelf.DecideOwnership(*fleet);
    aSelf.NoteOwner(*fleet);
  });
}

void
PartitionHost::DecideOwnership(const FleetView& aFleet)
{
  if (owner_.GetPhase() != PartitionOwner::Phase::Following ||
      !isRecordKnown_ || shared_->isLeaving_) {
    return;
  }
  const LogOptions& options = shared_->options_;
  const base::Instant now = base::MonotonicNow();
  const bool isFit =
    replica_.IsWhole() && !shared_->store_->HasFailed() && now >= unfitUntil_;
  const OwnCopy ownCopy = isFit ? OwnCopy::Whole : OwnCopy::Unfit;
  const PartitionRecord& record = owner_.Record();
  const ClaimDecision decision =
    DecideClaim(record,
                ownCopy,
                aFleet,
                ClaimLimits{ options.minCopies_, options.takeoverAfter_ },
                now);
  if (decision.choice_ == ClaimChoice::Wait) {
    return;
  }
  if (decision.choice_ == ClaimChoice::Yield) {
    // Two hosts that are both unfit must not name each other at every tick.
    if (now < nextYieldAt_) {
      return;
    }
    nextYieldAt_ = now + kYieldTakeovers * options.takeoverAfter_;
  }
  base::Log(decision.choice_ == ClaimChoice::Claim ? kPartitionClaimed
                                                   : kPartitionYielded,
            { { "partition", partition_ },
              { "epoch", record.epoch_ + 1 },
              { "former_owner", record.owner_ },
              { "copies", JoinNames(record.copies_) },
              { "own_copy", ownCopy == OwnCopy::Whole ? "whole" : "unfit" },
              { "up_domains", aFleet.CountUpDomains() },
              { "successor", decision.successor_ } });
  Run(decision.choice_ == ClaimChoice::Claim
        ? owner_.Claim(aFleet, now)
        : owner_.HandOver(decision.successor_));
}

void
PartitionHost::NoteOwner(const FleetView& aFleet)
{
  const std::string& owner = owner_.Record().owner_;
  isServedElsewhere_ = owner != shared_->options_.host_ && aFleet.IsUp(owner);
}

/// Publishes what other threads ask for.
void
PartitionHost::NoteState()
{
  const bool isOwned = owner_.IsOwned();
  epoch_ = owner_.Epoch();
  if (isOwned_.exchange(isOwned) != isOwned) {
    shared_->ownedCount_.fetch_add(isOwned ? 1 : std::uint64_t(-1));
  }
  const bool isFollowing =
    owner_.GetPhase() == PartitionOwner::Phase::Following;
  needsTick_ = isFollowing ? !isServedElsewhere_ : !owner_.IsQuiet();
}

void
PartitionHost::Run(PartitionReplica::Actions aActions)
{
  for (ReplicaAction& action : aActions) {
    work_.emplace_back(std::move(action));
  }
  Drain();
}

void
PartitionHost::Run(PartitionOwner::Actions aActions)
{
  for (OwnerAction& action : aActions) {
    work_.emplace_back(std::move(action));
  }
  Drain();
}

/// Carries out actions in the order they were decided, also those that one of
/// them leads to.
void
PartitionHost::Drain()
{
  if (std::exchange(isDraining_, true)) {
    return;
  }
  while (!work_.empty()) {
    Work work = std::move(work_.front());
    work_.pop_front();
    RunWork(std::move(work));
  }
  isDraining_ = false;
}

void
PartitionHost::RunWork(Work aWork)
{
  if (auto* delivery = std::get_if<SelfDelivery>(&aWork)) {
    Deliver(shared_->options_.host_, std::move(delivery->message_));
  } else if (auto* action = std::get_if<ReplicaAction>(&aWork)) {
    std::visit([this](auto& aAction) { Do(std::move(aAction)); }, *action);
  } else {
    std::visit([this](auto& aAction) { Do(std::move(aAction)); },
               std::get<OwnerAction>(aWork));
  }
}

void
PartitionHost::Deliver(const std::string& aPeer, wire::Message aMessage)
{
  const base::Instant now = base::MonotonicNow();
  if (auto* frame = std::get_if<wire::AppendFrame>(&aMessage)) {
    Run(replica_.OnAppend(aPeer, std::move(*frame)));
  } else if (const auto* ack = std::get_if<wire::AppendAck>(&aMessage)) {
    Run(owner_.OnAppendAck(aPeer, *ack, now));
  } else if (const auto* seal = std::get_if<wire::SealPartition>(&aMessage)) {
    Run(replica_.OnSeal(aPeer, *seal));
  } else if (const auto* reply = std::get_if<wire::SealReply>(&aMessage)) {
    Run(owner_.OnSealReply(aPeer, *reply, now));
  } else if (const auto* fetch = std::get_if<wire::FetchLog>(&aMessage)) {
    AnswerFetch(aPeer, *fetch);
  } else if (const auto* page = std::get_if<wire::LogPage>(&aMessage)) {
    Run(owner_.OnLogPage(aPeer, *page));
  }
}

void
PartitionHost::SendTo(const std::string& aPeer, wire::Message aMessage)
{
  if (aPeer == shared_->options_.host_) {
    work_.emplace_back(SelfDelivery{ std::move(aMessage) });
    Drain();
    return;
  }
  std::optional<wire::AppendFrame> frame;
  if (const auto* sent = std::get_if<wire::AppendFrame>(&aMessage)) {
    frame.emplace();
    frame->epoch_ = sent->epoch_;
    frame->previousSequence_ = sent->previousSequence_;
  }
  // Refused for a lost link is as good as lost on it: the owner begins anew
  // when the link is up, and sends again what stays unanswered.
  const ResultCode code = shared_->ports_.send_(aPeer, std::move(aMessage));
  if (frame && code == ResultCode::BudgetExhausted) {
    owner_.OnSendRefused(aPeer, *frame);
  }
}

void
PartitionHost::OnStored(ResultCode aCode,
                        std::uint64_t aFirstSequence,
                        const std::vector<LogPosition>& aPositions)
{
  for (std::size_t index = 0; !appending_.empty() && index < aPositions.size();
       ++index) {
    positions_[aFirstSequence + index] = aPositions[index];
  }
  if (aCode != ResultCode::Ok) {
    // A claim would only fail at the same disk, and cost a swap each time.
    unfitUntil_ =
      base::MonotonicNow() + kUnfitTakeovers * shared_->options_.takeoverAfter_;
  }
  Run(replica_.OnStored(aCode));
  if (replica_.NeedsReload()) {
    replica_.Reload(shared_->store_->SummaryOf(partition_));
  }
}

void
PartitionHost::Do(StoreEntries aAction)
{
  const std::uint64_t first = aAction.entries_.front().sequence_;
  shared_->store_->AppendEntries(
    partition_,
    std::move(aAction.entries_),
    [self = shared_from_this(),
     first](ResultCode aCode, std::span<const LogPosition> aPositions) {
      self->Post(
        [aCode,
         first,
         positions =
           std::vector<LogPosition>(aPositions.begin(), aPositions.end())](
          PartitionHost& aSelf) { aSelf.OnStored(aCode, first, positions); });
    });
}

void
PartitionHost::Do(const StoreState& aAction)
{
  shared_->store_->SaveState(
    partition_,
    aAction.state_,
    [self = shared_from_this()](ResultCode aCode, auto) {
      self->Post(
        [aCode](PartitionHost& aSelf) { aSelf.OnStored(aCode, 0, {}); });
    });
}

void
PartitionHost::Do(const StoreReset& aAction)
{
  shared_->store_->Reset(partition_,
                         aAction.state_,
                         [self = shared_from_this()](ResultCode aCode, auto) {
                           self->Post([aCode](PartitionHost& aSelf) {
                             aSelf.OnStored(aCode, 0, {});
                           });
                         });
}

void
PartitionHost::Do(SendMessage aAction)
{
  SendTo(aAction.peer_, std::move(aAction.message_));
}

void
PartitionHost::Do(const SwapRecord& aAction)
{
  base::Log(kRecordSwapped,
            { { "partition", partition_ },
              { "owner", aAction.record_.owner_ },
              { "epoch", aAction.record_.epoch_ },
              { "copies", JoinNames(aAction.record_.copies_) },
              { "copies_before", JoinNames(owner_.Record().copies_) } });
  shared_->swaps_->Add(aAction.record_);
}

void
PartitionHost::Do(const LoadLog& /*aAction*/)
{
  Run(owner_.OnLogLoaded(shared_->store_->SummaryOf(partition_),
                         base::MonotonicNow()));
}

void
PartitionHost::Do(const SendLog& aAction)
{
  SendLogTo(aAction);
}

void
PartitionHost::SendLogTo(const SendLog& aSend)
{
  wire::AppendFrame frame = aSend.frame_;
  const auto outcome = base::Capture([&] {
    return shared_->store_->ReadEntries(
      partition_, frame.previousSequence_ + 1, kFrameBytes);
  });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    ReportDamage(*failure);
    return;
  }
  for (const StoredEntry& stored : std::get<0>(outcome)) {
    if (stored.entry_.sequence_ <= aSend.lastSequence_) {
      frame.entries_.push_back(stored.entry_);
    }
  }
  SendTo(aSend.peer_, std::move(frame));
}

void
PartitionHost::AnswerFetch(const std::string& aPeer,
                           const wire::FetchLog& aFetch)
{
  wire::LogPage page;
  page.call_ = aFetch.call_;
  page.partition_ = partition_;
  page.lastSequence_ = shared_->store_->SummaryOf(partition_).lastSequence_;
  const auto read = [&](std::uint64_t aFrom, std::uint64_t aBytes) {
    return base::Capture(
      [&] { return shared_->store_->ReadEntries(partition_, aFrom, aBytes); });
  };
  std::uint64_t next = aFetch.fromSequence_;
  std::uint64_t bytes = std::min<std::uint64_t>(aFetch.maxBytes_, kFrameBytes);
  while (page.entries_.size() < kMinPageEntries && next <= page.lastSequence_) {
    auto outcome = read(next, bytes);
    if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
      page.code_ = failure->code_;
      break;
    }
    auto& entries = std::get<0>(outcome);
    if (entries.empty()) {
      break;
    }
    for (StoredEntry& stored : entries) {
      page.entries_.push_back(std::move(stored.entry_));
    }
    next = page.entries_.back().sequence_ + 1;
    bytes = 1;
  }
  SendTo(aPeer, std::move(page));
}

void
PartitionHost::Do(const ReplayLog& aAction)
{
  base::Log(kPartitionRecovering,
            { { "partition", partition_ },
              { "epoch", aAction.epoch_ },
              { "first", aAction.firstSequence_ },
              { "last", aAction.lastSequence_ } });
  if (shared_->handlers_.recovering_) {
    shared_->handlers_.recovering_(partition_, aAction.epoch_);
  }
  Replay(aAction.epoch_, aAction.firstSequence_, aAction.lastSequence_);
}

/// Plays one page and posts the next, so that a long log does not hold a pool
/// thread while other work waits.
void
PartitionHost::Replay(std::uint64_t aEpoch,
                      std::uint64_t aFromSequence,
                      std::uint64_t aLastSequence)
{
  if (owner_.Epoch() != aEpoch) {
    return;
  }
  if (aFromSequence > aLastSequence) {
    Run(owner_.OnReplayed());
    return;
  }
  const auto outcome = base::Capture([&] {
    return shared_->store_->ReadEntries(
      partition_, aFromSequence, kReplayBytes);
  });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    ReportDamage(*failure);
    return;
  }
  const auto& entries = std::get<0>(outcome);
  std::uint64_t next = aFromSequence;
  for (const StoredEntry& stored : entries) {
    if (stored.entry_.sequence_ > aLastSequence) {
      break;
    }
    if (shared_->handlers_.replay_) {
      shared_->handlers_.replay_(partition_,
                                 stored.entry_.sequence_,
                                 stored.position_,
                                 stored.entry_.payload_);
    }
    next = stored.entry_.sequence_ + 1;
  }
  if (next == aFromSequence) {
    ReportDamage(
      base::Failure{ ResultCode::CorruptRecord, "entries are missing" });
    return;
  }
  Post([aEpoch, next, aLastSequence](PartitionHost& aSelf) {
    aSelf.Replay(aEpoch, next, aLastSequence);
  });
}

void
PartitionHost::Do(const ReportOwned& aAction)
{
  base::Log(kPartitionOwned,
            { { "partition", partition_ },
              { "epoch", aAction.epoch_ },
              { "last", owner_.LastSequence() },
              { "copies", JoinNames(owner_.Record().copies_) } });
  // Appends made by the handler must not be refused.
  NoteState();
  if (shared_->handlers_.owned_) {
    shared_->handlers_.owned_(partition_, aAction.epoch_);
  }
}

void
PartitionHost::Do(const ReportReleased& /*aAction*/)
{
  base::Log(kPartitionReleased, { { "partition", partition_ } });
  NoteState();
  if (shared_->handlers_.released_) {
    shared_->handlers_.released_(partition_);
  }
}

void
PartitionHost::Do(const CompleteAppend& aAction)
{
  const auto found = appending_.find(aAction.token_);
  if (found == appending_.end()) {
    return;
  }
  const Appending appending = std::move(found->second);
  appending_.erase(found);
  std::vector<LogPosition> positions;
  if (aAction.code_ == ResultCode::Ok) {
    for (std::uint64_t sequence = appending.firstSequence_;
         sequence <= appending.lastSequence_;
         ++sequence) {
      positions.push_back(positions_[sequence]);
    }
  }
  positions_.erase(positions_.begin(),
                   positions_.upper_bound(appending.lastSequence_));
  appending.done_(aAction.code_, positions);
}

/// An entry of the own copy cannot be read: it is whole no longer, and another
/// copy has to go on.
void
PartitionHost::ReportDamage(const base::Failure& aFailure)
{
  base::Log(kCopyDamaged,
            { { "partition", partition_ },
              { "code", base::NameOf(aFailure.code_) },
              { "cause", aFailure.detail_ } });
  shared_->store_->MarkDamaged(partition_);
  replica_.MarkDamaged();
  wire::AppendAck ack;
  ack.partition_ = partition_;
  ack.epoch_ = owner_.Epoch();
  ack.code_ = aFailure.code_;
  Run(owner_.OnAppendAck(shared_->options_.host_, ack, base::MonotonicNow()));
}

} // namespace pumiceturn::joblog
