#include "LibGateway/PeerExchange.h"

#include "LibGateway/EndpointAddress.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace pumiceturn::gateway {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// How long a run that may have crashed its endpoint is told to the others,
/// which remember it longer; and how many at most, to keep datagrams small.
constexpr std::chrono::seconds kSuspectNews{ 3 };
constexpr std::size_t kMostSuspects = 32;

} // namespace

PeerExchange::PeerExchange(asio::io_context& aContext,
                           Shared& aShared,
                           std::string aOwnName,
                           YieldHandler aOnYield)
  : socket_(aContext)
  , timer_(aContext)
  , shared_(aShared)
  , ownName_(std::move(aOwnName))
  , onYield_(std::move(aOnYield))
{
}

boost::system::error_code
PeerExchange::Open(const asio::ip::udp::endpoint& aEndpoint)
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
  SendLater();
  return {};
}

void
PeerExchange::SetPeer(const std::string& aName, const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  if (aName != ownName_ && address) {
    peers_[aName] = { address->address(), address->port() };
  }
}

void
PeerExchange::RemovePeer(const std::string& aName)
{
  peers_.erase(aName);
}

void
PeerExchange::SendLater()
{
  timer_.expires_after(fleet::CountNews::Interval(peers_.size()));
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Send();
      SendLater();
    }
  });
}

void
PeerExchange::Send()
{
  if (peers_.empty()) {
    return;
  }
  const base::Instant now = base::MonotonicNow();
  const auto update = news_.Next(shared_.endpoints_.OwnCounts(now), now);
  if (!update) {
    return;
  }
  json rows = json::array();
  for (const fleet::PeerCount& count : update->counts_) {
    rows.push_back({ count.endpoint_,
                     count.counts_.online_,
                     count.counts_.batch_,
                     count.hasFailed_ });
  }
  json content = { { "host", ownName_ } };
  if (update->isWhole_) {
    content["runs"] = std::move(rows);
    content["suspects"] = SuspectRows();
  } else {
    content["changed"] = std::move(rows);
  }
  const std::vector<std::uint8_t> message = json::to_cbor(content);
  for (const auto& [name, address] : peers_) {
    boost::system::error_code ignored;
    // A datagram that can't be sent now is replaced by the next.
    socket_.send_to(asio::buffer(message), address, 0, ignored);
  }
}

json
PeerExchange::SuspectRows() const
{
  json rows = json::array();
  const base::Instant now = base::MonotonicNow();
  for (const fleet::SuspectRun& run : shared_.suspects_.Runs(now)) {
    if (now - run.brokeAt_ > kSuspectNews || rows.size() == kMostSuspects) {
      continue;
    }
    // Ages, as hosts' clocks differ.
    rows.push_back({ run.content_,
                     run.endpoint_,
                     run.isRetry_,
                     base::ToMs(now - run.brokeAt_) });
  }
  return rows;
}

void
PeerExchange::TakeSuspects(const json& aRows)
{
  const base::Instant now = base::MonotonicNow();
  for (const json& row : aRows) {
    const std::chrono::milliseconds age{ row.at(3).get<std::uint32_t>() };
    shared_.suspects_.NoteBroken({ row.at(0).get<std::uint64_t>(),
                                   row.at(1).get<std::string>(),
                                   row.at(2).get<bool>(),
                                   now - age });
  }
}

void
PeerExchange::AskToYield(const std::string& aPeer, const std::string& aEndpoint)
{
  const auto peer = peers_.find(aPeer);
  if (peer == peers_.end()) {
    return;
  }
  const std::vector<std::uint8_t> message =
    json::to_cbor({ { "host", ownName_ }, { "yield", aEndpoint } });
  boost::system::error_code ignored;
  // Lost, it costs no more than the peer's next look.
  socket_.send_to(asio::buffer(message), peer->second, 0, ignored);
}

void
PeerExchange::Receive()
{
  socket_.async_receive_from(
    asio::buffer(buffer_),
    sender_,
    [this](const boost::system::error_code& aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        Take(std::string_view(buffer_.data(), aBytes));
      }
      Receive();
    });
}

std::vector<fleet::PeerCount>
PeerExchange::ReadCounts(const json& aRows)
{
  std::vector<fleet::PeerCount> counts;
  for (const json& row : aRows) {
    counts.push_back(
      { row.at(0).get<std::string>(),
        { row.at(1).get<std::uint32_t>(), row.at(2).get<std::uint32_t>() },
        row.at(3).get<bool>() });
  }
  return counts;
}

void
PeerExchange::Take(std::string_view aMessage)
{
  try {
    const json message = json::from_cbor(aMessage.begin(), aMessage.end());
    if (const auto endpoint = message.find("yield");
        endpoint != message.end()) {
      onYield_(endpoint->get<std::string>());
      return;
    }
    const base::Instant now = base::MonotonicNow();
    const std::string host = message.at("host").get<std::string>();
    if (const auto rows = message.find("changed"); rows != message.end()) {
      shared_.endpoints_.TakePeerChanges(host, ReadCounts(*rows), now);
      return;
    }
    shared_.endpoints_.TakePeerCounts(
      host, ReadCounts(message.at("runs")), now);
    // A host with an earlier version sends none.
    if (const auto rows = message.find("suspects"); rows != message.end()) {
      TakeSuspects(*rows);
    }
  } catch (const json::exception&) {
    // Not one of ours: anyone can send to a port.
    shared_.metrics_
      .GetCounter("pumiceturn_peer_datagrams_unreadable_total",
                  "Datagrams that are no message of a peer.")
      .Add();
  }
}

} // namespace pumiceturn::gateway
