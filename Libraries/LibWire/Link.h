#pragma once

#include "LibWire/Connection.h"
#include "LibWire/LinkThread.h"

#include <kj/async.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::wire {

/// Connections that were given up. That is often done by a call that runs on
/// the connection itself, so they are destroyed on a later turn of the event
/// loop.
class RetiredConnections
{
public:
  explicit RetiredConnections(kj::TaskSet& aTasks)
    : tasks_(aTasks)
  {
  }

  void Add(kj::Own<Connection> aConnection);

private:
  kj::TaskSet& tasks_;
  std::vector<kj::Own<Connection>> connections_;
};

/// The link to one peer. It may hold a connection that this process dialed and
/// one that it accepted. Messages leave on the current one; the other takes
/// over only when that is lost, so that messages are not reordered while both
/// work. Reports the link's states. Lives on the link thread.
class Link
{
public:
  /// @param aShared  Outlives the link, as does aRetired.
  Link(std::string aPeer, LinkShared& aShared, RetiredConnections& aRetired);

  /// Takes in a connection whose peer has been greeted. It takes the place of
  /// an older one of its side, and of all connections to a process that the
  /// peer's present one has replaced.
  void Add(kj::Own<Connection> aConnection);

  /// Gives a connection up. The link is lost with the current one, unless the
  /// other side's takes over.
  void Drop(ConnectionSide aSide, std::string_view aReason);

  /// Gives all up and reports nothing.
  void Clear();

  /// @return what messages leave on; nothing while the link is down.
  [[nodiscard]] Connection* Current() const { return current_; }

  /// @return a side's connection, or nothing.
  [[nodiscard]] Connection* At(ConnectionSide aSide);

  [[nodiscard]] const std::string& Peer() const { return peer_; }

  /// @return whether the peer has ever connected to this process.
  [[nodiscard]] bool PeerDials() const { return peerDials_; }

private:
  /// Whether the process behind a name is the one reached before.
  enum class PeerProcess : std::uint8_t
  {
    Same,
    Replaced,
  };

  PeerProcess NoteIncarnation(std::uint64_t aIncarnation);
  void Discard(ConnectionSide aSide, std::string_view aReason);
  void Select(PeerProcess aProcess);
  void Report(LinkState aState) const;

  const std::string peer_;
  LinkShared& shared_;
  RetiredConnections& retired_;
  std::array<kj::Own<Connection>, 2> connections_; ///< By ConnectionSide.
  Connection* current_ = nullptr;
  std::uint64_t incarnation_ = 0; ///< Of the process last reached; 0: none.
  bool peerDials_ = false;
};

} // namespace pumiceturn::wire
