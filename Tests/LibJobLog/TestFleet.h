#pragma once

#include "FakeKeyValue.h"
#include "LibJobLog/LogPorts.h"
#include "LibJobLog/LogService.h"
#include "Tests/TemporaryFolder.h"

#include "LibBase/Strand.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::joblog {

/// Several log services in one process, with real folders and fake links.
class TestFleet
{
public:
  struct Options
  {
    std::uint32_t keepers_ = 3;
    std::uint32_t copies_ = 2;
    std::uint32_t minCopies_ = 2;
    std::uint32_t partitions_ = 1;
    base::Duration takeoverAfter_{ base::Duration{ 300000 } };
    /// Which keeper's disk is full; kNone for none.
    std::shared_ptr<std::atomic<std::size_t>> fullDisk_ = nullptr;
  };

  /// What a keeper's application saw of one partition.
  struct Seen
  {
    std::uint64_t epoch_ = 0;
    bool isOwned_ = false;
    std::vector<std::string> records_; ///< Replayed, without epochStarted.
  };

  explicit TestFleet(Options aOptions);
  ~TestFleet();
  TestFleet(const TestFleet&) = delete;
  TestFleet& operator=(const TestFleet&) = delete;

  FakeKeyValue& KeyValue() { return keyValue_; }
  LogService& Service(std::size_t aKeeper);
  [[nodiscard]] static std::string NameOf(std::size_t aKeeper);

  /// Ends a keeper's process without any goodbye.
  void Kill(std::size_t aKeeper);
  void Start(std::size_t aKeeper);
  /// As Kill(), and its data folder is emptied.
  void Wipe(std::size_t aKeeper);
  /// Cuts a keeper off from all others, or ends that. It runs on unaware.
  void SetCutOff(std::size_t aKeeper, bool aCutOff);

  /// Waits until a condition holds. @return false after a very long time.
  static bool WaitUntil(const std::function<bool()>& aCondition);
  /// @return the keeper that owns a partition; kNone after a very long time.
  std::size_t WaitForOwner(std::uint32_t aPartition);
  std::size_t WaitForOtherOwner(std::uint32_t aPartition, std::size_t aOld);
  [[nodiscard]] std::size_t OwnerOf(std::uint32_t aPartition);
  std::vector<std::string> CopiesOf(std::uint32_t aPartition);
  Seen SeenBy(std::size_t aKeeper, std::uint32_t aPartition);

  /// Appends and waits for the end.
  base::ResultCode Append(std::size_t aKeeper,
                          std::uint32_t aPartition,
                          std::vector<std::string> aRecords);
  /// Appends, wherever the owner is, until it is acknowledged.
  void AppendUntilAcknowledged(std::uint32_t aPartition,
                               const std::string& aRecord);

  [[nodiscard]] const TemporaryFolder& FolderOf(std::size_t aKeeper) const
  {
    return keepers_[aKeeper]->folder_;
  }

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

private:
  struct Keeper
  {
    TemporaryFolder folder_;
    partition::PartitionTable table_;
    std::shared_ptr<LogService> service_;
    std::map<std::uint32_t, Seen> seen_;
    bool isCutOff_ = false;
  };

  [[nodiscard]] bool IsConnected(std::size_t aFrom, std::size_t aTo);
  base::ResultCode Send(std::size_t aFrom,
                        const std::string& aTo,
                        wire::Message aMessage);
  void TellLinksUp(std::size_t aKeeper);
  LogService::Handlers MakeHandlers(std::size_t aKeeper);
  LogPorts MakePorts(std::size_t aKeeper);
  [[nodiscard]] base::Disk MakeDisk(std::size_t aKeeper) const;

  Options options_;
  FakeKeyValue keyValue_;
  metrics::Registry metrics_;
  base::WorkerPool pool_{ 4 };
  std::mutex mutex_;
  std::vector<std::unique_ptr<Keeper>> keepers_;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<base::Strand>>
    links_;
};

} // namespace pumiceturn::joblog
