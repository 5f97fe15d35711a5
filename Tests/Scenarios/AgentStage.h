#pragma once

#include "LibDispatch/EndpointScheduler.h"
#include "LibRouting/QuarantineTable.h"
#include "LibRouting/RunAssembler.h"
#include "LibStandin/EngineModel.h"
#include "Scenarios/Arguments.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::scenarios {

/// Agents' gates before modelled engines, in virtual time. Entries and keepers
/// are played: what they send comes from steps, and each end is recorded at
/// once. Crashes are told from agent to agent, as heartbeats do.
class AgentStage
{
public:
  explicit AgentStage(Arguments& aArguments);

  void Call(Arguments& aArguments);
  void Submit(Arguments& aArguments);
  void Fault(Arguments& aArguments);
  void Advance(base::Duration aTime);
  std::string Observe(const std::string& aSubject, const std::string& aField);

private:
  struct Request
  {
    std::string agent_;
    std::string peer_;
    wire::StartRun order_;
    base::Instant arrived_;
    std::optional<base::Instant> firstToken_;
    std::uint32_t runs_ = 0; ///< Streams that reached an engine.
    std::vector<wire::RunEnded> ends_;
    routing::RunAssembler chunks_;
  };

  struct Agent
  {
    std::string name_;
    std::unique_ptr<dispatch::EndpointScheduler> gate_;
    std::unique_ptr<standin::EngineModel> engine_;
    routing::QuarantineTable quarantine_;
    std::map<std::string, dispatch::StreamId> streams_; ///< At the engine.
    std::optional<base::Instant> stepEnds_;
    base::Instant upAt_; ///< The engine refuses until then.
    std::uint64_t nextStream_ = 1;
    std::uint32_t crashes_ = 0;
  };

  void AddAgent(const std::string& aName,
                std::uint32_t aPlaces,
                dispatch::Policy aPolicy);
  Agent& AgentOf(const std::string& aName);
  void Order(const std::string& aName,
             Arguments& aArguments,
             wire::StartRun aOrder);

  /// Carries out actions; what answers them follows after them.
  void Do(Agent& aAgent, const dispatch::Actions& aActions);
  void Carry(Agent& aAgent, const dispatch::StartStream& aStart);
  void Carry(Agent& aAgent, const dispatch::CancelStream& aCancel);
  void Carry(Agent& aAgent, const dispatch::SendMessage& aSend);
  void Carry(Agent& aAgent, const dispatch::RecordCrash& aCrash);
  void Carry(Agent& aAgent, const dispatch::ProbeEngine& aProbe);
  static void Carry(Agent& /*aAgent*/, const dispatch::BroadcastHeartbeat&) {}
  static void Carry(Agent& /*aAgent*/, const dispatch::LogDecision&) {}
  void EndStream(Agent& aAgent,
                 dispatch::StreamId aStream,
                 dispatch::StreamResult aResult);
  void RunReactions();

  void BeginStep(Agent& aAgent);
  void EndStep(Agent& aAgent);
  void Crash(Agent& aAgent);

  Request* FindRun(const wire::RunId& aRun);
  std::string ObserveAgent(Agent& aAgent, const std::string& aField) const;
  std::string ObserveRequest(const Request& aRequest,
                             const std::string& aField) const;
  std::string ObserveLot(const std::string& aLot, const std::string& aField);

  static constexpr base::Instant kStart{ std::chrono::hours{ 1 } };
  static constexpr base::WallTime kWallStart{ std::chrono::hours{ 500'000 } };

  dispatch::Moment now_{ kStart, kWallStart };
  base::Instant nextTick_;
  base::Duration engineRestart_{ std::chrono::seconds{ 1 } };
  std::map<std::string, Agent> agents_;
  std::map<std::string, Request> requests_; ///< Items as "lot/3".
  std::map<std::string, std::uint32_t> lots_;
  std::deque<std::function<void()>> reactions_;
  std::uint64_t nextAttempt_ = 1;
};

} // namespace pumiceturn::scenarios
