#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibWire/Messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::wire {

/// Whether messages reach a peer now. Up and Lost take turns for each peer,
/// beginning with Up; Replaced comes between a Lost and the next Up.
enum class LinkState : std::uint8_t
{
  Up,   ///< A new connection; messages in flight on an older one may be lost.
  Lost, ///< Heartbeats stopped or the connection broke; a new one is tried.
  Replaced, ///< The peer's process is another than before the loss; Up follows.
};

/// The process's links to its peers: Cap'n Proto RPC on one thread, heartbeats
/// both ways, a silent connection replaced at once. Messages of one connection
/// arrive in order and at most once; those in flight when a connection is lost
/// may not arrive, so senders re-attach or resend on Up. Thread-safe; holds
/// none of its locks while it calls a handler.
class LinkTable
{
public:
  struct Options
  {
    std::string host_;          ///< This process's name.
    std::string listenAddress_; ///< IP:port; port 0 takes a free one.
    base::Duration heartbeatInterval_{ base::Duration{ 1000000 } };
    std::uint32_t missedHeartbeats_ = 2; ///< Then the connection is replaced.
    base::Duration connectTimeout_{ base::Duration{ 1000000 } };
    std::size_t maxQueuedBytes_ = 8U << 20U; ///< Per peer; more is refused.
  };

  struct Handlers
  {
    /// Called on the link thread; hands longer work to the worker pool. Gets
    /// heartbeats too. No message comes from a peer before its Up.
    std::function<void(const std::string& aPeer, Message aMessage)> message_;
    std::function<void(const std::string& aPeer, LinkState aState)> state_;
    /// Content of the next heartbeat to a peer; the table sets its sequence.
    std::function<Heartbeat(const std::string& aPeer)> heartbeat_;
  };

  /// Listens and starts the link thread.
  /// @return InputOutput where the address cannot be bound.
  static base::Result<std::unique_ptr<LinkTable>> Start(Options aOptions,
                                                        Handlers aHandlers);

  ~LinkTable();
  LinkTable(const LinkTable&) = delete;
  LinkTable& operator=(const LinkTable&) = delete;

  /// Keeps a link to a peer from now on. A second call changes its address.
  void Connect(const std::string& aPeer, const std::string& aAddress);

  /// Gives up a link; no state change is reported.
  void Disconnect(const std::string& aPeer);

  /// Queues a message. To this process's own name it is delivered directly.
  /// @return Disconnected without a link that is up, BudgetExhausted when the
  /// peer's queue is full. Ok says nothing about arrival.
  base::ResultCode Send(std::string_view aPeer, Message aMessage);

  /// Sends a heartbeat to every peer now, for news that cannot wait.
  void HeartbeatNow();

  [[nodiscard]] bool IsUp(std::string_view aPeer) const;

  /// @return time since anything came from the peer; Duration::max() if never.
  [[nodiscard]] base::Duration SinceHeard(std::string_view aPeer) const;

  /// @return peers whose link is up, also those that connected to us.
  [[nodiscard]] std::vector<std::string> UpPeers() const;

  /// @return the IP:port that is listened on.
  [[nodiscard]] std::string ListenAddress() const;

private:
  struct State;
  explicit LinkTable(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace pumiceturn::wire
