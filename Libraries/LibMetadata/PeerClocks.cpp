#include "LibMetadata/PeerClocks.h"

#include <algorithm>

namespace pumiceturn::metadata {

void
PeerClocks::RecordMessage(const std::string& aPeer,
                          std::uint64_t aIncarnation,
                          base::BootInstant aSentAt,
                          base::BootInstant aNow)
{
  const base::Duration difference = aNow - aSentAt;
  Peer& peer = peers_[aPeer];
  if (peer.messages_ == 0 || peer.incarnation_ != aIncarnation) {
    peer = { aIncarnation, 0, difference, difference, aNow };
  } else if (aNow - peer.windowStartedAt_ > kWindow) {
    peer.previousMinDifference_ = peer.minDifference_;
    peer.minDifference_ = difference;
    peer.windowStartedAt_ = aNow;
  }
  peer.minDifference_ = std::min(peer.minDifference_, difference);
  ++peer.messages_;
}

std::optional<base::BootInstant>
PeerClocks::ToLocal(const std::string& aPeer, base::BootInstant aMoment) const
{
  const auto found = peers_.find(aPeer);
  if (found == peers_.end() || found->second.messages_ < kMinMessages) {
    return std::nullopt;
  }
  const Peer& peer = found->second;
  return aMoment + std::min(peer.minDifference_, peer.previousMinDifference_);
}

} // namespace pumiceturn::metadata
