#include "LibAgent/AgentFunction.h"

#include "LibAgent/AgentCore.h"

#include <utility>

namespace pumiceturn::agent {

struct AgentFunction::State
{
  std::shared_ptr<AgentCore> core_;
};

base::Result<std::unique_ptr<AgentFunction>>
AgentFunction::Start(node::Context aContext)
{
  const settings::AgentSettings& agent = aContext.settings_.agent();
  if (agent.service().empty() || agent.endpoint().empty() ||
      agent.engine_address().empty()) {
    return base::Fail(
      base::ResultCode::MissingField,
      "agent settings require service, endpoint and engine_address");
  }
  auto state = std::make_unique<State>();
  state->core_ = std::make_shared<AgentCore>(aContext);
  state->core_->Start();
  return std::unique_ptr<AgentFunction>(new AgentFunction(std::move(state)));
}

AgentFunction::AgentFunction(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

AgentFunction::~AgentFunction()
{
  Stop();
}

void
AgentFunction::OnMessage(const std::string& aPeer,
                         const wire::Message& aMessage)
{
  state_->core_->OnMessage(aPeer, aMessage);
}

void
AgentFunction::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  state_->core_->OnLinkState(aPeer, aState);
}

void
AgentFunction::FillHeartbeat(const std::string& aPeer,
                             wire::Heartbeat& aHeartbeat) const
{
  state_->core_->FillHeartbeat(aPeer, aHeartbeat);
}

void
AgentFunction::BeginDrain()
{
  state_->core_->SetDrain(DrainCause::Shutdown, true);
}

bool
AgentFunction::IsIdle() const
{
  return state_->core_->IsIdle();
}

node::Readiness
AgentFunction::GetReadiness() const
{
  return state_->core_->GetReadiness();
}

void
AgentFunction::Stop()
{
  state_->core_->Stop();
}

} // namespace pumiceturn::agent
