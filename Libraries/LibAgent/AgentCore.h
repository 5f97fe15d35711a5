#pragma once

#include "LibAgent/EngineOrders.h"
#include "LibAgent/StreamRunner.h"
#include "LibConfiguration/ConfigurationCache.h"
#include "LibDispatch/Gate.h"
#include "LibDispatch/PrefixBook.h"
#include "LibNode/Context.h"
#include "LibPlatform/HostDirectory.h"
#include "LibWire/Messages.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::agent {

/// Who wants this agent to refuse new work.
enum class DrainCause : std::uint8_t
{
  Operator,
  HostList,
  Shutdown,
};

/// Connects the gate with links, engine, configuration and clock. Shared by the
/// timers, subscriptions and streams that call into it. Thread-safe: one lock
/// around the gate, under which its actions are also carried out, so that their
/// order is kept; none of them blocks or calls back.
class AgentCore : public std::enable_shared_from_this<AgentCore>
{
public:
  explicit AgentCore(const node::Context& aContext);

  /// Subscribes to configuration and host list and starts the timers.
  void Begin();

  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  void SetDrain(DrainCause aCause, bool aWanted);

  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;

  /// Ends streams and threads; what was not finished stays so.
  void Stop();

private:
  static constexpr std::size_t kDrainCauses = 3;

  void OnConfiguration(
    const configuration::ConfigurationCache::SnapshotPointer& aSnapshot);
  void OnHosts(const platform::HostDirectory::Snapshot& aHosts);
  void OnTick();
  void RefreshKeepers();
  void Declare(const declarations::Service& aService,
               const declarations::Endpoint& aEndpoint,
               std::uint64_t aVersion);
  void MakeRunner(declarations::ServiceType aType);
  void RunOrders();
  void PollCacheEvents();

  /// Carries out what the gate decided. Called with mutex_ held.
  void Do(dispatch::Actions aActions);
  void Carry(dispatch::StartStream& aStart);
  void Carry(const dispatch::CancelStream& aCancel);
  void Carry(dispatch::SendMessage& aSend);
  void Carry(const dispatch::SpreadHeartbeat& aSpread);
  void Carry(const dispatch::RecordCrash& aCrash);
  void Carry(const dispatch::ProbeEngine& aProbe);
  void Carry(const dispatch::LogDecision& aDecision);

  [[nodiscard]] static dispatch::Moment Now();
  [[nodiscard]] dispatch::Gate::Options MakeGateOptions() const;
  [[nodiscard]] std::uint32_t PlacesOf(
    const declarations::Endpoint& aEndpoint) const;
  void AddMetrics();

  node::Context context_;
  const std::string service_;
  const std::string endpoint_;

  mutable std::mutex mutex_; ///< Guards the gate and what follows.
  dispatch::Gate gate_;
  std::unique_ptr<StreamRunner> runner_;
  std::shared_ptr<endpoint::EngineClient> engine_; ///< Null: plain service.
  EngineOrders orders_;
  std::string model_;
  std::array<bool, kDrainCauses> drains_{};
  std::uint32_t ticks_ = 0;
  bool wasUp_ = false;
  bool stopped_ = false;

  /// Guards what heartbeats read; they must not wait for the gate. Taken after
  /// mutex_.
  mutable std::mutex loadMutex_;
  dispatch::GateLoad load_;
  mutable dispatch::PrefixBook prefixes_; ///< With what each peer was told.
  std::uint64_t lastCacheEvent_ = 0;
};

} // namespace pumiceturn::agent
