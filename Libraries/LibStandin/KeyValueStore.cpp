#include "LibStandin/KeyValueStore.h"

#include <algorithm>
#include <cassert>

namespace pumiceturn::standin {

namespace {

const std::string kNoUpperEnd(1, '\0');

template<typename T>
bool
Relates(const T& aLeft, CompareRelation aRelation, const T& aRight)
{
  switch (aRelation) {
    case CompareRelation::Equal:
      return aLeft == aRight;
    case CompareRelation::Greater:
      return aLeft > aRight;
    case CompareRelation::Less:
      return aLeft < aRight;
    case CompareRelation::NotEqual:
      break;
  }
  return aLeft != aRight;
}

std::uint64_t
NumberOf(const KeyValueEntry& aEntry, CompareTarget aTarget)
{
  switch (aTarget) {
    case CompareTarget::Version:
      return aEntry.version_;
    case CompareTarget::CreateRevision:
      return aEntry.createRevision_;
    case CompareTarget::ModRevision:
      return aEntry.modRevision_;
    case CompareTarget::Lease:
      return aEntry.lease_;
    case CompareTarget::Value:
      break;
  }
  assert(false && "a value is no number");
  return 0;
}

} // namespace

bool
KeyRange::Contains(std::string_view aKey) const
{
  if (end_.empty()) {
    return aKey == key_;
  }
  return aKey >= key_ && (end_ == kNoUpperEnd || aKey < end_);
}

bool
KeyValueStore::Holds(const Compare& aCompare) const
{
  const auto found = entries_.find(aCompare.key_);
  if (aCompare.target_ == CompareTarget::Value) {
    return found != entries_.end() &&
           Relates(found->second.value_, aCompare.relation_, aCompare.value_);
  }
  const KeyValueEntry missing;
  const KeyValueEntry& entry =
    found == entries_.end() ? missing : found->second;
  return Relates(
    NumberOf(entry, aCompare.target_), aCompare.relation_, aCompare.number_);
}

base::Result<void>
KeyValueStore::Check(std::span<const Operation> aOperations) const
{
  std::set<std::string_view> keys;
  for (const Operation& operation : aOperations) {
    const auto* put = std::get_if<PutOperation>(&operation);
    if (put == nullptr) {
      continue;
    }
    if (!keys.insert(put->key_).second) {
      return base::Fail(base::ResultCode::InvalidRequest,
                        "duplicate key given in txn request");
    }
    if (put->lease_ != 0 && !leases_.contains(put->lease_)) {
      return base::Fail(base::ResultCode::NotFound,
                        "requested lease not found");
    }
  }
  return {};
}

base::Result<TransactionReply>
KeyValueStore::Execute(const Transaction& aTransaction)
{
  TransactionReply reply;
  reply.succeeded_ =
    std::all_of(aTransaction.compares_.begin(),
                aTransaction.compares_.end(),
                [this](const Compare& aCompare) { return Holds(aCompare); });
  const std::vector<Operation>& branch =
    reply.succeeded_ ? aTransaction.success_ : aTransaction.failure_;
  BOOST_LEAF_CHECK(Check(branch));
  const std::uint64_t next = revision_ + 1;
  bool changes = false;
  for (const Operation& operation : branch) {
    if (const auto* range = std::get_if<RangeOperation>(&operation)) {
      reply.replies_.emplace_back(Apply(*range));
    } else if (const auto* put = std::get_if<PutOperation>(&operation)) {
      reply.replies_.emplace_back(Apply(*put, next));
      changes = true;
    } else {
      DeleteReply deleted = Apply(std::get<DeleteOperation>(operation), next);
      changes = changes || deleted.deleted_ > 0;
      reply.replies_.emplace_back(std::move(deleted));
    }
  }
  revision_ += changes ? 1 : 0;
  return reply;
}

base::Result<OperationReply>
KeyValueStore::Execute(const Operation& aOperation)
{
  Transaction transaction;
  transaction.success_.push_back(aOperation);
  BOOST_LEAF_AUTO(reply, Execute(transaction));
  return std::move(reply.replies_.front());
}

RangeReply
KeyValueStore::Apply(const RangeOperation& aOperation) const
{
  RangeReply reply;
  for (auto entry = entries_.lower_bound(aOperation.range_.key_);
       entry != entries_.end() && aOperation.range_.Contains(entry->first);
       ++entry) {
    ++reply.count_;
    const bool isWanted =
      !aOperation.countOnly_ &&
      (aOperation.limit_ == 0 || reply.entries_.size() < aOperation.limit_);
    if (!isWanted) {
      continue;
    }
    reply.entries_.push_back(entry->second);
    if (aOperation.keysOnly_) {
      reply.entries_.back().value_.clear();
    }
  }
  return reply;
}

PutReply
KeyValueStore::Apply(const PutOperation& aOperation, std::uint64_t aRevision)
{
  PutReply reply;
  KeyValueEntry& entry = entries_[aOperation.key_];
  if (entry.version_ > 0 && aOperation.wantsPrevious_) {
    reply.previous_ = entry;
  }
  if (const auto lease = leases_.find(entry.lease_); lease != leases_.end()) {
    lease->second.keys_.erase(aOperation.key_);
  }
  if (entry.version_ == 0) {
    entry.key_ = aOperation.key_;
    entry.createRevision_ = aRevision;
  }
  entry.value_ = aOperation.value_;
  entry.modRevision_ = aRevision;
  entry.lease_ = aOperation.lease_;
  ++entry.version_;
  if (entry.lease_ != 0) {
    leases_.at(entry.lease_).keys_.insert(entry.key_);
  }
  Remember({ false, entry });
  return reply;
}

DeleteReply
KeyValueStore::Apply(const DeleteOperation& aOperation, std::uint64_t aRevision)
{
  DeleteReply reply;
  RangeOperation range;
  range.range_ = aOperation.range_;
  for (KeyValueEntry& entry : Apply(range).entries_) {
    DeleteKey(entry.key_, aRevision);
    ++reply.deleted_;
    if (aOperation.wantsPrevious_) {
      reply.previous_.push_back(std::move(entry));
    }
  }
  return reply;
}

void
KeyValueStore::DeleteKey(const std::string& aKey, std::uint64_t aRevision)
{
  const auto found = entries_.find(aKey);
  if (const auto lease = leases_.find(found->second.lease_);
      lease != leases_.end()) {
    lease->second.keys_.erase(aKey);
  }
  StoreEvent event;
  event.deleted_ = true;
  event.entry_.key_ = aKey;
  event.entry_.modRevision_ = aRevision;
  entries_.erase(found);
  Remember(std::move(event));
}

void
KeyValueStore::Remember(StoreEvent aEvent)
{
  history_.push_back(std::move(aEvent));
  // Whole revisions go at once, so that a watch never sees half of one.
  while (history_.size() > kMaxHistory) {
    compactRevision_ = history_.front().entry_.modRevision_;
    while (!history_.empty() &&
           history_.front().entry_.modRevision_ == compactRevision_) {
      history_.pop_front();
    }
  }
}

base::Result<std::uint64_t>
KeyValueStore::GrantLease(std::uint64_t aId,
                          base::Duration aTimeToLive,
                          base::Instant aNow)
{
  while (aId == 0 && leases_.contains(nextLease_)) {
    ++nextLease_;
  }
  const std::uint64_t id = aId == 0 ? nextLease_++ : aId;
  Lease lease;
  lease.timeToLive_ = aTimeToLive;
  lease.expires_ = aNow + aTimeToLive;
  if (!leases_.emplace(id, std::move(lease)).second) {
    return base::Fail(base::ResultCode::KeyConflict, "lease already exists");
  }
  return id;
}

std::optional<base::Duration>
KeyValueStore::KeepLeaseAlive(std::uint64_t aId, base::Instant aNow)
{
  const auto found = leases_.find(aId);
  if (found == leases_.end()) {
    return std::nullopt;
  }
  found->second.expires_ = aNow + found->second.timeToLive_;
  return found->second.timeToLive_;
}

bool
KeyValueStore::RevokeLease(std::uint64_t aId)
{
  const auto found = leases_.find(aId);
  if (found == leases_.end()) {
    return false;
  }
  const std::set<std::string> keys = std::move(found->second.keys_);
  leases_.erase(found);
  const std::uint64_t next = revision_ + 1;
  for (const std::string& key : keys) {
    DeleteKey(key, next);
  }
  revision_ += keys.empty() ? 0 : 1;
  return true;
}

void
KeyValueStore::ExpireLeases(base::Instant aNow)
{
  std::vector<std::uint64_t> lapsed;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_ <= aNow) {
      lapsed.push_back(id);
    }
  }
  for (const std::uint64_t id : lapsed) {
    RevokeLease(id);
  }
}

void
KeyValueStore::ExpireAllLeases()
{
  while (!leases_.empty()) {
    RevokeLease(leases_.begin()->first);
  }
}

std::optional<base::Instant>
KeyValueStore::NextExpiry() const
{
  std::optional<base::Instant> next;
  for (const auto& [id, lease] : leases_) {
    if (!next || lease.expires_ < *next) {
      next = lease.expires_;
    }
  }
  return next;
}

std::optional<std::vector<StoreEvent>>
KeyValueStore::EventsFrom(const KeyRange& aRange, std::uint64_t aRevision) const
{
  if (aRevision <= compactRevision_) {
    return std::nullopt;
  }
  const auto first =
    std::lower_bound(history_.begin(),
                     history_.end(),
                     aRevision,
                     [](const StoreEvent& aEvent, std::uint64_t aWanted) {
                       return aEvent.entry_.modRevision_ < aWanted;
                     });
  std::vector<StoreEvent> events;
  std::copy_if(
    first, history_.end(), std::back_inserter(events), [&](const auto& aEvent) {
      return aRange.Contains(aEvent.entry_.key_);
    });
  return events;
}

void
KeyValueStore::Compact()
{
  compactRevision_ = revision_;
  history_.clear();
}

void
KeyValueStore::Restore(std::uint64_t aRevision,
                       std::vector<KeyValueEntry> aEntries)
{
  revision_ = aRevision;
  entries_.clear();
  for (KeyValueEntry& entry : aEntries) {
    // Leases are not kept, so what depended on one lapses with the restart.
    if (entry.lease_ == 0) {
      const std::string key = entry.key_;
      entries_.emplace(key, std::move(entry));
    }
  }
  Compact();
}

} // namespace pumiceturn::standin
