#pragma once

#include "LibConfiguration/ConfigurationFollower.h"
#include "LibConfiguration/ConfigurationStore.h"
#include "LibStandin/KeyValueStandin.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::benchmarks {

/// Hosts that follow the configuration against a stand-in, in one process.
/// Messages between them arrive at once; bytes are counted.
class Fleet
{
public:
  struct Options
  {
    int entries_ = 1;
    int keepers_ = 0;
    int agents_ = 0; ///< With the scope of one service.
    base::Duration pollInterval_{ std::chrono::seconds{ 5 } };
  };

  explicit Fleet(Options aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Applies declarations, and waits until every host has them.
  /// @return the time from the start of the apply.
  base::Duration Change(const declarations::Declarations& aAll);

  /// Waits until every entry's watch is open.
  void WaitForWatches();

  /// Bytes of configuration that all hosts took in from peers since the start.
  [[nodiscard]] std::uint64_t PeerBytes();

  /// Calls the hosts made to the key-value service since the start.
  [[nodiscard]] std::uint64_t HostCalls() const;

private:
  struct Host
  {
    std::unique_ptr<platform::KeyValueClient> client_;
    configuration::ConfigurationCache cache_;
    std::unique_ptr<configuration::ConfigurationFollower> follower_;
  };

  void Start(const std::string& aName,
             const Options& aOptions,
             configuration::PlatformUse aUse,
             const configuration::Scope& aScope);
  base::ResultCode Deliver(const std::string& aFrom,
                           const std::string& aTo,
                           wire::Message aMessage);
  void Announce(const std::string& aFrom, std::uint64_t aVersion);
  std::unique_ptr<platform::KeyValueClient> MakeClient(double aCallsPerSecond);
  bool AllHave(std::uint64_t aVersion);

  std::unique_ptr<standin::KeyValueStandin> service_;
  base::WorkerPool pool_{ 4 };
  int entries_ = 0;
  std::mutex mutex_;
  std::condition_variable installed_;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::uint64_t peerBytes_ = 0;
  std::uint64_t version_ = 0;
  std::unique_ptr<platform::KeyValueClient> client_;
  std::unique_ptr<configuration::ConfigurationStore> store_;
};

} // namespace pumiceturn::benchmarks
