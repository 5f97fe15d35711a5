#pragma once

#include "LibFleet/CrashAttribution.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

/// Hosts that send requests to endpoints on virtual time, and tell each other
/// of crashes in messages that take a while and get lost. Some parts of prompts
/// crash each endpoint that begins to answer; endpoints also crash by
/// themselves.
class CrashLoadFixture
{
protected:
  struct Load
  {
    std::size_t hosts_ = 5;
    std::size_t endpoints_ = 18;
    std::size_t badParts_ = 0;
    bool areBadPartsTogether_ = false; ///< In the same requests.
    double badPerSecond_ = 17;
    base::Duration badFrom_{ std::chrono::seconds{ 2 } }; ///< After the start.
    double soundPerSecond_ = 80;
    std::size_t rareParts_ = 300; ///< Of sound requests, beside shared ones.
    /// Endpoints' own crashes.
    double ownCrashesPerSecond_ = 0;
    base::Duration massCrashInterval_{ 0 }; ///< A fifth at once; 0: none.
    double lossRate_ = 0.02;
  };

  struct Outcome
  {
    std::size_t crashesByParts_ = 0;
    /// Requests with a bad part sent later than 1 s after it is refused
    /// somewhere.
    std::size_t lateSends_ = 0;
    std::size_t soundRefused_ = 0; ///< Sound parts ever refused.
    std::size_t badRefused_ = 0;   ///< Bad parts refused at the end.
    std::size_t soundSent_ = 0;
    std::size_t soundBroken_ = 0;
  };

  /// Runs a fleet from its start.
  Outcome Run(const Load& aLoad, base::Duration aTime, std::uint64_t aSeed);

private:
  struct Request
  {
    RequestFeatures features_;
    bool isBad_ = false;
    std::size_t host_ = 0;
    std::size_t attempts_ = 0;
    base::Instant endsAt_;
    base::Instant sentAt_;
  };
  struct Endpoint
  {
    std::string id_;
    std::vector<Request> running_;
    base::Instant upAt_; ///< Down until then.
    std::optional<base::Instant> crashesAt_{};
    bool crashesByPart_ = false;
  };
  struct Message
  {
    std::size_t to_ = 0;
    CrashEvidence evidence_;
    base::Instant sentAt_;
  };

  void Step();
  void Arrive();
  void Send(Request aRequest);
  std::optional<std::size_t> Choose(const CrashAssessment& aAssessment);
  void Answer(Endpoint& aEndpoint);
  void Crash(Endpoint& aEndpoint);
  void CrashByThemselves();
  void Deliver();
  void Broadcast(std::size_t aHost);
  void Update(std::size_t aHost);
  [[nodiscard]] bool IsBad(std::uint64_t aPart) const
  {
    return aPart < load_.badParts_;
  }
  int Draw(int aFrom, int aTo)
  {
    return std::uniform_int_distribution<int>(aFrom, aTo)(random_);
  }
  int DrawArrivals(double aPerSecond)
  {
    constexpr double kStepsPerSecond = 1000;
    return std::poisson_distribution<int>(aPerSecond /
                                          kStepsPerSecond)(random_);
  }

  Load load_;
  Outcome outcome_;
  std::mt19937_64 random_;
  base::Instant now_{ std::chrono::hours{ 1 } };
  std::uint64_t steps_ = 0;
  std::uint64_t lastContent_ = 1'000'000;
  int lastEndpoint_ = 0;
  std::vector<std::unique_ptr<CrashAttribution>> hosts_;
  std::vector<Endpoint> endpoints_;
  std::multimap<base::Instant, Message> messages_;
  std::map<std::uint64_t, base::Instant> refusedAt_;
  std::set<std::uint64_t> soundRefused_;
};

} // namespace pumiceturn::fleet
