#pragma once

#include "LibBase/Lifetime.h"
#include "LibFleet/CountPublisher.h"
#include "LibFleet/PeerReachability.h"
#include "LibFleet/RateMessages.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/StoreMirrors.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pumiceturn::gateway {

/// Tells the other hosts how many runs this host has at each endpoint, changes
/// at once and all of them several times a second, and hears the same from
/// them, by datagrams: a lost one is made good by the next with all counts.
/// What hosts tell each other of the store travels with them.
/// What a peer says that isn't heard itself is passed on by another. Belongs to
/// the event thread.
class PeerMessenger
{
public:
  /// Called when a peer's online request takes the place of a batch run here.
  using PreemptionHandler = std::function<void(const std::string& aEndpoint)>;

  using RateReportHandler =
    std::function<void(const std::string& aHost, const fleet::RateReport&)>;
  using RateResponseHandler = std::function<void(const fleet::RateResponse&)>;

  PeerMessenger(boost::asio::io_context& aContext,
                SharedState& aShared,
                std::string aOwnName,
                StoreMirrors& aMirrors,
                PreemptionHandler aOnPreemption);

  [[nodiscard]] boost::system::error_code Open(
    const boost::asio::ip::udp::endpoint& aEndpoint);

  /// @param aAddress IP:PORT.
  void SetPeer(const std::string& aName, const std::string& aAddress);

  /// A peer's registration is gone. It goes on being told of runs as long as it
  /// is heard: its lease may have lapsed while the store turned it away.
  void RemovePeer(const std::string& aName);

  /// @return whether a peer's own messages arrive here.
  [[nodiscard]] bool IsReachable(const std::string& aPeer) const
  {
    return reachability_.IsReachable(aPeer, base::MonotonicNow());
  }

  [[nodiscard]] std::size_t ReachableCount() const
  {
    return reachability_.ReachableCount(base::MonotonicNow());
  }

  /// Tells all peers what this host read from the store for them.
  void SendStoreDelta(const StoreDelta& aDelta);

  /// Asks a peer to let one of its batch runs at an endpoint give way, at once:
  /// waiting for its next look would cost the online request up to 200 ms.
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

  /// Both may get lost: totals make up for a report, and who asked decides
  /// alone after a while.
  void SendRateReport(const std::string& aPeer,
                      const fleet::RateReport& aReport);
  void SendRateResponse(const std::string& aPeer,
                        const fleet::RateResponse& aResponse);

private:
  void SendLater();
  void Send();
  void SendTo(const boost::asio::ip::udp::endpoint& aAddress,
              std::span<const std::uint8_t> aMessage);
  void SendTo(const std::string& aPeer, const nlohmann::json& aContent);
  void DropSilentPeers(base::Instant aNow);
  void AskForSilentPeers(base::Instant aNow);
  void Receive();
  void Take(std::string_view aMessage);
  void HandleCounts(const std::string& aHost,
                    const nlohmann::json& aMessage,
                    base::Instant aNow);
  void HandlePreemption(const nlohmann::json& aMessage);
  void HandleStoreReport(const std::string& aHost,
                         const nlohmann::json& aMessage,
                         base::Instant aNow);
  void HandleStoreDelta(const std::string& aHost, const nlohmann::json& aDelta);
  void HandleRateMessage(const std::string& aHost,
                         const nlohmann::json& aMessage);

  /// @return whether a datagram came from where that host is registered. What
  ///         is taken for the store's word must not be a stranger's.
  [[nodiscard]] bool IsFromPeer(const std::string& aHost) const;

  /// Passes a peer's message on to the hosts that don't hear it themselves.
  void Forward(const std::string& aHost,
               const nlohmann::json& aMessage,
               base::Instant aNow);
  [[nodiscard]] static std::vector<fleet::PeerCount> ReadCounts(
    const nlohmann::json& aRows);
  void HandleSuspects(const nlohmann::json& aRows);
  [[nodiscard]] nlohmann::json SuspectRows() const;

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  SharedState& shared_;
  std::string ownName_;
  StoreMirrors& mirrors_;
  PreemptionHandler onPreemption_;
  RateReportHandler onRateReport_;
  RateResponseHandler onRateResponse_;
  fleet::CountPublisher countPublisher_;
  fleet::PeerReachability reachability_;
  struct Peer
  {
    boost::asio::ip::udp::endpoint address_;
    bool isRegistered_ = true;
  };
  std::unordered_map<std::string, Peer> peers_;
  static constexpr std::size_t kMaxDatagram = 65536;
  std::array<char, kMaxDatagram> buffer_{};
  boost::asio::ip::udp::endpoint sender_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
