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

/// Runs the real programs as processes, with the platform's stand-ins behind
/// proxies, injects faults drawn from a seed while callers send requests and
/// jobs, and checks what callers and servers see.
class SoakFixture : protected CallingFixture
{
protected:
  SoakFixture();
  ~SoakFixture();

  /// Faults and load for a time, then calm until all is answered.
  void Play(std::uint64_t aSeed, std::chrono::seconds aTime);

  /// @return what was broken; empty where all promises held.
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return violations_;
  }

  /// What was played, so that a soak that does nothing is seen.
  struct Tally
  {
    int wholeAnswers_ = 0;
    int refusals_ = 0;
    int otherEnds_ = 0;
    int jobs_ = 0;
    int items_ = 0;
    int faults_ = 0;
    int restarts_ = 0;
  };
  [[nodiscard]] const Tally& Played() const { return tally_; }

private:
  using json = nlohmann::json;
  using Clock = std::chrono::steady_clock;

  struct Host
  {
    std::uint16_t storePort_ = 0; ///< The store's own port for this host.
    std::unique_ptr<FaultProxy> wayToStore_;
    std::unique_ptr<GatewayProcess> process_;
    int inForce_ = 0; ///< Newest version seen since its last start.
    Clock::time_point startedAt_;
  };
  struct Server
  {
    std::unique_ptr<ServerStandin> standin_;
    std::unique_ptr<FaultProxy> way_;
  };
  struct BatchJob
  {
    std::string id_;
    std::size_t items_ = 0;
    bool isAccepted_ = false;
    Clock::time_point acceptedAt_;
    Clock::time_point sendAt_;
    std::map<std::size_t, std::string> results_; ///< Seen, by position.
  };
  /// A call under way and what is done with its answer.
  struct Pending
  {
    std::unique_ptr<CallerCall> call_;
    std::function<void(const CallerCall&)> onEnd_;
  };
  struct Undo
  {
    Clock::time_point at_;
    std::function<void()> action_;
  };

  void StartFleet();
  void WriteConfiguration();

  // Load.
  void Step();
  void Ask(Host& aHost,
           const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aFields,
           const std::string& aBody,
           std::function<void(const CallerCall&)> aOnEnd);
  void SendOnline();
  void SendProbeOfConfiguration();
  void SendJob(BatchJob& aJob);
  void ReadJob(BatchJob& aJob, Host& aHost, std::size_t aPosition);
  void ReadBody(const BatchJob& aJob, Host& aHost);

  /// @return whether a host must know a job that it is asked for now.
  [[nodiscard]] static bool MustBeKnown(const BatchJob& aJob,
                                        const Host& aHost);

  // Checks.
  void Violate(const std::string& aWhat);
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
  void FreezeProcess(Host& aHost);
  void HarmWay(FaultProxy& aWay);
  void HarmStore();
  void EndFaults();
  void RunUndos(bool aAll);
  void RestartEnded();
  [[nodiscard]] bool IsAllAnswered() const;

  std::uint64_t Draw(std::uint64_t aBound);
  Host& DrawEntry();
  void After(std::chrono::milliseconds aTime, std::function<void()> aAction);

  std::filesystem::path folder_;
  StoreStandin store_;
  std::vector<std::unique_ptr<Host>> hosts_; ///< Entry hosts come first.
  std::vector<Server> servers_;
  std::vector<Pending> pending_;
  std::vector<std::unique_ptr<BatchJob>> jobs_;
  std::vector<Undo> undos_;
  std::set<std::string> refused_; ///< Requests that were said not to have run.
  std::set<std::string> once_;    ///< Requests that may run once.
  std::vector<std::string> violations_;
  Tally tally_;
  std::mt19937_64 random_;
  std::uint64_t nextId_ = 0;
  int version_ = 0;
  bool isCalm_ = false;
};

} // namespace pumiceturn::adapter
