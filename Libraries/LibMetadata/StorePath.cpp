#include "LibMetadata/StorePath.h"

#include "LibMetadata/Events.h"

namespace pumiceturn::metadata {

bool
StorePath::RecordDirect(PathOutcome aOutcome)
{
  if (aOutcome == PathOutcome::Served || state_ != State::Working) {
    return false;
  }
  state_ = State::InDoubt;
  return true;
}

bool
StorePath::RecordProbe(PathOutcome aOutcome)
{
  const bool wasLost = state_ == State::Lost;
  const bool isServed = aOutcome == PathOutcome::Served;
  state_ = isServed ? State::Working : State::Lost;
  if (isServed && wasLost) {
    base::Log(kStorePathRegained);
  } else if (!isServed && !wasLost) {
    base::Log(kStorePathLost);
  }
  return !isServed;
}

void
StorePath::RecordPeer(PathOutcome aOutcome, base::Instant aNow)
{
  if (aOutcome == PathOutcome::Served) {
    peersFailed_ = 0;
    return;
  }
  ++peersFailed_;
  if (peersFailed_ >= kMaxPeersAsked) {
    peersFailed_ = 0;
    askPeersAfter_ = aNow + kPeerPause;
  }
}

} // namespace pumiceturn::metadata
