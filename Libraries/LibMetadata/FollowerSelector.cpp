#include "LibMetadata/FollowerSelector.h"

#include "LibBase/Ids.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::metadata {

namespace {

/// Rank of a host among the candidates; the highest follows.
std::pair<bool, std::uint64_t>
RankOf(std::string_view aPrefix, std::string_view aHost, FollowerState aState)
{
  return { aState.isPreferred_,
           base::HashBytes(aHost, base::HashBytes(aPrefix)) };
}

} // namespace

FollowerSelector::FollowerSelector(std::string aOwnName)
  : ownName_(std::move(aOwnName))
{
}

void
FollowerSelector::RecordPeer(const std::string& aPeer,
                             FollowerState aState,
                             base::Instant aNow)
{
  peers_[aPeer] = { aState, aNow };
}

void
FollowerSelector::DropSilentPeers(base::Instant aNow)
{
  std::erase_if(peers_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lastReportAt_ > kSilenceTimeout;
  });
}

bool
FollowerSelector::IsAlone(base::Instant aNow)
{
  DropSilentPeers(aNow);
  return peers_.empty();
}

bool
FollowerSelector::IsFollower(std::string_view aPrefix,
                             FollowerState aOwn,
                             base::Instant aNow)
{
  DropSilentPeers(aNow);
  if (!aOwn.mayFollow_) {
    return false;
  }
  const auto own = RankOf(aPrefix, ownName_, aOwn);
  return std::none_of(
    peers_.begin(), peers_.end(), [&own, aPrefix](const auto& aEntry) {
      const FollowerState& state = aEntry.second.state_;
      return state.mayFollow_ && RankOf(aPrefix, aEntry.first, state) > own;
    });
}

} // namespace pumiceturn::metadata
