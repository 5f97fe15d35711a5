#pragma once

#include "LibBase/Lifetime.h"
#include "LibBatch/HostSet.h"
#include "LibGateway/PeerClients.h"
#include "LibHttpStream/HttpClient.h"
#include "LibHttpStream/ServerConnection.h"
#include "LibMetadata/StorePath.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::gateway {

/// Sends calls to the store: directly or, while the direct path is lost,
/// through a peer, which uses its direct path only. Used on the event thread
/// only. Results of calls in flight at its end are dropped.
class StoreTransport
{
public:
  using Result = httpstream::CallResult;
  using DoneHandler = std::function<void(Result)>;

  /// The parts that depend on the store's protocol, set by the adapter.
  struct Protocol
  {
    /// A cheap read that any available store answers.
    httpstream::Request probe_;
    /// Tells from a call's result whether the store served it.
    std::function<metadata::PathOutcome(const Result&)> classify_;
  };

  /// Prefix of the target of calls that a peer relays.
  static constexpr std::string_view kTargetPrefix = "/store";

  StoreTransport(boost::asio::io_context& aContext,
                 const boost::asio::ip::tcp::endpoint& aStore,
                 Protocol aProtocol);

  /// Sends a call. Its result is NotConnected if no path is available.
  /// @param aTimeout Limit for connecting, for the first byte and for each
  ///                 pause between bytes of the response.
  void Call(const httpstream::Request& aRequest,
            base::Duration aTimeout,
            DoneHandler aDone);

  /// Returns whether a peer's messages arrive at this host directly.
  using IsReachable = std::function<bool(const std::string& aHost)>;

  /// Sets the hosts that calls may go through. Reachable hosts are preferred,
  /// as a call to a host that is cut off hangs until its timeout.
  void SetPeers(std::vector<batch::PeerAddress> aPeers);
  void SetIsReachable(IsReachable aIsReachable)
  {
    isReachable_ = std::move(aIsReachable);
  }

  /// @return whether calls go through peers.
  [[nodiscard]] bool IsDirectPathLost() const
  {
    return path_.IsDirectPathLost();
  }

  /// Sends a peer's call on the direct path and responds with its result.
  void RelayForPeer(const std::shared_ptr<httpstream::Exchange>& aExchange);

private:
  struct PendingCall
  {
    httpstream::Request request_;
    base::Duration timeout_;
    DoneHandler onDone_;
    int peerAttempts_ = 0;
  };
  using PendingPtr = std::shared_ptr<PendingCall>;

  void CallDirectly(const PendingPtr& aPending);
  void CallViaRelay(const PendingPtr& aPending);

  /// @return the next peer to try, or nullptr if there is none.
  [[nodiscard]] httpstream::HttpClient* NextPeer();
  void OnPeerResponse(const PendingPtr& aPending, Result aResult);
  void RecordDirect(const Result& aResult);
  void Probe();
  void ScheduleProbe();
  void PostNotConnected(const PendingPtr& aPending);

  boost::asio::io_context& context_;
  httpstream::HttpClient directClient_;
  Protocol protocol_;
  metadata::StorePath path_;
  PeerClients peerClients_;
  std::vector<batch::PeerAddress> peers_;
  IsReachable isReachable_ = [](const std::string&) { return true; };
  std::size_t nextPeer_ = 0;
  boost::asio::steady_timer probeTimer_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
