#pragma once

#include "FakeKeyValue.h"
#include "LibBase/Strand.h"
#include "LibJobLog/LogPorts.h"
#include "LibJobLog/LogService.h"
#include "LibPlatform/CallBudget.h"
#include "LibWire/LinkTable.h"
#include "Tests/TemporaryFolder.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pumiceturn::joblog {

/// Keepers in one process that talk over real links on the loopback address and
/// write to real folders on one disk.
class LinkedFleet
{
public:
  struct Options
  {
    std::uint32_t keepers_ = 3;
    std::uint32_t copies_ = 2;
    std::uint32_t minCopies_ = 2;
    std::uint32_t partitions_ = 1;
    base::Duration takeoverAfter_{ base::Duration{ 2000000 } };
    double callsPerSecond_ = 5.0; ///< Each keeper's budget.
  };

  explicit LinkedFleet(Options aOptions);
  ~LinkedFleet();
  LinkedFleet(const LinkedFleet&) = delete;
  LinkedFleet& operator=(const LinkedFleet&) = delete;

  FakeKeyValue& KeyValue() { return keyValue_; }
  void Start(std::size_t aKeeper);
  void Kill(std::size_t aKeeper);
  LogService& Service(std::size_t aKeeper) { return *keepers_[aKeeper]->log_; }
  [[nodiscard]] std::string FolderOf(std::size_t aKeeper) const
  {
    return keepers_[aKeeper]->folder_.Path();
  }

  /// @return the keeper that owns a partition, or kNone.
  [[nodiscard]] std::size_t OwnerOf(std::uint32_t aPartition) const;
  void WaitUntilAllOwned();
  static void WaitUntil(const std::function<bool()>& aCondition);

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

private:
  struct Keeper
  {
    TemporaryFolder folder_;
    partition::PartitionTable table_;
    std::unique_ptr<base::WorkerPool> pool_;
    std::unique_ptr<wire::LinkTable> links_;
    std::mutex budgetMutex_;
    std::unique_ptr<platform::CallBudget> budget_;
    std::mutex logMutex_;
    std::shared_ptr<LogService> log_;
    std::map<std::string, std::unique_ptr<base::Strand>> peers_;
  };

  void StartLinks(std::size_t aKeeper);
  partition::KeyValueAccess LimitedAccess(Keeper& aKeeper);
  LogPorts MakePorts(Keeper& aKeeper);
  static std::shared_ptr<LogService> LogOf(Keeper& aKeeper);

  Options options_;
  FakeKeyValue keyValue_;
  metrics::Registry metrics_;
  std::vector<std::unique_ptr<Keeper>> keepers_;
};

} // namespace pumiceturn::joblog
