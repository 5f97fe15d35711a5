#pragma once

#include "LibWire/Connection.h"
#include "LibWire/Link.h"
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

/// All links of a process, on its link thread: accepts and dials connections,
/// watches their health and moves messages between them and the queues.
class LinkLoop : private kj::TaskSet::ErrorHandler
{
public:
  LinkLoop(LinkShared& aShared,
           kj::AsyncIoContext& aIo,
           kj::ConnectionReceiver& aReceiver);

  /// Runs until a StopCommand.
  void Run(kj::WaitScope& aWaitScope);

private:
  struct Entry
  {
    Entry(const std::string& aPeer,
          LinkShared& aShared,
          RetiredConnections& aRetired)
      : link_(aPeer, aShared, aRetired)
    {
    }

    Link link_;
    std::string address_; ///< Empty: the peer connects to us.
    ReconnectSchedule schedule_{ {} };
    std::uint64_t dial_ = 0; ///< Number of the dial under way; 0: none.
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
  kj::Own<Connection> MakeConnection(kj::Own<kj::AsyncIoStream> aStream,
                                     ConnectionSide aSide);

  // Dialing.
  void ScheduleDial(Entry& aEntry);
  void Dial(const std::string& aPeer, std::uint64_t aDial);
  kj::Promise<kj::Own<Connection>> Reach(const std::string& aPeer,
                                         const std::string& aAddress);
  void OnDialed(const std::string& aPeer,
                std::uint64_t aDial,
                kj::Own<Connection> aConnection);
  void OnDialFailed(const std::string& aPeer,
                    std::uint64_t aDial,
                    const std::string& aReason);

  // Messages.
  void OnReceived(Connection& aConnection, std::vector<Message> aMessages);
  void OnAcknowledged(Connection& aConnection, const SendQueues::Batch& aBatch);
  void Pump(const std::string& aPeer);
  void DeliverToSelf();
  Heartbeat MakeHeartbeat(Connection& aConnection) const;
  void OnHeartbeatDue(const Link& aLink, Connection& aConnection) const;

  void Tick();
  void CheckHealth(Link& aLink, ConnectionSide aSide);
  void RefuseLateNewcomers(base::Instant aNow);
  Entry& GetEntry(const std::string& aPeer);
  [[nodiscard]] ReconnectSchedule MakeSchedule() const;
  Entry* FindEntry(const std::string& aPeer);

  /// @return the peer's entry if it still waits for this dial.
  Entry* FindDialing(const std::string& aPeer, std::uint64_t aDial);
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
  std::uint64_t lastDial_ = 0;
  kj::TaskSet tasks_;
  RetiredConnections retired_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::list<Newcomer> newcomers_;
};

} // namespace pumiceturn::wire
