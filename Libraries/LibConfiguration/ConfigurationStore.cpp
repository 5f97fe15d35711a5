#include "LibConfiguration/ConfigurationStore.h"

#include "LibConfiguration/Difference.h"
#include "LibConfiguration/Events.h"
#include "LibConfiguration/Keys.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace pumiceturn::configuration {

namespace {

using base::Capture;
using base::Fail;
using base::Failure;
using base::Result;
using base::ResultCode;
using google::protobuf::util::MessageDifferencer;
using platform::kAnyRevision;
using platform::KeyValue;
using platform::Swap;
using stored::ConfigurationHead;

/// Bounds of one transaction, well inside what the service takes.
constexpr std::size_t kMostPartsInCall = 64;
constexpr std::size_t kMostBytesInCall = 512U << 10U;
constexpr std::uint32_t kMostHistory = 200;

std::string
MakeWriteId()
{
  std::random_device device;
  const auto half = [&] {
    return (std::uint64_t{ device() } << 32U) | device();
  };
  return fmt::format("{:016x}{:016x}", half(), half());
}

Result<ConfigurationHead>
DecodeHead(const KeyValue& aEntry)
{
  ConfigurationHead head;
  if (!head.ParseFromString(aEntry.value_)) {
    return Fail(ResultCode::CorruptRecord, aEntry.key_);
  }
  return head;
}

SwapAnswer
ToAnswer(const base::Outcome<std::uint64_t>& aOutcome)
{
  const auto* failure = std::get_if<Failure>(&aOutcome);
  if (failure == nullptr) {
    return SwapAnswer::Accepted;
  }
  switch (failure->code_) {
    case ResultCode::PlatformConflict:
      return SwapAnswer::Conflict;
    case ResultCode::PlatformUnavailable:
    case ResultCode::BudgetExhausted:
      return SwapAnswer::NotSent;
    default:
      return SwapAnswer::Unknown;
  }
}

/// @return the parts of a head that the base does not list. They are put again
/// even where an older version had them, because only parts of the head in
/// force are sure to be kept.
PartTable
PartsNotIn(const ConfigurationHead& aBase, const Split& aSplit)
{
  PartTable added = aSplit.contents_;
  for (const stored::PartReference& part : aBase.parts()) {
    added.erase(part.digest());
  }
  return added;
}

std::size_t
SizeOf(const PartTable& aParts)
{
  std::size_t bytes = 0;
  for (const auto& [digest, content] : aParts) {
    bytes += content->size();
  }
  return bytes;
}

/// @return digests that one head lists and the other does not.
std::set<std::uint64_t>
ListedOnlyIn(const ConfigurationHead& aHead, const ConfigurationHead& aOther)
{
  std::set<std::uint64_t> digests;
  for (const stored::PartReference& part : aHead.parts()) {
    digests.insert(part.digest());
  }
  for (const stored::PartReference& part : aOther.parts()) {
    digests.erase(part.digest());
  }
  return digests;
}

/// @return the head with those parts alone.
ConfigurationHead
RestrictTo(const ConfigurationHead& aHead,
           const std::set<std::uint64_t>& aDigests)
{
  ConfigurationHead restricted = aHead;
  restricted.clear_parts();
  for (const stored::PartReference& part : aHead.parts()) {
    if (aDigests.contains(part.digest())) {
      *restricted.add_parts() = part;
    }
  }
  return restricted;
}

/// Orders or lifts a drain. @return whether that changed anything.
bool
SetDrained(ConfigurationHead& aHead,
           const std::string& aHost,
           DrainOrder aOrder)
{
  std::set<std::string> hosts(aHead.drained_hosts().begin(),
                              aHead.drained_hosts().end());
  const bool changed = aOrder == DrainOrder::Drain ? hosts.insert(aHost).second
                                                   : hosts.erase(aHost) > 0;
  aHead.clear_drained_hosts();
  for (const std::string& host : hosts) {
    aHead.add_drained_hosts(host);
  }
  return changed;
}

template<typename References>
bool
HasSameParts(const ConfigurationHead& aHead, const References& aReferences)
{
  return std::equal(aHead.parts().begin(),
                    aHead.parts().end(),
                    aReferences.begin(),
                    aReferences.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return MessageDifferencer::Equals(aLeft, aRight);
                    });
}

/// @return the head that an operator's change makes of the one in force.
ConfigurationHead
MakeNext(const ConfigurationHead& aBase,
         const ConfigurationStore::Change& aChange,
         const Split& aSplit)
{
  ConfigurationHead next = aBase;
  next.set_version(aBase.version() + 1);
  next.set_write_id(MakeWriteId());
  next.set_author(aChange.author_);
  next.set_comment(aChange.comment_);
  next.set_applied_unix_ms(base::ToUnixMs(aChange.now_));
  *next.mutable_parts() = { aSplit.references_.begin(),
                            aSplit.references_.end() };
  return next;
}

void
LogWrite(const base::Event& aEvent, const ConfigurationHead& aNext)
{
  base::Log(aEvent,
            { { "version", aNext.version() },
              { "write_id", aNext.write_id() },
              { "author", aNext.author() } });
}

HistoryEntry
ToHistoryEntry(const ConfigurationHead& aHead)
{
  return HistoryEntry{
    aHead.version(), aHead.author(), aHead.comment(), aHead.applied_unix_ms()
  };
}

} // namespace

ConfigurationStore::ConfigurationStore(platform::KeyValueClient& aClient,
                                       Options aOptions,
                                       Checker aChecker)
  : client_(aClient)
  , options_(std::move(aOptions))
  , checker_(std::move(aChecker))
{
  if (!options_.wait_) {
    options_.wait_ = [](base::Duration aWait) {
      std::this_thread::sleep_for(aWait);
    };
  }
}

Result<ApplyOutcome>
ConfigurationStore::Apply(const Change& aChange)
{
  BOOST_LEAF_CHECK(checker_(aChange.declarations_));
  const Split split =
    SplitDeclarations(aChange.declarations_, options_.partnerBuckets_);
  for (std::uint32_t i = 0; i < options_.attempts_; ++i) {
    BOOST_LEAF_AUTO(base, ReadHead());
    if (base.revision_ != 0 && HasSameParts(base.head_, split.references_)) {
      return ApplyOutcome{ Applied{ base.head_.version(), true } };
    }
    BOOST_LEAF_AUTO(isExpected, IsExpected(aChange.expectedVersion_, base));
    if (!isExpected) {
      BOOST_LEAF_AUTO(conflict, DescribeConflict(aChange.expectedVersion_));
      return ApplyOutcome{ std::move(conflict) };
    }
    const ConfigurationHead next = MakeNext(base.head_, aChange, split);
    BOOST_LEAF_AUTO(verdict, Write(base, next, PartsNotIn(base.head_, split)));
    if (verdict == Verdict::Accepted) {
      CollectSometimes(next.version());
      return ApplyOutcome{ Applied{ next.version(), false } };
    }
    // Another change came first. Whether it touches the declarations shows in
    // the next round.
  }
  BOOST_LEAF_AUTO(conflict, DescribeConflict(aChange.expectedVersion_));
  return ApplyOutcome{ std::move(conflict) };
}

/// @return whether the declarations are still those of the expected version. A
/// host that was drained since does not hold up an operator's declarations.
Result<bool>
ConfigurationStore::IsExpected(std::uint64_t aExpectedVersion,
                               const HeldHead& aCurrent)
{
  const ConfigurationHead& current = aCurrent.head_;
  if (current.version() == aExpectedVersion) {
    return true;
  }
  if (aExpectedVersion == 0) {
    return current.parts().empty();
  }
  if (aExpectedVersion > current.version()) {
    return false;
  }
  BOOST_LEAF_AUTO(expected, ReadHistory(aExpectedVersion));
  return expected && HasSameParts(*expected, current.parts());
}

Result<std::uint64_t>
ConfigurationStore::Drain(const std::string& aHost,
                          DrainOrder aOrder,
                          const std::string& aAuthor,
                          base::WallTime aNow)
{
  const bool isDrain = aOrder == DrainOrder::Drain;
  for (std::uint32_t i = 0; i < options_.attempts_; ++i) {
    BOOST_LEAF_AUTO(base, ReadHead());
    ConfigurationHead next = base.head_;
    if (!SetDrained(next, aHost, aOrder)) {
      return base.head_.version();
    }
    next.set_version(base.head_.version() + 1);
    next.set_write_id(MakeWriteId());
    next.set_author(aAuthor);
    next.set_comment((isDrain ? "drain " : "return ") + aHost);
    next.set_applied_unix_ms(base::ToUnixMs(aNow));
    BOOST_LEAF_AUTO(verdict, Write(base, next, {}));
    if (verdict == Verdict::Accepted) {
      CollectSometimes(next.version());
      return next.version();
    }
  }
  return Fail(ResultCode::VersionConflict, "other changes always came first");
}

Result<std::vector<HistoryEntry>>
ConfigurationStore::History(std::uint32_t aLimit)
{
  BOOST_LEAF_AUTO(current, ReadHead());
  const std::uint64_t newest = current.head_.version();
  const std::uint64_t limit =
    std::min<std::uint64_t>({ aLimit, kMostHistory, newest });
  std::vector<HistoryEntry> entries;
  if (limit == 0) {
    return entries;
  }
  BOOST_LEAF_AUTO(
    reply,
    client_.RangeBetween(keys::History(options_.keyPrefix_, newest - limit + 1),
                         keys::History(options_.keyPrefix_, newest + 1)));
  for (const KeyValue& entry : reply.entries_) {
    BOOST_LEAF_AUTO(head, DecodeHead(entry));
    entries.push_back(ToHistoryEntry(head));
  }
  std::reverse(entries.begin(), entries.end());
  return entries;
}

Result<declarations::Configuration>
ConfigurationStore::Get(std::uint64_t aVersion)
{
  ConfigurationHead head;
  if (aVersion == 0) {
    BOOST_LEAF_AUTO(current, ReadHead());
    head = std::move(current.head_);
  } else {
    BOOST_LEAF_AUTO(kept, ReadHistory(aVersion));
    if (!kept) {
      return Fail(ResultCode::VersionUnknown, std::to_string(aVersion));
    }
    head = *std::move(kept);
  }
  BOOST_LEAF_AUTO(parts, ReadParts(DigestsInScope(head, {})));
  BOOST_LEAF_AUTO(configuration, AssembleConfiguration(head, {}, parts));
  SortPartners(*configuration.mutable_declarations());
  return configuration;
}

Result<ConfigurationStore::HeldHead>
ConfigurationStore::ReadHead()
{
  BOOST_LEAF_AUTO(entry, client_.Get(keys::Head(options_.keyPrefix_)));
  if (!entry) {
    return HeldHead{};
  }
  BOOST_LEAF_AUTO(head, DecodeHead(*entry));
  return HeldHead{ std::move(head), entry->modRevision_ };
}

Result<std::optional<ConfigurationHead>>
ConfigurationStore::ReadHistory(std::uint64_t aVersion)
{
  BOOST_LEAF_AUTO(entry,
                  client_.Get(keys::History(options_.keyPrefix_, aVersion)));
  if (!entry) {
    return std::optional<ConfigurationHead>{};
  }
  BOOST_LEAF_AUTO(head, DecodeHead(*entry));
  return std::optional<ConfigurationHead>{ std::move(head) };
}

Result<PartTable>
ConfigurationStore::ReadParts(const std::vector<std::uint64_t>& aDigests)
{
  PartTable parts;
  std::vector<std::string> wanted;
  for (std::size_t i = 0; i < aDigests.size(); ++i) {
    wanted.push_back(keys::Part(options_.keyPrefix_, aDigests[i]));
    if (wanted.size() < kMostPartsInCall && i + 1 < aDigests.size()) {
      continue;
    }
    BOOST_LEAF_AUTO(entries, client_.GetMany(wanted));
    for (KeyValue& entry : entries) {
      auto content = std::make_shared<std::string>(std::move(entry.value_));
      parts.emplace(DigestOf(*content), std::move(content));
    }
    wanted.clear();
  }
  return parts;
}

Result<ConfigurationStore::Verdict>
ConfigurationStore::Write(const HeldHead& aBase,
                          const ConfigurationHead& aNext,
                          const PartTable& aNewParts)
{
  const std::string value = aNext.SerializeAsString();
  std::vector<Swap> swaps{
    Swap{ keys::Head(options_.keyPrefix_), value, aBase.revision_ },
    Swap{ keys::History(options_.keyPrefix_, aNext.version()),
          value,
          kAnyRevision },
  };
  const bool fits = aNewParts.size() <= kMostPartsInCall &&
                    SizeOf(aNewParts) <= kMostBytesInCall;
  if (!fits) {
    BOOST_LEAF_CHECK(PutParts(aNewParts));
    return Settle(aBase, aNext, swaps);
  }
  for (const auto& [digest, content] : aNewParts) {
    swaps.push_back(
      Swap{ keys::Part(options_.keyPrefix_, digest), *content, kAnyRevision });
  }
  return Settle(aBase, aNext, swaps);
}

/// Puts parts that do not fit one transaction before the head that lists them.
/// Until the head is swapped nobody reads them.
Result<void>
ConfigurationStore::PutParts(const PartTable& aParts)
{
  std::vector<Swap> batch;
  std::size_t bytes = 0;
  for (const auto& [digest, content] : aParts) {
    const bool full = batch.size() >= kMostPartsInCall ||
                      bytes + content->size() > kMostBytesInCall;
    if (full && !batch.empty()) {
      BOOST_LEAF_CHECK(PutBatch(batch));
      batch.clear();
      bytes = 0;
    }
    batch.push_back(
      Swap{ keys::Part(options_.keyPrefix_, digest), *content, kAnyRevision });
    bytes += content->size();
  }
  return PutBatch(batch);
}

Result<void>
ConfigurationStore::PutBatch(const std::vector<Swap>& aBatch)
{
  platform::Backoff backoff(options_.backoff_);
  Failure failure;
  for (std::uint32_t i = 0; i < options_.attempts_; ++i) {
    // Putting an immutable part twice is harmless, so an unknown outcome needs
    // no reading back.
    const auto outcome =
      Capture([&] { return client_.CompareAndSwap(aBatch); });
    if (outcome.index() == 0) {
      return {};
    }
    failure = std::get<Failure>(outcome);
    WaitAfterFailure(backoff);
  }
  // The head is not written yet, so the change surely is not in force.
  return Fail(ResultCode::PlatformUnavailable, failure.detail_);
}

Result<ConfigurationStore::Verdict>
ConfigurationStore::Settle(const HeldHead& aBase,
                           const ConfigurationHead& aNext,
                           const std::vector<Swap>& aSwaps)
{
  SwapDecision decision(
    { aBase.head_.version(), aNext.write_id(), options_.attempts_ });
  platform::Backoff backoff(options_.backoff_);
  while (true) {
    switch (decision.Next()) {
      case SwapStep::SendSwap:
        SendSwap(aSwaps, decision, backoff);
        break;
      case SwapStep::ReadHead:
        LookAtHead(decision, backoff);
        break;
      case SwapStep::ReadHistory:
        LookAtHistory(aNext.version(), decision, backoff);
        break;
      case SwapStep::Accepted:
        LogWrite(kWriteAccepted, aNext);
        return Verdict::Accepted;
      case SwapStep::Refused:
        LogWrite(kWriteRefused, aNext);
        return Verdict::Refused;
      case SwapStep::NotSent:
        return Fail(ResultCode::PlatformUnavailable, "nothing was written");
      case SwapStep::Unsettled:
        LogWrite(kWriteUnsettled, aNext);
        return Fail(ResultCode::PlatformOutcomeUnknown,
                    "write id " + aNext.write_id());
    }
  }
}

void
ConfigurationStore::SendSwap(const std::vector<Swap>& aSwaps,
                             SwapDecision& aDecision,
                             platform::Backoff& aBackoff)
{
  const SwapAnswer answer =
    ToAnswer(Capture([&] { return client_.CompareAndSwap(aSwaps); }));
  aDecision.OnSwap(answer);
  if (answer == SwapAnswer::NotSent) {
    WaitAfterFailure(aBackoff);
  }
}

void
ConfigurationStore::LookAtHead(SwapDecision& aDecision,
                               platform::Backoff& aBackoff)
{
  const auto outcome = Capture([&] { return ReadHead(); });
  if (const auto* held = std::get_if<HeldHead>(&outcome)) {
    aDecision.OnHead(held->head_.version(), held->head_.write_id());
    return;
  }
  aDecision.OnReadFailed();
  WaitAfterFailure(aBackoff);
}

void
ConfigurationStore::LookAtHistory(std::uint64_t aVersion,
                                  SwapDecision& aDecision,
                                  platform::Backoff& aBackoff)
{
  const auto outcome = Capture([&] { return ReadHistory(aVersion); });
  if (outcome.index() == 0) {
    const auto& kept = std::get<0>(outcome);
    aDecision.OnHistory(kept ? std::optional(kept->write_id()) : std::nullopt);
    return;
  }
  aDecision.OnReadFailed();
  WaitAfterFailure(aBackoff);
}

void
ConfigurationStore::CollectSometimes(std::uint64_t aVersion)
{
  if (aVersion % options_.collectEvery_ != 0) {
    return;
  }
  const auto outcome = Capture([&] { return CollectGarbage(); });
  if (const auto* failure = std::get_if<Failure>(&outcome)) {
    base::Log(kCollectionFailed, { { "reason", failure->detail_ } });
  }
}

/// A part may be listed again by a change that runs at the same time. That
/// change puts it anew in the call that swaps the head, or before it, unless
/// the head it starts from lists it. So: a part that was put again since it was
/// read has another revision, and its deletion is refused. A part put before
/// the present head, and listed by no kept version, was put for a change whose
/// swap expects an older head and will be refused. Parts are read before the
/// history, so that one that became listed meanwhile is seen as listed.
Result<void>
ConfigurationStore::CollectGarbage()
{
  BOOST_LEAF_AUTO(parts,
                  client_.RangeKeys(keys::AllParts(options_.keyPrefix_)));
  BOOST_LEAF_AUTO(current, ReadHead());
  BOOST_LEAF_AUTO(history,
                  client_.Range(keys::AllHistory(options_.keyPrefix_)));
  BOOST_LEAF_CHECK(DeleteOldHistory(current.head_.version(), history.entries_));
  std::set<std::string> listed;
  for (const KeyValue& entry : history.entries_) {
    BOOST_LEAF_AUTO(head, DecodeHead(entry));
    for (const stored::PartReference& part : head.parts()) {
      listed.insert(keys::Part(options_.keyPrefix_, part.digest()));
    }
  }
  std::erase_if(parts.entries_, [&](const KeyValue& aPart) {
    const bool isOld = aPart.modRevision_ < current.revision_;
    return !isOld || listed.contains(aPart.key_);
  });
  return DeleteInBatches(parts.entries_);
}

/// @param aHistory All entries; those that are deleted are taken out.
Result<void>
ConfigurationStore::DeleteOldHistory(std::uint64_t aCurrent,
                                     std::vector<KeyValue>& aHistory)
{
  if (aCurrent < options_.versionsKept_) {
    return {};
  }
  const std::string oldest =
    keys::History(options_.keyPrefix_, aCurrent - options_.versionsKept_ + 1);
  const auto firstKept = std::partition(
    aHistory.begin(), aHistory.end(), [&](const KeyValue& aEntry) {
      return aEntry.key_ < oldest;
    });
  BOOST_LEAF_CHECK(DeleteInBatches({ aHistory.begin(), firstKept }));
  aHistory.erase(aHistory.begin(), firstKept);
  return {};
}

Result<void>
ConfigurationStore::DeleteInBatches(const std::vector<KeyValue>& aEntries)
{
  for (std::size_t i = 0; i < aEntries.size(); i += kMostPartsInCall) {
    const auto first = aEntries.begin() + static_cast<std::ptrdiff_t>(i);
    const std::size_t count = std::min(kMostPartsInCall, aEntries.size() - i);
    BOOST_LEAF_CHECK(client_.DeleteMany(
      { first, first + static_cast<std::ptrdiff_t>(count) }));
  }
  return {};
}

Result<Conflict>
ConfigurationStore::DescribeConflict(std::uint64_t aExpectedVersion)
{
  BOOST_LEAF_AUTO(current, ReadHead());
  BOOST_LEAF_AUTO(difference, DescribeSince(aExpectedVersion, current.head_));
  return Conflict{ current.head_.version(), std::move(difference) };
}

Result<std::string>
ConfigurationStore::DescribeSince(std::uint64_t aVersion,
                                  const ConfigurationHead& aCurrent)
{
  ConfigurationHead old;
  if (aVersion > 0) {
    BOOST_LEAF_AUTO(kept, ReadHistory(aVersion));
    if (!kept) {
      return fmt::format("version {} is not kept, so nothing can be compared\n",
                         aVersion);
    }
    old = *std::move(kept);
  }
  // Equal parts hold equal declarations, so only the others are read. A name
  // falls in the same part in both heads.
  const std::set<std::uint64_t> removed = ListedOnlyIn(old, aCurrent);
  const std::set<std::uint64_t> added = ListedOnlyIn(aCurrent, old);
  std::vector<std::uint64_t> digests(removed.begin(), removed.end());
  digests.insert(digests.end(), added.begin(), added.end());
  BOOST_LEAF_AUTO(parts, ReadParts(digests));
  BOOST_LEAF_AUTO(before,
                  AssembleConfiguration(RestrictTo(old, removed), {}, parts));
  BOOST_LEAF_AUTO(
    after, AssembleConfiguration(RestrictTo(aCurrent, added), {}, parts));
  return DescribeDifference(before, after);
}

void
ConfigurationStore::WaitAfterFailure(platform::Backoff& aBackoff)
{
  static thread_local std::minstd_rand random(std::random_device{}());
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  options_.wait_(aBackoff.Next(uniform(random)));
}

} // namespace pumiceturn::configuration
