#pragma once

#include "Tests/Platform/GatewayFixture.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Several hosts and endpoints that crash when they begin to answer a request
/// whose prompt has a certain part. They are back after some seconds. Callers
/// send such requests, no two alike, and sound ones, and repeat failed ones at
/// another host.
class PromptPartFixture : protected GatewayFixture
{
protected:
  using Clock = std::chrono::steady_clock;

  /// How callers and endpoints behave.
  struct Traffic
  {
    std::string badPart_ = "bad";
    std::chrono::milliseconds badInterval_{ 60 };
    std::chrono::milliseconds soundInterval_{ 40 };
    std::chrono::milliseconds crashDelay_{ 90 };
    std::uint64_t eventsBeforeCrash_ = 0;
  };

  /// Endpoints that crash this often are the most that a part may cost before
  /// its requests are held back.
  static constexpr std::size_t kMaxCrashes = 5;

  /// Time until the hosts know of what one of them observed.
  static constexpr std::chrono::seconds kContactTime{ 3 };

  void StartFleet(std::size_t aHosts, std::size_t aEndpoints);

  /// Starts a host and waits until it is ready.
  TestHost& StartReadyHost(const std::string& aName);

  /// Sends both kinds of requests for a time.
  void Run(const Traffic& aTraffic, std::chrono::milliseconds aTime);

  /// Waits until all calls have ended.
  void Settle();

  /// @return how often requests with a part reached endpoints later than
  ///         kContactTime after the crash number kMaxCrashes.
  [[nodiscard]] std::size_t LateSends(const std::string& aPart) const;

  [[nodiscard]] std::size_t CrashCount() const { return crashedAt_.size(); }

  /// @return how many requests with a part reached endpoints.
  [[nodiscard]] std::size_t Sends(const std::string& aPart) const;

  /// Lets no request crash endpoints any more, nor those that start later.
  void RepairServers();

  /// Sends one request with the part and waits for its end.
  /// @return its call.
  const CallerCall& SendBadAndWait(std::size_t aHost);

  /// @return the share of the sound requests begun after a time that got their
  ///         whole response at the first try.
  [[nodiscard]] double ServedShare(Clock::time_point aSince) const;

  struct Call
  {
    std::unique_ptr<CallerCall> call_;
    Clock::time_point sentAt_;
    std::size_t host_ = 0;
    bool isSound_ = false;
    bool isRepeat_ = false;
  };

  Call& SendPrompt(std::size_t aHost, const std::string& aParts);

  std::vector<std::unique_ptr<Call>> calls_;
  std::vector<Clock::time_point> crashedAt_;

private:
  [[nodiscard]] std::size_t SendsSince(const std::string& aPart,
                                       Clock::time_point aSince) const;
  void AddCrashingServer();
  void SetCrashTrigger(ServerStandin& aServer, const std::string& aName);
  void OnCrash(const std::string& aServer);
  void RepeatFailed();

  std::size_t startedServers_ = 0;
  std::size_t sent_ = 0;
  Traffic traffic_;
  bool areServersRepaired_ = false;
};

} // namespace pumiceturn::adapter
