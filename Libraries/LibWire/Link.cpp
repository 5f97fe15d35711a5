#include "LibWire/Link.h"

#include "LibWire/Events.h"

#include <utility>

namespace pumiceturn::wire {

namespace {

std::size_t
IndexOf(ConnectionSide aSide)
{
  return static_cast<std::size_t>(aSide);
}

} // namespace

void
RetiredConnections::Add(kj::Own<Connection> aConnection)
{
  if (aConnection.get() == nullptr) {
    return;
  }
  aConnection->Mute();
  connections_.push_back(kj::mv(aConnection));
  if (connections_.size() == 1) {
    tasks_.add(kj::evalLater([this] { connections_.clear(); }));
  }
}

Link::Link(std::string aPeer, LinkShared& aShared, RetiredConnections& aRetired)
  : peer_(std::move(aPeer))
  , shared_(aShared)
  , retired_(aRetired)
{
}

void
Link::Add(kj::Own<Connection> aConnection)
{
  const ConnectionSide side = aConnection->Side();
  const PeerProcess process = NoteIncarnation(aConnection->Peer().incarnation_);
  peerDials_ = peerDials_ || side == ConnectionSide::Accepted;
  // Whoever opens a second connection has given up the first, which may look
  // alive from here for longer: it went silent in the other direction.
  Discard(side, "the peer opened another");
  if (process == PeerProcess::Replaced) {
    Discard(ConnectionSide::Dialed, "the peer's process was replaced");
    Discard(ConnectionSide::Accepted, "the peer's process was replaced");
  }
  Connection& connection = *aConnection;
  connections_[IndexOf(side)] = kj::mv(aConnection);
  shared_.queues_.RecordHeard(peer_, base::MonotonicNow());
  Select(process);
  connection.Open();
}

void
Link::Drop(ConnectionSide aSide, std::string_view aReason)
{
  Discard(aSide, aReason);
  Select(PeerProcess::Same);
}

void
Link::Clear()
{
  current_ = nullptr;
  shared_.queues_.Close(peer_);
  for (kj::Own<Connection>& connection : connections_) {
    retired_.Add(kj::mv(connection));
  }
}

Connection*
Link::At(ConnectionSide aSide)
{
  return connections_[IndexOf(aSide)].get();
}

Link::PeerProcess
Link::NoteIncarnation(std::uint64_t aIncarnation)
{
  const std::uint64_t former = std::exchange(incarnation_, aIncarnation);
  return former == 0 || former == aIncarnation ? PeerProcess::Same
                                               : PeerProcess::Replaced;
}

void
Link::Discard(ConnectionSide aSide, std::string_view aReason)
{
  kj::Own<Connection> discarded = kj::mv(connections_[IndexOf(aSide)]);
  const bool isCurrent =
    discarded.get() != nullptr && discarded.get() == current_;
  retired_.Add(kj::mv(discarded));
  if (!isCurrent) {
    return;
  }
  current_ = nullptr;
  shared_.queues_.Close(peer_);
  base::Log(kLinkLost, { { "peer", peer_ }, { "reason", aReason } });
  Report(LinkState::Lost);
}

void
Link::Select(PeerProcess aProcess)
{
  if (current_ != nullptr) {
    return;
  }
  for (kj::Own<Connection>& connection : connections_) {
    if (connection.get() == nullptr) {
      continue;
    }
    current_ = connection.get();
    // Handlers may send as soon as they hear of the link.
    shared_.queues_.Open(peer_);
    base::Log(kLinkUp,
              { { "peer", peer_ },
                { "dialed", connection->Side() == ConnectionSide::Dialed } });
    if (aProcess == PeerProcess::Replaced) {
      base::Log(kPeerReplaced, { { "peer", peer_ } });
      Report(LinkState::Replaced);
    }
    Report(LinkState::Up);
    return;
  }
}

void
Link::Report(LinkState aState) const
{
  if (shared_.handlers_.state_) {
    shared_.handlers_.state_(peer_, aState);
  }
}

} // namespace pumiceturn::wire
