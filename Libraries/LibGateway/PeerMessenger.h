#pragma once

#include "LibBase/Lifetime.h"
#include "LibFleet/CellMap.h"
#include "LibFleet/CountFanout.h"
#include "LibFleet/CountPublisher.h"
#include "LibFleet/PeerReachability.h"
#include "LibFleet/RateLimitMembership.h"
#include "LibFleet/RateMessages.h"
#include "LibGateway/PeerTraffic.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/StoreMirrors.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Exchanges UDP datagrams with the other hosts: the number of requests that
/// each host has in flight at each endpoint, reports about the store, rate
/// reports and preemption requests. Changed counts are sent at once and all
/// counts several times a second, which makes up for lost datagrams. In a large
/// fleet, only hosts of the same cell and workers do so (CellMap). Peers relay
/// the counts of hosts that aren't reachable directly. Used on the event thread
/// only.
class PeerMessenger
{
public:
  /// Called when a peer's online request preempts a batch attempt of this host.
  using PreemptionHandler = std::function<void(const std::string& aEndpoint)>;

  using RateReportHandler =
    std::function<void(const std::string& aPeer, const fleet::RateReport&)>;
  using RateResponseHandler = std::function<void(const fleet::RateResponse&)>;
  using OriginMessageHandler =
    std::function<void(const std::string& aPeer, const nlohmann::json&)>;

  PeerMessenger(boost::asio::io_context& aContext,
                SharedState& aShared,
                std::string aOwnHost,
                bool aIsWorker,
                StoreMirrors& aMirrors,
                PreemptionHandler aOnPreemption);

  [[nodiscard]] boost::system::error_code Open(
    const boost::asio::ip::udp::endpoint& aEndpoint);

  /// @param aAddress IP:PORT.
  void SetPeer(const std::string& aPeer,
               const std::string& aAddress,
               bool aIsWorker);

  /// Sets whether the fleet may be divided into cells. It must not be while
  /// rate limits are shared by all hosts that reach each other.
  void SetIsDivided(bool aIsDivided);

  /// Marks a peer as unregistered. It still gets messages while it is
  /// reachable: its lease may have expired because the store refused its calls.
  void RemovePeer(const std::string& aPeer);

  /// @return whether a peer's messages arrive here directly.
  [[nodiscard]] bool IsReachable(const std::string& aPeer) const
  {
    return reachability_.IsReachable(aPeer, base::MonotonicNow());
  }

  /// @return a peer as a member of the rate limits' enforcement.
  [[nodiscard]] fleet::RateLimitMembership::Member RateMember(
    const std::string& aPeer,
    bool aAdmits) const;

  [[nodiscard]] std::size_t ReachableCount() const
  {
    return reachability_.ReachableCount(base::MonotonicNow());
  }

  /// @return the reachable peers that take requests from callers.
  [[nodiscard]] std::vector<std::string> ReachableEntryHosts() const;

  /// Sends changes that this host read from the store to the peers that rely on
  /// it as a follower.
  void SendStoreDelta(const StoreDelta& aDelta);

  /// Asks a peer to cancel one of its batch attempts at an endpoint now,
  /// without waiting for the peer's next tick, which would delay the online
  /// request by up to 200 ms.
  void RequestPreemption(const std::string& aPeer,
                         const std::string& aEndpoint);

  void SetOnRateReport(RateReportHandler aHandler)
  {
    onRateReport_ = std::move(aHandler);
  }
  void SetOnRateResponse(RateResponseHandler aHandler)
  {
    onRateResponse_ = std::move(aHandler);
  }

  /// @param aHandler Gets the messages of registered peers; may throw
  ///                 nlohmann::json::exception.
  void SetOnOriginMessage(OriginMessageHandler aHandler)
  {
    onOriginMessage_ = std::move(aHandler);
  }

  /// Sends a message about the origin of streams, which may get lost.
  void SendOriginMessage(const std::string& aPeer,
                         const nlohmann::json& aContent);

  /// Sends a rate message, which may get lost: reports carry totals, and a host
  /// that gets no response decides alone after a timeout.
  void SendRateReport(const std::string& aPeer,
                      const fleet::RateReport& aReport);
  void SendRateResponse(const std::string& aPeer,
                        const fleet::RateResponse& aResponse);

private:
  void ScheduleSend();
  void SendCounts();
  [[nodiscard]] std::vector<std::uint8_t> EncodeCounts(
    std::span<const fleet::EndpointCounts> aCounts,
    bool aIsFull) const;

  /// Divides the hosts into cells again after registrations have changed.
  void UpdateCells();
  void SendTo(const boost::asio::ip::udp::endpoint& aAddress,
              DatagramKind aKind,
              std::span<const std::uint8_t> aMessage);
  void SendTo(const std::string& aPeer,
              DatagramKind aKind,
              const nlohmann::json& aContent);
  void DropUnreachablePeers(base::Instant aNow);
  void RequestRelays(base::Instant aNow);
  void Receive();
  void HandleDatagram(std::string_view aMessage);
  /// Handles a peer's counts and what else the same datagram carries.
  void HandleCountsMessage(const std::string& aPeer,
                           const nlohmann::json& aMessage,
                           std::size_t aBytes,
                           base::Instant aNow);
  void HandleCounts(const std::string& aPeer,
                    const nlohmann::json& aMessage,
                    base::Instant aNow);
  void HandlePreemption(const nlohmann::json& aMessage);
  void HandleStoreReport(const std::string& aPeer,
                         const nlohmann::json& aMessage,
                         base::Instant aNow);
  void HandleStoreDelta(const std::string& aPeer, const nlohmann::json& aDelta);
  void HandleRateMessage(const std::string& aPeer,
                         const nlohmann::json& aMessage);

  /// @return whether the current datagram came from the host's registered
  ///         address. Checked for messages that change mirrors or rate
  ///         accounts, as anyone can send datagrams.
  [[nodiscard]] bool IsFromPeer(const std::string& aPeer) const;

  /// Relays a peer's message to the hosts that asked for it.
  void Relay(const std::string& aPeer,
             const nlohmann::json& aMessage,
             base::Instant aNow);
  void RecordRateCandidates(const std::string& aPeer, std::uint64_t aHash);
  [[nodiscard]] static std::vector<fleet::EndpointCounts> ReadCounts(
    const nlohmann::json& aRows);
  void HandleCrashEvidence(const nlohmann::json& aMessage, base::Instant aNow);
  /// Sends what this host observed of crashes at once to all hosts, as the next
  /// request may crash another endpoint.
  void SendCrashNews(base::Instant aNow);
  /// Adds what this host observed of endpoints and organisations.
  void AddObservations(nlohmann::json& aContent) const;
  void HandleObservations(const std::string& aPeer,
                          const nlohmann::json& aMessage,
                          base::Instant aNow);

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  SharedState& shared_;
  std::string ownHost_;
  StoreMirrors& mirrors_;
  PreemptionHandler onPreemption_;
  RateReportHandler onRateReport_;
  RateResponseHandler onRateResponse_;
  OriginMessageHandler onOriginMessage_;
  fleet::CountPublisher countPublisher_;
  fleet::PeerReachability reachability_;
  fleet::CellMap cells_;
  PeerTraffic traffic_;
  struct Peer
  {
    boost::asio::ip::udp::endpoint address_;
    bool isWorker_ = false;
    bool isRegistered_ = true;
    fleet::CellMap::Relation relation_ = fleet::CellMap::Relation::Neighbour;
    std::optional<std::size_t> cell_;
    std::optional<std::uint64_t> rateCandidates_;
    std::optional<std::size_t> heardHosts_;
  };
  std::unordered_map<std::string, Peer> peers_;
  std::size_t neighbours_ = 0;
  bool isWorker_;
  bool isDivided_ = true;
  bool areCellsOutdated_ = false;
  base::Instant remoteUpdateAt_; ///< Last full update to remote peers.
  static constexpr std::size_t kMaxDatagramBytes = 65536;
  std::array<char, kMaxDatagramBytes> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
