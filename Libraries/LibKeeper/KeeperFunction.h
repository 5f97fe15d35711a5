#pragma once

#include "LibBase/Result.h"
#include "LibNode/Context.h"
#include "LibWire/Messages.h"

#include <memory>
#include <string>

namespace pumiceturn::keeper {

/// The keeper function: owns jobs of its partitions, records results, and feeds
/// batch items to agents that have granted credits. Thread-safe.
class KeeperFunction
{
public:
  static base::Result<std::unique_ptr<KeeperFunction>> Start(
    node::Context aContext);
  ~KeeperFunction();
  KeeperFunction(const KeeperFunction&) = delete;
  KeeperFunction& operator=(const KeeperFunction&) = delete;

  /// Takes the messages meant for this function; runs on a pool thread, in
  /// order for one peer.
  void OnMessage(const std::string& aPeer, const wire::Message& aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);

  /// Adds this function's part to the next heartbeat to a peer.
  void FillHeartbeat(const std::string& aPeer,
                     wire::Heartbeat& aHeartbeat) const;

  /// Refuses new work from now on; what runs is finished or handed over.
  void BeginDrain();

  /// @return whether nothing is left that a shutdown would cut off.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] node::Readiness GetReadiness() const;
  void Stop();

private:
  struct State;
  explicit KeeperFunction(std::shared_ptr<State> aState);
  /// Shared with timers and subscriptions, which may outlive the function.
  std::shared_ptr<State> state_;
};

} // namespace pumiceturn::keeper
