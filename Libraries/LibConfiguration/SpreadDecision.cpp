#include "LibConfiguration/SpreadDecision.h"

#include <algorithm>
#include <utility>

namespace pumiceturn::configuration {

namespace {

constexpr base::Duration kFirstPlatformBackoff{ 200000 };

/// So many processes ask the service at once and poll at the full rate. It is
/// enough for one of them to find a change that all watches missed: it tells
/// the others on its heartbeats.
constexpr std::size_t kFreePollers = 8;
constexpr base::Duration kLongestPoll{ 60000000 };
constexpr base::Duration kWaitForEachPoller{ 2000 };
constexpr base::Duration kLongestPartsWait{ 1000000 };

base::Duration
Scale(base::Duration aDuration, double aFactor)
{
  return base::Duration{ static_cast<base::Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor) };
}

/// @return between three quarters and five quarters of a duration, so that
/// hosts started together do not call together.
base::Duration
Jitter(base::Duration aDuration, double aRandom)
{
  constexpr double kLeast = 0.75;
  constexpr double kSpread = 0.5;
  return Scale(aDuration, kLeast + kSpread * aRandom);
}

} // namespace

SpreadDecision::SpreadDecision(Options aOptions,
                               base::Instant aNow,
                               double aRandom)
  : options_(aOptions)
  , nextPollAt_(aNow + Scale(aOptions.firstPollWithin_, aRandom))
  , platformBackoff_({ kFirstPlatformBackoff, aOptions.pollInterval_ })
{
}

void
SpreadDecision::SetPollers(std::size_t aPollers)
{
  pollers_ = aPollers;
}

base::Duration
SpreadDecision::PollInterval() const
{
  const auto shares =
    static_cast<int>(std::max<std::size_t>(1, pollers_ / kFreePollers));
  const base::Duration longest = std::max(kLongestPoll, options_.pollInterval_);
  return std::min(options_.pollInterval_ * shares, longest);
}

/// A change reaches all watches at once. If every process then read its parts
/// from the service, each change would cost a call a host. Most find a peer
/// that has them after a short wait.
bool
SpreadDecision::MayAskForParts(base::Instant aNow, double aRandom)
{
  if (!pending_ || peerFetch_) {
    return false;
  }
  if (!pending_->platformFrom_) {
    const auto others =
      static_cast<int>(pollers_ > kFreePollers ? pollers_ - kFreePollers : 0);
    const base::Duration window =
      std::min(kWaitForEachPoller * others, kLongestPartsWait);
    pending_->platformFrom_ = aNow + Scale(window, aRandom);
  }
  return aNow >= *pending_->platformFrom_;
}

void
SpreadDecision::OnPeerVersion(const std::string& aPeer, std::uint64_t aVersion)
{
  // The last heartbeat counts: a process that started again may have less than
  // before. Where two heartbeats crossed, the next one corrects it.
  peers_[aPeer].version_ = aVersion;
}

void
SpreadDecision::OnPeerLost(const std::string& aPeer)
{
  peers_.erase(aPeer);
  if (peerFetch_ && peerFetch_->peer_ == aPeer) {
    peerFetch_.reset();
  }
}

void
SpreadDecision::OnHead(std::uint64_t aVersion,
                       std::vector<std::uint64_t> aMissing)
{
  if (aVersion <= held_ || (pending_ && aVersion < pending_->version_)) {
    return;
  }
  std::optional<base::Instant> platformFrom;
  if (pending_ && pending_->version_ == aVersion) {
    platformFrom = pending_->platformFrom_;
  }
  pending_ = Pending{ aVersion, std::move(aMissing), platformFrom };
}

void
SpreadDecision::OnInstalled(std::uint64_t aVersion)
{
  held_ = std::max(held_, aVersion);
  if (pending_ && pending_->version_ <= held_) {
    pending_.reset();
  }
}

void
SpreadDecision::OnReply(std::uint64_t aCall,
                        Reply aReply,
                        base::Instant aNow,
                        double aRandom)
{
  if (peerFetch_ && peerFetch_->call_ == aCall) {
    const auto peer = peers_.find(peerFetch_->peer_);
    if (aReply == Reply::Useless && peer != peers_.end()) {
      peer->second.avoidedUntil_ = aNow + options_.avoidPeer_;
    }
    if (aReply == Reply::LacksParts && peer != peers_.end()) {
      peer->second.lacksParts_ = true;
    }
    peerFetch_.reset();
    return;
  }
  if (platformCall_ != aCall) {
    return;
  }
  platformCall_.reset();
  if (aReply != Reply::Useful) {
    platformAvoidedUntil_ = aNow + platformBackoff_.Next(aRandom);
    return;
  }
  platformBackoff_.Reset();
}

void
SpreadDecision::PollSoon()
{
  nextPollAt_ = base::Instant{};
}

std::optional<SpreadRequest>
SpreadDecision::Next(base::Instant aNow, double aRandom)
{
  GiveUpSilentPeer(aNow);
  if (auto request = NextFromPeer(aNow, aRandom)) {
    return request;
  }
  return NextFromPlatform(aNow, aRandom);
}

void
SpreadDecision::GiveUpSilentPeer(base::Instant aNow)
{
  if (!peerFetch_ || aNow < peerFetch_->givenUpAt_) {
    return;
  }
  const auto peer = peers_.find(peerFetch_->peer_);
  if (peer != peers_.end()) {
    peer->second.avoidedUntil_ = aNow + options_.avoidPeer_;
  }
  peerFetch_.reset();
}

std::optional<SpreadRequest>
SpreadDecision::NextFromPeer(base::Instant aNow, double aRandom)
{
  if (peerFetch_) {
    return std::nullopt;
  }
  SpreadRequest request;
  auto peer = ChoosePeer(Wanted::Head, HighestKnown() + 1, aNow, aRandom);
  if (peer) {
    request.version_ = HighestKnown() + 1;
  } else if (pending_) {
    peer = ChoosePeer(Wanted::Parts, pending_->version_, aNow, aRandom);
    request.version_ = pending_->version_;
    request.parts_ = pending_->missing_;
  }
  if (!peer) {
    return std::nullopt;
  }
  request.call_ = ++lastCall_;
  request.peer_ = peer;
  peerFetch_ = PeerFetch{ request.call_, *peer, aNow + options_.fetchTimeout_ };
  return request;
}

std::optional<SpreadRequest>
SpreadDecision::NextFromPlatform(base::Instant aNow, double aRandom)
{
  if (platformCall_ || aNow < platformAvoidedUntil_) {
    return std::nullopt;
  }
  SpreadRequest request;
  if (MayAskForParts(aNow, aRandom)) {
    request.version_ = pending_->version_;
    request.parts_ = pending_->missing_;
  } else if (aNow < nextPollAt_) {
    return std::nullopt;
  } else {
    nextPollAt_ = aNow + Jitter(PollInterval(), aRandom);
  }
  request.call_ = ++lastCall_;
  platformCall_ = request.call_;
  return request;
}

std::optional<std::string>
SpreadDecision::ChoosePeer(Wanted aWanted,
                           std::uint64_t aAtLeast,
                           base::Instant aNow,
                           double aRandom) const
{
  std::vector<const std::string*> candidates;
  for (const auto& [name, peer] : peers_) {
    const bool useless = aWanted == Wanted::Parts && peer.lacksParts_;
    const bool avoided = aNow < peer.avoidedUntil_;
    if (peer.version_ >= aAtLeast && !avoided && !useless) {
      candidates.push_back(&name);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto index =
    static_cast<std::size_t>(aRandom * static_cast<double>(candidates.size()));
  return *candidates[std::min(index, candidates.size() - 1)];
}

std::uint64_t
SpreadDecision::HighestKnown() const
{
  return std::max(held_, pending_ ? pending_->version_ : 0);
}

} // namespace pumiceturn::configuration
