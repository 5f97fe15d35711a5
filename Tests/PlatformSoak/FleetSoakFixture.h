#pragma once

#include "Tests/Platform/CallingFixture.h"
#include "Tests/PlatformSoak/FaultProxy.h"
#include "Tests/PlatformSoak/GatewayProcess.h"
#include "platform/Standin/StoreStandin.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes against a stand-in of the platform's store, draws
/// from a seed, and applies faults and delayed actions. Base of the soaks.
class FleetSoakFixture : protected CallingFixture
{
protected:
  using Clock = std::chrono::steady_clock;

  struct Host
  {
    std::unique_ptr<FaultProxy> storeProxy_;
    std::uint16_t storePort_ = 0;
    std::unique_ptr<GatewayProcess> process_;
    Clock::time_point startedAt_;
    /// When to start the process again; std::nullopt: it runs.
    std::optional<Clock::time_point> startAt_;
    /// Tells connections to the former process from those to the new one.
    int incarnation_ = 0;
  };

  /// @param aName Part of the name of the folder with the hosts' logs.
  explicit FleetSoakFixture(const std::string& aName);
  ~FleetSoakFixture();

  /// @return the violated guarantees; empty if all held.
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return violations_;
  }

  [[nodiscard]] const std::filesystem::path& LogFolder() const
  {
    return folder_;
  }

  /// Prints the violations and where the logs are, if there are any.
  void PrintViolations(std::uint64_t aSeed) const;

  /// Starts the hosts of a fleet, each with its own connection to the store.
  /// @param aSettings Bounds of all hosts; the other fields are overwritten.
  void StartHosts(std::size_t aEntryHosts,
                  std::size_t aWorkers,
                  const GatewayProcess::HostSettings& aSettings);

  /// Runs the event loop for a step, then the actions that are due and the
  /// hosts that are to start again.
  void RunStep();

  void RunAfter(std::chrono::milliseconds aTime, std::function<void()> aAction);

  /// Kills a host; it starts again after a time.
  void KillHost(Host& aHost, std::chrono::milliseconds aDownTime);

  /// Kills a worker, which starts again without its data.
  void WipeHost(Host& aHost, std::chrono::milliseconds aDownTime);

  /// Ends a host with SIGTERM, and with SIGKILL if it takes longer than its
  /// grace period. It starts again as soon as it has ended.
  void TerminateHost(Host& aHost);

  /// Sends SIGHUP to a host that is to keep running.
  void HangUpHost(const Host& aHost);

  /// Suspends a third of the hosts for a time.
  void SuspendHosts();

  struct StoreDisturbance
  {
    int maxJitterMs_ = 0;
    int oneIn_ = 1; ///< One in this many hosts is cut off or refused.
    int maxMs_ = 0;
  };

  /// Delays the store's answers, or cuts hosts off from the store, or lets the
  /// store refuse them.
  void DisturbStore(const StoreDisturbance& aDisturbance);

  /// Lets the store lose answers to writes, connections, history or the hosts'
  /// leased keys, or answer late.
  void LoseStoreAnswers();

  /// Adds a violation for each host that ended by itself.
  void CheckProcesses();

  [[nodiscard]] std::chrono::milliseconds Draw(int aMinMs, int aMaxMs);
  [[nodiscard]] bool DrawOneIn(int aCount)
  {
    return Draw(1, aCount).count() == 1;
  }
  [[nodiscard]] Host& DrawEntryHost();

  StoreStandin store_;
  std::vector<std::unique_ptr<Host>> hosts_; ///< Entry hosts come first.
  std::size_t entryHosts_ = 0;
  std::vector<std::string> violations_;
  std::mt19937_64 random_;
  int restarts_ = 0;

private:
  struct ScheduledAction
  {
    Clock::time_point at_;
    std::function<void()> action_;
  };

  void StartHost(Host& aHost);
  void RunScheduled();
  void DelayStore();
  void RevokeHostKeys();

  std::filesystem::path folder_;
  std::vector<ScheduledAction> scheduled_;
};

} // namespace pumiceturn::adapter
