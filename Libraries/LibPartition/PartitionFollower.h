#pragma once

#include "LibBase/Result.h"
#include "LibBase/WorkerPool.h"
#include "LibPartition/KeyValueAccess.h"
#include "LibPartition/PartitionTable.h"

#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::partition {

/// Keeps a PartitionTable at what the key-value service holds: one read of all
/// records, then one watch, and another read only when the watch broke. In a
/// steady state the waiting watch is the only call. Thread-safe.
class PartitionFollower
{
public:
  struct Options
  {
    std::string keyPrefix_;
    /// Count to propose when the fleet has none yet; 0 only waits for it.
    std::uint32_t proposedCount_ = 0;
    base::Duration retryInterval_{ base::Duration{ 1000000 } };
  };

  /// Receives each record that came from the service, without locks held.
  using Changed = std::function<void(const PartitionRecord& aRecord)>;

  /// @param aTable Outlives the follower, as does aPool.
  PartitionFollower(Options aOptions,
                    KeyValueAccess aAccess,
                    PartitionTable& aTable,
                    base::WorkerPool& aPool,
                    Changed aChanged);
  ~PartitionFollower();
  PartitionFollower(const PartitionFollower&) = delete;
  PartitionFollower& operator=(const PartitionFollower&) = delete;

  /// Reads and then watches, on pool threads, until Stop().
  void Start();

  /// Learns the count and reads all records once. Blocks.
  /// @return the revision read; NotFound while no count is agreed.
  base::Result<std::uint64_t> Refresh();

  /// @return whether all records were read once.
  [[nodiscard]] bool HasRead() const;

  /// Begins no further read or handler; one that runs may end later.
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace pumiceturn::partition
