#include "LibWire/LinkLoop.h"

#include "LibBase/Log.h"
#include "LibWire/Events.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace pumiceturn::wire {

namespace {

/// Health is looked at this often in a heartbeat interval.
constexpr std::int64_t kTicksPerInterval = 4;

/// Messages that are ready together leave together, up to this size.
constexpr std::size_t kMaxBatchBytes = 64U << 10U;

/// Connections that have not said hello; more are closed on arrival, so that
/// whoever opens many and says nothing takes neither memory nor descriptors
/// without bound.
constexpr std::size_t kMaxNewcomers = 256;

constexpr kj::Duration kAcceptRetryDelay = 100 * kj::MILLISECONDS;

kj::Duration
ToKj(base::Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

std::size_t
IndexOf(ConnectionSide aSide)
{
  return static_cast<std::size_t>(aSide);
}

std::uint64_t
MakeIncarnation(std::mt19937_64& aRandom)
{
  return std::uniform_int_distribution<std::uint64_t>{ 1 }(aRandom);
}

} // namespace

LinkLoop::LinkLoop(LinkShared& aShared,
                   kj::AsyncIoContext& aIo,
                   kj::ConnectionReceiver& aReceiver)
  : shared_(aShared)
  , io_(aIo)
  , timer_(aIo.provider->getTimer())
  , receiver_(aReceiver)
  , wake_(aIo.lowLevelProvider->wrapInputFd(
      aShared.wake_.Descriptor(),
      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
        kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK))
  , random_(std::random_device{}())
  , own_{ aShared.options_.host_, MakeIncarnation(random_) }
  , tasks_(*this)
{
  events_.greeted_ = [this](Connection& aConnection) {
    OnGreeted(aConnection);
  };
  events_.received_ = [this](Connection& aConnection,
                             std::vector<Message> aMessages) {
    OnReceived(aConnection, std::move(aMessages));
  };
  events_.acknowledged_ = [this](Connection& aConnection,
                                 const SendQueues::Batch& aBatch) {
    OnAcknowledged(aConnection, aBatch);
  };
  events_.heartbeat_ = [this](Connection& aConnection) {
    return MakeHeartbeat(aConnection);
  };
  events_.ended_ = [this](Connection& aConnection, const std::string& aReason) {
    OnEnded(aConnection, aReason);
  };
}

void
LinkLoop::Run(kj::WaitScope& aWaitScope)
{
  tasks_.add(AcceptAll());
  tasks_.add(ObeyAll());
  tasks_.add(TickAll());
  stop_.promise.wait(aWaitScope);
}

kj::Promise<void>
LinkLoop::AcceptAll()
{
  return receiver_.accept().then(
    [this](kj::Own<kj::AsyncIoStream>&& aStream) {
      OnAccepted(kj::mv(aStream));
      return AcceptAll();
    },
    [this](kj::Exception&& aException) {
      // Out of descriptors, most likely. Links that are up go on meanwhile.
      base::Log(kAcceptFailed,
                { { "detail", aException.getDescription().cStr() } });
      return timer_.afterDelay(kAcceptRetryDelay).then([this] {
        return AcceptAll();
      });
    });
}

kj::Promise<void>
LinkLoop::ObeyAll()
{
  return wake_->read(wakeBuffer_.data(), wakeBuffer_.size()).then([this] {
    for (const LinkCommand& command : shared_.commands_.TakeAll()) {
      std::visit([this](const auto& aTyped) { Obey(aTyped); }, command);
    }
    for (const std::string& peer : shared_.queues_.TakeReady()) {
      Pump(peer);
    }
    return ObeyAll();
  });
}

kj::Promise<void>
LinkLoop::TickAll()
{
  const base::Duration interval =
    shared_.options_.heartbeatInterval_ / kTicksPerInterval;
  return timer_.afterDelay(ToKj(interval)).then([this] {
    Tick();
    return TickAll();
  });
}

void
LinkLoop::Obey(const ConnectCommand& aCommand)
{
  Link& link = GetLink(aCommand.peer_);
  if (link.address_ == aCommand.address_) {
    return;
  }
  link.address_ = aCommand.address_;
  ++link.dialEpoch_;
  link.dialing_ = false;
  link.schedule_.Reset();
  Drop(link, ConnectionSide::Dialed, "the address changed");
  ScheduleDial(link);
}

void
LinkLoop::Obey(const DisconnectCommand& aCommand)
{
  const auto found = links_.find(aCommand.peer_);
  if (found == links_.end()) {
    return;
  }
  shared_.queues_.Close(aCommand.peer_);
  for (kj::Own<Connection>& connection : found->second.connections_) {
    Retire(kj::mv(connection));
  }
  links_.erase(found);
}

void
LinkLoop::Obey(const HeartbeatCommand&)
{
  for (auto& [peer, link] : links_) {
    if (link.current_ != nullptr) {
      link.current_->SendHeartbeat(MakeHeartbeat(*link.current_));
    }
  }
}

void
LinkLoop::Obey(const StopCommand&)
{
  stop_.fulfiller->fulfill();
}

void
LinkLoop::OnAccepted(kj::Own<kj::AsyncIoStream> aStream)
{
  if (newcomers_.size() >= kMaxNewcomers) {
    base::Log(kPeerRefused, { { "detail", "too many without a hello" } });
    return;
  }
  Newcomer& newcomer = newcomers_.emplace_back();
  newcomer.deadline_ = base::MonotonicNow() + shared_.options_.connectTimeout_;
  newcomer.connection_ =
    MakeConnection(kj::mv(aStream), ConnectionSide::Accepted);
}

void
LinkLoop::OnGreeted(Connection& aConnection)
{
  const auto newcomer = std::find_if(
    newcomers_.begin(), newcomers_.end(), [&](const Newcomer& aNewcomer) {
      return aNewcomer.connection_.get() == &aConnection;
    });
  KJ_REQUIRE(newcomer != newcomers_.end(), "hello came too late");
  KJ_REQUIRE(aConnection.Peer().host_ != own_.host_,
             "the peer calls itself by this process's name");
  kj::Own<Connection> connection = kj::mv(newcomer->connection_);
  newcomers_.erase(newcomer);
  Link& link = GetLink(connection->Peer().host_);
  link.peerDials_ = true;
  Establish(link, kj::mv(connection));
}

void
LinkLoop::OnEnded(Connection& aConnection, const std::string& aReason)
{
  for (auto newcomer = newcomers_.begin(); newcomer != newcomers_.end();
       ++newcomer) {
    if (newcomer->connection_.get() == &aConnection) {
      base::Log(kPeerRefused, { { "detail", aReason } });
      Retire(kj::mv(newcomer->connection_));
      newcomers_.erase(newcomer);
      return;
    }
  }
  Link* link = FindLink(aConnection.Peer().host_);
  const std::size_t side = IndexOf(aConnection.Side());
  if (link == nullptr || link->connections_[side].get() != &aConnection) {
    return; // A dial under way; its promise fails too.
  }
  Drop(*link, aConnection.Side(), aReason);
  ScheduleDial(*link);
}

void
LinkLoop::Establish(Link& aLink, kj::Own<Connection> aConnection)
{
  const ConnectionSide side = aConnection->Side();
  const std::uint64_t incarnation = aConnection->Peer().incarnation_;
  const bool isReplaced =
    aLink.incarnation_ != 0 && aLink.incarnation_ != incarnation;
  aLink.incarnation_ = incarnation;
  aLink.schedule_.Reset();
  // Whoever opens a second connection has given up the first, which may look
  // alive from here for longer: it went silent in the other direction.
  Drop(aLink, side, "the peer opened another");
  if (isReplaced) {
    Drop(aLink, ConnectionSide::Dialed, "the peer's process was replaced");
    Drop(aLink, ConnectionSide::Accepted, "the peer's process was replaced");
  }
  Connection& connection = *aConnection;
  aLink.connections_[IndexOf(side)] = kj::mv(aConnection);
  shared_.queues_.RecordHeard(aLink.peer_, base::MonotonicNow());
  Select(aLink, isReplaced);
  connection.Open();
}

void
LinkLoop::Select(Link& aLink, bool aIsReplaced)
{
  if (aLink.current_ != nullptr) {
    return;
  }
  for (kj::Own<Connection>& connection : aLink.connections_) {
    if (connection.get() == nullptr) {
      continue;
    }
    aLink.current_ = connection.get();
    shared_.queues_.Open(aLink.peer_);
    base::Log(kLinkUp,
              { { "peer", aLink.peer_ },
                { "dialed", connection->Side() == ConnectionSide::Dialed } });
    if (aIsReplaced) {
      base::Log(kPeerReplaced, { { "peer", aLink.peer_ } });
      Report(aLink, LinkState::Replaced);
    }
    Report(aLink, LinkState::Up);
    return;
  }
}

void
LinkLoop::Drop(Link& aLink, ConnectionSide aSide, std::string_view aReason)
{
  kj::Own<Connection> dropped = kj::mv(aLink.connections_[IndexOf(aSide)]);
  if (dropped.get() == nullptr) {
    return;
  }
  const bool isCurrent = aLink.current_ == dropped.get();
  Retire(kj::mv(dropped));
  if (!isCurrent) {
    return;
  }
  aLink.current_ = nullptr;
  shared_.queues_.Close(aLink.peer_);
  base::Log(kLinkLost, { { "peer", aLink.peer_ }, { "reason", aReason } });
  Report(aLink, LinkState::Lost);
}

/// A connection is often given up by a call that runs on it, so it is destroyed
/// on a later turn of the event loop.
void
LinkLoop::Retire(kj::Own<Connection> aConnection)
{
  if (aConnection.get() == nullptr) {
    return;
  }
  aConnection->Mute();
  retired_.push_back(kj::mv(aConnection));
  if (retired_.size() == 1) {
    tasks_.add(kj::evalLater([this] { retired_.clear(); }));
  }
}

kj::Own<Connection>
LinkLoop::MakeConnection(kj::Own<kj::AsyncIoStream> aStream,
                         ConnectionSide aSide)
{
  const LinkHealth::Options options{ shared_.options_.heartbeatInterval_,
                                     shared_.options_.missedHeartbeats_ };
  return kj::heap<Connection>(
    kj::mv(aStream),
    aSide,
    own_,
    LinkHealth(options, base::MonotonicNow(), Random()),
    events_);
}

void
LinkLoop::ScheduleDial(Link& aLink)
{
  Select(aLink, false);
  if (aLink.address_.empty() || aLink.dialing_ || aLink.current_ != nullptr) {
    return;
  }
  aLink.dialing_ = true;
  base::Duration delay = aLink.schedule_.Next(Random());
  // Where both ends dial, one of them goes first, or they would end up with
  // two connections.
  if (aLink.peerDials_ && own_.host_ > aLink.peer_) {
    delay += shared_.options_.heartbeatInterval_ / kTicksPerInterval;
  }
  tasks_.add(timer_.afterDelay(ToKj(delay))
               .then([this, peer = aLink.peer_, epoch = aLink.dialEpoch_] {
                 Dial(peer, epoch);
               }));
}

void
LinkLoop::Dial(const std::string& aPeer, std::uint64_t aEpoch)
{
  Link* link = FindLink(aPeer);
  if (link == nullptr || link->dialEpoch_ != aEpoch) {
    return;
  }
  if (link->current_ != nullptr) {
    link->dialing_ = false;
    return;
  }
  const kj::Duration timeout = ToKj(shared_.options_.connectTimeout_);
  tasks_.add(timer_.timeoutAfter(timeout, Reach(aPeer, link->address_))
               .then(
                 [this, aPeer, aEpoch](kj::Own<Connection>&& aConnection) {
                   OnDialed(aPeer, aEpoch, kj::mv(aConnection));
                 },
                 [this, aPeer, aEpoch](kj::Exception&& aException) {
                   OnDialFailed(
                     aPeer, aEpoch, aException.getDescription().cStr());
                 }));
}

kj::Promise<kj::Own<Connection>>
LinkLoop::Reach(const std::string& aPeer, const std::string& aAddress)
{
  return kj::evalNow([&] {
           return io_.provider->getNetwork().parseAddress(aAddress.c_str());
         })
    .then([](kj::Own<kj::NetworkAddress>&& aParsed) {
      auto connecting = aParsed->connect();
      return connecting.attach(kj::mv(aParsed));
    })
    .then([this, aPeer](kj::Own<kj::AsyncIoStream>&& aStream) {
      auto connection = MakeConnection(kj::mv(aStream), ConnectionSide::Dialed);
      auto greeting = connection->Greet(aPeer);
      return greeting.then([connection = kj::mv(connection)]() mutable {
        return kj::mv(connection);
      });
    });
}

void
LinkLoop::OnDialed(const std::string& aPeer,
                   std::uint64_t aEpoch,
                   kj::Own<Connection> aConnection)
{
  Link* link = FindLink(aPeer);
  if (link == nullptr || link->dialEpoch_ != aEpoch) {
    Retire(kj::mv(aConnection));
    return;
  }
  link->dialing_ = false;
  Establish(*link, kj::mv(aConnection));
}

void
LinkLoop::OnDialFailed(const std::string& aPeer,
                       std::uint64_t aEpoch,
                       const std::string& aReason)
{
  Link* link = FindLink(aPeer);
  if (link == nullptr || link->dialEpoch_ != aEpoch) {
    return;
  }
  base::Log(kConnectFailed,
            { { "peer", aPeer },
              { "address", link->address_ },
              { "reason", aReason } });
  link->dialing_ = false;
  ScheduleDial(*link);
}

void
LinkLoop::OnReceived(Connection& aConnection, std::vector<Message> aMessages)
{
  const std::string& peer = aConnection.Peer().host_;
  shared_.queues_.RecordHeard(peer, base::MonotonicNow());
  if (!shared_.handlers_.message_) {
    return;
  }
  for (Message& message : aMessages) {
    shared_.handlers_.message_(peer, std::move(message));
  }
}

void
LinkLoop::OnAcknowledged(Connection& aConnection,
                         const SendQueues::Batch& aBatch)
{
  const std::string& peer = aConnection.Peer().host_;
  shared_.queues_.RecordHeard(peer, base::MonotonicNow());
  shared_.queues_.Release(peer, aBatch.epoch_, aBatch.bytes_);
  Pump(peer);
}

void
LinkLoop::Pump(const std::string& aPeer)
{
  if (aPeer == own_.host_) {
    DeliverToSelf();
    return;
  }
  Link* link = FindLink(aPeer);
  while (link != nullptr && link->current_ != nullptr &&
         link->current_->HasRoom()) {
    SendQueues::Batch batch = shared_.queues_.Take(aPeer, kMaxBatchBytes);
    if (batch.messages_.empty()) {
      return;
    }
    link->current_->Deliver(std::move(batch));
  }
}

void
LinkLoop::DeliverToSelf()
{
  SendQueues::Batch batch =
    shared_.queues_.Take(own_.host_, shared_.options_.maxQueuedBytes_);
  shared_.queues_.Release(own_.host_, batch.epoch_, batch.bytes_);
  if (!shared_.handlers_.message_) {
    return;
  }
  for (Message& message : batch.messages_) {
    shared_.handlers_.message_(own_.host_, std::move(message));
  }
}

Heartbeat
LinkLoop::MakeHeartbeat(Connection& aConnection) const
{
  Heartbeat heartbeat;
  if (shared_.handlers_.heartbeat_) {
    heartbeat = shared_.handlers_.heartbeat_(aConnection.Peer().host_);
  }
  heartbeat.sequence_ = aConnection.NextHeartbeatSequence();
  return heartbeat;
}

/// The side that dialed sends; the other answers with its own heartbeat, which
/// costs half of what heartbeats sent from both sides do. A connection that is
/// not in use carries no news, so that news is not told on two ways.
void
LinkLoop::OnHeartbeatDue(const Link& aLink, Connection& aConnection) const
{
  if (aConnection.Side() == ConnectionSide::Accepted) {
    return;
  }
  if (&aConnection == aLink.current_) {
    aConnection.SendHeartbeat(MakeHeartbeat(aConnection));
  } else {
    aConnection.Probe();
  }
}

void
LinkLoop::Tick()
{
  RefuseLateNewcomers(base::MonotonicNow());
  for (auto& [peer, link] : links_) {
    TickLink(link);
  }
}

void
LinkLoop::TickLink(Link& aLink)
{
  const base::Instant now = base::MonotonicNow();
  for (kj::Own<Connection>& connection : aLink.connections_) {
    if (connection.get() == nullptr) {
      continue;
    }
    switch (connection->Health().Check(now)) {
      case LinkNeed::Nothing:
        break;
      case LinkNeed::Heartbeat:
        OnHeartbeatDue(aLink, *connection);
        break;
      case LinkNeed::Replacement:
        Drop(aLink, connection->Side(), "silent");
        break;
    }
  }
  ScheduleDial(aLink);
}

void
LinkLoop::RefuseLateNewcomers(base::Instant aNow)
{
  while (!newcomers_.empty() && newcomers_.front().deadline_ <= aNow) {
    base::Log(kPeerRefused, { { "detail", "no hello in time" } });
    Retire(kj::mv(newcomers_.front().connection_));
    newcomers_.pop_front();
  }
}

void
LinkLoop::Report(const Link& aLink, LinkState aState) const
{
  if (shared_.handlers_.state_) {
    shared_.handlers_.state_(aLink.peer_, aState);
  }
}

LinkLoop::Link&
LinkLoop::GetLink(const std::string& aPeer)
{
  Link& link = links_[aPeer];
  link.peer_ = aPeer;
  return link;
}

LinkLoop::Link*
LinkLoop::FindLink(const std::string& aPeer)
{
  const auto found = links_.find(aPeer);
  return found == links_.end() ? nullptr : &found->second;
}

double
LinkLoop::Random()
{
  return std::uniform_real_distribution<double>{}(random_);
}

void
LinkLoop::taskFailed(kj::Exception&& aException)
{
  base::Log(kTaskFailed, { { "detail", aException.getDescription().cStr() } });
}

} // namespace pumiceturn::wire
