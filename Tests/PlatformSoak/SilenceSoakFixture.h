#pragma once

#include "Tests/PlatformSoak/AnswerCheck.h"
#include "Tests/PlatformSoak/CallerConnection.h"
#include "Tests/PlatformSoak/FleetSoakFixture.h"
#include "platform/Standin/ServerStandin.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes while sound servers fall silent for a time and go on,
/// beside configurations, releases and restarts of hosts in series. Callers
/// keep their connections, pipeline, and send and read slowly. Checks from what
/// callers get and what servers would have sent that no answer is lost.
class SilenceSoakFixture : protected FleetSoakFixture
{
protected:
  SilenceSoakFixture();

  /// Starts the hosts and applies load and planned work for aTime. Then waits
  /// until all requests have ended, and checks them.
  void Run(std::uint64_t aSeed, std::chrono::seconds aTime);

  struct RunCounts
  {
    int closedWhileIdle_ = 0; ///< Kept connections closed within the time that
                              ///< the caller knew.
    int silences_ = 0;
    int configurations_ = 0;
    int releases_ = 0;
    int stops_ = 0;
  };
  [[nodiscard]] const RunCounts& Counts() const { return counts_; }
  [[nodiscard]] const AnswerCheck::Counts& Answers() const { return answers_; }
  [[nodiscard]] int RestartCount() const { return restarts_; }

private:
  struct Server
  {
    std::string id_;
    std::unique_ptr<ServerStandin> standin_;
  };

  /// A process of a host.
  using Incarnation = std::pair<const Host*, int>;

  struct SentRequest
  {
    std::shared_ptr<SoakRequest> request_;
    Incarnation incarnation_;
  };

  void StartFleet();
  void WriteConfiguration();
  void AddServer(const std::string& aVersion);

  // Load.
  /// Opens connections and keeps using each until it closes.
  boost::asio::awaitable<void> RunCaller();
  std::shared_ptr<SoakRequest> MakeRequest(Incarnation aIncarnation,
                                           CallerConnection::ReadPace aPace);
  /// Makes one request, or a few that are pipelined.
  CallerConnection::Requests MakeRequests(Incarnation aIncarnation,
                                          CallerConnection::ReadPace aPace);
  [[nodiscard]] Host* DrawHostInRotation();
  [[nodiscard]] std::chrono::milliseconds DrawIdleTime();

  // Planned work and silence.
  void SilenceServers();
  void DoPlannedWork();
  void BeginRelease();
  void StopHost(Host& aHost);

  // Checks.
  void Settle();
  void CheckAnswers();

  std::vector<Server> servers_;
  std::vector<Server> drainedServers_; ///< Go on serving.
  std::vector<SentRequest> requests_;
  std::map<Incarnation, Clock::time_point> stoppedAt_; ///< SIGTERM.
  RunCounts counts_;
  AnswerCheck::Counts answers_;
  int configuration_ = 0;
  int idleTimeoutMs_ = 0;
  int formerIdleTimeoutMs_ = 0;
  Clock::time_point configuredAt_;
  int version_ = 1;
  int nextServer_ = 0;
  int callers_ = 0; ///< Callers that haven't finished.
  bool isEnding_ = false;
  bool mayDisturbStore_ = false;
  bool maySuspendHosts_ = false;
};

} // namespace pumiceturn::adapter
