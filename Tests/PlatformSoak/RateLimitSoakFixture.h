#pragma once

#include "LibHttpStream/ConnectionPool.h"
#include "Tests/PlatformSoak/FleetSoakFixture.h"
#include "Tests/PlatformSoak/WindowCheck.h"
#include "platform/Standin/ServerStandin.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes while organisations send many times their limits to
/// all hosts, and hosts are killed, restarted, suspended and cut off from the
/// store. Compares what reached the servers in each window with the limits.
class RateLimitSoakFixture : protected FleetSoakFixture
{
protected:
  RateLimitSoakFixture();
  ~RateLimitSoakFixture();

  struct Size
  {
    std::size_t entryHosts_ = 20;
    std::size_t workers_ = 2;
  };

  /// Starts the hosts and applies load and faults for aTime.
  void Run(std::uint64_t aSeed, std::chrono::seconds aTime, Size aSize);

  /// What an organisation sent, and what became of it.
  struct Result
  {
    std::string name_;
    double rate_ = 0;
    std::size_t sent_ = 0;
    std::size_t ran_ = 0;
    std::size_t overLimit_ = 0; ///< Responses that it is over its limit.
    std::size_t mostInWindow_ = 0;
    double bound_ = 0; ///< Most requests that a window may hold.
  };
  [[nodiscard]] std::vector<Result> Results();

  [[nodiscard]] int FaultCount() const { return faults_; }
  [[nodiscard]] int RestartCount() const { return restarts_; }

private:
  struct Organisation
  {
    std::string name_;
    double rate_ = 0; ///< Limit and burst, requests a second.
    /// Highest limit that was in force within the last windows.
    double highestRate_ = 0;
    double sentPerSecond_ = 0;
    double due_ = 0; ///< Requests to send, fractions included.
    std::size_t sent_ = 0;
    std::size_t overLimit_ = 0;
  };
  class Caller;

  void DeclareLimits();
  void StartFleet(Size aSize);
  void Step();
  void SendDueRequests(std::chrono::duration<double> aPassed);
  void Send(std::size_t aOrganisation);
  void EndCall(Caller& aCaller);
  void InjectFault();
  /// Kills hosts and starts them again within a time of each other.
  void KillAndRestart(bool aEntryHosts, bool aWorkers);
  void ChangeLimit();
  void CheckLimits();
  [[nodiscard]] std::vector<RunRequest> RequestsOf(const std::string& aName);
  [[nodiscard]] static double BoundFor(double aRate);

  std::unique_ptr<ServerStandin> server_;
  std::vector<Organisation> organisations_;
  httpstream::ConnectionPool connections_{ context_.get_executor() };
  std::vector<std::unique_ptr<Caller>> callers_;
  std::map<std::string, Clock::time_point> sentAt_; ///< By request.
  Clock::time_point steppedAt_;
  int version_ = 0;
  int faults_ = 0;
};

} // namespace pumiceturn::adapter
