#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::partition {

/// Who may write a partition's log, as agreed in the platform's key-value
/// service.
struct PartitionRecord
{
  std::uint32_t partition_ = 0;
  std::string owner_;       ///< Host name.
  std::uint64_t epoch_ = 0; ///< Grows with each change of owner.
  std::vector<std::string>
    copies_;            ///< Keepers whose copy is whole; owner included.
  std::string writeId_; ///< Of the write that made this record.
  std::uint64_t modRevision_ = 0;

  bool operator==(const PartitionRecord&) const = default;
};

/// This process's view of all partitions, fed by a watch on the key-value
/// service, by polls and by hints of peers. An older epoch never replaces a
/// newer one. Thread-safe.
class PartitionTable
{
public:
  PartitionTable();
  ~PartitionTable();
  PartitionTable(const PartitionTable&) = delete;
  PartitionTable& operator=(const PartitionTable&) = delete;

  /// @return 0 until the fleet's count is known.
  [[nodiscard]] std::uint32_t Count() const;
  void SetCount(std::uint32_t aCount);

  /// @return the owner's host name, or empty.
  [[nodiscard]] std::string OwnerOf(std::uint32_t aPartition) const;
  [[nodiscard]] PartitionRecord Get(std::uint32_t aPartition) const;
  [[nodiscard]] std::vector<PartitionRecord> All() const;

  /// Takes over a record with a higher modification revision than the one held.
  void Update(const PartitionRecord& aRecord);

  /// Remembers, for routing only, that a peer named another owner, until the
  /// next Update() of the partition.
  void Hint(std::uint32_t aPartition, const std::string& aOwner);

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::partition
