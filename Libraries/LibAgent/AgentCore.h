#pragma once

#include "LibAgent/EngineReconcilerRunner.h"
#include "LibAgent/StreamRunner.h"
#include "LibConfiguration/ConfigurationCache.h"
#include "LibDispatch/EndpointScheduler.h"
#include "LibDispatch/PrefixCacheTracker.h"
#include "LibNode/Context.h"
#include "LibPlatform/HostDirectory.h"
#include "LibWire/Messages.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace pumiceturn::agent {

/// Reason why this agent refuses new work.
enum class DrainCause : std::uint8_t
{
  Operator,
  HostLeaving, ///< The host list shows this host as leaving.
  Shutdown,
};

/// Connects the endpoint scheduler with links, engine, configuration and clock.
/// Timers and subscriptions hold weak references to it. Thread-safe: one mutex
/// guards the scheduler, and its actions are executed under that mutex to keep
/// their order. Executing an action neither blocks nor calls into this class.
class AgentCore : public std::enable_shared_from_this<AgentCore>
{
public:
  explicit AgentCore(const node::Context& aContext);

  /// Subscribes to the configuration and the host list, and starts the timer.
  void Start();

  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  /// Sets or clears one drain cause. The agent drains while any cause is set.
  void SetDrain(DrainCause aCause, bool aWanted);

  /// @return whether no run is queued, running or unrecorded.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;

  /// Cancels all streams and joins the threads.
  void Stop();

private:
  static constexpr std::size_t kDrainCauses = 3;

  void OnConfiguration(
    const configuration::ConfigurationCache::SnapshotPointer& aSnapshot);
  void OnHosts(const platform::HostDirectory::Snapshot& aHosts);
  void OnTick();
  void RefreshKeepers();
  void ApplyDeclaration(const declarations::Service& aService,
                        const declarations::Endpoint& aEndpoint,
                        std::uint64_t aVersion);
  void CreateRunner(declarations::ServiceType aType);
  void ReconcileEngine();
  void PollCacheEvents();

  /// Executes the scheduler's actions. Requires mutex_.
  void ExecuteActions(dispatch::Actions aActions);
  void Execute(dispatch::StartStream& aStart);
  void Execute(const dispatch::CancelStream& aCancel);
  void Execute(dispatch::SendMessage& aSend);
  void Execute(const dispatch::BroadcastHeartbeat& aBroadcast);
  void Execute(const dispatch::RecordCrash& aCrash);
  void Execute(const dispatch::ProbeEngine& aProbe);
  void Execute(const dispatch::LogDecision& aDecision);

  [[nodiscard]] static dispatch::Moment Now();
  [[nodiscard]] dispatch::EndpointScheduler::Options MakeSchedulerOptions()
    const;
  [[nodiscard]] std::uint32_t PlacesOf(
    const declarations::Endpoint& aEndpoint) const;
  void AddMetrics();

  node::Context context_;
  const std::string service_;
  const std::string endpoint_;

  mutable std::mutex mutex_; ///< Guards the members below, up to loadMutex_.
  dispatch::EndpointScheduler scheduler_;
  std::unique_ptr<StreamRunner> runner_;
  /// Null for a plain service.
  std::shared_ptr<endpoint::EngineClient> engine_;
  EngineReconcilerRunner reconciler_;
  std::string model_;
  std::array<bool, kDrainCauses> drainRequested_{};
  std::uint32_t tickCount_ = 0;
  bool engineHasBeenUp_ = false;
  bool stopped_ = false;

  /// Guards the members below, which heartbeats read; heartbeats must not wait
  /// for the scheduler. Lock order: mutex_, then loadMutex_.
  mutable std::mutex loadMutex_;
  dispatch::SchedulerLoad load_;
  mutable dispatch::PrefixCacheTracker prefixes_;
  std::uint64_t lastCacheEvent_ = 0;
};

} // namespace pumiceturn::agent
