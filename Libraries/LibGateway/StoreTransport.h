#pragma once

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

/// Carries calls to the store: on this host's own way or, while that is lost,
/// through a peer, which makes the call on its own way only. Belongs to the
/// event thread and lives as long as its event loop runs.
class StoreTransport
{
public:
  using Result = httpstream::CallResult;
  using Done = std::function<void(Result)>;

  /// What the store's protocol says; the adapter fills it.
  struct Protocol
  {
    /// A read that costs little and any store in touch answers.
    httpstream::Request probe_;
    std::function<metadata::PathOutcome(const Result&)> classify_;
  };

  /// Begins the target of a call that a peer passes on.
  static constexpr std::string_view kTargetPrefix = "/store";

  StoreTransport(boost::asio::io_context& aContext,
                 const boost::asio::ip::tcp::endpoint& aStore,
                 Protocol aProtocol);

  /// Makes a call. Where no way is open it ends at once as not connected.
  /// @param aTimeout For connecting, the first byte, and each further one.
  void Call(const httpstream::Request& aRequest,
            base::Duration aTimeout,
            Done aDone);

  /// Tells whether this host hears a peer itself.
  using IsReachable = std::function<bool(const std::string& aHost)>;

  /// Names the hosts that may be asked. Those that are heard are asked first: a
  /// call to a host that is cut off from this one hangs until its timeout.
  void SetPeers(std::vector<batch::PeerAddress> aPeers);
  void SetIsReachable(IsReachable aIsHeard)
  {
    isReachable_ = std::move(aIsHeard);
  }

  /// @return whether calls go through peers now.
  [[nodiscard]] bool IsDirectPathLost() const
  {
    return path_.IsDirectPathLost();
  }

  /// Makes a peer's call on this host's own way and answers it.
  void CallForPeer(const std::shared_ptr<httpstream::Exchange>& aExchange);

private:
  struct Pending
  {
    httpstream::Request request_;
    base::Duration timeout_;
    Done done_;
    int peersAsked_ = 0;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void CallDirectly(const PendingPtr& aPending);
  void AskPeer(const PendingPtr& aPending);

  /// @return the peer to ask next, or nullptr where none is known.
  [[nodiscard]] httpstream::HttpClient* NextPeer();
  void OnPeerAnswered(const PendingPtr& aPending, Result aResult);
  void RecordDirect(const Result& aResult);
  void Probe();
  void ProbeLater();
  void EndLater(const PendingPtr& aPending);

  boost::asio::io_context& context_;
  httpstream::HttpClient own_;
  Protocol protocol_;
  metadata::StorePath path_;
  PeerClients clients_;
  std::vector<batch::PeerAddress> peers_;
  IsReachable isReachable_ = [](const std::string&) { return true; };
  std::size_t nextPeer_ = 0;
  boost::asio::steady_timer probeTimer_;
};

} // namespace pumiceturn::gateway
