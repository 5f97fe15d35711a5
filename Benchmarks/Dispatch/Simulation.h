#pragma once

#include "LibDispatch/EndpointScheduler.h"
#include "LibStandin/EngineModel.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::bench {

/// What arrives at one agent.
struct Workload
{
  double onlinePerSecond_ = 8.0;
  std::uint32_t onlineDeadlineMs_ = 10000;
  std::uint32_t onlineTokens_ = 32;
  std::uint32_t onlinePromptBytes_ = 200;
  std::uint32_t burstSize_ = 0; ///< Online requests that come together.
  base::Duration burstEvery_{ std::chrono::seconds{ 5 } };
  bool hasBatch_ = true;
  std::uint32_t batchTokens_ = 64;
  std::uint32_t batchPromptBytes_ = 400;
  base::Duration cancelDelay_{ 200 }; ///< Until the engine has a cancel.
  base::Duration warmUp_{ std::chrono::seconds{ 5 } };
  base::Duration length_{ std::chrono::seconds{ 900 } };
  std::uint64_t seed_ = 1;
};

struct Outcome
{
  std::vector<double> firstTokenMs_;
  std::vector<double> betweenTokensMs_;
  double onlinePlaceSeconds_ = 0.0; ///< Places times time, at the engine.
  double batchPlaceSeconds_ = 0.0;
  double totalPlaceSeconds_ = 0.0;
  std::uint64_t onlineTokens_ = 0;
  std::uint64_t batchTokens_ = 0;
  std::uint64_t onlineFinished_ = 0;
  std::uint64_t batchFinished_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t preempted_ = 0;
  double idleToFullMs_ = 0.0;      ///< From the demand to the last place.
  std::uint32_t waitingSteps_ = 0; ///< Begun while a request waited there.
};

/// One agent and one engine in virtual time: the gate as it is, the engine by
/// the stand-in's model, links and HTTP by constant delays.
class Simulation
{
public:
  /// @param aHeadroomShare Most places that the gate keeps free, as a share.
  Simulation(dispatch::Policy aPolicy,
             double aHeadroomShare,
             standin::EngineModelOptions aEngine,
             Workload aWorkload);

  Outcome Run();

private:
  using Task = std::function<void()>;

  struct Event
  {
    base::Instant time_;
    std::uint64_t order_ = 0;
    Task task_;

    bool operator>(const Event& aOther) const
    {
      return std::pair{ time_, order_ } >
             std::pair{ aOther.time_, aOther.order_ };
    }
  };

  struct OnlineRequest
  {
    base::Instant arrived_;
    base::Instant lastToken_;
    bool hasFirst_ = false;
  };

  void At(base::Instant aTime, Task aTask);
  void After(base::Duration aDelay, Task aTask);
  [[nodiscard]] dispatch::Moment Now() const;
  [[nodiscard]] bool IsMeasured() const;

  void ScheduleOnline();
  void ScheduleBurst();
  void SendOnline();
  void ScheduleTick();
  void OnGrant(std::uint64_t aGranted);
  void SendBatch();
  void Do(dispatch::Actions aActions);
  void OnEnd(const wire::RunEnded& aEnd);
  void NoteToken(const wire::RunId& aRun);

  void Submit(const dispatch::StartStream& aStart);
  void Cancel(const dispatch::StreamId& aStream);
  void BeginStep();
  void EndStep(base::Duration aLength);
  void Deliver(const standin::Emission& aEmission);

  standin::EngineModelOptions engineOptions_;
  Workload workload_;
  standin::EngineModel engine_;
  dispatch::EndpointScheduler gate_;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextOrder_ = 0;
  base::Instant start_{ std::chrono::hours{ 1 } };
  base::Instant now_ = start_;
  bool stepping_ = false;
  std::uint64_t nextJob_ = 1;
  std::uint64_t sentBatch_ = 0;
  std::map<wire::RunId, OnlineRequest> online_;
  std::map<std::string, dispatch::StreamId> streams_;
  std::size_t batchAtEngine_ = 0;
  std::size_t onlineAtEngine_ = 0;
  Outcome outcome_;
};

} // namespace pumiceturn::bench
