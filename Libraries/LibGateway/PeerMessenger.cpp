#include "LibGateway/PeerMessenger.h"

#include "LibGateway/EndpointAddress.h"
#include "LibGateway/RateCodec.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>
#include <vector>

namespace pumiceturn::gateway {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Time between two updates with all counts to remote peers. The timeouts of
/// counts, reports and reachability allow for the loss of two.
constexpr base::Duration kRemoteUpdateInterval{ std::chrono::milliseconds{
  200 } };

} // namespace

PeerMessenger::PeerMessenger(asio::io_context& aContext,
                             SharedState& aShared,
                             std::string aOwnHost,
                             bool aIsWorker,
                             StoreMirrors& aMirrors,
                             PreemptionHandler aOnPreemption)
  : socket_(aContext)
  , timer_(aContext)
  , shared_(aShared)
  , ownHost_(std::move(aOwnHost))
  , mirrors_(aMirrors)
  , onPreemption_(std::move(aOnPreemption))
  , cells_(ownHost_, aIsWorker)
  , traffic_(aShared.metrics_)
  , isWorker_(aIsWorker)
{
}

boost::system::error_code
PeerMessenger::Open(const asio::ip::udp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  socket_.open(aEndpoint.protocol(), error);
  if (error) {
    return error;
  }
  if (socket_.bind(aEndpoint, error); error) {
    return error;
  }
  socket_.non_blocking(true, error);
  Receive();
  ScheduleSend();
  return {};
}

void
PeerMessenger::SetPeer(const std::string& aPeer,
                       const std::string& aAddress,
                       bool aIsWorker)
{
  const auto address = ParseAddress(aAddress);
  if (aPeer == ownHost_ || !address) {
    return;
  }
  Peer& peer = peers_[aPeer];
  peer.address_ = { address->address(), address->port() };
  peer.isWorker_ = aIsWorker;
  peer.isRegistered_ = true;
  areCellsOutdated_ = true;
}

void
PeerMessenger::SetIsDivided(bool aIsDivided)
{
  areCellsOutdated_ = areCellsOutdated_ || isDivided_ != aIsDivided;
  isDivided_ = aIsDivided;
}

void
PeerMessenger::UpdateCells()
{
  areCellsOutdated_ = false;
  std::vector<std::string> entryHosts;
  if (!isWorker_) {
    entryHosts.push_back(ownHost_);
  }
  for (const auto& [name, peer] : peers_) {
    if (peer.isRegistered_ && !peer.isWorker_) {
      entryHosts.push_back(name);
    }
  }
  cells_.Update(entryHosts, isDivided_);
  shared_.endpoints_.SetCells(cells_.CellCount(), cells_.OwnCell());
  neighbours_ = 0;
  for (auto& [name, peer] : peers_) {
    if (!peer.isRegistered_) {
      continue;
    }
    peer.relation_ = cells_.RelationTo(name, peer.isWorker_);
    peer.cell_ = cells_.CellOf(name);
    switch (peer.relation_) {
      case fleet::CellMap::Relation::Neighbour:
        ++neighbours_;
        reachability_.Add(name);
        break;
      case fleet::CellMap::Relation::Remote:
        reachability_.Add(name, fleet::PeerReachability::kRemoteSilenceTimeout);
        break;
      case fleet::CellMap::Relation::Stranger:
        reachability_.Remove(name);
        break;
    }
  }
}

void
PeerMessenger::RemovePeer(const std::string& aPeer)
{
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    peer->second.isRegistered_ = false;
    areCellsOutdated_ = true;
  }
}

void
PeerMessenger::DropUnreachablePeers(base::Instant aNow)
{
  std::erase_if(peers_, [this, aNow](const auto& aEntry) {
    const bool isDropped = !aEntry.second.isRegistered_ &&
                           !reachability_.IsReachable(aEntry.first, aNow);
    if (isDropped) {
      reachability_.Remove(aEntry.first);
    }
    return isDropped;
  });
}

void
PeerMessenger::ScheduleSend()
{
  timer_.expires_after(fleet::CountPublisher::Interval(neighbours_));
  timer_.async_wait(
    lifetime_.Guard([this](const boost::system::error_code& aError) {
      if (!aError) {
        SendCounts();
        ScheduleSend();
      }
    }));
}

void
PeerMessenger::SendCounts()
{
  if (peers_.empty()) {
    return;
  }
  if (areCellsOutdated_) {
    UpdateCells();
  }
  const base::Instant now = base::MonotonicNow();
  SendCrashNews(now);
  const auto update =
    countPublisher_.Next(shared_.endpoints_.OwnCounts(now), now);
  if (!update) {
    return;
  }
  const bool isRemoteDue =
    update->isFull_ && now - remoteUpdateAt_ >= kRemoteUpdateInterval;
  if (isRemoteDue) {
    remoteUpdateAt_ = now;
  }
  const fleet::CountFanout fanout(
    *update, isWorker_, isRemoteDue, [this](const std::string& aEndpoint) {
      return shared_.endpoints_.CellOf(aEndpoint);
    });
  std::map<fleet::CountFanout::MessageKey, std::vector<std::uint8_t>> messages;
  for (const auto& [name, peer] : peers_) {
    const auto key = fanout.KeyFor(peer.relation_, peer.cell_);
    if (!key) {
      continue;
    }
    const auto [message, isNew] = messages.try_emplace(*key);
    if (isNew) {
      message->second = EncodeCounts(fanout.CountsFor(*key), key->isFull_);
    }
    SendTo(peer.address_,
           key->isFull_ ? DatagramKind::AllCounts : DatagramKind::ChangedCounts,
           message->second);
  }
  if (update->isFull_) {
    DropUnreachablePeers(now);
    RequestRelays(now);
  }
}

std::vector<std::uint8_t>
PeerMessenger::EncodeCounts(std::span<const fleet::EndpointCounts> aCounts,
                            bool aIsFull) const
{
  json rows = json::array();
  for (const fleet::EndpointCounts& count : aCounts) {
    rows.push_back({ count.endpoint_,
                     count.counts_.online_,
                     count.counts_.batch_,
                     count.isAvoided_,
                     count.startedAtMs_ });
  }
  json content = { { "host", ownHost_ } };
  if (aIsFull) {
    content["runs"] = std::move(rows);
    content["store"] = EncodeStoreReport(mirrors_.MakeReport());
    AddObservations(content);
    if (shared_.routes_.Organisations().AreDeclared()) {
      content["owners"] = shared_.rateLimiter_.CandidatesHash();
      content["heard"] = shared_.rateLimiter_.HeardHosts();
    }
  } else {
    content["changed"] = std::move(rows);
  }
  return json::to_cbor(content);
}

void
PeerMessenger::SendTo(const asio::ip::udp::endpoint& aAddress,
                      DatagramKind aKind,
                      std::span<const std::uint8_t> aMessage)
{
  traffic_.RecordSent(aKind, aMessage.size());
  boost::system::error_code ignored;
  // Errors are ignored, as datagrams may get lost anyway.
  socket_.send_to(
    asio::buffer(aMessage.data(), aMessage.size()), aAddress, 0, ignored);
}

void
PeerMessenger::SendTo(const std::string& aPeer,
                      DatagramKind aKind,
                      const json& aContent)
{
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    SendTo(peer->second.address_, aKind, json::to_cbor(aContent));
  }
}

void
PeerMessenger::RequestRelays(base::Instant aNow)
{
  for (const fleet::RelayRequest& request :
       reachability_.RelayRequests(aNow, shared_.random_)) {
    SendTo(request.relay_,
           DatagramKind::RelayRequest,
           { { "host", ownHost_ }, { "silent", request.peers_ } });
  }
}

void
PeerMessenger::SendStoreDelta(const StoreDelta& aDelta)
{
  const auto row = EncodeStoreDelta(aDelta);
  if (!row) {
    return;
  }
  const std::vector<std::uint8_t> message =
    json::to_cbor({ { "host", ownHost_ }, { "news", *row } });
  for (const auto& [name, peer] : peers_) {
    if (peer.relation_ != fleet::CellMap::Relation::Stranger) {
      SendTo(peer.address_, DatagramKind::StoreDelta, message);
    }
  }
}

void
PeerMessenger::SendRateReport(const std::string& aPeer,
                              const fleet::RateReport& aReport)
{
  SendTo(aPeer,
         DatagramKind::RateMessage,
         { { "host", ownHost_ }, { "rate", EncodeRateReport(aReport) } });
}

void
PeerMessenger::SendRateResponse(const std::string& aPeer,
                                const fleet::RateResponse& aResponse)
{
  SendTo(
    aPeer,
    DatagramKind::RateMessage,
    { { "host", ownHost_ }, { "rate_answer", EncodeRateResponse(aResponse) } });
}

void
PeerMessenger::SendOriginMessage(const std::string& aPeer, const json& aContent)
{
  SendTo(aPeer,
         DatagramKind::StreamOrigin,
         { { "host", ownHost_ }, { "origin", aContent } });
}

void
PeerMessenger::HandleRateMessage(const std::string& aPeer, const json& aMessage)
{
  if (!IsFromPeer(aPeer)) {
    return;
  }
  if (const auto report = aMessage.find("rate"); report != aMessage.end()) {
    const fleet::RateReport decoded = DecodeRateReport(*report);
    if (decoded.candidatesHash_ != 0) {
      RecordRateCandidates(aPeer, decoded.candidatesHash_);
    }
    onRateReport_(aPeer, decoded);
  } else {
    onRateResponse_(DecodeRateResponse(aMessage.at("rate_answer")));
  }
}

void
PeerMessenger::RecordRateCandidates(const std::string& aPeer,
                                    std::uint64_t aHash)
{
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    peer->second.rateCandidates_ = aHash;
  }
}

fleet::RateLimitMembership::Member
PeerMessenger::RateMember(const std::string& aPeer, bool aAdmits) const
{
  fleet::RateLimitMembership::Member member;
  member.host_ = aPeer;
  member.isReachable_ = IsReachable(aPeer);
  member.admits_ = aAdmits;
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    member.candidatesHash_ = peer->second.rateCandidates_;
    member.heardHosts_ = peer->second.heardHosts_;
  }
  return member;
}

bool
PeerMessenger::IsFromPeer(const std::string& aPeer) const
{
  const auto peer = peers_.find(aPeer);
  return peer != peers_.end() && peer->second.address_ == sender_;
}

void
PeerMessenger::HandleStoreReport(const std::string& aPeer,
                                 const json& aMessage,
                                 base::Instant aNow)
{
  // Gateways of earlier versions send no store report.
  const auto report = aMessage.find("store");
  if (report != aMessage.end() && IsFromPeer(aPeer)) {
    mirrors_.HandleReport(aPeer, DecodeStoreReport(*report), aNow);
  }
}

void
PeerMessenger::HandleStoreDelta(const std::string& aPeer, const json& aDelta)
{
  if (IsFromPeer(aPeer)) {
    mirrors_.ApplyDelta(aPeer, DecodeStoreDelta(aDelta));
  }
}

void
PeerMessenger::RequestPreemption(const std::string& aPeer,
                                 const std::string& aEndpoint)
{
  // If this datagram is lost, the peer preempts at its next tick.
  json content = { { "host", ownHost_ }, { "yield", aEndpoint } };
  const auto relay = reachability_.RelayFor(aPeer, base ::MonotonicNow());
  if (relay) {
    content["to"] = aPeer;
  }
  SendTo(relay.value_or(aPeer), DatagramKind::Preemption, content);
}

void
PeerMessenger::Receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_),
    sender_,
    lifetime_.Guard(
      [this](const boost::system::error_code& aError, std::size_t aBytes) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          HandleDatagram(std::string_view(buffer_.data(), aBytes));
        }
        Receive();
      }));
}

std::vector<fleet::EndpointCounts>
PeerMessenger::ReadCounts(const json& aRows)
{
  std::vector<fleet::EndpointCounts> counts;
  for (const json& row : aRows) {
    counts.push_back(
      { row.at(0).get<std::string>(),
        { row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>() },
        row.at(3).get<bool>(),
        row.at(4).get<std::int64_t>() });
  }
  return counts;
}

void
PeerMessenger::HandleDatagram(std::string_view aMessage)
{
  try {
    const json message = json::from_cbor(aMessage.begin(), aMessage.end());
    const base::Instant now = base::MonotonicNow();
    const std::string host = message.at("host").get<std::string>();
    reachability_.RecordActivity(host, now);
    if (!peers_.contains(host) &&
        shared_.routes_.Organisations().AreDeclared()) {
      mirrors_.OnUnknownPeer(now);
    }
    if (const auto inner = message.find("passed_on"); inner != message.end()) {
      const std::string origin = inner->at("host").get<std::string>();
      traffic_.RecordReceived(DatagramKind::RelayedCounts, aMessage.size());
      reachability_.RecordRelayed(origin, host, now);
      HandleCounts(origin, *inner, now);
    } else if (message.contains("yield")) {
      traffic_.RecordReceived(DatagramKind::Preemption, aMessage.size());
      HandlePreemption(message);
    } else if (const auto delta = message.find("news");
               delta != message.end()) {
      traffic_.RecordReceived(DatagramKind::StoreDelta, aMessage.size());
      HandleStoreDelta(host, *delta);
    } else if (message.contains("rate") || message.contains("rate_answer")) {
      traffic_.RecordReceived(DatagramKind::RateMessage, aMessage.size());
      HandleRateMessage(host, message);
    } else if (const auto origin = message.find("origin");
               origin != message.end()) {
      traffic_.RecordReceived(DatagramKind::StreamOrigin, aMessage.size());
      if (IsFromPeer(host)) {
        onOriginMessage_(host, *origin);
      }
    } else if (const auto crashes = message.find("crash_news");
               crashes != message.end()) {
      traffic_.RecordReceived(DatagramKind::CrashNews, aMessage.size());
      if (IsFromPeer(host)) {
        HandleCrashEvidence(*crashes, now);
      }
    } else if (message.contains("silent")) {
      traffic_.RecordReceived(DatagramKind::RelayRequest, aMessage.size());
      for (const json& peer : message.at("silent")) {
        reachability_.RecordRelayRequest(host, peer.get<std::string>(), now);
      }
    } else {
      HandleCountsMessage(host, message, aMessage.size(), now);
    }
  } catch (const json::exception&) {
    // Only counted, as anyone can send to this port.
    shared_.metrics_
      .GetCounter("pumiceturn_peer_datagrams_unreadable_total",
                  "Datagrams that are no message of a peer.")
      .Add();
  }
}

void
PeerMessenger::HandleCountsMessage(const std::string& aPeer,
                                   const json& aMessage,
                                   std::size_t aBytes,
                                   base::Instant aNow)
{
  traffic_.RecordReceived(aMessage.contains("runs")
                            ? DatagramKind::AllCounts
                            : DatagramKind::ChangedCounts,
                          aBytes);
  HandleCounts(aPeer, aMessage, aNow);
  HandleStoreReport(aPeer, aMessage, aNow);
  // The rest only of registered peers that were heard directly, as anyone can
  // send datagrams.
  if (aMessage.contains("runs") && IsFromPeer(aPeer)) {
    HandleObservations(aPeer, aMessage, aNow);
  }
  const auto owners = aMessage.find("owners");
  if (owners != aMessage.end() && IsFromPeer(aPeer)) {
    RecordRateCandidates(aPeer, owners->get<std::uint64_t>());
    if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
      peer->second.heardHosts_ = aMessage.at("heard").get<std::size_t>();
    }
  }
  Relay(aPeer, aMessage, aNow);
}

void
PeerMessenger::HandleCounts(const std::string& aPeer,
                            const json& aMessage,
                            base::Instant aNow)
{
  if (const auto rows = aMessage.find("changed"); rows != aMessage.end()) {
    shared_.endpoints_.UpdatePeerCounts(aPeer, ReadCounts(*rows), aNow);
    return;
  }
  shared_.endpoints_.SetPeerCounts(
    aPeer, ReadCounts(aMessage.at("runs")), aNow);
}

void
PeerMessenger::HandlePreemption(const json& aMessage)
{
  const std::string to = aMessage.value("to", ownHost_);
  if (to == ownHost_) {
    onPreemption_(aMessage.at("yield").get<std::string>());
    return;
  }
  SendTo(to,
         DatagramKind::Preemption,
         { { "host", ownHost_ }, { "yield", aMessage.at("yield") } });
}

void
PeerMessenger::Relay(const std::string& aPeer,
                     const json& aMessage,
                     base::Instant aNow)
{
  for (const std::string& requester :
       reachability_.RelayRequesters(aPeer, aNow)) {
    SendTo(requester,
           DatagramKind::RelayedCounts,
           { { "host", ownHost_ }, { "passed_on", aMessage } });
  }
}

} // namespace pumiceturn::gateway
