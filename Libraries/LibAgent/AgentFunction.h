#pragma once

#include "LibBase/Result.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <memory>
#include <string>

namespace pumiceturn::agent {

/// The Agent role of a process: the only component that sends requests to its
/// endpoint. Thread-safe.
class AgentFunction
{
public:
  /// @return MissingField if the settings lack service, endpoint or engine
  /// address.
  static base::Result<std::unique_ptr<AgentFunction>> Start(
    node::Context aContext);
  ~AgentFunction();
  AgentFunction(const AgentFunction&) = delete;
  AgentFunction& operator=(const AgentFunction&) = delete;

  /// Handles a message for the Agent role. Called on pool threads, in order for
  /// each peer.
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// Adds the Agent's fields to the next heartbeat to a peer.
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  /// Starts draining: refuses new work while running requests complete.
  void BeginDrain();

  /// @return whether no run is queued, running or unrecorded, so that a
  /// shutdown loses nothing.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;

  /// Cancels all streams and joins the threads.
  void Stop();

private:
  struct State;
  explicit AgentFunction(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::agent
