#include "LibJobLog/PartitionOwner.h"

#include "LibPartition/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace pumiceturn::joblog {

using base::ResultCode;
using partition::PartitionRecord;

namespace {

bool
Contains(const std::vector<std::string>& aHosts, std::string_view aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

} // namespace

PartitionOwner::Actions
PartitionOwner::Append(std::vector<std::string> aPayloads,
                       std::uint64_t aToken,
                       base::Instant aNow)
{
  Actions actions;
  if (phase_ != Phase::Owned) {
    const bool recovering = phase_ == Phase::Starting;
    actions.emplace_back(CompleteAppend{
      aToken, recovering ? ResultCode::Recovering : ResultCode::NotOwner });
    return actions;
  }
  if (isShort_) {
    actions.emplace_back(CompleteAppend{ aToken, ResultCode::TooFewCopies });
    return actions;
  }
  for (CopyProgress& copy : copies_) {
    if (copy.matched_ == log_.lastSequence_) {
      copy.heardAt_ = aNow;
    }
  }
  AppendEntries(std::move(aPayloads), actions);
  pending_.push_back(PendingAppend{ log_.lastSequence_, aToken, aNow });
  return actions;
}

PartitionOwner::Actions
PartitionOwner::Trim(std::uint64_t aBeforeSequence, base::Instant aNow)
{
  Actions actions;
  const std::uint64_t before = std::min(aBeforeSequence, acknowledged_ + 1);
  if (!IsActive() || before <= trimBefore_) {
    return actions;
  }
  trimBefore_ = before;
  CopyState state = log_.state_;
  state.previousEpoch_ = log_.EpochAt(before - 1);
  state.firstSequence_ = before;
  log_.Apply(state);
  for (CopyProgress& copy : copies_) {
    if (copy.isStreaming_) {
      copy.heardAt_ = aNow;
      actions.emplace_back(
        SendMessage{ copy.host_, MakeFrame(log_.lastSequence_) });
    }
  }
  return actions;
}

PartitionOwner::Actions
PartitionOwner::OnAppendAck(const std::string& aPeer,
                            const wire::AppendAck& aAck,
                            base::Instant aNow)
{
  Actions actions;
  if (epoch_ == 0) {
    return actions;
  }
  if (aAck.code_ == ResultCode::StaleEpoch && aAck.epoch_ > epoch_) {
    // A newer owner sealed that copy while this one was paused or cut off.
    Release(ResultCode::StaleEpoch, actions);
    return actions;
  }
  if (aAck.epoch_ != epoch_) {
    return actions;
  }
  if (phase_ == Phase::Fetching && aPeer == options_.self_) {
    OnFetchAck(aAck, actions);
    return actions;
  }
  CopyProgress* copy = FindCopy(aPeer);
  if (!IsActive() || copy == nullptr) {
    return actions;
  }
  copy->heardAt_ = aNow;
  if (aAck.code_ == ResultCode::Ok) {
    OnCopyMatched(*copy, aAck.durableSequence_, actions);
  } else if (aAck.code_ == ResultCode::LogGap && aPeer != options_.self_) {
    OnCopyGap(*copy, aAck.durableSequence_, actions);
  } else if (aAck.code_ == ResultCode::Recovering && aPeer != options_.self_) {
    // It has yet to read the key-value service; asked again when silent.
    copy->isStreaming_ = false;
    copy->awaitsAck_ = true;
  } else {
    OnCopyFailure(*copy, aAck.code_, actions);
  }
  Acknowledge(actions);
  BecomeOwnedIfReady(actions);
  HandOverIfDrained(actions);
  return actions;
}

PartitionOwner::Actions
PartitionOwner::OnLinkUp(const std::string& aPeer, base::Instant aNow)
{
  Actions actions;
  CopyProgress* copy = FindCopy(aPeer);
  if (!IsActive() || copy == nullptr || aPeer == options_.self_) {
    return actions;
  }
  // What was in flight on the connection before may be lost.
  copy->heardAt_ = aNow;
  copy->probe_ = copy->matched_ != 0 ? copy->matched_ : copy->probe_;
  SendProbe(*copy, actions);
  return actions;
}

void
PartitionOwner::OnSendRefused(const std::string& aPeer,
                              const wire::AppendFrame& aFrame)
{
  CopyProgress* copy = FindCopy(aPeer);
  if (copy == nullptr || aFrame.epoch_ != epoch_) {
    return;
  }
  // All before this frame left, so its answers open the queue again; the copy
  // goes on from there without sending anything twice.
  copy->isStreaming_ = false;
  copy->awaitsAck_ = true;
  copy->isRefused_ = true;
  copy->probe_ = aFrame.previousSequence_;
}

PartitionOwner::CopyProgress*
PartitionOwner::FindCopy(std::string_view aHost)
{
  const auto copy = std::find_if(
    copies_.begin(), copies_.end(), [&](const CopyProgress& aCopy) {
      return aCopy.host_ == aHost;
    });
  return copy == copies_.end() ? nullptr : &*copy;
}

const PartitionOwner::CopyProgress*
PartitionOwner::FindCopy(std::string_view aHost) const
{
  const auto copy = std::find_if(
    copies_.begin(), copies_.end(), [&](const CopyProgress& aCopy) {
      return aCopy.host_ == aHost;
    });
  return copy == copies_.end() ? nullptr : &*copy;
}

PartitionOwner::CopyProgress&
PartitionOwner::AddCopy(const std::string& aHost,
                        std::uint64_t aProbe,
                        base::Instant aNow)
{
  CopyProgress copy;
  copy.host_ = aHost;
  copy.probe_ = aProbe;
  copy.heardAt_ = aNow;
  return copies_.emplace_back(std::move(copy));
}

/// A host in a record whose swap is not resolved may already be a recorded
/// copy, that a takeover relies on.
bool
PartitionOwner::NeedsAckOf(std::string_view aHost) const
{
  return Contains(record_.copies_, aHost) ||
         (swap_ && Contains(swap_->record_.copies_, aHost));
}

void
PartitionOwner::AppendEntries(std::vector<std::string> aPayloads,
                              Actions& aActions)
{
  wire::AppendFrame frame = MakeFrame(log_.lastSequence_);
  for (std::string& payload : aPayloads) {
    wire::LogEntry entry{ log_.lastSequence_ + 1, epoch_, std::move(payload) };
    log_.Extend(entry.sequence_, entry.epoch_);
    recent_.push_back(entry);
    frame.entries_.push_back(std::move(entry));
  }
  for (const CopyProgress& copy : copies_) {
    if (copy.isStreaming_) {
      aActions.emplace_back(SendMessage{ copy.host_, frame });
    }
  }
}

wire::AppendFrame
PartitionOwner::MakeFrame(std::uint64_t aPrevious) const
{
  wire::AppendFrame frame;
  frame.partition_ = options_.partition_;
  frame.epoch_ = epoch_;
  frame.previousSequence_ = aPrevious;
  frame.previousEpoch_ = log_.EpochAt(aPrevious);
  frame.trimBefore_ = trimBefore_;
  frame.acknowledged_ = acknowledged_;
  return frame;
}

/// Finds out where a copy stands, and sends what it lacks from the own disk.
void
PartitionOwner::SendProbe(CopyProgress& aCopy, Actions& aActions)
{
  aCopy.probe_ = std::clamp(
    aCopy.probe_, log_.state_.firstSequence_ - 1, log_.lastSequence_);
  aCopy.isStreaming_ = false;
  aCopy.awaitsAck_ = true;
  aCopy.isRefused_ = false;
  aActions.emplace_back(SendLog{
    aCopy.host_, MakeFrame(aCopy.probe_), FindCopy(options_.self_)->matched_ });
}

/// Goes on with a copy that equals the log up to its probe.
void
PartitionOwner::ContinueCopy(CopyProgress& aCopy, Actions& aActions)
{
  const CopyProgress* own = FindCopy(options_.self_);
  if (aCopy.probe_ < own->matched_) {
    SendProbe(aCopy, aActions);
    return;
  }
  aCopy.isStreaming_ = true;
  aCopy.awaitsAck_ = false;
  aCopy.isRefused_ = false;
  if (aCopy.probe_ >= log_.lastSequence_) {
    return;
  }
  wire::AppendFrame frame = MakeFrame(aCopy.probe_);
  for (const wire::LogEntry& entry : recent_) {
    if (entry.sequence_ > aCopy.probe_) {
      frame.entries_.push_back(entry);
    }
  }
  aActions.emplace_back(SendMessage{ aCopy.host_, std::move(frame) });
}

void
PartitionOwner::OnCopyMatched(CopyProgress& aCopy,
                              std::uint64_t aSequence,
                              Actions& aActions)
{
  aCopy.matched_ = std::max(aCopy.matched_, aSequence);
  aCopy.failure_ = ResultCode::Ok;
  if (aCopy.host_ == options_.self_) {
    ForgetRecent();
    return;
  }
  // An answer to an earlier frame says nothing about the probe on its way.
  if (!aCopy.isStreaming_ && aSequence >= aCopy.probe_) {
    aCopy.probe_ = aSequence;
    ContinueCopy(aCopy, aActions);
  }
}

void
PartitionOwner::OnCopyGap(CopyProgress& aCopy,
                          std::uint64_t aSequence,
                          Actions& aActions)
{
  // Each frame behind a lost one is answered with the same gap; only the
  // first answer, or one that goes further back, needs another probe.
  if (aCopy.awaitsAck_ && aSequence >= aCopy.probe_) {
    return;
  }
  // A copy that came back with an empty data folder has less than before.
  aCopy.matched_ = std::min(aCopy.matched_, aSequence);
  aCopy.probe_ = aSequence;
  SendProbe(aCopy, aActions);
}

void
PartitionOwner::OnCopyFailure(CopyProgress& aCopy,
                              ResultCode aCode,
                              Actions& aActions)
{
  if (aCopy.host_ == options_.self_) {
    // The own log's end is in doubt. Another copy, or this host after it read
    // its disk again, goes on under a new epoch.
    Release(aCode, aActions);
    return;
  }
  aCopy.failure_ = aCode;
  aCopy.isStreaming_ = false;
  aCopy.awaitsAck_ = false;
}

void
PartitionOwner::ForgetRecent()
{
  const CopyProgress* own = FindCopy(options_.self_);
  while (!recent_.empty() && recent_.front().sequence_ <= own->matched_) {
    recent_.pop_front();
  }
}

void
PartitionOwner::Acknowledge(Actions& aActions)
{
  if (!IsActive() || record_.copies_.size() < options_.minCopies_ ||
      record_.copies_.empty()) {
    return;
  }
  std::uint64_t lowest = log_.lastSequence_;
  for (const CopyProgress& copy : copies_) {
    if (NeedsAckOf(copy.host_)) {
      lowest = std::min(lowest, copy.matched_);
    }
  }
  acknowledged_ = std::max(acknowledged_, lowest);
  while (!pending_.empty() && pending_.front().lastSequence_ <= acknowledged_) {
    aActions.emplace_back(
      CompleteAppend{ pending_.front().token_, ResultCode::Ok });
    pending_.pop_front();
  }
}

/// Sends again what a copy has not answered: the message or its answer may
/// have been lost with a connection, or refused by a full queue.
void
PartitionOwner::ResendToSilent(const FleetView& aFleet,
                               base::Instant aNow,
                               Actions& aActions)
{
  for (CopyProgress& copy : copies_) {
    const bool isBehind = copy.awaitsAck_ || copy.matched_ < log_.lastSequence_;
    if (copy.host_ == options_.self_ || !isBehind || !aFleet.IsUp(copy.host_) ||
        aNow - copy.heardAt_ < options_.resendAfter_) {
      continue;
    }
    copy.heardAt_ = aNow;
    copy.probe_ = copy.matched_ != 0 ? copy.matched_ : copy.probe_;
    SendProbe(copy, aActions);
  }
}

/// Ends appends that too few copies can hold, so that callers hear of it. Their
/// entries stay in the log, and may be replayed.
void
PartitionOwner::ExpireAppends(base::Instant aNow, Actions& aActions)
{
  while (!pending_.empty() && (isShort_ || aNow - pending_.front().startedAt_ >=
                                             options_.appendTimeout_)) {
    aActions.emplace_back(
      CompleteAppend{ pending_.front().token_, ResultCode::TooFewCopies });
    pending_.pop_front();
  }
}

bool
PartitionOwner::IsCopyLost(std::string_view aHost,
                           const FleetView& aFleet,
                           base::Instant aNow) const
{
  if (aHost == options_.self_) {
    return false;
  }
  const CopyProgress* copy = FindCopy(aHost);
  return aFleet.LostFor(aHost, aNow) >= options_.copyLostAfter_ ||
         (copy != nullptr && copy->failure_ != ResultCode::Ok);
}

/// Records the copies that hold the log now, where that differs from the
/// record. Until the swap is resolved, the copies of both records must
/// acknowledge; so none is ever recorded that lacks an acknowledged entry.
void
PartitionOwner::RepairCopies(const FleetView& aFleet,
                             base::Instant aNow,
                             Actions& aActions)
{
  if (swap_) {
    return;
  }
  const std::vector<std::string> chosen = ChooseCopies(aFleet, aNow);
  const std::set<std::string> wanted(chosen.begin(), chosen.end());
  const std::set<std::string> recorded(record_.copies_.begin(),
                                       record_.copies_.end());
  if (wanted == recorded || wanted.size() < options_.minCopies_) {
    return;
  }
  PartitionRecord record = record_;
  record.copies_ = chosen;
  BeginSwap(std::move(record), SwapPurpose::Copies, aActions);
}

std::vector<std::string>
PartitionOwner::ChooseCopies(const FleetView& aFleet, base::Instant aNow) const
{
  std::vector<std::string> chosen;
  std::vector<std::string> leaving;
  std::set<std::string> domains;
  const auto choose = [&](const std::string& aHost) {
    chosen.push_back(aHost);
    domains.insert(aFleet.DomainOf(aHost));
  };
  choose(options_.self_);
  for (const std::string& host : record_.copies_) {
    if (host == options_.self_ || IsCopyLost(host, aFleet, aNow)) {
      continue;
    }
    const KeeperView* keeper = aFleet.Find(host);
    if (keeper != nullptr && keeper->isLeaving_) {
      leaving.push_back(host);
    } else {
      choose(host);
    }
  }
  for (const CopyProgress& copy : copies_) {
    // A copy is caught up when nothing acknowledged is missing in it.
    if (chosen.size() < options_.copies_ &&
        !Contains(record_.copies_, copy.host_) &&
        !Contains(chosen, copy.host_) && copy.isStreaming_ &&
        copy.matched_ >= std::max(acknowledged_, epochStart_) &&
        !IsCopyLost(copy.host_, aFleet, aNow) &&
        !domains.contains(aFleet.DomainOf(copy.host_))) {
      choose(copy.host_);
    }
  }
  for (const std::string& host : leaving) {
    if (chosen.size() < options_.copies_) {
      choose(host);
    }
  }
  return chosen;
}

/// Begins to fill copies on further keepers, each in a failure domain of its
/// own, where fewer than wanted are alive.
void
PartitionOwner::RecruitCopies(const FleetView& aFleet,
                              base::Instant aNow,
                              Actions& aActions)
{
  const auto alive = std::count_if(
    record_.copies_.begin(), record_.copies_.end(), [&](const auto& aHost) {
      return !IsCopyLost(aHost, aFleet, aNow);
    });
  // A copy that failed stays listed, so that the same host is not chosen again
  // at once; it is asked from time to time.
  std::erase_if(copies_, [&](const CopyProgress& aCopy) {
    const bool isNeeded =
      aCopy.host_ == options_.self_ || NeedsAckOf(aCopy.host_);
    return !isNeeded && (!aFleet.IsUp(aCopy.host_) ||
                         static_cast<std::uint32_t>(alive) >= options_.copies_);
  });
  std::set<std::string> domains;
  for (const CopyProgress& copy : copies_) {
    const KeeperView* keeper = aFleet.Find(copy.host_);
    const bool isLeaving =
      keeper != nullptr && keeper->isLeaving_ && copy.host_ != options_.self_;
    if (!isLeaving && !IsCopyLost(copy.host_, aFleet, aNow)) {
      domains.insert(aFleet.DomainOf(copy.host_));
    }
  }
  std::vector<std::string> spares;
  for (const KeeperView& keeper : aFleet.keepers_) {
    if (keeper.isUp_ && !keeper.isLeaving_ &&
        FindCopy(keeper.host_) == nullptr) {
      spares.push_back(keeper.host_);
    }
  }
  partition::SortByRendezvous(options_.partition_, spares);
  for (const std::string& host : spares) {
    if (domains.size() < options_.copies_ &&
        domains.insert(aFleet.DomainOf(host)).second) {
      SendProbe(AddCopy(host, log_.lastSequence_, aNow), aActions);
    }
  }
  isShort_ = domains.size() < options_.minCopies_;
}

bool
PartitionOwner::IsQuiet() const
{
  if (phase_ == Phase::Following) {
    return true;
  }
  const bool isSettled = phase_ == Phase::Owned && !swap_ && !isShort_ &&
                         pending_.empty() &&
                         record_.copies_.size() >= options_.copies_ &&
                         record_.copies_.size() == copies_.size();
  return isSettled &&
         std::all_of(
           copies_.begin(), copies_.end(), [this](const CopyProgress& aCopy) {
             return aCopy.isStreaming_ && aCopy.matched_ == log_.lastSequence_;
           });
}

void
PartitionOwner::DropUnrecorded()
{
  std::erase_if(copies_, [this](const CopyProgress& aCopy) {
    return aCopy.host_ != options_.self_ && !NeedsAckOf(aCopy.host_);
  });
}

} // namespace pumiceturn::joblog
