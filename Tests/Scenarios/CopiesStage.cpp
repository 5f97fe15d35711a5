#include "Scenarios/CopiesStage.h"

#include "Scenarios/Names.h"

#include <algorithm>

namespace pumiceturn::scenarios {

CopiesStage::CopiesStage(Arguments& /*aArguments*/)
{
  for (const char* name : { "copy-1", "copy-2" }) {
    Copy& copy = copies_[name];
    copy.replica_ =
      std::make_unique<joblog::PartitionReplica>(0U, joblog::CopySummary{});
    copy.replica_->OnRecordedEpoch(0);
  }
  owners_["keeper-1"].epoch_ = 1;
}

void
CopiesStage::Call(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  const std::string owner = aArguments.Text("owner", "keeper-1");
  entries_[name] = { owner, owners_.at(owner).log_.size() + 1, false };
  Append(owner, name);
}

void
CopiesStage::Append(const std::string& aOwner, const std::string& aPayload)
{
  Owner& owner = owners_.at(aOwner);
  const std::uint64_t previous = owner.log_.size();
  owner.log_.push_back({ previous + 1, owner.epoch_, aPayload });
  for (const auto& [name, copy] : copies_) {
    SendFrom(aOwner, name, previous);
  }
}

void
CopiesStage::SendFrom(const std::string& aOwner,
                      const std::string& aCopy,
                      std::uint64_t aPrevious)
{
  const Owner& owner = owners_.at(aOwner);
  Copy& copy = copies_.at(aCopy);
  if (copy.cutOffFrom_.contains(aOwner) || copy.cutOffFrom_.contains("all")) {
    return;
  }
  wire::AppendFrame frame;
  frame.epoch_ = owner.epoch_;
  frame.previousSequence_ = aPrevious;
  frame.previousEpoch_ =
    aPrevious == 0 ? 0 : owner.log_.at(aPrevious - 1).epoch_;
  frame.entries_.assign(owner.log_.begin() +
                          static_cast<std::ptrdiff_t>(aPrevious),
                        owner.log_.end());
  Do(aCopy, copy.replica_->OnAppend(aOwner, std::move(frame)));
}

void
CopiesStage::Submit(Arguments& /*aArguments*/)
{
  throw ScenarioError("copies have no lots");
}

void
CopiesStage::Fault(Arguments& aArguments)
{
  if (aArguments.Has("takes_over")) {
    TakeOver(aArguments);
  }
  if (aArguments.Has("disk_slow")) {
    copies_.at(aArguments.Text("disk_slow")).isSlow_ = true;
  }
  if (aArguments.Has("disk_ok")) {
    const std::string name = aArguments.Text("disk_ok");
    copies_.at(name).isSlow_ = false;
    EndWrites(name);
  }
  if (aArguments.Has("cut_off")) {
    copies_.at(aArguments.Text("cut_off"))
      .cutOffFrom_.insert(aArguments.Text("from", "all"));
  }
  if (aArguments.Has("back")) {
    const std::string name = aArguments.Text("back");
    copies_.at(name).cutOffFrom_.clear();
    for (const auto& [owner, state] : owners_) {
      SendFrom(owner, name, state.log_.size());
    }
  }
}

/// Another owner seals one copy, takes over what it holds and begins its epoch.
void
CopiesStage::TakeOver(Arguments& aArguments)
{
  const std::string name = aArguments.Text("takes_over");
  const std::string sealed = aArguments.Text("seals");
  Owner& owner = owners_[name];
  owner.epoch_ = aArguments.Number("epoch", 2);
  Copy& copy = copies_.at(sealed);
  wire::SealPartition seal;
  seal.epoch_ = owner.epoch_;
  Do(sealed, copy.replica_->OnSeal(name, seal));
  owner.log_ = copy.disk_;
  Append(name, "epoch started");
}

void
CopiesStage::Do(const std::string& aCopy,
                const joblog::PartitionReplica::Actions& aActions)
{
  for (const joblog::ReplicaAction& action : aActions) {
    std::visit([&](const auto& aOne) { Carry(aCopy, aOne); }, action);
  }
  if (!copies_.at(aCopy).isSlow_) {
    EndWrites(aCopy);
  }
}

void
CopiesStage::Carry(const std::string& aCopy, const joblog::StoreEntries& aStore)
{
  Copy& copy = copies_.at(aCopy);
  copy.disk_.resize(aStore.entries_.front().sequence_ - 1);
  copy.disk_.insert(
    copy.disk_.end(), aStore.entries_.begin(), aStore.entries_.end());
  ++copy.unreported_;
}

void
CopiesStage::Carry(const std::string& aCopy,
                   const joblog::StoreState& /*aStore*/)
{
  ++copies_.at(aCopy).unreported_;
}

void
CopiesStage::Carry(const std::string& aCopy,
                   const joblog::StoreReset& /*aStore*/)
{
  Copy& copy = copies_.at(aCopy);
  copy.disk_.clear();
  ++copy.unreported_;
}

void
CopiesStage::EndWrites(const std::string& aCopy)
{
  Copy& copy = copies_.at(aCopy);
  while (copy.unreported_ > 0) {
    --copy.unreported_;
    Do(aCopy, copy.replica_->OnStored(base::ResultCode::Ok));
  }
}

void
CopiesStage::Carry(const std::string& aCopy, const joblog::SendMessage& aSend)
{
  if (const auto* ack = std::get_if<wire::AppendAck>(&aSend.message_)) {
    OnAck(aCopy, aSend.peer_, *ack);
  }
}

void
CopiesStage::OnAck(const std::string& aCopy,
                   const std::string& aOwner,
                   const wire::AppendAck& aAck)
{
  Owner& owner = owners_.at(aOwner);
  if (aAck.code_ == base::ResultCode::LogGap) {
    SendFrom(aOwner, aCopy, aAck.durableSequence_);
    return;
  }
  if (aAck.code_ != base::ResultCode::Ok) {
    owner.refused_ = base::NameOf(aAck.code_);
    return;
  }
  owner.durable_[aCopy] = aAck.durableSequence_;
  if (owner.durable_[aCopy] < owner.log_.size()) {
    SendFrom(aOwner, aCopy, aAck.durableSequence_);
  }
  std::uint64_t everywhere = owner.log_.size();
  for (const auto& [name, copy] : copies_) {
    everywhere = std::min(everywhere, owner.durable_[name]);
  }
  for (auto& [name, entry] : entries_) {
    entry.acknowledged_ =
      entry.acknowledged_ ||
      (entry.owner_ == aOwner && entry.sequence_ <= everywhere);
  }
}

std::string
CopiesStage::Observe(const std::string& aSubject, const std::string& aField)
{
  if (const auto owner = owners_.find(aSubject);
      owner != owners_.end() && aField == "refused") {
    return owner->second.refused_;
  }
  const auto entry = entries_.find(aSubject);
  if (entry != entries_.end() && aField == "acknowledged") {
    return YesOrNo(entry->second.acknowledged_);
  }
  if (entry != entries_.end() && aField == "held_by") {
    const auto holds = [&](const auto& aCopy) {
      const auto& disk = aCopy.second.disk_;
      return std::any_of(disk.begin(), disk.end(), [&](const auto& aEntry) {
        return aEntry.payload_ == aSubject;
      });
    };
    return std::to_string(std::count_if(copies_.begin(), copies_.end(), holds));
  }
  throw ScenarioError(aSubject + " has no " + aField);
}

} // namespace pumiceturn::scenarios
