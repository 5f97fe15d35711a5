#include "Explorer.h"

#include "LibBase/Ids.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace pumiceturn::joblog {

namespace {

using base::ResultCode;

constexpr base::Duration kTick = base::Duration{ 1000000 };
constexpr base::Duration kTakeoverAfter = 2 * kTick;
constexpr std::size_t kFrameEntries = 2;
constexpr const char* kUnserved =
  "no append is acknowledged after all faults ended";

std::string
DescribeMessage(const wire::Message& aMessage)
{
  if (const auto* frame = std::get_if<wire::AppendFrame>(&aMessage)) {
    std::string text = fmt::format("append e{} prev {}/{} ack {} [",
                                   frame->epoch_,
                                   frame->previousSequence_,
                                   frame->previousEpoch_,
                                   frame->acknowledged_);
    for (const wire::LogEntry& entry : frame->entries_) {
      text += fmt::format(
        "{}/{}/{} ", entry.sequence_, entry.epoch_, entry.payload_.size());
    }
    return text + "]";
  }
  if (const auto* ack = std::get_if<wire::AppendAck>(&aMessage)) {
    return fmt::format("ack e{} {} {}",
                       ack->epoch_,
                       base::NameOf(ack->code_),
                       ack->durableSequence_);
  }
  if (const auto* seal = std::get_if<wire::SealPartition>(&aMessage)) {
    return fmt::format("seal e{}", seal->epoch_);
  }
  if (const auto* reply = std::get_if<wire::SealReply>(&aMessage)) {
    return fmt::format("sealed e{} {} {}/{}",
                       reply->epoch_,
                       base::NameOf(reply->code_),
                       reply->lastSequence_,
                       reply->lastEpoch_);
  }
  if (const auto* fetch = std::get_if<wire::FetchLog>(&aMessage)) {
    return fmt::format("fetch {} {}", fetch->call_, fetch->fromSequence_);
  }
  if (const auto* page = std::get_if<wire::LogPage>(&aMessage)) {
    return fmt::format("page {} {}", page->call_, page->entries_.size());
  }
  return "other";
}

std::string
DescribeSummary(const CopySummary& aSummary)
{
  std::string text = fmt::format("s{} f{} i{} l{}",
                                 aSummary.state_.sealedEpoch_,
                                 aSummary.state_.firstSequence_,
                                 aSummary.state_.incomplete_,
                                 aSummary.lastSequence_);
  for (const EpochRun& run : aSummary.runs_) {
    text += fmt::format(" {}/{}", run.firstSequence_, run.epoch_);
  }
  return text;
}

} // namespace

ModelWorld::ModelWorld(Limits aLimits, Tracing aTracing)
  : limits_(aLimits)
  , tracing_(aTracing)
  , hosts_(kHosts)
  , now_(base::Duration{ 1000 * kTick })
{
  for (std::size_t index = 0; index < kHosts; ++index) {
    hosts_[index].name_ = std::string(1, static_cast<char>('a' + index));
    Boot(index);
  }
}

void
ModelWorld::Boot(std::size_t aHost)
{
  Host& host = hosts_[aHost];
  PartitionOwner::Options options;
  options.self_ = host.name_;
  options.incarnation_ = std::to_string(host.incarnation_);
  options.copies_ = limits_.copies_;
  options.minCopies_ = limits_.minCopies_;
  options.copyLostAfter_ = kTick;
  options.sealWait_ = kTick;
  host.owner_.emplace(options);
  host.replica_.emplace(0, host.disk_.summary_);
  host.stores_.clear();
  host.swap_.reset();
  host.seenRevision_ = 0;
  host.hasRead_ = false;
  host.tokens_.clear();
}

bool
ModelWorld::CanRun(std::size_t aHost) const
{
  return hosts_[aHost].isAlive_ && !hosts_[aHost].isPaused_;
}

std::size_t
ModelWorld::IndexOf(const std::string& aName) const
{
  return static_cast<std::size_t>(aName.front() - 'a');
}

bool
ModelWorld::CanReach(std::size_t aFrom, std::size_t aTo) const
{
  return aFrom == aTo ||
         (!hosts_[aFrom].isIsolated_ && !hosts_[aTo].isIsolated_);
}

FleetView
ModelWorld::ViewOf(std::size_t aHost) const
{
  FleetView view;
  view.self_ = hosts_[aHost].name_;
  for (std::size_t index = 0; index < kHosts; ++index) {
    KeeperView keeper;
    keeper.host_ = hosts_[index].name_;
    keeper.failureDomain_ = "domain-" + keeper.host_;
    keeper.isUp_ = index == aHost || (CanRun(index) && CanReach(aHost, index));
    keeper.lostSince_ = now_ - 10 * kTakeoverAfter;
    view.keepers_.push_back(std::move(keeper));
  }
  return view;
}

// --- The fixed order ---

void
ModelWorld::Step()
{
  if (DeliverFirst() || CompleteStore() || DeliverWatch() || ServeCall()) {
    return;
  }
  PassTime();
}

bool
ModelWorld::DeliverFirst()
{
  for (auto& [ends, queue] : links_) {
    if (!queue.empty() && CanRun(ends.second)) {
      Deliver(ends.first, ends.second);
      return true;
    }
  }
  return false;
}

void
ModelWorld::Deliver(std::size_t aFrom, std::size_t aTo)
{
  auto& queue = links_[{ aFrom, aTo }];
  const wire::Message message = std::move(queue.front());
  queue.pop_front();
  Host& host = hosts_[aTo];
  const std::string& peer = hosts_[aFrom].name_;
  Note("{} -> {}: {}", peer, host.name_, DescribeMessage(message));
  if (const auto* frame = std::get_if<wire::AppendFrame>(&message)) {
    Perform(aTo, host.replica_->OnAppend(peer, *frame));
  } else if (const auto* seal = std::get_if<wire::SealPartition>(&message)) {
    Perform(aTo, host.replica_->OnSeal(peer, *seal));
  } else if (const auto* ack = std::get_if<wire::AppendAck>(&message)) {
    Perform(aTo, host.owner_->OnAppendAck(peer, *ack, now_));
  } else if (const auto* reply = std::get_if<wire::SealReply>(&message)) {
    Perform(aTo, host.owner_->OnSealReply(peer, *reply, now_));
  } else if (const auto* fetch = std::get_if<wire::FetchLog>(&message)) {
    AnswerFetch(aTo, aFrom, *fetch);
  } else if (const auto* page = std::get_if<wire::LogPage>(&message)) {
    Perform(aTo, host.owner_->OnLogPage(peer, *page));
  }
}

bool
ModelWorld::CompleteStore()
{
  for (std::size_t index = 0; index < kHosts; ++index) {
    Host& host = hosts_[index];
    if (!CanRun(index) || host.stores_.empty()) {
      continue;
    }
    ApplyStore(host.disk_, host.stores_.front());
    host.stores_.pop_front();
    Note("{} synced: {}", host.name_, DescribeSummary(host.disk_.summary_));
    Perform(index, host.replica_->OnStored(ResultCode::Ok));
    return true;
  }
  return false;
}

bool
ModelWorld::DeliverWatch()
{
  for (std::size_t index = 0; index < kHosts; ++index) {
    Host& host = hosts_[index];
    if (!CanRun(index) || isOutage_ ||
        (host.hasRead_ && host.seenRevision_ >= revision_)) {
      continue;
    }
    host.seenRevision_ = revision_;
    host.hasRead_ = true;
    host.replica_->OnRecordedEpoch(record_.epoch_);
    Note("{} hears of epoch {}, owner {}",
         host.name_,
         record_.epoch_,
         record_.owner_);
    Perform(index, host.owner_->OnRecord(record_, ViewOf(index), now_));
    return true;
  }
  return false;
}

bool
ModelWorld::ServeCall()
{
  for (std::size_t index = 0; index < kHosts; ++index) {
    Host& host = hosts_[index];
    if (!CanRun(index) || isOutage_ || !host.swap_) {
      continue;
    }
    const partition::PartitionRecord wanted = *host.swap_;
    host.swap_.reset();
    // A repeated call finds its own write id where the first took effect.
    if (ApplySwap(wanted) || record_.writeId_ == wanted.writeId_) {
      Note("{} is told its swap {} applied", host.name_, wanted.writeId_);
      Perform(index,
              host.owner_->OnSwapApplied(
                wanted.writeId_, record_.modRevision_, ViewOf(index), now_));
    } else {
      Note("{} is told its swap {} was refused", host.name_, wanted.writeId_);
      Perform(index,
              host.owner_->OnSwapRefused(
                wanted.writeId_, record_, ViewOf(index), now_));
    }
    return true;
  }
  return false;
}

bool
ModelWorld::ApplySwap(const partition::PartitionRecord& aRecord)
{
  if (aRecord.modRevision_ != revision_) {
    return false;
  }
  if (aRecord.epoch_ < record_.epoch_) {
    Fail("an epoch went down");
  }
  record_ = aRecord;
  record_.modRevision_ = ++revision_;
  Note("record: owner {} epoch {} copies {}",
       record_.owner_,
       record_.epoch_,
       fmt::join(record_.copies_, ","));
  CheckRecordedCopies();
  return true;
}

void
ModelWorld::PassTime()
{
  now_ += kTick;
  Note("time passes");
  for (std::size_t index = 0; index < kHosts; ++index) {
    if (CanRun(index)) {
      TickHost(index);
    }
  }
}

void
ModelWorld::TickHost(std::size_t aHost)
{
  Host& host = hosts_[aHost];
  const FleetView view = ViewOf(aHost);
  Perform(aHost, host.owner_->Tick(view, now_));
  if (host.owner_->GetPhase() == PartitionOwner::Phase::Following &&
      host.hasRead_ && !host.swap_) {
    const ClaimDecision decision =
      DecideClaim(host.owner_->Record(),
                  host.replica_->IsWhole() ? OwnCopy::Whole : OwnCopy::Unfit,
                  view,
                  ClaimLimits{ limits_.minCopies_, kTakeoverAfter },
                  now_);
    if (decision.choice_ == ClaimChoice::Claim) {
      Note("{} claims", host.name_);
      Perform(aHost, host.owner_->Claim(view, now_));
    } else if (decision.choice_ == ClaimChoice::Yield) {
      Perform(aHost, host.owner_->HandOver(decision.successor_));
    }
  }
  if (host.owner_->IsOwned() && host.appended_ < limits_.appends_) {
    ++host.appended_;
    // The length alone tells payloads apart in a trace.
    const std::size_t length = 100 * (aHost + 1) +
                               std::size_t{ 10 } * host.incarnation_ +
                               host.appended_;
    const std::string payload(length, host.name_[0]);
    const std::uint64_t token = nextToken_++;
    host.tokens_[token] = wire::LogEntry{ 0, host.owner_->Epoch(), payload };
    Note("{} appends", host.name_);
    Perform(aHost, host.owner_->Append({ payload }, token, now_));
  }
  if (limits_.trims_ && host.owner_->IsOwned()) {
    Perform(aHost,
            host.owner_->Trim(host.owner_->AcknowledgedSequence(), now_));
  }
}

// --- Actions ---

void
ModelWorld::Perform(std::size_t aHost,
                    const PartitionReplica::Actions& aActions)
{
  for (const ReplicaAction& action : aActions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      Send(aHost, send->peer_, send->message_);
    } else {
      hosts_[aHost].stores_.push_back(action);
    }
  }
}

void
ModelWorld::Perform(std::size_t aHost, const PartitionOwner::Actions& aActions)
{
  for (const OwnerAction& action : aActions) {
    PerformOwner(aHost, action);
  }
}

void
ModelWorld::PerformOwner(std::size_t aHost, const OwnerAction& aAction)
{
  Host& host = hosts_[aHost];
  if (const auto* swap = std::get_if<SwapRecord>(&aAction)) {
    host.swap_ = swap->record_;
  } else if (const auto* send = std::get_if<SendMessage>(&aAction)) {
    if (const auto* frame = std::get_if<wire::AppendFrame>(&send->message_);
        frame != nullptr && send->peer_ == host.name_) {
      for (auto& [token, entry] : host.tokens_) {
        for (const wire::LogEntry& sent : frame->entries_) {
          if (entry.payload_ == sent.payload_ && entry.epoch_ == sent.epoch_) {
            entry.sequence_ = sent.sequence_;
          }
        }
      }
    }
    Send(aHost, send->peer_, send->message_);
  } else if (std::holds_alternative<LoadLog>(aAction)) {
    Perform(aHost, host.owner_->OnLogLoaded(host.disk_.summary_, now_));
  } else if (const auto* log = std::get_if<SendLog>(&aAction)) {
    SendLogFrom(aHost, *log);
  } else if (const auto* replay = std::get_if<ReplayLog>(&aAction)) {
    RecordRecovered(aHost, replay->epoch_);
    Perform(aHost, host.owner_->OnReplayed());
  } else if (const auto* done = std::get_if<CompleteAppend>(&aAction)) {
    if (done->code_ == ResultCode::Ok) {
      RecordAcknowledged(aHost, done->token_);
    }
  }
}

void
ModelWorld::Send(std::size_t aFrom,
                 const std::string& aTo,
                 wire::Message aMessage)
{
  const std::size_t to = IndexOf(aTo);
  const auto* frame = std::get_if<wire::AppendFrame>(&aMessage);
  if (frame != nullptr && to != aFrom &&
      std::exchange(hosts_[aFrom].refusesNext_, false)) {
    Note("the queue to {} is full", aTo);
    hosts_[aFrom].owner_->OnSendRefused(aTo, *frame);
    return;
  }
  if (hosts_[to].isAlive_ && CanReach(aFrom, to)) {
    links_[{ aFrom, to }].push_back(std::move(aMessage));
  }
}

void
ModelWorld::SendLogFrom(std::size_t aHost, const SendLog& aSend)
{
  const DiskImage& disk = hosts_[aHost].disk_;
  wire::AppendFrame frame = aSend.frame_;
  for (std::uint64_t sequence = frame.previousSequence_ + 1;
       sequence <= aSend.lastSequence_ && frame.entries_.size() < kFrameEntries;
       ++sequence) {
    frame.entries_.push_back(wire::LogEntry{
      sequence, disk.summary_.EpochAt(sequence), disk.payloads_.at(sequence) });
  }
  Send(aHost, aSend.peer_, std::move(frame));
}

void
ModelWorld::AnswerFetch(std::size_t aHost,
                        std::size_t aFrom,
                        const wire::FetchLog& aFetch)
{
  const DiskImage& disk = hosts_[aHost].disk_;
  wire::LogPage page;
  page.call_ = aFetch.call_;
  for (std::uint64_t sequence = aFetch.fromSequence_;
       sequence <= disk.summary_.lastSequence_ &&
       page.entries_.size() < kFrameEntries;
       ++sequence) {
    page.entries_.push_back(wire::LogEntry{
      sequence, disk.summary_.EpochAt(sequence), disk.payloads_.at(sequence) });
  }
  Send(aHost, hosts_[aFrom].name_, std::move(page));
}

void
ModelWorld::ApplyStore(DiskImage& aDisk, const ReplicaAction& aAction)
{
  if (const auto* store = std::get_if<StoreEntries>(&aAction)) {
    for (const wire::LogEntry& entry : store->entries_) {
      aDisk.payloads_.erase(aDisk.payloads_.lower_bound(entry.sequence_),
                            aDisk.payloads_.end());
      aDisk.payloads_[entry.sequence_] = entry.payload_;
      aDisk.summary_.Extend(entry.sequence_, entry.epoch_);
    }
  } else if (const auto* state = std::get_if<StoreState>(&aAction)) {
    aDisk.summary_.Apply(state->state_);
    aDisk.payloads_.erase(
      aDisk.payloads_.begin(),
      aDisk.payloads_.lower_bound(state->state_.firstSequence_));
  } else if (const auto* reset = std::get_if<StoreReset>(&aAction)) {
    aDisk = DiskImage{};
    aDisk.summary_.Apply(reset->state_);
  }
}

// --- Rules ---

void
ModelWorld::RecordAcknowledged(std::size_t aHost, std::uint64_t aToken)
{
  const wire::LogEntry& entry = hosts_[aHost].tokens_.at(aToken);
  acknowledgedSinceHeal_ = true;
  Note("{} acknowledges {}/{} ({} bytes)",
       hosts_[aHost].name_,
       entry.sequence_,
       entry.epoch_,
       entry.payload_.size());
  const auto [held, isNew] = acknowledged_.try_emplace(
    entry.sequence_, Acknowledged{ entry.epoch_, entry.payload_ });
  if (!isNew && held->second.payload_ != entry.payload_) {
    Fail(
      fmt::format("two owners acknowledged at sequence {}", entry.sequence_));
  }
  for (const auto& [epoch, disk] : recovered_) {
    if (epoch > entry.epoch_ && !Holds(disk, entry.sequence_, entry.payload_)) {
      Fail(fmt::format("epoch {} began without {}, acknowledged by epoch {}",
                       epoch,
                       entry.sequence_,
                       entry.epoch_));
    }
  }
  CheckRecordedCopies();
}

void
ModelWorld::RecordRecovered(std::size_t aHost, std::uint64_t aEpoch)
{
  const DiskImage& disk = hosts_[aHost].disk_;
  if (!recovered_.try_emplace(aEpoch, disk).second) {
    Fail(fmt::format("epoch {} was begun twice", aEpoch));
  }
  for (const auto& [sequence, entry] : acknowledged_) {
    // An owner that slept through a takeover may begin late; it cannot serve.
    if (entry.epoch_ < aEpoch && !Holds(disk, sequence, entry.payload_)) {
      Fail(fmt::format("{} begins epoch {} without acknowledged {}",
                       hosts_[aHost].name_,
                       aEpoch,
                       sequence));
    }
  }
}

bool
ModelWorld::Holds(const DiskImage& aDisk,
                  std::uint64_t aSequence,
                  const std::string& aPayload)
{
  if (aSequence < aDisk.summary_.state_.firstSequence_) {
    return true;
  }
  const auto found = aDisk.payloads_.find(aSequence);
  return found != aDisk.payloads_.end() && found->second == aPayload;
}

/// What takeover relies on: each copy in the record holds all that was
/// acknowledged.
void
ModelWorld::CheckRecordedCopies()
{
  for (const std::string& name : record_.copies_) {
    const DiskImage& disk = hosts_[IndexOf(name)].disk_;
    if (disk.summary_.state_.sealedEpoch_ == 0 ||
        disk.summary_.state_.incomplete_) {
      // It lost its disk, and knows that it may not take over.
      continue;
    }
    for (const auto& [sequence, entry] : acknowledged_) {
      if (!Holds(disk, sequence, entry.payload_)) {
        Fail(fmt::format(
          "recorded copy {} lacks acknowledged {}", name, sequence));
      }
    }
  }
}

void
ModelWorld::Fail(std::string aWhat)
{
  Note("BROKEN: {}", aWhat);
  if (violation_.empty()) {
    violation_ = std::move(aWhat);
  }
}

// --- Faults ---

std::vector<ModelWorld::Fault>
ModelWorld::Faults() const
{
  std::vector<Fault> faults;
  bool isFirst = true;
  for (const auto& [ends, queue] : links_) {
    if (queue.empty() || !CanRun(ends.second)) {
      continue;
    }
    if (!std::exchange(isFirst, false)) {
      faults.push_back({ FaultKind::DeliverOther, ends.first, ends.second });
    }
    if (ends.first < ends.second) {
      faults.push_back({ FaultKind::CutLink, ends.first, ends.second });
    }
  }
  std::size_t away = 0;
  for (std::size_t index = 0; index < kHosts; ++index) {
    away += CanRun(index) ? 0 : 1;
  }
  for (std::size_t index = 0; index < kHosts; ++index) {
    const Host& host = hosts_[index];
    if (host.isPaused_) {
      faults.push_back({ FaultKind::Resume, index, 0 });
    }
    if (CanRun(index) && !host.refusesNext_ && host.owner_->Epoch() != 0) {
      faults.push_back({ FaultKind::FillQueue, index, 0 });
    }
    if (!host.isAlive_) {
      faults.push_back({ FaultKind::Restart, index, 0 });
    }
    if (host.isIsolated_) {
      faults.push_back({ FaultKind::Rejoin, index, 0 });
    } else if (CanRun(index)) {
      faults.push_back({ FaultKind::Isolate, index, 0 });
    }
    if (CanRun(index) && away < kHosts - 1) {
      faults.push_back({ FaultKind::Crash, index, 0 });
      faults.push_back({ FaultKind::Pause, index, 0 });
      if (!isWiped_) {
        faults.push_back({ FaultKind::CrashWiped, index, 0 });
      }
    }
    if (CanRun(index) && host.swap_ && !isOutage_) {
      faults.push_back({ FaultKind::LoseAnswer, index, 0 });
    }
  }
  if (!isOutage_) {
    faults.push_back({ FaultKind::BeginOutage, 0, 0 });
  }
  faults.push_back({ FaultKind::PassTime, 0, 0 });
  return faults;
}

void
ModelWorld::Crash(std::size_t aHost)
{
  hosts_[aHost].isAlive_ = false;
  ++hosts_[aHost].incarnation_;
  for (auto& [ends, queue] : links_) {
    if (ends.first == aHost || ends.second == aHost) {
      queue.clear();
    }
  }
}

void
ModelWorld::Rejoin(std::size_t aHost)
{
  // It writes before it hears anything.
  TickHost(aHost);
  for (std::size_t other = 0; other < kHosts; ++other) {
    if (other != aHost) {
      Perform(aHost, hosts_[aHost].owner_->OnLinkUp(hosts_[other].name_, now_));
      Perform(other, hosts_[other].owner_->OnLinkUp(hosts_[aHost].name_, now_));
    }
  }
}

std::size_t
ModelWorld::CountFaults() const
{
  return Faults().size();
}

void
ModelWorld::ApplyLinkFault(const Fault& aFault)
{
  Host& host = hosts_[aFault.first_];
  switch (aFault.kind_) {
    case FaultKind::DeliverOther:
      Note("FAULT: another order");
      Deliver(aFault.first_, aFault.second_);
      break;
    case FaultKind::CutLink: {
      Host& other = hosts_[aFault.second_];
      Note("FAULT: link {}-{} cut", host.name_, other.name_);
      links_[{ aFault.first_, aFault.second_ }].clear();
      links_[{ aFault.second_, aFault.first_ }].clear();
      Perform(aFault.first_, host.owner_->OnLinkUp(other.name_, now_));
      Perform(aFault.second_, other.owner_->OnLinkUp(host.name_, now_));
      break;
    }
    case FaultKind::Isolate:
      Note("FAULT: {} is isolated", host.name_);
      host.isIsolated_ = true;
      for (auto& [ends, queue] : links_) {
        if (!CanReach(ends.first, ends.second)) {
          queue.clear();
        }
      }
      break;
    case FaultKind::Rejoin:
      Note("FAULT: {} is back", host.name_);
      host.isIsolated_ = false;
      Rejoin(aFault.first_);
      break;
    case FaultKind::FillQueue:
      host.refusesNext_ = true;
      break;
    default:
      break;
  }
}

void
ModelWorld::ApplyHostFault(const Fault& aFault)
{
  Host& host = hosts_[aFault.first_];
  switch (aFault.kind_) {
    case FaultKind::Crash:
      Note("FAULT: {} crashes", host.name_);
      Crash(aFault.first_);
      break;
    case FaultKind::CrashWiped:
      Note("FAULT: {} crashes and loses its disk", host.name_);
      Crash(aFault.first_);
      host.disk_ = DiskImage{};
      isWiped_ = true;
      break;
    case FaultKind::Restart:
      Note("FAULT: {} restarts", host.name_);
      host.isAlive_ = true;
      Boot(aFault.first_);
      break;
    case FaultKind::Pause:
      Note("FAULT: {} is paused", host.name_);
      host.isPaused_ = true;
      break;
    case FaultKind::Resume:
      Note("FAULT: {} wakes", host.name_);
      host.isPaused_ = false;
      // It writes before it hears anything.
      TickHost(aFault.first_);
      break;
    default:
      break;
  }
}

void
ModelWorld::ApplyServiceFault(const Fault& aFault)
{
  Host& host = hosts_[aFault.first_];
  switch (aFault.kind_) {
    case FaultKind::LoseAnswer:
      Note("FAULT: an answer to {} is lost", host.name_);
      ApplySwap(*host.swap_);
      break;
    case FaultKind::BeginOutage:
      Note("FAULT: key-value service down");
      isOutage_ = true;
      break;
    case FaultKind::PassTime:
      PassTime();
      break;
    default:
      break;
  }
}

void
ModelWorld::ApplyFault(std::size_t aIndex)
{
  // Each applies the kinds that are its own.
  const Fault fault = Faults().at(aIndex);
  ApplyLinkFault(fault);
  ApplyHostFault(fault);
  ApplyServiceFault(fault);
}

void
ModelWorld::Heal()
{
  Note("all faults end");
  isOutage_ = false;
  acknowledgedSinceHeal_ = false;
  for (std::size_t index = 0; index < kHosts; ++index) {
    Host& host = hosts_[index];
    host.isPaused_ = false;
    host.isIsolated_ = false;
    host.appended_ = 0;
    host.incarnation_ += 1;
    if (!host.isAlive_) {
      host.isAlive_ = true;
      Boot(index);
    }
  }
  for (std::size_t from = 0; from < kHosts; ++from) {
    for (std::size_t to = 0; to < kHosts; ++to) {
      if (from != to) {
        Perform(from, hosts_[from].owner_->OnLinkUp(hosts_[to].name_, now_));
      }
    }
  }
}

std::string
ModelWorld::Describe() const
{
  std::string text = fmt::format("rev {} owner {} e{} c{} w{} out {} wiped {}",
                                 revision_,
                                 record_.owner_,
                                 record_.epoch_,
                                 fmt::join(record_.copies_, ","),
                                 record_.writeId_,
                                 isOutage_,
                                 isWiped_);
  for (const Host& host : hosts_) {
    text +=
      fmt::format("\n{} {} {} {} st{} seen {} {} app {} swap {} | {} | {} | {}",
                  host.name_,
                  host.isAlive_,
                  host.isPaused_,
                  host.incarnation_,
                  host.stores_.size(),
                  host.seenRevision_,
                  host.hasRead_ + 2 * host.refusesNext_ + 4 * host.isIsolated_,
                  host.appended_,
                  host.swap_ ? host.swap_->writeId_ : "-",
                  DescribeSummary(host.disk_.summary_),
                  DescribeSummary(host.replica_->Accepted()),
                  host.owner_->Describe(now_));
  }
  for (const auto& [ends, queue] : links_) {
    for (const wire::Message& message : queue) {
      text += fmt::format(
        "\n{}>{} {}", ends.first, ends.second, DescribeMessage(message));
    }
  }
  for (const auto& [sequence, entry] : acknowledged_) {
    text += fmt::format("\nack {} {}", sequence, entry.epoch_);
  }
  return text;
}

// --- Exploration ---

namespace {

/// Runs schedules, and one of them again with a trace if it broke a rule.
class Explorer
{
public:
  Explorer(ModelWorld::Limits aLimits, ExplorationBounds aBounds)
    : limits_(aLimits)
    , bounds_(aBounds)
  {
  }

  Exploration Run()
  {
    Run(ModelWorld(limits_, Tracing::Off), 0);
    seen_.states_ = visited_.size();
    return seen_;
  }

private:
  /// A fault, and the step before which it happens.
  struct PlacedFault
  {
    std::uint32_t step_ = 0;
    std::size_t index_ = 0;
  };

  void Run(ModelWorld aWorld, std::uint32_t aStep)
  {
    for (std::uint32_t step = aStep;
         step < bounds_.firstFaultAt_ + bounds_.faultSteps_;
         ++step) {
      if (Finished(aWorld)) {
        return;
      }
      const std::size_t left = bounds_.faults_ - schedule_.size();
      if (step >= bounds_.firstFaultAt_ && left > 0) {
        const std::uint64_t state = base::HashBytes(aWorld.Describe(), left);
        if (!visited_.insert(state).second) {
          return;
        }
        TryFaults(aWorld, step);
        if (!seen_.violation_.empty()) {
          return;
        }
      }
      aWorld.Step();
    }
    ++seen_.runs_;
    FinishRun(aWorld);
    if (!Finished(aWorld) && !aWorld.Serves()) {
      Report(kUnserved);
    }
    seen_.acknowledged_ =
      std::max<std::uint64_t>(seen_.acknowledged_, aWorld.AcknowledgedCount());
    seen_.highestEpoch_ = std::max(seen_.highestEpoch_, aWorld.CurrentEpoch());
  }

  void TryFaults(const ModelWorld& aWorld, std::uint32_t aStep)
  {
    const std::size_t count = aWorld.CountFaults();
    for (std::size_t index = 0; index < count && seen_.violation_.empty();
         ++index) {
      ModelWorld other = aWorld;
      other.ApplyFault(index);
      schedule_.push_back(PlacedFault{ aStep, index });
      Run(std::move(other), aStep + 1);
      schedule_.pop_back();
    }
  }

  /// Ends all faults and goes on until the log serves again.
  void FinishRun(ModelWorld& aWorld) const
  {
    aWorld.Heal();
    for (std::uint32_t step = 0; step < bounds_.healedSteps_ &&
                                 !aWorld.Serves() && aWorld.Violation().empty();
         ++step) {
      aWorld.Step();
    }
  }

  bool Finished(const ModelWorld& aWorld)
  {
    if (aWorld.Violation().empty()) {
      return !seen_.violation_.empty();
    }
    Report(aWorld.Violation());
    return true;
  }

  void Report(const std::string& aWhat)
  {
    if (!seen_.violation_.empty()) {
      return;
    }
    ModelWorld world(limits_, Tracing::On);
    auto next = schedule_.begin();
    for (std::uint32_t step = 0;
         step < bounds_.firstFaultAt_ + bounds_.faultSteps_;
         ++step) {
      if (next != schedule_.end() && next->step_ == step) {
        world.ApplyFault(next->index_);
        ++next;
      } else {
        world.Step();
      }
    }
    FinishRun(world);
    seen_.violation_ = fmt::format(
      "{}\n{}\n{}", aWhat, fmt::join(world.Trace(), "\n"), world.Describe());
  }

  ModelWorld::Limits limits_;
  ExplorationBounds bounds_;
  Exploration seen_;
  std::vector<PlacedFault> schedule_;
  std::unordered_set<std::uint64_t> visited_;
};

} // namespace

Exploration
Explore(ModelWorld::Limits aLimits, ExplorationBounds aBounds)
{
  return Explorer(aLimits, aBounds).Run();
}

} // namespace pumiceturn::joblog
