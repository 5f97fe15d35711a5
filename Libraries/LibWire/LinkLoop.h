#pragma once

#include "LibWire/Connection.h"
#include "LibWire/LinkHealth.h"
#include "LibWire/LinkThread.h"

#include <kj/async-io.h>

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pumiceturn::wire {

/// All links of a process, on its link thread. A link joins two processes by
/// name; it may hold a connection that this process dialed and one that it
/// accepted. Messages leave on the current one. The other takes over only when
/// the current one is lost, so that messages are not reordered while both work.
class LinkLoop : private kj::TaskSet::ErrorHandler
{
public:
  LinkLoop(LinkShared& aShared,
           kj::AsyncIoContext& aIo,
           kj::ConnectionReceiver& aReceiver);

  /// Runs until a StopCommand.
  void Run(kj::WaitScope& aWaitScope);

private:
  struct Link
  {
    std::string peer_;
    std::string address_; ///< Empty: the peer connects to us.
    std::array<kj::Own<Connection>, 2> connections_; ///< By ConnectionSide.
    Connection* current_ = nullptr;
    std::uint64_t incarnation_ = 0; ///< Of the process last reached; 0: none.
    ReconnectSchedule schedule_{ {} };
    bool peerDials_ = false;
    bool dialing_ = false;
    std::uint64_t dialEpoch_ = 0; ///< Raised to give up a dial under way.
  };

  struct Newcomer
  {
    kj::Own<Connection> connection_;
    base::Instant deadline_; ///< For its hello.
  };

  // Loops that last as long as the thread.
  kj::Promise<void> AcceptAll();
  kj::Promise<void> ObeyAll();
  kj::Promise<void> TickAll();

  // Commands.
  void Obey(const ConnectCommand& aCommand);
  void Obey(const DisconnectCommand& aCommand);
  void Obey(const HeartbeatCommand& aCommand);
  void Obey(const StopCommand& aCommand);

  // Connections that come and go.
  void OnAccepted(kj::Own<kj::AsyncIoStream> aStream);
  void OnGreeted(Connection& aConnection);
  void OnEnded(Connection& aConnection, const std::string& aReason);
  void Establish(Link& aLink, kj::Own<Connection> aConnection);
  void Select(Link& aLink, bool aIsReplaced);
  void Drop(Link& aLink, ConnectionSide aSide, std::string_view aReason);
  void Retire(kj::Own<Connection> aConnection);
  kj::Own<Connection> MakeConnection(kj::Own<kj::AsyncIoStream> aStream,
                                     ConnectionSide aSide);

  // Dialing.
  void ScheduleDial(Link& aLink);
  void Dial(const std::string& aPeer, std::uint64_t aEpoch);
  kj::Promise<kj::Own<Connection>> Reach(const std::string& aPeer,
                                         const std::string& aAddress);
  void OnDialed(const std::string& aPeer,
                std::uint64_t aEpoch,
                kj::Own<Connection> aConnection);
  void OnDialFailed(const std::string& aPeer,
                    std::uint64_t aEpoch,
                    const std::string& aReason);

  // Messages.
  void OnReceived(Connection& aConnection, std::vector<Message> aMessages);
  void OnAcknowledged(Connection& aConnection, const SendQueues::Batch& aBatch);
  void Pump(const std::string& aPeer);
  void DeliverToSelf();
  Heartbeat MakeHeartbeat(Connection& aConnection) const;
  void OnHeartbeatDue(const Link& aLink, Connection& aConnection) const;

  void Tick();
  void TickLink(Link& aLink);
  void RefuseLateNewcomers(base::Instant aNow);
  void Report(const Link& aLink, LinkState aState) const;
  Link& GetLink(const std::string& aPeer);
  Link* FindLink(const std::string& aPeer);
  double Random();
  void taskFailed(kj::Exception&& aException) override;

  LinkShared& shared_;
  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  kj::ConnectionReceiver& receiver_;
  kj::Own<kj::AsyncInputStream> wake_;
  std::array<kj::byte, sizeof(std::uint64_t)> wakeBuffer_{};
  kj::PromiseFulfillerPair<void> stop_ = kj::newPromiseAndFulfiller<void>();
  ConnectionEvents events_;
  std::mt19937_64 random_;
  ProcessIdentity own_;
  std::map<std::string, Link, std::less<>> links_;
  std::list<Newcomer> newcomers_;
  std::vector<kj::Own<Connection>> retired_;
  kj::TaskSet tasks_;
};

} // namespace pumiceturn::wire
