#include "LibAgent/OrderKeeper.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace pumiceturn::agent {

using base::ResultCode;

namespace {

constexpr base::Duration kFirstWait{ std::chrono::seconds{ 1 } };
constexpr std::uint32_t kMaxDoublings = 5;
constexpr base::Duration kRepeatOrders{ std::chrono::minutes{ 5 } };

bool
AreSame(const std::vector<endpoint::EngineOrder>& aLeft,
        const std::vector<endpoint::EngineOrder>& aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](const auto& aOne, const auto& aOther) {
      return aOne.type_ == aOther.type_ && aOne.name_ == aOther.name_ &&
             aOne.version_ == aOther.version_;
    });
}

} // namespace

std::string
WriteFenceRecord(const FenceRecord& aRecord)
{
  return std::to_string(aRecord.fence_) + " " +
         std::to_string(aRecord.configurationVersion_) + " " + aRecord.writeId_;
}

base::Result<FenceRecord>
ParseFenceRecord(std::string_view aText)
{
  std::istringstream text{ std::string(aText) };
  FenceRecord record;
  std::string rest;
  const bool isWhole = static_cast<bool>(
    text >> record.fence_ >> record.configurationVersion_ >> record.writeId_);
  if (!isWhole || (text >> rest)) {
    return base::Fail(ResultCode::CorruptRecord, "fence record");
  }
  return record;
}

void
OrderKeeper::SetDeclared(Declared aDeclared, base::Instant aNow)
{
  if (aDeclared.version_ < declared_.version_) {
    return;
  }
  const bool isUnchanged =
    stage_ != Stage::Idle && AreSame(aDeclared.orders_, declared_.orders_);
  declared_ = std::move(aDeclared);
  const bool mayActAgain =
    stage_ == Stage::Superseded &&
    declared_.version_ > read_.record_.configurationVersion_;
  if (isUnchanged && !mayActAgain) {
    return;
  }
  failures_ = 0;
  held_ = {}; // A change takes a number of its own.
  stage_ = Stage::MustRead;
  notBefore_ = hasSettled_ ? aNow + declared_.delay_ : aNow;
}

void
OrderKeeper::OnEngineRestarted(base::Instant aNow)
{
  if (stage_ == Stage::Settled) {
    stage_ = Stage::MustRead;
    notBefore_ = aNow;
  }
}

std::optional<OrderStep>
OrderKeeper::Next(base::Instant aNow) const
{
  if (aNow < notBefore_) {
    return std::nullopt;
  }
  switch (stage_) {
    case Stage::Idle:
    case Stage::Superseded:
      return std::nullopt;
    case Stage::Settled:
    case Stage::MustRead:
      return ReadFence{};
    case Stage::MustSwap: {
      const FenceRecord next{ read_.record_.fence_ + 1,
                              declared_.version_,
                              writeId_ };
      return SwapFence{ next, read_.revision_ };
    }
    case Stage::MustOrder: {
      SendOrder send{ declared_.orders_[nextOrder_] };
      send.order_.fence_ = held_.fence_;
      return send;
    }
  }
  return std::nullopt;
}

void
OrderKeeper::OnFenceRead(const base::Outcome<FenceReading>& aReading,
                         base::Instant aNow)
{
  const auto* reading = std::get_if<FenceReading>(&aReading);
  if (reading == nullptr) {
    WaitThenRead(aNow);
    return;
  }
  read_ = *reading;
  const FenceRecord& record = read_.record_;
  const bool isOwn = record.writeId_ == writeId_;
  if (record.configurationVersion_ > declared_.version_ ||
      (held_.fence_ != 0 && !isOwn)) {
    stage_ = Stage::Superseded;
    return;
  }
  // Its own number for an older declaration (a swap whose answer was lost, or
  // one change after another) does not cover this one.
  const bool isHeld =
    isOwn && (held_.fence_ == record.fence_ ||
              record.configurationVersion_ == declared_.version_);
  if (!isHeld) {
    GoOn(Stage::MustSwap);
    return;
  }
  held_ = record;
  nextOrder_ = 0;
  GoOn(Stage::MustOrder);
}

void
OrderKeeper::OnFenceSwapped(ResultCode aCode,
                            std::uint64_t aRevision,
                            base::Instant aNow)
{
  if (aCode != ResultCode::Ok) {
    // Conflict, or an answer that was lost: the record says by its write id
    // whether the swap took effect.
    WaitThenRead(aNow);
    return;
  }
  held_ = { read_.record_.fence_ + 1, declared_.version_, writeId_ };
  read_ = { held_, aRevision };
  nextOrder_ = 0;
  GoOn(Stage::MustOrder);
}

void
OrderKeeper::OnOrderSent(ResultCode aCode, base::Instant aNow)
{
  if (aCode != ResultCode::Ok) {
    WaitThenRead(aNow);
    return;
  }
  ++nextOrder_;
  failures_ = 0;
  if (nextOrder_ < declared_.orders_.size()) {
    return;
  }
  hasSettled_ = true;
  stage_ = Stage::Settled;
  notBefore_ = aNow + kRepeatOrders;
}

void
OrderKeeper::WaitThenRead(base::Instant aNow)
{
  const std::uint32_t doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  stage_ = Stage::MustRead;
  notBefore_ = aNow + kFirstWait * (1U << doublings);
}

void
OrderKeeper::GoOn(Stage aStage)
{
  // Without orders there is nothing to take a number for.
  if (declared_.orders_.empty()) {
    stage_ = Stage::Idle;
    return;
  }
  stage_ = aStage;
}

} // namespace pumiceturn::agent
