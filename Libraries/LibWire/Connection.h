#pragma once

#include "LibBase/Result.h"
#include "LibWire/FramedStream.h"
#include "LibWire/LinkHealth.h"
#include "LibWire/Messages.h"
#include "LibWire/SendQueues.h"

#include <Wire.capnp.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pumiceturn::wire {

class Connection;

/// A process as it names itself in its first message.
struct ProcessIdentity
{
  std::string host_;
  std::uint64_t incarnation_ = 0; ///< New at each process start.
};

/// Who opened a connection.
enum class ConnectionSide : std::uint8_t
{
  Dialed,
  Accepted,
};

/// What a connection tells its owner, on the link thread. None may destroy the
/// connection before it returns.
struct ConnectionEvents
{
  /// An accepted connection's peer has named itself.
  std::function<void(Connection& aConnection)> greeted_;
  std::function<void(Connection& aConnection, std::vector<Message> aMessages)>
    received_;
  std::function<void(Connection& aConnection, const SendQueues::Batch& aBatch)>
    acknowledged_;
  /// Makes the answer to a peer's heartbeat.
  std::function<Heartbeat(Connection& aConnection)> heartbeat_;
  std::function<void(Connection& aConnection, const std::string& aReason)>
    ended_;
};

/// One Cap'n Proto RPC connection over a socket. Both ends say hello: the one
/// that dialed calls the other's bootstrap capability and passes a capability
/// back to itself, so that either end then calls deliver() on the other. Lives
/// on the link thread.
class Connection : private kj::TaskSet::ErrorHandler
{
public:
  /// Deliver calls that may wait for the peer; more messages wait in the queue
  /// and leave together.
  static constexpr std::size_t kMaxInFlight = 16;

  /// @param aEvents Outlives the connection.
  /// @param aOwn    This process, for the hello.
  Connection(kj::Own<kj::AsyncIoStream> aStream,
             ConnectionSide aSide,
             ProcessIdentity aOwn,
             LinkHealth aHealth,
             const ConnectionEvents& aEvents);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Says hello, on the dialing side.
  /// @param aExpected Who should answer. Addresses are reused: another process
  /// may listen where the peer was, and refuses.
  /// @return when the peer has answered; an exception when it refused.
  kj::Promise<void> Greet(const std::string& aExpected);

  /// Lets messages through to the owner, those first that have come since the
  /// hello.
  void Open();

  /// Sends messages in one call. The peer is known by then.
  void Deliver(SendQueues::Batch aBatch);

  /// Sends a heartbeat at once, past the bound of calls in flight. The peer
  /// answers with its own, so one call serves both directions.
  void SendHeartbeat(const Heartbeat& aHeartbeat);

  /// Asks for a sign of life alone, on a connection that is not in use.
  void Probe();

  /// Tells the owner nothing from now on.
  void Mute() { events_ = nullptr; }
  [[nodiscard]] bool IsMuted() const { return events_ == nullptr; }

  [[nodiscard]] const ProcessIdentity& Peer() const { return peer_; }
  [[nodiscard]] ConnectionSide Side() const { return side_; }
  [[nodiscard]] LinkHealth& Health() { return health_; }
  [[nodiscard]] bool HasRoom() const { return inFlight_ < kMaxInFlight; }

  /// @return the sequence number of the next heartbeat.
  std::uint64_t NextHeartbeatSequence() { return ++heartbeatSequence_; }

private:
  class PeerServer;
  friend class PeerServer;

  void OnHello(schema::Hello::Reader aHello, schema::Peer::Client aBack);
  void OnHeartbeat(schema::Heartbeat::Reader aFrom);
  void AnswerHeartbeat(schema::Heartbeat::Builder aTo);
  void OnDelivered(capnp::List<schema::Envelope>::Reader aEnvelopes);
  void SetPeer(schema::Hello::Reader aHello);
  void WriteHello(schema::Hello::Builder aTo,
                  const std::string& aExpected) const;
  void Receive(std::vector<Message> aMessages);
  void LogUnreadable(const base::Failure& aFailure) const;
  kj::Promise<void> Call(const std::vector<Message>& aMessages,
                         std::size_t aBytes);
  void End(const std::string& aReason);
  void taskFailed(kj::Exception&& aException) override;

  const ConnectionSide side_;
  const ProcessIdentity own_;
  ProcessIdentity peer_;
  const ConnectionEvents* events_;
  LinkHealth health_;
  bool greeted_ = false;
  bool open_ = false;
  std::size_t inFlight_ = 0;
  std::uint64_t heartbeatSequence_ = 0;
  std::vector<Message> early_;

  PeerServer* server_ = nullptr;
  kj::Own<kj::AsyncIoStream> stream_;
  FramedStream framed_;
  capnp::TwoPartyVatNetwork network_;
  schema::Peer::Client self_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
  kj::Maybe<schema::Peer::Client> remote_;
  kj::TaskSet tasks_;
};

} // namespace pumiceturn::wire
