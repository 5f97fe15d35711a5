#include "LibJobLog/PartitionReplica.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pumiceturn::joblog {

using base::ResultCode;

namespace {

/// @return whether the entries follow the previous one without a gap. A frame
/// of a faulty peer must not put one into the copy.
bool
IsWellFormed(const wire::AppendFrame& aFrame)
{
  std::uint64_t expected = aFrame.previousSequence_ + 1;
  for (const wire::LogEntry& entry : aFrame.entries_) {
    if (entry.sequence_ != expected || entry.epoch_ > aFrame.epoch_) {
      return false;
    }
    ++expected;
  }
  return aFrame.epoch_ != 0;
}

} // namespace

PartitionReplica::PartitionReplica(std::uint32_t aPartition,
                                   CopySummary aDurable)
  : partition_(aPartition)
  , accepted_(std::move(aDurable))
{
}

PartitionReplica::Actions
PartitionReplica::OnAppend(const std::string& aPeer, wire::AppendFrame aFrame)
{
  Actions actions;
  if (const ResultCode refusal = CheckEpoch(aFrame.epoch_);
      refusal != ResultCode::Ok) {
    wire::AppendAck ack = MakeAck(refusal, 0);
    ack.epoch_ = std::max(aFrame.epoch_, NewestEpoch());
    actions.emplace_back(SendMessage{ aPeer, ack });
    return actions;
  }
  if (!IsWellFormed(aFrame)) {
    actions.emplace_back(
      SendMessage{ aPeer, MakeAck(ResultCode::MalformedMessage, 0) });
    return actions;
  }
  AdoptEpoch(aFrame.epoch_, actions);
  ResetIfUnusable(aFrame, actions);
  if (!Matches(aFrame)) {
    const wire::AppendAck gap =
      MakeAck(ResultCode::LogGap, LastPossibleMatch(aFrame));
    ReplyWhenStored(aPeer, gap, actions);
    return actions;
  }
  const std::uint64_t matched = AcceptEntries(aFrame, actions);
  AdoptProgress(aFrame, matched, actions);
  ReplyWhenStored(aPeer, MakeAck(ResultCode::Ok, matched), actions);
  return actions;
}

PartitionReplica::Actions
PartitionReplica::OnSeal(const std::string& aPeer,
                         const wire::SealPartition& aSeal)
{
  Actions actions;
  wire::SealReply reply;
  reply.call_ = aSeal.call_;
  reply.partition_ = partition_;
  const bool isStale = aSeal.epoch_ < NewestEpoch();
  if (isStale || failure_ != ResultCode::Ok) {
    reply.code_ = isStale ? ResultCode::StaleEpoch : failure_;
    reply.epoch_ = std::max(aSeal.epoch_, NewestEpoch());
    actions.emplace_back(SendMessage{ aPeer, reply });
    return actions;
  }
  AdoptEpoch(aSeal.epoch_, actions);
  if (accepted_.damaged_) {
    reply.code_ = ResultCode::CorruptRecord;
  } else if (!IsWhole()) {
    reply.code_ = ResultCode::LogGap;
  }
  reply.epoch_ = accepted_.state_.sealedEpoch_;
  reply.lastSequence_ = accepted_.lastSequence_;
  reply.lastEpoch_ = accepted_.LastEpoch();
  ReplyWhenStored(aPeer, reply, actions);
  return actions;
}

void
PartitionReplica::OnRecordedEpoch(std::uint64_t aEpoch)
{
  recordedEpoch_ = std::max(aEpoch, recordedEpoch_.value_or(0));
}

ResultCode
PartitionReplica::CheckEpoch(std::uint64_t aEpoch) const
{
  if (aEpoch < NewestEpoch()) {
    return ResultCode::StaleEpoch;
  }
  if (failure_ != ResultCode::Ok) {
    return failure_;
  }
  const bool mayBeEmptied =
    accepted_.state_.sealedEpoch_ == 0 || accepted_.state_.incomplete_;
  return mayBeEmptied && !recordedEpoch_ ? ResultCode::Recovering
                                         : ResultCode::Ok;
}

std::uint64_t
PartitionReplica::NewestEpoch() const
{
  return std::max(accepted_.state_.sealedEpoch_, recordedEpoch_.value_or(0));
}

PartitionReplica::Actions
PartitionReplica::OnStored(ResultCode aCode)
{
  assert(endedStores_ < issuedStores_);
  ++endedStores_;
  if (aCode != ResultCode::Ok && failure_ == ResultCode::Ok) {
    failure_ = aCode;
  }
  Actions actions;
  while (!replies_.empty() && replies_.front().neededStores_ <= endedStores_) {
    WaitingReply reply = std::move(replies_.front());
    replies_.pop_front();
    if (failure_ != ResultCode::Ok) {
      std::visit(
        [this](auto& aMessage) {
          if constexpr (requires { aMessage.code_; }) {
            aMessage.code_ = failure_;
          }
        },
        reply.message_);
    }
    actions.emplace_back(
      SendMessage{ std::move(reply.peer_), std::move(reply.message_) });
  }
  return actions;
}

bool
PartitionReplica::NeedsReload() const
{
  return failure_ != ResultCode::Ok && endedStores_ == issuedStores_;
}

void
PartitionReplica::Reload(CopySummary aDurable)
{
  assert(NeedsReload());
  accepted_ = std::move(aDurable);
  failure_ = ResultCode::Ok;
}

bool
PartitionReplica::IsWhole() const
{
  return accepted_.state_.sealedEpoch_ != 0 && !accepted_.damaged_ &&
         !accepted_.state_.incomplete_ && failure_ == ResultCode::Ok;
}

wire::AppendAck
PartitionReplica::MakeAck(ResultCode aCode, std::uint64_t aSequence) const
{
  return wire::AppendAck{
    partition_, accepted_.state_.sealedEpoch_, aCode, aSequence
  };
}

/// Refuses older epochs from now on. A copy that knew nothing before is not
/// whole until it caught up: its host may be one that was recorded as a copy
/// and came back with an empty data folder.
void
PartitionReplica::AdoptEpoch(std::uint64_t aEpoch, Actions& aActions)
{
  if (aEpoch == accepted_.state_.sealedEpoch_) {
    return;
  }
  CopyState state = accepted_.state_;
  state.incomplete_ = state.incomplete_ || state.sealedEpoch_ == 0;
  state.sealedEpoch_ = aEpoch;
  accepted_.Apply(state);
  Store(StoreState{ state }, aActions);
}

/// Begins the copy anew where its log cannot be continued: its disk lost
/// entries, or the owner has trimmed what would have to come next.
void
PartitionReplica::ResetIfUnusable(const wire::AppendFrame& aFrame,
                                  Actions& aActions)
{
  const bool trimmedAway = aFrame.previousSequence_ > accepted_.lastSequence_ &&
                           aFrame.trimBefore_ > aFrame.previousSequence_;
  const bool differsFromTrimmed =
    aFrame.previousSequence_ + 1 == accepted_.state_.firstSequence_ &&
    aFrame.previousEpoch_ != accepted_.state_.previousEpoch_;
  if (!accepted_.damaged_ && !trimmedAway && !differsFromTrimmed) {
    return;
  }
  CopyState state;
  state.sealedEpoch_ = accepted_.state_.sealedEpoch_;
  state.incomplete_ = true;
  if (trimmedAway || differsFromTrimmed) {
    state.firstSequence_ = aFrame.previousSequence_ + 1;
    state.previousEpoch_ = aFrame.previousEpoch_;
  }
  accepted_ = CopySummary{};
  accepted_.Apply(state);
  Store(StoreReset{ state }, aActions);
}

bool
PartitionReplica::Matches(const wire::AppendFrame& aFrame) const
{
  if (aFrame.previousSequence_ > accepted_.lastSequence_) {
    return false;
  }
  // What was trimmed had been acknowledged, so it equals any owner's log.
  return aFrame.previousSequence_ + 1 < accepted_.state_.firstSequence_ ||
         accepted_.EpochAt(aFrame.previousSequence_) == aFrame.previousEpoch_;
}

/// @return a sequence up to which the copy may equal the owner's log.
std::uint64_t
PartitionReplica::LastPossibleMatch(const wire::AppendFrame& aFrame) const
{
  if (aFrame.previousSequence_ > accepted_.lastSequence_) {
    return accepted_.lastSequence_;
  }
  // All entries of the differing run may differ.
  std::uint64_t runBegin = accepted_.state_.firstSequence_;
  for (const EpochRun& run : accepted_.runs_) {
    if (run.firstSequence_ <= aFrame.previousSequence_) {
      runBegin = run.firstSequence_;
    }
  }
  return runBegin - 1;
}

/// @return the last sequence up to which the copy equals the owner's log.
std::uint64_t
PartitionReplica::AcceptEntries(wire::AppendFrame& aFrame, Actions& aActions)
{
  const auto firstNew = std::find_if(
    aFrame.entries_.begin(), aFrame.entries_.end(), [this](const auto& aEntry) {
      if (aEntry.sequence_ < accepted_.state_.firstSequence_) {
        return false;
      }
      return aEntry.sequence_ > accepted_.lastSequence_ ||
             accepted_.EpochAt(aEntry.sequence_) != aEntry.epoch_;
    });
  const std::uint64_t matched = aFrame.entries_.empty()
                                  ? aFrame.previousSequence_
                                  : aFrame.entries_.back().sequence_;
  if (firstNew == aFrame.entries_.end()) {
    return matched;
  }
  aFrame.entries_.erase(aFrame.entries_.begin(), firstNew);
  StoreEntries store{ std::move(aFrame.entries_) };
  for (const wire::LogEntry& entry : store.entries_) {
    accepted_.Extend(entry.sequence_, entry.epoch_);
  }
  Store(std::move(store), aActions);
  return matched;
}

/// Takes over what the owner tells about the log besides its entries.
void
PartitionReplica::AdoptProgress(const wire::AppendFrame& aFrame,
                                std::uint64_t aMatched,
                                Actions& aActions)
{
  CopyState state = accepted_.state_;
  if (aFrame.trimBefore_ > state.firstSequence_ &&
      aFrame.trimBefore_ <= aMatched + 1) {
    state.previousEpoch_ = accepted_.EpochAt(aFrame.trimBefore_ - 1);
    state.firstSequence_ = aFrame.trimBefore_;
  }
  if (aMatched >= aFrame.acknowledged_) {
    state.incomplete_ = false;
  }
  if (state != accepted_.state_) {
    accepted_.Apply(state);
    Store(StoreState{ state }, aActions);
  }
}

void
PartitionReplica::Store(ReplicaAction aAction, Actions& aActions)
{
  ++issuedStores_;
  aActions.push_back(std::move(aAction));
}

void
PartitionReplica::ReplyWhenStored(const std::string& aPeer,
                                  wire::Message aMessage,
                                  Actions& aActions)
{
  if (endedStores_ == issuedStores_) {
    aActions.emplace_back(SendMessage{ aPeer, std::move(aMessage) });
    return;
  }
  replies_.push_back(WaitingReply{ issuedStores_, aPeer, std::move(aMessage) });
}

} // namespace pumiceturn::joblog
