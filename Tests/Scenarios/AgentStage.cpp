#include "Scenarios/AgentStage.h"

#include "Scenarios/Names.h"

#include "LibStandin/EngineAnswer.h"

#include <algorithm>

namespace pumiceturn::scenarios {

namespace {

using dispatch::StreamEnd;
using dispatch::StreamResult;

constexpr const char* kService = "origin-llm";

dispatch::Policy
ParsePolicy(const std::string& aName)
{
  if (aName == "gate") {
    return dispatch::BurstHeadroom{};
  }
  if (aName == "engine_order") {
    return dispatch::PassThrough{};
  }
  if (aName == "strict_priority") {
    return dispatch::StrictPriority{};
  }
  throw ScenarioError("unknown policy " + aName);
}

StreamEnd
EndOf(StreamResult aResult)
{
  switch (aResult) {
    case StreamResult::Finished:
      return {};
    case StreamResult::NotSent:
      return { aResult, base::Ran::NotRun, base::ResultCode::NoEndpoint, "" };
    case StreamResult::Cancelled:
      return { aResult, base::Ran::Unknown, base::ResultCode::Cancelled, "" };
    default:
      return {
        aResult, base::Ran::Unknown, base::ResultCode::EndpointCrashed, ""
      };
  }
}

} // namespace

AgentStage::AgentStage(Arguments& aArguments)
  : nextTick_(kStart + dispatch::EndpointScheduler::kTickInterval)
{
  const std::uint32_t count = aArguments.Number("agents", 1);
  const std::uint32_t places = aArguments.Number("places", 4);
  const auto policy = ParsePolicy(aArguments.Text("policy", "gate"));
  engineRestart_ = aArguments.Time("engine_restart", engineRestart_);
  for (std::uint32_t index = 1; index <= count; ++index) {
    AddAgent("agent-" + std::to_string(index), places, policy);
  }
}

void
AgentStage::AddAgent(const std::string& aName,
                     std::uint32_t aPlaces,
                     dispatch::Policy aPolicy)
{
  Agent& agent = agents_[aName];
  agent.name_ = aName;
  standin::EngineModelOptions engine;
  engine.maxRunning_ = aPlaces;
  agent.engine_ = std::make_unique<standin::EngineModel>(engine);
  dispatch::EndpointScheduler::Options options;
  options.service_ = kService;
  options.policy_ = aPolicy;
  options.limit_.max_ = aPlaces;
  options.partitionCount_ = 16;
  agent.gate_ = std::make_unique<dispatch::EndpointScheduler>(
    options, [&agent](std::uint64_t aFingerprint, dispatch::Moment aMoment) {
      switch (agent.quarantine_.Check(aFingerprint, aMoment.now_)) {
        case routing::Suspicion::Suspect:
          return dispatch::ContentStatus::Suspect;
        case routing::Suspicion::Quarantined:
          return dispatch::ContentStatus::Quarantined;
        case routing::Suspicion::None:
          break;
      }
      return dispatch::ContentStatus::Clear;
    });
}

AgentStage::Agent&
AgentStage::AgentOf(const std::string& aName)
{
  const auto found = agents_.find(aName);
  if (found == agents_.end()) {
    throw ScenarioError("no agent " + aName);
  }
  return found->second;
}

void
AgentStage::Order(const std::string& aName,
                  Arguments& aArguments,
                  wire::StartRun aOrder)
{
  Request& request = requests_[aName];
  request = Request{};
  request.agent_ = aArguments.Text("agent", "agent-1");
  request.peer_ = aOrder.online_ ? "entry-1" : "keeper-1";
  request.arrived_ = now_.now_;
  aOrder.run_.job_ = base::MakeJobId("scenario", aName);
  aOrder.run_.attempt_ = static_cast<std::uint32_t>(nextAttempt_++);
  aOrder.service_ = kService;
  aOrder.maxTokens_ = aArguments.Number("tokens", 8);
  aOrder.fingerprint_ = base::HashBytes(aOrder.payload_);
  request.order_ = aOrder;
  Agent& agent = AgentOf(request.agent_);
  Do(agent, agent.gate_->OnStartRun(request.peer_, std::move(aOrder), now_));
  RunReactions();
}

void
AgentStage::Call(Arguments& aArguments)
{
  const std::string name = aArguments.Text("name");
  wire::StartRun order;
  order.kind_ = "look-up";
  order.online_ = true;
  order.wantChunks_ = true;
  order.idempotent_ = aArguments.Flag("idempotent", true);
  order.payload_ = aArguments.Text("prompt", name);
  order.deadlineMs_ = static_cast<std::uint32_t>(
    base::ToMs(aArguments.Time("deadline", std::chrono::seconds{ 20 })));
  Order(name, aArguments, std::move(order));
}

void
AgentStage::Submit(Arguments& aArguments)
{
  const std::string lot = aArguments.Text("name");
  const std::uint32_t items = aArguments.Number("items", 1);
  const base::Duration due = aArguments.Time("due", std::chrono::minutes{ 60 });
  lots_[lot] = items;
  for (std::uint32_t item = 0; item < items; ++item) {
    const std::string name = lot + "/" + std::to_string(item);
    wire::StartRun order;
    order.kind_ = "lineage-batch";
    order.payload_ = name;
    order.dueUnixMs_ = base::ToUnixMs(now_.wall_) + base::ToMs(due);
    Order(name, aArguments, std::move(order));
  }
}

void
AgentStage::Fault(Arguments& aArguments)
{
  if (aArguments.Has("cancel")) {
    const std::string name = aArguments.Text("cancel");
    for (auto& [key, request] : requests_) {
      if (key == name || key.starts_with(name + "/")) {
        Agent& agent = AgentOf(request.agent_);
        Do(agent,
           agent.gate_->OnCancelRun(
             request.peer_, wire::CancelRun{ request.order_.run_ }, now_));
      }
    }
  }
  if (aArguments.Has("drain")) {
    Agent& agent = AgentOf(aArguments.Text("drain"));
    Do(
      agent,
      agent.gate_->SetAdmissionState(dispatch::AdmissionState::Draining, now_));
  }
  if (aArguments.Has("crash_engine")) {
    Crash(AgentOf(aArguments.Text("crash_engine")));
  }
  RunReactions();
}

void
AgentStage::Advance(base::Duration aTime)
{
  const base::Instant end = now_.now_ + aTime;
  while (now_.now_ < end) {
    base::Instant next = std::min(end, nextTick_);
    for (auto& [name, agent] : agents_) {
      next = agent.stepEnds_ ? std::min(next, *agent.stepEnds_) : next;
    }
    now_.wall_ =
      kWallStart + std::chrono::floor<base::WallTime::duration>(next - kStart);
    now_.now_ = next;
    for (auto& [name, agent] : agents_) {
      if (agent.stepEnds_ && *agent.stepEnds_ == next) {
        EndStep(agent);
      }
      if (nextTick_ == next) {
        Do(agent, agent.gate_->OnTick(now_));
      }
      RunReactions();
    }
    nextTick_ += nextTick_ == next ? dispatch::EndpointScheduler::kTickInterval
                                   : base::Duration::zero();
  }
}

void
AgentStage::RunReactions()
{
  while (!reactions_.empty()) {
    const auto reaction = std::move(reactions_.front());
    reactions_.pop_front();
    reaction();
  }
  for (auto& [name, agent] : agents_) {
    BeginStep(agent);
  }
}

void
AgentStage::BeginStep(Agent& aAgent)
{
  if (aAgent.stepEnds_) {
    return;
  }
  const base::Duration length = aAgent.engine_->BeginStep();
  if (length != base::Duration::zero()) {
    aAgent.stepEnds_ = now_.now_ + length;
  }
}

void
AgentStage::EndStep(Agent& aAgent)
{
  aAgent.stepEnds_.reset();
  if (aAgent.engine_->MustCrash()) {
    Crash(aAgent);
    return;
  }
  for (const standin::Emission& emission : aAgent.engine_->EndStep()) {
    const dispatch::StreamId stream = aAgent.streams_.at(emission.id_);
    if (!emission.text_.empty()) {
      Do(aAgent, aAgent.gate_->OnChunk(stream, { emission.text_, 1 }, now_));
    }
    if (!emission.finishReason_.empty()) {
      aAgent.streams_.erase(emission.id_);
      EndStream(aAgent, stream, StreamResult::Finished);
    }
  }
}

void
AgentStage::Crash(Agent& aAgent)
{
  ++aAgent.crashes_;
  aAgent.engine_->Restart();
  aAgent.stepEnds_.reset();
  aAgent.upAt_ = now_.now_ + engineRestart_;
  const auto streams = std::exchange(aAgent.streams_, {});
  for (const auto& [id, stream] : streams) {
    EndStream(aAgent, stream, StreamResult::Broken);
  }
}

void
AgentStage::EndStream(Agent& aAgent,
                      dispatch::StreamId aStream,
                      StreamResult aResult)
{
  reactions_.emplace_back([this, &aAgent, aStream, aResult] {
    Do(aAgent, aAgent.gate_->OnStreamEnded(aStream, EndOf(aResult), now_));
  });
}

void
AgentStage::Do(Agent& aAgent, const dispatch::Actions& aActions)
{
  for (const dispatch::Action& action : aActions) {
    std::visit([&](const auto& aOne) { Carry(aAgent, aOne); }, action);
  }
}

void
AgentStage::Carry(Agent& aAgent, const dispatch::StartStream& aStart)
{
  if (now_.now_ < aAgent.upAt_) {
    EndStream(aAgent, aStart.stream_, StreamResult::NotSent);
    return;
  }
  const std::string id = std::to_string(aAgent.nextStream_++);
  aAgent.streams_[id] = aStart.stream_;
  aAgent.engine_->Submit(
    { id, aStart.payload_, aStart.maxTokens_, aStart.resumeTokens_ });
  if (Request* request = FindRun(aStart.stream_.run_)) {
    ++request->runs_;
  }
}

void
AgentStage::Carry(Agent& aAgent, const dispatch::CancelStream& aCancel)
{
  const auto found = std::find_if(
    aAgent.streams_.begin(), aAgent.streams_.end(), [&](const auto& aEntry) {
      return aEntry.second == aCancel.stream_;
    });
  if (found == aAgent.streams_.end()) {
    return;
  }
  aAgent.engine_->Cancel(found->first);
  aAgent.streams_.erase(found);
  EndStream(aAgent, aCancel.stream_, StreamResult::Cancelled);
}

void
AgentStage::Carry(Agent& aAgent, const dispatch::SendMessage& aSend)
{
  if (const auto* chunk = std::get_if<wire::Chunk>(&aSend.message_)) {
    if (Request* request = FindRun(chunk->run_)) {
      request->firstToken_ = request->firstToken_.value_or(now_.now_);
      request->chunks_.Add(*chunk);
    }
  }
  if (const auto* ended = std::get_if<wire::RunEnded>(&aSend.message_)) {
    Request* request = FindRun(ended->run_);
    if (request == nullptr) {
      return;
    }
    request->chunks_.SetEnd(ended->lastSequence_);
    request->ends_.push_back(*ended);
    reactions_.emplace_back([this, &aAgent, run = ended->run_] {
      Do(aAgent, aAgent.gate_->OnRunRecorded(wire::RunRecorded{ run }, now_));
    });
  }
}

void
AgentStage::Carry(Agent& aAgent, const dispatch::RecordCrash& aCrash)
{
  aAgent.quarantine_.RecordCrash(aCrash.fingerprints_, now_.now_);
  const auto suspects = aAgent.quarantine_.List(now_.now_);
  for (auto& [name, other] : agents_) {
    other.quarantine_.Merge(suspects, now_.now_);
  }
}

void
AgentStage::Carry(Agent& aAgent, const dispatch::ProbeEngine& /*aProbe*/)
{
  if (now_.now_ >= aAgent.upAt_) {
    reactions_.emplace_back(
      [this, &aAgent] { Do(aAgent, aAgent.gate_->OnEngineUp(now_)); });
  }
}

AgentStage::Request*
AgentStage::FindRun(const wire::RunId& aRun)
{
  for (auto& [name, request] : requests_) {
    if (request.order_.run_ == aRun) {
      return &request;
    }
  }
  return nullptr;
}

std::string
AgentStage::Observe(const std::string& aSubject, const std::string& aField)
{
  if (const auto agent = agents_.find(aSubject); agent != agents_.end()) {
    return ObserveAgent(agent->second, aField);
  }
  if (lots_.contains(aSubject)) {
    return ObserveLot(aSubject, aField);
  }
  const auto request = requests_.find(aSubject);
  if (request == requests_.end()) {
    throw ScenarioError("nothing is called " + aSubject);
  }
  return ObserveRequest(request->second, aField);
}

std::string
AgentStage::ObserveAgent(Agent& aAgent, const std::string& aField) const
{
  const dispatch::SchedulerLoad load = aAgent.gate_->Load(now_.now_);
  if (aField == "online_running") {
    return std::to_string(load.onlineRunning_);
  }
  if (aField == "batch_running") {
    return std::to_string(load.batchRunning_);
  }
  if (aField == "online_waiting") {
    return std::to_string(load.onlineWaiting_);
  }
  if (aField == "crashes") {
    return std::to_string(aAgent.crashes_);
  }
  if (aField == "idle") {
    return YesOrNo(aAgent.gate_->IsIdle());
  }
  throw ScenarioError("an agent has no " + aField);
}

std::string
AgentStage::ObserveRequest(const Request& aRequest,
                           const std::string& aField) const
{
  if (aField == "ended") {
    return aRequest.ends_.empty()
             ? "no"
             : std::string(base::NameOf(aRequest.ends_.front().code_));
  }
  if (aField == "ran") {
    return aRequest.ends_.empty() ? "no" : NameOf(aRequest.ends_.front().ran_);
  }
  if (aField == "runs") {
    return std::to_string(aRequest.runs_);
  }
  if (aField == "first_token_ms") {
    return aRequest.firstToken_ ? std::to_string(base::ToMs(
                                    *aRequest.firstToken_ - aRequest.arrived_))
                                : "none";
  }
  if (aField == "answer") {
    const std::string& text = aRequest.order_.online_ || aRequest.ends_.empty()
                                ? aRequest.chunks_.Text()
                                : aRequest.ends_.front().text_;
    return JudgeAnswer(text,
                       standin::EngineAnswerText(aRequest.order_.payload_,
                                                 aRequest.order_.maxTokens_));
  }
  throw ScenarioError("a request has no " + aField);
}

std::string
AgentStage::ObserveLot(const std::string& aLot, const std::string& aField)
{
  std::uint32_t count = 0;
  for (std::uint32_t item = 0; item < lots_.at(aLot); ++item) {
    const Request& request = requests_.at(aLot + "/" + std::to_string(item));
    const std::string answer = ObserveRequest(request, "answer");
    if (aField == "running_now") {
      count += request.runs_ > 0 && request.ends_.empty() ? 1 : 0;
    } else if (aField == "runs") {
      count += request.runs_;
    } else if (aField == "ended") {
      count += request.ends_.empty() ? 0 : 1;
    } else if (aField == "whole" || aField == "wrong") {
      count += answer == aField ? 1 : 0;
    } else {
      throw ScenarioError("a lot has no " + aField);
    }
  }
  return std::to_string(count);
}

} // namespace pumiceturn::scenarios
