#include "LibJobLog/PartitionOwner.h"

#include "LibJobLog/EpochStarted.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace pumiceturn::joblog {

using base::ResultCode;
using partition::PartitionRecord;

namespace {

constexpr std::uint32_t kFetchBytes = 1U << 20U;

} // namespace

PartitionOwner::PartitionOwner(Options aOptions)
  : options_(std::move(aOptions))
{
  record_.partition_ = options_.partition_;
}

PartitionOwner::Actions
PartitionOwner::Claim(const FleetView& aFleet, base::Instant aNow)
{
  Actions actions;
  if (phase_ != Phase::Following) {
    return actions;
  }
  PartitionRecord claim = record_;
  claim.owner_ = options_.self_;
  claim.epoch_ = record_.epoch_ + 1;
  // A lost copy is left out at once where enough remain, which saves a second
  // write before the first acknowledgement.
  std::erase_if(claim.copies_, [&](const std::string& aHost) {
    return aHost != options_.self_ &&
           aFleet.LostFor(aHost, aNow) >= options_.copyLostAfter_;
  });
  if (claim.copies_.size() < options_.minCopies_) {
    claim.copies_ = record_.copies_;
  }
  phase_ = Phase::Claiming;
  BeginSwap(std::move(claim), SwapPurpose::Claim, actions);
  return actions;
}

PartitionOwner::Actions
PartitionOwner::HandOver(const std::string& aSuccessor)
{
  Actions actions;
  if (phase_ != Phase::Following && phase_ != Phase::Owned) {
    return actions;
  }
  phase_ = Phase::Leaving;
  successor_ = aSuccessor;
  HandOverIfDrained(actions);
  return actions;
}

PartitionOwner::Actions
PartitionOwner::OnRecord(const PartitionRecord& aRecord,
                         const FleetView& aFleet,
                         base::Instant aNow)
{
  if (aRecord.modRevision_ <= record_.modRevision_) {
    return {};
  }
  if (swap_ && swap_->record_.writeId_ == aRecord.writeId_) {
    // The watch was faster than the answer to the write.
    return OnSwapApplied(aRecord.writeId_, aRecord.modRevision_, aFleet, aNow);
  }
  // The record changed under a pending swap, which expects the revision before
  // and so cannot take effect any more.
  Actions actions;
  swap_.reset();
  record_ = aRecord;
  if (epoch_ == 0) {
    phase_ = Phase::Following;
  } else if (aRecord.epoch_ > epoch_) {
    Release(ResultCode::StaleEpoch, actions);
  }
  return actions;
}

PartitionOwner::Actions
PartitionOwner::OnSwapApplied(const std::string& aWriteId,
                              std::uint64_t aModRevision,
                              const FleetView& aFleet,
                              base::Instant aNow)
{
  Actions actions;
  if (!swap_ || swap_->record_.writeId_ != aWriteId) {
    return actions;
  }
  const SwapPurpose purpose = swap_->purpose_;
  record_ = std::move(swap_->record_);
  record_.modRevision_ = aModRevision;
  swap_.reset();
  switch (purpose) {
    case SwapPurpose::Claim:
      epoch_ = record_.epoch_;
      BeginSealing(aFleet, aNow, actions);
      break;
    case SwapPurpose::Copies:
      DropUnrecorded();
      Acknowledge(actions);
      BecomeOwnedIfReady(actions);
      break;
    case SwapPurpose::HandOver:
      Release(ResultCode::NotOwner, actions);
      break;
  }
  return actions;
}

PartitionOwner::Actions
PartitionOwner::OnSwapRefused(const std::string& aWriteId,
                              const PartitionRecord& aCurrent,
                              const FleetView& aFleet,
                              base::Instant aNow)
{
  Actions actions;
  if (!swap_ || swap_->record_.writeId_ != aWriteId) {
    return actions;
  }
  actions = OnRecord(aCurrent, aFleet, aNow);
  if (!swap_) {
    return actions;
  }
  // Refused without a newer record: the key was deleted. Begin from what is
  // there.
  swap_.reset();
  record_.modRevision_ = aCurrent.modRevision_;
  Release(ResultCode::StaleEpoch, actions);
  return actions;
}

void
PartitionOwner::BeginSwap(PartitionRecord aRecord,
                          SwapPurpose aPurpose,
                          Actions& aActions)
{
  assert(!swap_);
  aRecord.writeId_ = fmt::format(
    "{}-{}-{}", options_.self_, options_.incarnation_, nextWrite_++);
  swap_ = PendingSwap{ aRecord, aPurpose };
  aActions.emplace_back(SwapRecord{ std::move(aRecord) });
}

/// Stops the owner before: it needs every recorded copy, and the own one
/// refuses it from now on. The others are sealed as well, so that the longest
/// log goes on even if a disk lost the end of one.
void
PartitionOwner::BeginSealing(const FleetView& aFleet,
                             base::Instant aNow,
                             Actions& aActions)
{
  phase_ = Phase::Sealing;
  sealed_.clear();
  sealAsked_ = { options_.self_ };
  for (const std::string& host : record_.copies_) {
    if (host != options_.self_ && aFleet.IsUp(host)) {
      sealAsked_.push_back(host);
    }
  }
  sealDeadline_ = aNow + options_.sealWait_;
  for (const std::string& host : sealAsked_) {
    aActions.emplace_back(SendMessage{
      host, wire::SealPartition{ epoch_, options_.partition_, epoch_ } });
  }
}

PartitionOwner::Actions
PartitionOwner::OnSealReply(const std::string& aPeer,
                            const wire::SealReply& aReply,
                            base::Instant aNow)
{
  Actions actions;
  if (phase_ != Phase::Sealing || aReply.call_ != epoch_) {
    return actions;
  }
  if (aReply.code_ == ResultCode::StaleEpoch && aReply.epoch_ > epoch_) {
    Release(ResultCode::StaleEpoch, actions);
    return actions;
  }
  const bool isKnown =
    std::any_of(sealed_.begin(), sealed_.end(), [&](const SealedCopy& aCopy) {
      return aCopy.host_ == aPeer;
    });
  if (!isKnown) {
    sealed_.push_back(SealedCopy{ aPeer, aReply });
  }
  if (sealed_.size() == sealAsked_.size()) {
    FinishSealing(aNow, actions);
  }
  return actions;
}

void
PartitionOwner::FinishSealing(base::Instant aNow, Actions& aActions)
{
  const auto own = std::find_if(
    sealed_.begin(), sealed_.end(), [this](const SealedCopy& aCopy) {
      return aCopy.host_ == options_.self_;
    });
  if (own == sealed_.end()) {
    return;
  }
  if (record_.copies_.empty()) {
    LoadOwnLog(aActions);
    return;
  }
  if (own->reply_.code_ != ResultCode::Ok) {
    Release(own->reply_.code_, aActions);
    return;
  }
  const SealedCopy* longest = &*own;
  for (const SealedCopy& copy : sealed_) {
    if (copy.reply_.code_ == ResultCode::Ok &&
        std::tie(copy.reply_.lastEpoch_, copy.reply_.lastSequence_) >
          std::tie(longest->reply_.lastEpoch_, longest->reply_.lastSequence_)) {
      longest = &copy;
    }
  }
  if (longest->host_ == options_.self_) {
    LoadOwnLog(aActions);
    return;
  }
  phase_ = Phase::Fetching;
  fetchFrom_ = longest->host_;
  fetchLast_ = longest->reply_.lastSequence_;
  fetchProbe_ = std::min(own->reply_.lastSequence_, fetchLast_);
  sealDeadline_ = aNow + options_.resendAfter_;
  FetchNext(aActions);
}

void
PartitionOwner::FetchNext(Actions& aActions)
{
  aActions.emplace_back(
    SendMessage{ fetchFrom_,
                 wire::FetchLog{ epoch_,
                                 options_.partition_,
                                 epoch_,
                                 std::max<std::uint64_t>(fetchProbe_, 1),
                                 kFetchBytes } });
}

PartitionOwner::Actions
PartitionOwner::OnLogPage(const std::string& aPeer, const wire::LogPage& aPage)
{
  Actions actions;
  if (phase_ != Phase::Fetching || aPeer != fetchFrom_ ||
      aPage.call_ != epoch_) {
    return actions;
  }
  const bool isAnswer =
    !aPage.entries_.empty() &&
    aPage.entries_.front().sequence_ == std::max<std::uint64_t>(fetchProbe_, 1);
  if (aPage.code_ != ResultCode::Ok || !isAnswer) {
    // The own copy holds all that was acknowledged; the rest is optional.
    LoadOwnLog(actions);
    return actions;
  }
  wire::AppendFrame frame;
  frame.partition_ = options_.partition_;
  frame.epoch_ = epoch_;
  frame.entries_ = aPage.entries_;
  if (fetchProbe_ > 0) {
    frame.previousSequence_ = fetchProbe_;
    frame.previousEpoch_ = aPage.entries_.front().epoch_;
    frame.entries_.erase(frame.entries_.begin());
  }
  actions.emplace_back(SendMessage{ options_.self_, std::move(frame) });
  return actions;
}

void
PartitionOwner::OnFetchAck(const wire::AppendAck& aAck, Actions& aActions)
{
  if (aAck.code_ == ResultCode::LogGap && fetchProbe_ > 0) {
    fetchProbe_ = std::min(aAck.durableSequence_, fetchProbe_ - 1);
    FetchNext(aActions);
    return;
  }
  if (aAck.code_ != ResultCode::Ok) {
    Release(aAck.code_, aActions);
    return;
  }
  const bool isDone = aAck.durableSequence_ >= fetchLast_;
  const bool isStuck = aAck.durableSequence_ <= fetchProbe_;
  fetchProbe_ = aAck.durableSequence_;
  if (isDone || isStuck) {
    LoadOwnLog(aActions);
    return;
  }
  FetchNext(aActions);
}

void
PartitionOwner::LoadOwnLog(Actions& aActions)
{
  phase_ = Phase::Starting;
  epochStart_ = 0;
  aActions.emplace_back(LoadLog{});
}

PartitionOwner::Actions
PartitionOwner::OnLogLoaded(CopySummary aLog, base::Instant aNow)
{
  Actions actions;
  if (phase_ != Phase::Starting || epochStart_ != 0) {
    return actions;
  }
  // Without a recorded copy nothing was ever acknowledged, and whatever the
  // disk holds is of an epoch that never served.
  log_ = record_.copies_.empty() ? CopySummary{} : std::move(aLog);
  const std::uint64_t last = log_.lastSequence_;
  trimBefore_ = log_.state_.firstSequence_;
  // All of it may have been acknowledged by owners before.
  acknowledged_ = last;
  epochStart_ = last + 1;
  copies_.clear();
  recent_.clear();
  CopyProgress& own = AddCopy(options_.self_, last, aNow);
  own.matched_ = last;
  own.isStreaming_ = true;
  for (const std::string& host : record_.copies_) {
    if (host == options_.self_) {
      continue;
    }
    std::uint64_t probe = last;
    for (const SealedCopy& copy : sealed_) {
      if (copy.host_ == host) {
        probe = std::min(last, copy.reply_.lastSequence_);
      }
    }
    SendProbe(AddCopy(host, probe, aNow), actions);
  }
  isReported_ = true;
  isReplayed_ = false;
  actions.emplace_back(ReplayLog{ epoch_, log_.state_.firstSequence_, last });
  AppendEntries({ EncodeEpochStarted(epoch_, options_.self_) }, actions);
  return actions;
}

PartitionOwner::Actions
PartitionOwner::OnReplayed()
{
  Actions actions;
  if (phase_ == Phase::Starting) {
    isReplayed_ = true;
    BecomeOwnedIfReady(actions);
  }
  return actions;
}

void
PartitionOwner::BecomeOwnedIfReady(Actions& aActions)
{
  if (phase_ != Phase::Starting || epochStart_ == 0 || !isReplayed_ ||
      acknowledged_ < epochStart_) {
    return;
  }
  phase_ = Phase::Owned;
  aActions.emplace_back(ReportOwned{ epoch_ });
}

/// Ends the ownership. Appends that are not acknowledged may still be replayed
/// by a later owner.
void
PartitionOwner::Release(ResultCode aCode, Actions& aActions)
{
  for (const PendingAppend& append : pending_) {
    aActions.emplace_back(CompleteAppend{ append.token_, aCode });
  }
  pending_.clear();
  recent_.clear();
  copies_.clear();
  sealed_.clear();
  log_ = CopySummary{};
  phase_ = Phase::Following;
  epoch_ = 0;
  epochStart_ = 0;
  isReplayed_ = false;
  // A pending swap of copies stays out of the way: OnRecord() or the refusal
  // of the next claim shows whether it took effect.
  swap_.reset();
  if (std::exchange(isReported_, false)) {
    aActions.emplace_back(ReportReleased{});
  }
}

void
PartitionOwner::HandOverIfDrained(Actions& aActions)
{
  if (phase_ != Phase::Leaving || !pending_.empty() || swap_) {
    return;
  }
  PartitionRecord record = record_;
  record.owner_ = successor_;
  record.epoch_ = record_.epoch_ + 1;
  BeginSwap(std::move(record), SwapPurpose::HandOver, aActions);
}

bool
PartitionOwner::IsActive() const
{
  return epoch_ != 0 && epochStart_ != 0;
}

PartitionOwner::Actions
PartitionOwner::Tick(const FleetView& aFleet, base::Instant aNow)
{
  Actions actions;
  if (phase_ == Phase::Sealing && aNow >= sealDeadline_) {
    FinishSealing(aNow, actions);
  }
  if (phase_ == Phase::Fetching && aNow >= sealDeadline_) {
    sealDeadline_ = aNow + options_.resendAfter_;
    if (aFleet.IsUp(fetchFrom_)) {
      FetchNext(actions);
    } else {
      LoadOwnLog(actions);
    }
  }
  if (!IsActive()) {
    return actions;
  }
  ResendToSilent(aFleet, aNow, actions);
  RecruitCopies(aFleet, aNow, actions);
  RepairCopies(aFleet, aNow, actions);
  ExpireAppends(aNow, actions);
  HandOverIfDrained(actions);
  return actions;
}

std::string
PartitionOwner::Describe(base::Instant aNow) const
{
  std::string text = fmt::format(
    "phase {} epoch {} record {} {} {} {} start {} replayed {} ack {} last {} "
    "trim {} short {} recent {} fetch {} {} {} swap {}",
    static_cast<int>(phase_),
    epoch_,
    record_.owner_,
    record_.epoch_,
    fmt::join(record_.copies_, ","),
    record_.modRevision_,
    epochStart_,
    isReplayed_,
    acknowledged_,
    log_.lastSequence_,
    trimBefore_,
    isShort_,
    recent_.size(),
    fetchFrom_,
    fetchLast_,
    fetchProbe_,
    swap_ ? swap_->record_.writeId_ : "none");
  if (phase_ == Phase::Sealing || phase_ == Phase::Fetching) {
    text += fmt::format("; due {}", aNow >= sealDeadline_);
  }
  for (const PendingAppend& append : pending_) {
    text += fmt::format("; pending {} {}",
                        append.lastSequence_,
                        base::ToMs(aNow - append.startedAt_));
  }
  for (const CopyProgress& copy : copies_) {
    text += fmt::format("; copy {} {} {} {} {} {} {} {}",
                        copy.host_,
                        copy.matched_,
                        copy.probe_,
                        copy.isStreaming_,
                        copy.awaitsAck_,
                        copy.isRefused_,
                        static_cast<int>(copy.failure_),
                        aNow - copy.heardAt_ >= options_.resendAfter_);
  }
  for (const SealedCopy& copy : sealed_) {
    text += fmt::format("; sealed {} {} {}",
                        copy.host_,
                        copy.reply_.lastSequence_,
                        copy.reply_.lastEpoch_);
  }
  for (const EpochRun& run : log_.runs_) {
    text += fmt::format("; run {} {}", run.firstSequence_, run.epoch_);
  }
  return text;
}

} // namespace pumiceturn::joblog
