#include "LibWire/LinkTable.h"

#include "LibWire/LinkThread.h"

#include <thread>
#include <utility>

namespace pumiceturn::wire {

struct LinkTable::State
{
  State(Options aOptions, Handlers aHandlers)
    : shared_(std::move(aOptions), std::move(aHandlers))
  {
  }

  LinkShared shared_;
  std::thread thread_;
  std::string listenAddress_;

  void Command(LinkCommand aCommand)
  {
    shared_.commands_.Add(std::move(aCommand));
    shared_.wake_.Wake();
  }
};

base::Result<std::unique_ptr<LinkTable>>
LinkTable::Start(Options aOptions, Handlers aHandlers)
{
  auto state =
    std::make_unique<State>(std::move(aOptions), std::move(aHandlers));
  if (state->shared_.wake_.Descriptor() < 0) {
    return base::Fail(ResultCode::InputOutput, "no descriptor is left");
  }
  // A process is always reachable to itself.
  state->shared_.queues_.Open(state->shared_.options_.host_);
  std::promise<base::Outcome<std::string>> started;
  auto address = started.get_future();
  state->thread_ =
    std::thread(RunLinkThread, std::ref(state->shared_), std::move(started));
  auto outcome = address.get();
  if (std::holds_alternative<base::Failure>(outcome)) {
    state->thread_.join();
    return base::Release(std::move(outcome)).error();
  }
  state->listenAddress_ = std::get<std::string>(std::move(outcome));
  return std::unique_ptr<LinkTable>(new LinkTable(std::move(state)));
}

LinkTable::LinkTable(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

LinkTable::~LinkTable()
{
  state_->Command(StopCommand{});
  state_->thread_.join();
}

void
LinkTable::Connect(const std::string& aPeer, const std::string& aAddress)
{
  if (aPeer != state_->shared_.options_.host_) {
    state_->Command(ConnectCommand{ aPeer, aAddress });
  }
}

void
LinkTable::Disconnect(const std::string& aPeer)
{
  if (aPeer != state_->shared_.options_.host_) {
    state_->Command(DisconnectCommand{ aPeer });
  }
}

base::ResultCode
LinkTable::Send(std::string_view aPeer, Message aMessage)
{
  return state_->shared_.queues_.Push(aPeer, std::move(aMessage));
}

void
LinkTable::HeartbeatNow()
{
  state_->Command(HeartbeatCommand{});
}

bool
LinkTable::IsUp(std::string_view aPeer) const
{
  return state_->shared_.queues_.IsUp(aPeer);
}

base::Duration
LinkTable::SinceHeard(std::string_view aPeer) const
{
  return state_->shared_.queues_.SinceHeard(aPeer, base::MonotonicNow());
}

std::vector<std::string>
LinkTable::UpPeers() const
{
  std::vector<std::string> peers = state_->shared_.queues_.UpPeers();
  std::erase(peers, state_->shared_.options_.host_);
  return peers;
}

std::string
LinkTable::ListenAddress() const
{
  return state_->listenAddress_;
}

} // namespace pumiceturn::wire
