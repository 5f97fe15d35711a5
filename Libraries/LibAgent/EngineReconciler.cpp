#include "LibAgent/EngineReconciler.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace pumiceturn::agent {

using base::ResultCode;

namespace {

constexpr base::Duration kInitialBackoff{ std::chrono::seconds{ 1 } };
constexpr std::uint32_t kMaxBackoffDoublings = 5;
constexpr base::Duration kReapplyInterval{ std::chrono::minutes{ 5 } };

bool
HaveEqualCommands(const std::vector<endpoint::EngineCommand>& aLeft,
                  const std::vector<endpoint::EngineCommand>& aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](const auto& aOne, const auto& aOther) {
      return aOne.type_ == aOther.type_ && aOne.name_ == aOther.name_ &&
             aOne.version_ == aOther.version_;
    });
}

} // namespace

std::string
FormatFenceRecord(const FenceRecord& aRecord)
{
  return std::to_string(aRecord.fence_) + " " +
         std::to_string(aRecord.configurationVersion_) + " " +
         aRecord.processId_;
}

base::Result<FenceRecord>
ParseFenceRecord(std::string_view aText)
{
  std::istringstream text{ std::string(aText) };
  FenceRecord record;
  std::string rest;
  const bool isComplete = static_cast<bool>(
    text >> record.fence_ >> record.configurationVersion_ >> record.processId_);
  if (!isComplete || (text >> rest)) {
    return base::Fail(ResultCode::CorruptRecord, "malformed fence record");
  }
  return record;
}

void
EngineReconciler::SetDesiredState(DesiredState aDesired, base::Instant aNow)
{
  if (aDesired.version_ < desired_.version_) {
    return;
  }
  const bool hasSameCommands =
    stage_ != Stage::Idle &&
    HaveEqualCommands(aDesired.commands_, desired_.commands_);
  desired_ = std::move(aDesired);
  const bool canResume =
    stage_ == Stage::Superseded &&
    desired_.version_ > lastRead_.record_.configurationVersion_;
  if (hasSameCommands && !canResume) {
    return;
  }
  failures_ = 0;
  ownFence_ = {}; // A changed state needs a new fencing number.
  stage_ = Stage::NeedsRead;
  notBefore_ = hasSettled_ ? aNow + desired_.delay_ : aNow;
}

void
EngineReconciler::OnEngineRestarted(base::Instant aNow)
{
  if (stage_ == Stage::Settled) {
    stage_ = Stage::NeedsRead;
    notBefore_ = aNow;
  }
}

std::optional<ReconcileStep>
EngineReconciler::Next(base::Instant aNow) const
{
  if (aNow < notBefore_) {
    return std::nullopt;
  }
  switch (stage_) {
    case Stage::Idle:
    case Stage::Superseded:
      return std::nullopt;
    case Stage::Settled:
    case Stage::NeedsRead:
      return ReadFence{};
    case Stage::NeedsSwap: {
      const FenceRecord next{ lastRead_.record_.fence_ + 1,
                              desired_.version_,
                              processId_ };
      return SwapFence{ next, lastRead_.revision_ };
    }
    case Stage::NeedsCommand: {
      SendCommand send{ desired_.commands_[nextCommand_] };
      send.command_.fence_ = ownFence_.fence_;
      return send;
    }
  }
  return std::nullopt;
}

void
EngineReconciler::OnFenceRead(const base::Outcome<FenceReading>& aReading,
                              base::Instant aNow)
{
  const auto* reading = std::get_if<FenceReading>(&aReading);
  if (reading == nullptr) {
    RetryAfterBackoff(aNow);
    return;
  }
  lastRead_ = *reading;
  const FenceRecord& record = lastRead_.record_;
  const bool isOwn = record.processId_ == processId_;
  if (record.configurationVersion_ > desired_.version_ ||
      (ownFence_.fence_ != 0 && !isOwn)) {
    stage_ = Stage::Superseded;
    return;
  }
  // A fencing number that this process acquired for an older configuration is
  // not valid for the current one. This occurs after a swap whose response was
  // lost.
  const bool isOwnFence =
    isOwn && (ownFence_.fence_ == record.fence_ ||
              record.configurationVersion_ == desired_.version_);
  if (!isOwnFence) {
    EnterStageOrIdle(Stage::NeedsSwap);
    return;
  }
  ownFence_ = record;
  nextCommand_ = 0;
  EnterStageOrIdle(Stage::NeedsCommand);
}

void
EngineReconciler::OnFenceSwapped(ResultCode aCode,
                                 std::uint64_t aRevision,
                                 base::Instant aNow)
{
  if (aCode != ResultCode::Ok) {
    // After a conflict or a lost response, the write id in the record shows
    // whether the swap took effect.
    RetryAfterBackoff(aNow);
    return;
  }
  ownFence_ = { lastRead_.record_.fence_ + 1, desired_.version_, processId_ };
  lastRead_ = { ownFence_, aRevision };
  nextCommand_ = 0;
  EnterStageOrIdle(Stage::NeedsCommand);
}

void
EngineReconciler::OnCommandSent(ResultCode aCode, base::Instant aNow)
{
  if (aCode != ResultCode::Ok) {
    RetryAfterBackoff(aNow);
    return;
  }
  ++nextCommand_;
  failures_ = 0;
  if (nextCommand_ < desired_.commands_.size()) {
    return;
  }
  hasSettled_ = true;
  stage_ = Stage::Settled;
  notBefore_ = aNow + kReapplyInterval;
}

void
EngineReconciler::RetryAfterBackoff(base::Instant aNow)
{
  const std::uint32_t doublings = std::min(failures_, kMaxBackoffDoublings);
  ++failures_;
  stage_ = Stage::NeedsRead;
  notBefore_ = aNow + kInitialBackoff * (1U << doublings);
}

void
EngineReconciler::EnterStageOrIdle(Stage aStage)
{
  // Without commands no fence is needed.
  if (desired_.commands_.empty()) {
    stage_ = Stage::Idle;
    return;
  }
  stage_ = aStage;
}

} // namespace pumiceturn::agent
