#include "LibGateway/StoreTransport.h"

#include "LibBase/Numbers.h"
#include "LibHttpStream/Status.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace pumiceturn::gateway {

using metadata::PathOutcome;

namespace {

/// Longer than a slow store takes to respond.
constexpr std::chrono::milliseconds kProbeTimeout{ 700 };

/// Short, as it uses up part of the bounds of GatewaySettings (2 s by default
/// for a configuration to take effect).
constexpr std::chrono::milliseconds kProbeRetryDelay{ 400 };

/// Added to a call's timeout for the round trip to the peer.
constexpr std::chrono::milliseconds kPeerMargin{ 200 };

/// Bounds the time for which a peer's call occupies a connection.
constexpr std::chrono::milliseconds kMaxPeerCallTimeout{ 30000 };

const std::string kTimeoutField = "Call-Timeout-Ms";

base::Duration
ReadTimeout(const httpstream::Request& aRequest)
{
  const std::string_view text = httpstream::ValueOf(aRequest, kTimeoutField);
  const auto milliseconds = base::ParseNumber<std::uint32_t>(text).value_or(0);
  return std::min<base::Duration>(std::chrono::milliseconds(milliseconds),
                                  kMaxPeerCallTimeout);
}

httpstream::Request
WithTarget(const httpstream::Request& aRequest, std::string_view aTarget)
{
  httpstream::Request request = aRequest;
  request.target({ aTarget.data(), aTarget.size() });
  return request;
}

} // namespace

StoreTransport::StoreTransport(boost::asio::io_context& aContext,
                               const boost::asio::ip::tcp::endpoint& aStore,
                               Protocol aProtocol)
  : context_(aContext)
  , directClient_(aContext.get_executor(), aStore)
  , protocol_(std::move(aProtocol))
  , peerClients_(aContext.get_executor())
  , nextPeer_(std::random_device{}())
  , probeTimer_(aContext)
{
}

void
StoreTransport::Call(const httpstream::Request& aRequest,
                     base::Duration aTimeout,
                     DoneHandler aDone)
{
  auto pending = std::make_shared<PendingCall>(
    PendingCall{ aRequest, aTimeout, std::move(aDone), 0 });
  if (path_.IsDirectPathLost()) {
    CallViaRelay(pending);
  } else {
    CallDirectly(pending);
  }
}

void
StoreTransport::CallDirectly(const PendingPtr& aPending)
{
  directClient_.Send(aPending->request_,
                     aPending->timeout_,
                     lifetime_.Guard([this, aPending](Result aResult) {
                       RecordDirect(aResult);
                       if (protocol_.classify_(aResult) ==
                           PathOutcome::Refused) {
                         CallViaRelay(aPending);
                         return;
                       }
                       aPending->onDone_(std::move(aResult));
                     }));
}

void
StoreTransport::RecordDirect(const Result& aResult)
{
  if (path_.RecordDirect(protocol_.classify_(aResult))) {
    Probe();
  }
}

void
StoreTransport::Probe()
{
  directClient_.Send(protocol_.probe_,
                     kProbeTimeout,
                     lifetime_.Guard([this](const Result& aResult) {
                       if (path_.RecordProbe(protocol_.classify_(aResult))) {
                         ScheduleProbe();
                       }
                     }));
}

void
StoreTransport::ScheduleProbe()
{
  probeTimer_.expires_after(kProbeRetryDelay);
  probeTimer_.async_wait(
    lifetime_.Guard([this](const boost::system::error_code& aError) {
      if (!aError) {
        Probe();
      }
    }));
}

void
StoreTransport::SetPeers(std::vector<batch::PeerAddress> aPeers)
{
  peerClients_.RetainOnly(aPeers);
  peers_ = std::move(aPeers);
}

httpstream::HttpClient*
StoreTransport::NextPeer()
{
  if (peers_.empty()) {
    return nullptr;
  }
  for (std::size_t step = 0; step < peers_.size(); ++step) {
    const auto& peer = peers_[(nextPeer_ + step) % peers_.size()];
    if (isReachable_(peer.host_)) {
      nextPeer_ += step;
      return peerClients_.FindOrCreate(peer.address_);
    }
  }
  return peerClients_.FindOrCreate(peers_[nextPeer_ % peers_.size()].address_);
}

void
StoreTransport::CallViaRelay(const PendingPtr& aPending)
{
  const bool mayAsk =
    aPending->peerAttempts_ < metadata::StorePath::kMaxPeersAsked &&
    path_.MayAskPeer(base::MonotonicNow());
  httpstream::HttpClient* peer = mayAsk ? NextPeer() : nullptr;
  if (peer == nullptr) {
    PostNotConnected(aPending);
    return;
  }
  ++aPending->peerAttempts_;
  httpstream::Request request =
    WithTarget(aPending->request_,
               std::string(kTargetPrefix)
                 .append(httpstream::TargetOf(aPending->request_)));
  request.set(kTimeoutField, std::to_string(base::ToMs(aPending->timeout_)));
  peer->Send(request,
             aPending->timeout_ + kPeerMargin,
             lifetime_.Guard([this, aPending](Result aResult) {
               OnPeerResponse(aPending, std::move(aResult));
             }));
}

void
StoreTransport::OnPeerResponse(const PendingPtr& aPending, Result aResult)
{
  const PathOutcome outcome = protocol_.classify_(aResult);
  path_.RecordPeer(outcome, base::MonotonicNow());
  if (outcome == PathOutcome::Served) {
    aPending->onDone_(std::move(aResult));
    return;
  }
  ++nextPeer_;
  if (outcome == PathOutcome::Refused) {
    CallViaRelay(aPending);
    return;
  }
  aPending->onDone_(std::move(aResult));
}

void
StoreTransport::PostNotConnected(const PendingPtr& aPending)
{
  boost::asio::post(
    context_, lifetime_.Guard([aPending] { aPending->onDone_(Result{}); }));
}

void
StoreTransport::RelayForPeer(
  const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  const httpstream::Request& request = aExchange->GetRequest();
  const base::Duration timeout = ReadTimeout(request);
  const std::string_view target = httpstream::TargetOf(request);
  if (path_.IsDirectPathLost() || !target.starts_with(kTargetPrefix)) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
    return;
  }
  httpstream::Request call =
    WithTarget(request, target.substr(kTargetPrefix.size()));
  call.erase(kTimeoutField);
  directClient_.Send(
    call, timeout, lifetime_.Guard([this, aExchange](Result aResult) {
      RecordDirect(aResult);
      if (aResult.outcome_ == httpstream::CallOutcome::NotConnected) {
        aExchange->Respond(
          httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
      } else if (aResult.outcome_ != httpstream::CallOutcome::Complete) {
        // The abort shows the peer that the call's outcome is unknown.
        aExchange->Abort();
      } else {
        aExchange->Respond(
          httpstream::MakeResponse(aResult.status_, std::move(aResult.body_)));
      }
    }));
}

} // namespace pumiceturn::gateway
