#pragma once

#include "Tests/Platform/CallingFixture.h"
#include "Tests/PlatformSoak/FaultProxy.h"
#include "Tests/PlatformSoak/GatewayProcess.h"
#include "platform/Standin/ServerStandin.h"
#include "platform/Standin/StoreStandin.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes against the platform's stand-ins behind fault
/// proxies, injects random faults from a seed while callers send requests and
/// jobs, and checks what callers and servers observe.
class SoakFixture : protected CallingFixture
{
protected:
  SoakFixture();
  ~SoakFixture();

  /// Starts the hosts and applies load and faults for aTime. Then stops the
  /// faults, waits until all calls and jobs have completed, and checks them.
  void Run(std::uint64_t aSeed, std::chrono::seconds aTime);

  /// @return the violated guarantees; empty if all held.
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return violations_;
  }

  /// Counts of the load and the faults, to detect a run that did nothing.
  struct RunCounts
  {
    int completeResponses_ = 0;
    int refusals_ = 0;
    int otherOutcomes_ = 0;
    int jobs_ = 0;
    int items_ = 0;
    int faults_ = 0;
    int restarts_ = 0;
  };
  [[nodiscard]] const RunCounts& Counts() const { return counts_; }

private:
  using json = nlohmann::json;
  using Clock = std::chrono::steady_clock;

  struct Host
  {
    std::uint16_t storePort_ = 0; ///< The store's port for this host alone.
    std::unique_ptr<FaultProxy> storeProxy_;
    std::unique_ptr<GatewayProcess> process_;
    /// Newest configuration version seen since the host's last start.
    int appliedVersion_ = 0;
    Clock::time_point startedAt_;
  };
  struct Server
  {
    std::unique_ptr<ServerStandin> standin_;
    std::unique_ptr<FaultProxy> proxy_;
  };
  struct BatchJob
  {
    std::string id_;
    std::size_t items_ = 0;
    bool isAccepted_ = false;
    Clock::time_point acceptedAt_;
    /// When to send it (again); max() while a call is in flight.
    Clock::time_point sendAt_;
    std::map<std::size_t, std::string> results_; ///< Results read, by position.
  };
  /// A call in flight and its completion handler.
  struct Pending
  {
    std::unique_ptr<CallerCall> call_;
    std::function<void(const CallerCall&)> onEnd_;
  };
  struct ScheduledAction
  {
    Clock::time_point at_;
    std::function<void()> action_;
  };

  void StartFleet();
  void WriteConfiguration();

  // Load.
  void Step();
  void Send(Host& aHost,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aFields,
            const std::string& aBody,
            std::function<void(const CallerCall&)> aOnEnd);
  void SendOnline();
  void ProbeConfiguration();
  void SendJob(BatchJob& aJob);
  void ReadJob(BatchJob& aJob, Host& aHost, std::size_t aPosition);
  void ReadItemBody(const BatchJob& aJob, Host& aHost);

  /// @return whether a host that is asked for a job now must know it.
  [[nodiscard]] static bool MustBeKnown(const BatchJob& aJob,
                                        const Host& aHost);

  // Checks.
  void AddViolation(const std::string& aWhat);
  void CheckOnline(const std::string& aId, const CallerCall& aCall);
  void CheckPage(BatchJob& aJob,
                 std::size_t aPosition,
                 const std::string& aBody);
  void CheckServers();
  void CheckJobs();

  // Faults.
  void InjectFault();
  void KillProcess(Host& aHost);
  void StopProcess(Host& aHost);
  void SuspendProcess(Host& aHost);
  void InjectNetworkFault(FaultProxy& aProxy);
  void InjectStoreFault();

  // Run.
  void RunToCompletion();
  void RunScheduled(bool aAll);
  void RestartEndedProcesses();
  [[nodiscard]] bool AreAllComplete() const;

  std::uint64_t RandomBelow(std::uint64_t aBound);
  Host& RandomEntryHost();
  void RunAfter(std::chrono::milliseconds aTime, std::function<void()> aAction);

  std::filesystem::path folder_;
  StoreStandin store_;
  std::vector<std::unique_ptr<Host>> hosts_; ///< Entry hosts come first.
  std::vector<Server> servers_;
  std::vector<Pending> pending_;
  std::vector<std::unique_ptr<BatchJob>> jobs_;
  std::vector<ScheduledAction> scheduled_;
  std::set<std::string> refused_; ///< Requests that were reported as not run.
  std::set<std::string> nonIdempotent_; ///< Requests that may run at most once.
  std::vector<std::string> violations_;
  RunCounts counts_;
  std::mt19937_64 random_;
  std::uint64_t nextId_ = 0;
  int version_ = 0;
  bool isFaultFree_ = false;
};

} // namespace pumiceturn::adapter
