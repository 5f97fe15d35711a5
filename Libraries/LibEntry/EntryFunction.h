#pragma once

#include "LibBase/Result.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <memory>
#include <string>

namespace pumiceturn::entry {

/// The entry function: callers' and operators' gRPC, routing of online
/// requests. Thread-safe.
class EntryFunction
{
public:
  static base::Result<std::unique_ptr<EntryFunction>> Start(
    node::Context aContext);
  ~EntryFunction();
  EntryFunction(const EntryFunction&) = delete;
  EntryFunction& operator=(const EntryFunction&) = delete;

  /// Takes the messages meant for this function; runs on a pool thread, in
  /// order for one peer.
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// @return whether the end of this run is for this entry; otherwise it is for
  /// the keeper.
  [[nodiscard]] bool HasRun(const wire::RunId& aRun) const;

  /// Adds this function's part to the next heartbeat to a peer.
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  /// Refuses new work from now on; what runs is finished or handed over.
  void BeginDrain();

  /// @return whether nothing is left that a shutdown would cut off.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;

  /// @return the IP:port where callers and operators are served.
  [[nodiscard]] std::string ListenAddress() const;
  void Stop();

private:
  struct State;
  explicit EntryFunction(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::entry
