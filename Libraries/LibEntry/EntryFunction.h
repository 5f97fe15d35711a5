#pragma once

#include "LibBase/Result.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <memory>
#include <string>

namespace pumiceturn::entry {

/// The entry role: serves callers and operators over gRPC and routes online
/// requests. Thread-safe.
class EntryFunction
{
public:
  static base::Result<std::unique_ptr<EntryFunction>> Start(
    node::Context aContext);
  ~EntryFunction();
  EntryFunction(const EntryFunction&) = delete;
  EntryFunction& operator=(const EntryFunction&) = delete;

  /// Handles a message from a peer. Runs on a pool thread, in order for each
  /// peer.
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// @return whether this entry has, or recently had, a call for the run's
  /// request. If not, RunEnded must be passed to the keeper in this process.
  [[nodiscard]] bool HasRun(const wire::RunId& aRun) const;

  /// Adds this role's fields to the next heartbeat to a peer.
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  /// Refuses new requests from now on. Open requests are finished.
  void BeginDrain();

  /// @return whether no call is open, so that a shutdown interrupts nothing.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;

  /// @return the IP:port on which callers and operators are served.
  [[nodiscard]] std::string ListenAddress() const;
  void Stop();

private:
  struct State;
  explicit EntryFunction(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::entry
