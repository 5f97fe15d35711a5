#pragma once

#include "LibBase/Time.h"
#include "LibBase/WorkerPool.h"
#include "LibConfiguration/ConfigurationCache.h"
#include "LibConfiguration/ConfigurationReplica.h"
#include "LibPlatform/KeyValueClient.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pumiceturn::configuration {

/// How much a process asks of the key-value service by itself.
enum class PlatformUse : std::uint8_t
{
  Watch,      ///< Watches the head, and polls beside it. For entries.
  PollRarely, ///< Hears of changes from peers; polls in case all are silent.
};

/// Keeps a process's configuration at the highest version known to its peers
/// and to the key-value service. Thread-safe.
class ConfigurationFollower
{
public:
  struct Options
  {
    std::string keyPrefix_ = "/pumiceturn/";
    Scope scope_;
    PlatformUse platformUse_ = PlatformUse::PollRarely;
    base::Duration pollInterval_{ base::Duration{ 5000000 } };
    base::Duration fetchTimeout_{ base::Duration{ 1000000 } };
  };

  /// Sends a message to a peer.
  using Send =
    std::function<base::ResultCode(const std::string&, wire::Message)>;

  /// @param aClient, aCache, aPool Outlive the follower, and tasks of the pool
  /// that run when it goes.
  ConfigurationFollower(Options aOptions,
                        platform::KeyValueClient& aClient,
                        ConfigurationCache& aCache,
                        base::WorkerPool& aPool,
                        Send aSend);
  ~ConfigurationFollower();
  ConfigurationFollower(const ConfigurationFollower&) = delete;
  ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

  void Start();

  /// Nothing is sent or installed afterwards, but for what is running now.
  void Stop();

  /// Says how many processes use the service as this one does: for entries, the
  /// entries of the host list.
  void SetPollers(std::size_t aPollers);

  /// A peer's heartbeat carried the version it holds.
  void OnHeartbeatVersion(const std::string& aPeer, std::uint64_t aVersion);

  void OnPeerLost(const std::string& aPeer);

  /// Answers a peer that asks.
  void OnMessage(const std::string& aPeer, wire::FetchConfiguration aRequest);

  /// Takes a peer's answer.
  void OnMessage(const std::string& aPeer, wire::ConfigurationContent aContent);

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace pumiceturn::configuration
