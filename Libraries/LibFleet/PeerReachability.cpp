#include "LibFleet/PeerReachability.h"

#include <algorithm>

namespace pumiceturn::fleet {

void
PeerReachability::Add(const std::string& aPeer, base::Duration aSilenceTimeout)
{
  peers_[aPeer].silenceTimeout_ = aSilenceTimeout;
}

void
PeerReachability::Remove(const std::string& aPeer)
{
  peers_.erase(aPeer);
}

bool
PeerReachability::IsReachable(const std::string& aPeer,
                              base::Instant aNow) const
{
  const auto peer = peers_.find(aPeer);
  return peer != peers_.end() &&
         aNow - peer->second.lastMessageAt_ <= peer->second.silenceTimeout_;
}

std::size_t
PeerReachability::ReachableCount(base::Instant aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    peers_.begin(), peers_.end(), [this, aNow](const auto& aEntry) {
      return IsReachable(aEntry.first, aNow);
    }));
}

void
PeerReachability::RecordActivity(const std::string& aPeer, base::Instant aNow)
{
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    peer->second.lastMessageAt_ = aNow;
  }
}

void
PeerReachability::RecordRelayed(const std::string& aPeer,
                                const std::string& aRelay,
                                base::Instant aNow)
{
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    peer->second.relay_ = aRelay;
    peer->second.relayedAt_ = aNow;
  }
}

void
PeerReachability::RecordRelayRequest(const std::string& aRequester,
                                     const std::string& aPeer,
                                     base::Instant aNow)
{
  std::erase_if(requesters_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > kSilenceTimeout;
  });
  const std::pair key(aPeer, aRequester);
  if (requesters_.size() < kMaxRelayed || requesters_.contains(key)) {
    requesters_[key] = aNow;
  }
}

std::vector<std::string>
PeerReachability::RelayRequesters(const std::string& aPeer,
                                  base::Instant aNow) const
{
  std::vector<std::string> requesters;
  for (auto entry = requesters_.lower_bound({ aPeer, {} });
       entry != requesters_.end() && entry->first.first == aPeer;
       ++entry) {
    if (aNow - entry->second <= kSilenceTimeout) {
      requesters.push_back(entry->first.second);
    }
  }
  return requesters;
}

std::optional<std::string>
PeerReachability::RelayFor(const std::string& aPeer, base::Instant aNow) const
{
  const auto peer = peers_.find(aPeer);
  if (peer == peers_.end() || IsReachable(aPeer, aNow) ||
      aNow - peer->second.relayedAt_ > peer->second.silenceTimeout_ ||
      !IsReachable(peer->second.relay_, aNow)) {
    return std::nullopt;
  }
  return peer->second.relay_;
}

std::vector<RelayRequest>
PeerReachability::RelayRequests(base::Instant aNow,
                                std::mt19937_64& aRandom) const
{
  std::vector<std::string> reachable;
  std::vector<std::string> silent;
  for (const auto& [name, peer] : peers_) {
    (IsReachable(name, aNow) ? reachable : silent).push_back(name);
  }
  if (reachable.empty()) {
    return {};
  }
  // The host that relayed a peer's last message is asked again; for the others,
  // a random peer is asked each time, since not every peer reaches them.
  std::uniform_int_distribution<std::size_t> draw(0, reachable.size() - 1);
  const std::string& randomRelay = reachable[draw(aRandom)];
  std::map<std::string, std::vector<std::string>> byRelay;
  for (const std::string& name : silent) {
    byRelay[RelayFor(name, aNow).value_or(randomRelay)].push_back(name);
  }
  std::vector<RelayRequest> requests;
  requests.reserve(byRelay.size());
  for (auto& [relay, names] : byRelay) {
    requests.push_back({ relay, std::move(names) });
  }
  return requests;
}

} // namespace pumiceturn::fleet
