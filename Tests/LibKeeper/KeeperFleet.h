#pragma once

#include "LibBase/Strand.h"
#include "LibKeeper/KeeperFunction.h"
#include "LibStandin/KeyValueStandin.h"

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::keeper {

/// A process other than a keeper: real links, and a handler for received
/// messages.
class TestPeer
{
public:
  using Handler =
    std::function<void(const std::string& aPeer, const wire::Message&)>;

  TestPeer(const std::string& aName, Handler aHandler);

  [[nodiscard]] std::string Address() const { return links_->ListenAddress(); }
  void Connect(const std::string& aPeer, const std::string& aAddress)
  {
    links_->Connect(aPeer, aAddress);
  }
  base::ResultCode Send(const std::string& aPeer, wire::Message aMessage)
  {
    return links_->Send(aPeer, std::move(aMessage));
  }

private:
  Handler handler_;
  std::unique_ptr<wire::LinkTable> links_;
};

/// Agent that grants a few credits at a time and ends each run with a
/// result made from its payload. The number of finished runs can be limited,
/// and unrecorded results can be resent.
class TestAgent
{
public:
  explicit TestAgent(const std::string& aName);

  [[nodiscard]] std::string Address() const { return peer_->Address(); }

  /// Finishes a number of further runs and leaves later ones unfinished.
  void FinishAtMost(std::size_t aRuns);
  /// Finishes all unfinished and later runs.
  void FinishAll();

  /// Sends all results that are not acknowledged as recorded to a keeper.
  void ResendUnrecorded(const std::string& aKeeper);

  /// @return whether at least aCount runs are unfinished before the timeout.
  bool WaitForUnfinished(std::size_t aCount);

private:
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void Finish(const std::string& aPeer, const wire::StartRun& aStart);
  void Attach(const std::string& aPeer, const wire::RunId& aRun);
  void Grant(const std::string& aPeer);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t allowed_ = 0;
  bool finishesAll_ = true;
  std::map<std::string, std::uint64_t> granted_;
  std::map<std::string, std::uint64_t> started_;
  std::vector<std::pair<std::string, wire::StartRun>> unfinishedRuns_;
  std::map<wire::RunId, wire::RunEnded> unrecorded_;
  std::unique_ptr<TestPeer> peer_;
};

/// A keeper with a real log, links and platform client.
class TestKeeper
{
public:
  TestKeeper(const std::string& aName,
             const std::string& aFolder,
             int aKeyValuePort);
  ~TestKeeper();
  TestKeeper(const TestKeeper&) = delete;
  TestKeeper& operator=(const TestKeeper&) = delete;

  [[nodiscard]] std::string Address() const { return links_->ListenAddress(); }
  void Start(const declarations::Configuration& aConfiguration,
             const std::vector<std::pair<std::string, std::string>>& aKeepers);

private:
  static settings::Settings MakeSettings(const std::string& aName,
                                         const std::string& aFolder);
  void Post(const std::string& aPeer, base::WorkerPool::Task aTask);

  settings::Settings settings_;
  base::WorkerPool pool_{ 3 };
  std::mutex strandsMutex_;
  std::map<std::string, base::Strand> strands_;
  metrics::Registry metrics_;
  std::unique_ptr<platform::KeyValueClient> keyValue_;
  platform::HostDirectory hosts_;
  configuration::ConfigurationCache configuration_;
  partition::PartitionTable partitions_;
  routing::QuarantineTable quarantine_;
  std::unique_ptr<wire::LinkTable> links_;
  std::unique_ptr<KeeperFunction> keeper_;
  std::atomic<bool> started_{ false };
};

/// Three keepers in three failure domains, one agent and one entry, in one
/// process over loopback.
class KeeperFleet
{
public:
  KeeperFleet();
  ~KeeperFleet();

  /// Submits a batch job frame by frame.
  /// @return whether it was accepted before the timeout.
  bool Submit(const wire::JobDescription& aJob, std::uint32_t aFrameItems);

  /// Reads results until the job has ended or aItems results were read.
  /// @return the results read before the timeout.
  std::vector<wire::ItemResult> ReadAll(const base::JobId& aJob,
                                        std::size_t aItems);

  /// @return the keeper that replied last, or the owner that it named.
  [[nodiscard]] std::string LastOwner() const { return owner_; }

  /// Destroys a keeper.
  void Kill(const std::string& aName) { keepers_.erase(aName); }

  [[nodiscard]] std::vector<std::string> Keepers() const;

  std::unique_ptr<TestAgent> agent_;

private:
  template<typename Reply, typename Request>
  bool Call(Request aRequest, Reply& aReply);
  void OnReply(const std::string& aPeer, const wire::Message& aMessage);

  std::string folder_;
  std::unique_ptr<standin::KeyValueStandin> keyValue_;
  std::map<std::string, std::unique_ptr<TestKeeper>> keepers_;
  std::mutex mutex_;
  std::condition_variable replied_;
  std::map<std::uint64_t, wire::Message> replies_;
  std::uint64_t nextCall_ = 1;
  std::string owner_ = "keeper-1";
  std::unique_ptr<TestPeer> entry_;
};

} // namespace pumiceturn::keeper
