#pragma once

#include "Tests/PlatformSoak/FleetSoakFixture.h"
#include "platform/Standin/ServerStandin.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pumiceturn::adapter {

/// Runs gateway processes while servers crash under requests with certain parts
/// in their prompts, and by themselves, beside hosts that are killed, stopped
/// and suspended, a store that is cut off, configurations and releases. Checks
/// from what servers and callers see that such requests cost few servers and
/// that others are served.
class CrashSoakFixture : protected FleetSoakFixture
{
protected:
  CrashSoakFixture()
    : FleetSoakFixture("crash")
  {
  }

  void Run(std::uint64_t aSeed, std::chrono::seconds aTime);

  struct RunCounts
  {
    int badSent_ = 0;
    int soundSent_ = 0;
    int soundServed_ = 0;
    int crashesByParts_ = 0;
    int ownCrashes_ = 0;
    int lateSends_ = 0; ///< At hosts in touch; some are allowed for each part.
    int configurations_ = 0;
    int releases_ = 0;
  };
  [[nodiscard]] const RunCounts& Counts() const { return counts_; }
  [[nodiscard]] int RestartCount() const { return restarts_; }

private:
  struct Server
  {
    std::string id_;
    std::unique_ptr<ServerStandin> standin_;
    bool isDraining_ = false;
  };
  struct Part
  {
    std::string id_;
    Clock::time_point from_;
    std::vector<Clock::time_point> crashedAt_;
  };
  struct SentRequest
  {
    std::unique_ptr<CallerCall> call_;
    const Host* host_ = nullptr;
    Clock::time_point sentAt_;
    std::size_t part_ = 0; ///< Index of its bad part; kSound: none.
    bool wasInTouch_ = false;
    bool isRepeat_ = false;
  };
  static constexpr std::size_t kSound = SIZE_MAX;

  void WriteConfiguration();
  void AddServer(const std::string& aVersion);
  void SetTrigger(Server& aServer);
  /// @return the index of a request's bad part; kSound: none.
  [[nodiscard]] std::size_t PartOf(const httpstream::Request& aRequest) const;
  void OnCrash(const std::string& aServer);
  void Remove(const std::string& aServer);
  void EndOneServer();
  void Release();
  void Disturb(Host& aHost);
  void DisturbSomething();
  /// @param aPart Index of the bad part; kSound: none.
  void Send(Host& aHost, std::size_t aPart);
  void SendRequests();
  void RepeatFailed();
  [[nodiscard]] bool IsInTouch(const Host& aHost) const;
  void CheckLateSends(std::size_t aPart);
  void CheckServed();

  std::vector<Server> servers_;
  std::vector<Part> parts_;
  std::vector<SentRequest> requests_;
  std::map<std::string, std::size_t> requestsById_;
  std::map<const Host*, Clock::time_point> disturbedUntil_;
  Clock::time_point storeDisturbedUntil_;
  RunCounts counts_;
  int configuration_ = 0;
  int version_ = 1;
  int nextServer_ = 0;
};

} // namespace pumiceturn::adapter
