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
  , retired_(tasks_)
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
  Entry& entry = GetEntry(aCommand.peer_);
  if (entry.address_ == aCommand.address_) {
    return;
  }
  entry.address_ = aCommand.address_;
  entry.dial_ = 0;
  entry.schedule_ = MakeSchedule();
  entry.link_.Drop(ConnectionSide::Dialed, "the address changed");
  ScheduleDial(entry);
}

void
LinkLoop::Obey(const DisconnectCommand& aCommand)
{
  const auto found = entries_.find(aCommand.peer_);
  if (found == entries_.end()) {
    return;
  }
  found->second.link_.Clear();
  entries_.erase(found);
}

void
LinkLoop::Obey(const HeartbeatCommand&)
{
  for (const auto& [peer, entry] : entries_) {
    Connection* current = entry.link_.Current();
    if (current != nullptr) {
      current->SendHeartbeat(MakeHeartbeat(*current));
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
  Entry& entry = GetEntry(connection->Peer().host_);
  entry.schedule_.OnUp(base::MonotonicNow());
  entry.link_.Add(kj::mv(connection));
}

void
LinkLoop::OnEnded(Connection& aConnection, const std::string& aReason)
{
  for (auto newcomer = newcomers_.begin(); newcomer != newcomers_.end();
       ++newcomer) {
    if (newcomer->connection_.get() == &aConnection) {
      base::Log(kPeerRefused, { { "detail", aReason } });
      retired_.Add(kj::mv(newcomer->connection_));
      newcomers_.erase(newcomer);
      return;
    }
  }
  Entry* entry = FindEntry(aConnection.Peer().host_);
  if (entry == nullptr || entry->link_.At(aConnection.Side()) != &aConnection) {
    return; // A dial under way; its promise fails too.
  }
  entry->link_.Drop(aConnection.Side(), aReason);
  ScheduleDial(*entry);
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
LinkLoop::ScheduleDial(Entry& aEntry)
{
  const Link& link = aEntry.link_;
  if (aEntry.address_.empty() || aEntry.dial_ != 0 ||
      link.Current() != nullptr) {
    return;
  }
  aEntry.dial_ = ++lastDial_;
  base::Duration delay = aEntry.schedule_.Next(base::MonotonicNow(), Random());
  // Where both ends dial, one of them goes first, or they would end up with
  // two connections.
  if (link.PeerDials() && own_.host_ > link.Peer()) {
    delay += shared_.options_.heartbeatInterval_ / kTicksPerInterval;
  }
  tasks_.add(timer_.afterDelay(ToKj(delay))
               .then([this, peer = link.Peer(), dial = aEntry.dial_] {
                 Dial(peer, dial);
               }));
}

void
LinkLoop::Dial(const std::string& aPeer, std::uint64_t aDial)
{
  Entry* entry = FindDialing(aPeer, aDial);
  if (entry == nullptr) {
    return;
  }
  if (entry->link_.Current() != nullptr) {
    entry->dial_ = 0;
    return;
  }
  const kj::Duration timeout = ToKj(shared_.options_.connectTimeout_);
  tasks_.add(timer_.timeoutAfter(timeout, Reach(aPeer, entry->address_))
               .then(
                 [this, aPeer, aDial](kj::Own<Connection>&& aConnection) {
                   OnDialed(aPeer, aDial, kj::mv(aConnection));
                 },
                 [this, aPeer, aDial](kj::Exception&& aException) {
                   OnDialFailed(
                     aPeer, aDial, aException.getDescription().cStr());
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
                   std::uint64_t aDial,
                   kj::Own<Connection> aConnection)
{
  Entry* entry = FindDialing(aPeer, aDial);
  if (entry == nullptr) {
    retired_.Add(kj::mv(aConnection));
    return;
  }
  // It may have broken right after the peer's answer, and would then tell
  // nobody.
  if (aConnection->IsMuted()) {
    retired_.Add(kj::mv(aConnection));
    OnDialFailed(aPeer, aDial, "closed after hello");
    return;
  }
  entry->dial_ = 0;
  entry->schedule_.OnUp(base::MonotonicNow());
  entry->link_.Add(kj::mv(aConnection));
}

void
LinkLoop::OnDialFailed(const std::string& aPeer,
                       std::uint64_t aDial,
                       const std::string& aReason)
{
  Entry* entry = FindDialing(aPeer, aDial);
  if (entry == nullptr) {
    return;
  }
  base::Log(kConnectFailed,
            { { "peer", aPeer },
              { "address", entry->address_ },
              { "reason", aReason } });
  entry->dial_ = 0;
  ScheduleDial(*entry);
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
  const Entry* entry = FindEntry(aPeer);
  Connection* current = entry == nullptr ? nullptr : entry->link_.Current();
  while (current != nullptr && current->HasRoom()) {
    SendQueues::Batch batch = shared_.queues_.Take(aPeer, kMaxBatchBytes);
    if (batch.messages_.empty()) {
      return;
    }
    current->Deliver(std::move(batch));
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
  if (&aConnection == aLink.Current()) {
    aConnection.SendHeartbeat(MakeHeartbeat(aConnection));
  } else {
    aConnection.Probe();
  }
}

void
LinkLoop::Tick()
{
  RefuseLateNewcomers(base::MonotonicNow());
  for (auto& [peer, entry] : entries_) {
    CheckHealth(entry.link_, ConnectionSide::Dialed);
    CheckHealth(entry.link_, ConnectionSide::Accepted);
    ScheduleDial(entry);
  }
}

void
LinkLoop::CheckHealth(Link& aLink, ConnectionSide aSide)
{
  Connection* connection = aLink.At(aSide);
  if (connection == nullptr) {
    return;
  }
  switch (connection->Health().Check(base::MonotonicNow())) {
    case LinkNeed::Nothing:
      return;
    case LinkNeed::Heartbeat:
      OnHeartbeatDue(aLink, *connection);
      return;
    case LinkNeed::Replacement:
      aLink.Drop(aSide, "silent");
      return;
  }
}

void
LinkLoop::RefuseLateNewcomers(base::Instant aNow)
{
  while (!newcomers_.empty() && newcomers_.front().deadline_ <= aNow) {
    base::Log(kPeerRefused, { { "detail", "no hello in time" } });
    retired_.Add(kj::mv(newcomers_.front().connection_));
    newcomers_.pop_front();
  }
}

LinkLoop::Entry&
LinkLoop::GetEntry(const std::string& aPeer)
{
  const auto [entry, isNew] =
    entries_.try_emplace(aPeer, aPeer, shared_, retired_);
  if (isNew) {
    entry->second.schedule_ = MakeSchedule();
  }
  return entry->second;
}

ReconnectSchedule
LinkLoop::MakeSchedule() const
{
  ReconnectSchedule::Options options;
  options.stable_ = shared_.options_.heartbeatInterval_;
  return ReconnectSchedule(options);
}

LinkLoop::Entry*
LinkLoop::FindEntry(const std::string& aPeer)
{
  const auto found = entries_.find(aPeer);
  return found == entries_.end() ? nullptr : &found->second;
}

LinkLoop::Entry*
LinkLoop::FindDialing(const std::string& aPeer, std::uint64_t aDial)
{
  Entry* entry = FindEntry(aPeer);
  return entry != nullptr && entry->dial_ == aDial ? entry : nullptr;
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
