#include "LibWire/Connection.h"

#include "LibBase/Result.h"
#include "LibWire/Events.h"
#include "LibWire/MessageCodec.h"

#include <kj/debug.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace pumiceturn::wire {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr std::size_t kMaxHostNameBytes = 255;

/// A first word that lies about a message's length makes the reader set aside
/// this much at most. Larger than any batch within a queue's bound.
constexpr std::uint64_t kMaxMessageWords = 4ULL << 20U;

/// What a call takes beside its envelopes, for the first segment's size.
constexpr std::size_t kCallBytes = 256;

/// Room for what a peer's calls say before its hello is answered.
constexpr std::size_t kMaxEarlyMessages = 4096;

capnp::ReaderOptions
ReaderLimits()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

capnp::rpc::twoparty::Side
ToRpcSide(ConnectionSide aSide)
{
  return aSide == ConnectionSide::Dialed ? capnp::rpc::twoparty::Side::CLIENT
                                         : capnp::rpc::twoparty::Side::SERVER;
}

/// Small messages leave at once: a heartbeat or a token that waits for more to
/// come is late.
kj::Own<kj::AsyncIoStream>
WithoutDelay(kj::Own<kj::AsyncIoStream> aStream)
{
  const int on = 1;
  aStream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return aStream;
}

} // namespace

/// The capability that the peer calls. Calls may still be held by the RPC
/// system when the connection goes, so it is told.
class Connection::PeerServer final : public schema::Peer::Server
{
public:
  explicit PeerServer(Connection& aConnection)
    : connection_(&aConnection)
  {
    aConnection.server_ = this;
  }

  ~PeerServer() noexcept(false)
  {
    if (connection_ != nullptr) {
      connection_->server_ = nullptr;
    }
  }

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  void Detach() { connection_ = nullptr; }

protected:
  kj::Promise<void> hello(HelloContext aContext) override
  {
    KJ_REQUIRE(connection_ != nullptr, "the connection is closed");
    const auto params = aContext.getParams();
    connection_->WriteHello(aContext.getResults().initHello(), {});
    connection_->OnHello(params.getHello(), params.getBack());
    return kj::READY_NOW;
  }

  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    KJ_REQUIRE(connection_ != nullptr, "the connection is closed");
    connection_->OnDelivered(aContext.getParams().getMessages());
    return kj::READY_NOW;
  }

  kj::Promise<void> heartbeat(HeartbeatContext aContext) override
  {
    KJ_REQUIRE(connection_ != nullptr, "the connection is closed");
    connection_->OnHeartbeat(aContext.getParams().getHeartbeat());
    connection_->AnswerHeartbeat(aContext.getResults().initHeartbeat());
    return kj::READY_NOW;
  }

private:
  Connection* connection_;
};

Connection::Connection(kj::Own<kj::AsyncIoStream> aStream,
                       ConnectionSide aSide,
                       ProcessIdentity aOwn,
                       LinkHealth aHealth,
                       const ConnectionEvents& aEvents)
  : side_(aSide)
  , own_(std::move(aOwn))
  , events_(&aEvents)
  , health_(std::move(aHealth))
  , stream_(WithoutDelay(kj::mv(aStream)))
  , framed_(*stream_)
  , network_(framed_, ToRpcSide(aSide), ReaderLimits())
  , self_(kj::heap<PeerServer>(*this))
  , rpc_(capnp::makeRpcServer(network_, self_))
  , tasks_(*this)
{
  tasks_.add(
    network_.onDisconnect().then([this] { End("the connection was closed"); }));
}

Connection::~Connection()
{
  if (server_ != nullptr) {
    server_->Detach();
  }
}

kj::Promise<void>
Connection::Greet(const std::string& aExpected)
{
  capnp::MallocMessageBuilder message;
  auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  auto remote = rpc_.bootstrap(vat).castAs<schema::Peer>();
  auto request = remote.helloRequest();
  WriteHello(request.initHello(), aExpected);
  request.setBack(self_);
  remote_ = kj::mv(remote);
  return request.send().then(
    [this, aExpected](capnp::Response<schema::Peer::HelloResults>&& aResponse) {
      SetPeer(aResponse.getHello());
      KJ_REQUIRE(peer_.host_ == aExpected, "another process answers");
    });
}

void
Connection::Open()
{
  open_ = true;
  Receive(std::exchange(early_, {}));
}

void
Connection::Deliver(SendQueues::Batch aBatch)
{
  ++inFlight_;
  auto call = Call(aBatch.messages_, aBatch.bytes_);
  aBatch.messages_.clear();
  tasks_.add(call.then([this, batch = std::move(aBatch)] {
    --inFlight_;
    if (events_ != nullptr) {
      events_->acknowledged_(*this, batch);
    }
  }));
}

void
Connection::SendHeartbeat(const Heartbeat& aHeartbeat)
{
  auto request = KJ_REQUIRE_NONNULL(remote_).heartbeatRequest();
  Encode(request.initHeartbeat(), aHeartbeat);
  health_.OnSent(base::MonotonicNow());
  tasks_.add(request.send().then(
    [this](capnp::Response<schema::Peer::HeartbeatResults>&& aResponse) {
      health_.OnAcknowledged(base::MonotonicNow());
      OnHeartbeat(aResponse.getHeartbeat());
    }));
}

void
Connection::Probe()
{
  tasks_.add(Call({}, 0));
}

kj::Promise<void>
Connection::Call(const std::vector<Message>& aMessages, std::size_t aBytes)
{
  schema::Peer::Client& remote = KJ_REQUIRE_NONNULL(remote_);
  auto request = remote.deliverRequest(
    capnp::MessageSize{ (aBytes + kCallBytes) / sizeof(capnp::word), 0 });
  auto envelopes =
    request.initMessages(static_cast<unsigned int>(aMessages.size()));
  for (unsigned int i = 0; i < envelopes.size(); ++i) {
    Encode(envelopes[i], aMessages[i]);
  }
  health_.OnSent(base::MonotonicNow());
  return request.send().ignoreResult().then(
    [this] { health_.OnAcknowledged(base::MonotonicNow()); });
}

void
Connection::OnHello(schema::Hello::Reader aHello, schema::Peer::Client aBack)
{
  KJ_REQUIRE(side_ == ConnectionSide::Accepted,
             "hello to a process that dialed");
  KJ_REQUIRE(!greeted_, "hello a second time");
  KJ_REQUIRE(aHello.getExpectedHost() == own_.host_.c_str(),
             "hello to another process");
  remote_ = kj::mv(aBack);
  SetPeer(aHello);
  if (events_ != nullptr) {
    events_->greeted_(*this);
  }
}

void
Connection::SetPeer(schema::Hello::Reader aHello)
{
  const capnp::Text::Reader host = aHello.getHost();
  KJ_REQUIRE(aHello.getProtocolVersion() == kProtocolVersion,
             "another protocol version");
  KJ_REQUIRE(host.size() > 0 && host.size() <= kMaxHostNameBytes,
             "a host name of no use");
  peer_ = { std::string(host.begin(), host.size()), aHello.getIncarnation() };
  greeted_ = true;
  health_.OnHeard(base::MonotonicNow());
}

void
Connection::WriteHello(schema::Hello::Builder aTo,
                       const std::string& aExpected) const
{
  aTo.setHost(capnp::Text::Reader(own_.host_.c_str(), own_.host_.size()));
  aTo.setIncarnation(own_.incarnation_);
  aTo.setProtocolVersion(kProtocolVersion);
  aTo.setExpectedHost(capnp::Text::Reader(aExpected.c_str(), aExpected.size()));
}

void
Connection::OnHeartbeat(schema::Heartbeat::Reader aFrom)
{
  health_.OnHeard(base::MonotonicNow());
  auto outcome = base::Capture([&] { return Decode(aFrom); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    LogUnreadable(*failure);
    return;
  }
  std::vector<Message> messages;
  messages.emplace_back(std::get<Heartbeat>(std::move(outcome)));
  Receive(std::move(messages));
}

void
Connection::AnswerHeartbeat(schema::Heartbeat::Builder aTo)
{
  if (open_ && events_ != nullptr) {
    Encode(aTo, events_->heartbeat_(*this));
  }
}

void
Connection::LogUnreadable(const base::Failure& aFailure) const
{
  base::Log(kMessageUnreadable,
            { { "peer", peer_.host_ }, { "detail", aFailure.detail_ } });
}

void
Connection::OnDelivered(capnp::List<schema::Envelope>::Reader aEnvelopes)
{
  health_.OnHeard(base::MonotonicNow());
  std::vector<Message> messages;
  messages.reserve(aEnvelopes.size());
  for (auto envelope : aEnvelopes) {
    auto outcome = base::Capture([&] { return Decode(envelope); });
    if (auto* message = std::get_if<Message>(&outcome)) {
      messages.push_back(std::move(*message));
      continue;
    }
    // One message of a type that this version does not know must not cost the
    // others; a process of the next version may send it during an upgrade.
    LogUnreadable(std::get<base::Failure>(outcome));
  }
  Receive(std::move(messages));
}

void
Connection::Receive(std::vector<Message> aMessages)
{
  if (open_) {
    if (events_ != nullptr && !aMessages.empty()) {
      events_->received_(*this, std::move(aMessages));
    }
    return;
  }
  // The peer may call back before its answer to our hello has been looked at;
  // anyone else who sends before a hello is refused.
  KJ_REQUIRE(side_ == ConnectionSide::Dialed, "messages before hello");
  KJ_REQUIRE(early_.size() + aMessages.size() <= kMaxEarlyMessages,
             "too many messages before hello");
  for (Message& message : aMessages) {
    early_.push_back(std::move(message));
  }
}

void
Connection::End(const std::string& aReason)
{
  if (events_ == nullptr) {
    return;
  }
  const ConnectionEvents& events = *events_;
  Mute();
  events.ended_(*this, aReason);
}

void
Connection::taskFailed(kj::Exception&& aException)
{
  End(aException.getDescription().cStr());
}

} // namespace pumiceturn::wire
