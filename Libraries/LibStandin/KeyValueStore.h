#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pumiceturn::standin {

struct KeyValueEntry
{
  std::string key_;
  std::string value_;
  std::uint64_t createRevision_ = 0;
  std::uint64_t modRevision_ = 0;
  std::uint64_t version_ = 0; ///< Puts since the key was made.
  std::uint64_t lease_ = 0;   ///< 0: none.
};

/// A key, or all keys from one up to, but without, another.
struct KeyRange
{
  std::string key_;
  std::string end_; ///< Empty: the key alone; one zero byte: no upper end.

  [[nodiscard]] bool Contains(std::string_view aKey) const;
};

struct RangeOperation
{
  KeyRange range_;
  std::uint64_t limit_ = 0; ///< 0: all.
  bool keysOnly_ = false;
  bool countOnly_ = false;
};

struct PutOperation
{
  std::string key_;
  std::string value_;
  std::uint64_t lease_ = 0;
  bool wantsPrevious_ = false;
};

struct DeleteOperation
{
  KeyRange range_;
  bool wantsPrevious_ = false;
};

using Operation = std::variant<RangeOperation, PutOperation, DeleteOperation>;

struct RangeReply
{
  std::vector<KeyValueEntry> entries_;
  std::uint64_t count_ = 0; ///< In the range, whatever the limit.
};

struct PutReply
{
  std::optional<KeyValueEntry> previous_;
};

struct DeleteReply
{
  std::uint64_t deleted_ = 0;
  std::vector<KeyValueEntry> previous_;
};

using OperationReply = std::variant<RangeReply, PutReply, DeleteReply>;

enum class CompareTarget : std::uint8_t
{
  Version,
  CreateRevision,
  ModRevision,
  Value,
  Lease,
};

enum class CompareRelation : std::uint8_t
{
  Equal,
  Greater,
  Less,
  NotEqual,
};

/// One condition of a transaction. A key that does not exist has all numbers 0
/// and meets no condition on its value.
struct Compare
{
  CompareTarget target_ = CompareTarget::Version;
  CompareRelation relation_ = CompareRelation::Equal;
  std::string key_;
  std::uint64_t number_ = 0;
  std::string value_;
};

struct Transaction
{
  std::vector<Compare> compares_;
  std::vector<Operation> success_;
  std::vector<Operation> failure_;
};

struct TransactionReply
{
  bool succeeded_ = false;
  std::vector<OperationReply> replies_;
};

struct StoreEvent
{
  bool deleted_ = false;
  KeyValueEntry entry_; ///< Of a deletion: the key and its revision alone.
};

/// Keys with revisions, leases and a bounded history for watches: what the
/// published calls need. Takes the time as an argument. Not thread-safe.
class KeyValueStore
{
public:
  static constexpr std::size_t kMaxHistory = 20000;

  [[nodiscard]] std::uint64_t Revision() const { return revision_; }

  /// Runs one branch whole, under one new revision if it changes anything.
  /// @return InvalidRequest if a key is put twice; NotFound if a lease does not
  /// exist. Nothing is changed then.
  base::Result<TransactionReply> Execute(const Transaction& aTransaction);

  /// Runs one operation.
  base::Result<OperationReply> Execute(const Operation& aOperation);

  /// @param aId 0: one is chosen.
  /// @return the id; KeyConflict if it is taken.
  base::Result<std::uint64_t> GrantLease(std::uint64_t aId,
                                         base::Duration aTimeToLive,
                                         base::Instant aNow);

  /// @return the time to live granted, or nothing if the lease has lapsed.
  std::optional<base::Duration> KeepLeaseAlive(std::uint64_t aId,
                                               base::Instant aNow);

  /// Deletes a lease with its keys. @return false if there is none.
  bool RevokeLease(std::uint64_t aId);

  /// Revokes what has lapsed.
  void ExpireLeases(base::Instant aNow);

  /// Revokes all leases, as if their holders had been paused for long.
  void ExpireAllLeases();

  /// @return when the next lease lapses, or nothing.
  [[nodiscard]] std::optional<base::Instant> NextExpiry() const;

  /// @return changes in a range from a revision on; nothing if some of them are
  /// forgotten.
  [[nodiscard]] std::optional<std::vector<StoreEvent>> EventsFrom(
    const KeyRange& aRange,
    std::uint64_t aRevision) const;

  /// Forgets the history so far.
  void Compact();
  [[nodiscard]] std::uint64_t CompactRevision() const
  {
    return compactRevision_;
  }

  /// All entries, for keeping and restoring them.
  [[nodiscard]] const std::map<std::string, KeyValueEntry>& Entries() const
  {
    return entries_;
  }
  void Restore(std::uint64_t aRevision, std::vector<KeyValueEntry> aEntries);

private:
  struct Lease
  {
    base::Duration timeToLive_{};
    base::Instant expires_;
    std::set<std::string> keys_;
  };

  [[nodiscard]] bool Holds(const Compare& aCompare) const;
  [[nodiscard]] base::Result<void> Check(
    std::span<const Operation> aOperations) const;
  [[nodiscard]] RangeReply Apply(const RangeOperation& aOperation) const;
  PutReply Apply(const PutOperation& aOperation, std::uint64_t aRevision);
  DeleteReply Apply(const DeleteOperation& aOperation, std::uint64_t aRevision);
  void DeleteKey(const std::string& aKey, std::uint64_t aRevision);
  void Remember(StoreEvent aEvent);

  std::uint64_t revision_ = 1;
  std::uint64_t compactRevision_ = 0; ///< History up to here is forgotten.
  std::uint64_t nextLease_ = 1;
  std::map<std::string, KeyValueEntry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<StoreEvent> history_;
};

} // namespace pumiceturn::standin
