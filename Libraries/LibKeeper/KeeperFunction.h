#pragma once

#include "LibBase/Result.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <memory>
#include <string>

namespace pumiceturn::keeper {

/// The keeper role of a process: owns the jobs of its partitions, records
/// results, and dispatches batch items to agents that granted credits.
/// Thread-safe.
class KeeperFunction
{
public:
  /// Starts the log service and the job service.
  /// @return the keeper, or the error of the log service.
  static base::Result<std::unique_ptr<KeeperFunction>> Start(
    node::Context aContext);
  ~KeeperFunction();
  KeeperFunction(const KeeperFunction&) = delete;
  KeeperFunction& operator=(const KeeperFunction&) = delete;

  /// Handles a message. Called on a pool thread, in order for each peer.
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// Sets the keeper's fields of the next heartbeat to a peer.
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  /// Stops accepting work. Partitions are handed over when all runs have
  /// ended or a grace time has passed.
  void BeginDrain();

  /// @return whether all partitions have been handed over and no append is in
  /// flight.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;
  void Stop();

private:
  struct State;
  explicit KeeperFunction(std::shared_ptr<State> aState);
  /// Timers and subscriptions, which may outlive this object, refer to it by
  /// weak pointers.
  std::shared_ptr<State> state_;
};

} // namespace pumiceturn::keeper
