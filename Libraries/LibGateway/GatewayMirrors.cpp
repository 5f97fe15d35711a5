#include "LibGateway/Gateway.h"

#include "LibGateway/Events.h"
#include "LibGateway/HostRecord.h"

#include <utility>

// What the gateway does with what it follows in the store.

namespace pumiceturn::gateway {

namespace {

/// Shares of a bound: how long a follower's watch waits for a change, how long
/// it pauses after one, and how long the other hosts rely on a copy that was
/// confirmed. A watch that waits shows only at its end that the connection
/// lives. The rest of the bound is for a call on a slow day (0.25 s) and one
/// repetition.
constexpr double kConfigurationWatchShare = 0.2;
constexpr double kEndpointWatchShare = 0.2;
constexpr double kJobWatchShare = 0.25;
constexpr double kConfigurationTrustShare = 0.5;
constexpr double kEndpointTrustShare = 0.5;
constexpr double kJobTrustShare = 0.6;

/// The operators' keys change rarely, and each change is wanted at once.
constexpr std::chrono::milliseconds kOperatorPause{ 50 };

/// Nothing that hangs on hosts' registrations is bounded.
constexpr std::chrono::milliseconds kHostWatch{ 3000 };
constexpr std::chrono::milliseconds kHostPause{ 200 };
constexpr std::chrono::milliseconds kHostTrust{ 8000 };

/// Of hosts that run no jobs as long as there are workers. They need a job's
/// state only to pass calls on: one that is missing is read then, and where an
/// old one leads to the wrong host, the store answers the call.
constexpr std::chrono::milliseconds kJobTrustOfOthers{ 4000 };

base::Duration
ShareOf(base::Duration aBound, double aShare)
{
  return std::chrono::duration_cast<base::Duration>(aBound * aShare);
}

metadata::PrefixMirror::Options
Follow(const std::string& aPrefix,
       base::Duration aLongestWatch,
       base::Duration aPause,
       base::Duration aFreshFor)
{
  metadata::PrefixMirror::Options options;
  options.prefix_ = aPrefix;
  options.maxWatch_ = aLongestWatch;
  options.pause_ = aPause;
  options.freshFor_ = aFreshFor;
  return options;
}

/// @param aWatchShare Of the bound; a follower pauses as long as it waits.
metadata::PrefixMirror::Options
FollowWithin(const std::string& aPrefix,
             base::Duration aBound,
             double aWatchShare,
             double aTrustShare)
{
  const base::Duration watch = ShareOf(aBound, aWatchShare);
  return Follow(aPrefix, watch, watch, ShareOf(aBound, aTrustShare));
}

} // namespace

std::vector<StoreMirrors::Followed>
Gateway::FollowedPrefixes()
{
  metadata::PrefixMirror::Options operators =
    FollowWithin(layout_.operatorPrefix_,
                 settings_.configurationBound_,
                 kConfigurationWatchShare,
                 kConfigurationTrustShare);
  operators.pause_ = kOperatorPause;
  return { { StorePrefix::Operators,
             operators,
             [this](const metadata::StoreItem& aItem) {
               OnOperatorKey(aItem);
               return true;
             } },
           { StorePrefix::Endpoints,
             FollowWithin(layout_.endpointPrefix_,
                          settings_.drainBound_,
                          kEndpointWatchShare,
                          kEndpointTrustShare),
             [this](const metadata::StoreItem& aItem) {
               return OnEndpointKey(aItem);
             } },
           { StorePrefix::BatchJobs,
             FollowWithin(layout_.jobs_.statePrefix_,
                          settings_.settleBound_,
                          kJobWatchShare,
                          kJobTrustShare),
             [this](const metadata::StoreItem& aItem) {
               OnBatchJobKey(aItem);
               return true;
             } },
           { StorePrefix::Hosts,
             Follow(layout_.hostPrefix_, kHostWatch, kHostPause, kHostTrust),
             [this](const metadata::StoreItem& aItem) {
               OnHostKey(aItem);
               return true;
             } } };
}

void
Gateway::OnOperatorKey(const metadata::StoreItem& aItem)
{
  if (const auto host = storeCodec_.ReadRetirement(aItem)) {
    if (*host == settings_.host_) {
      Retire();
    }
    return;
  }
  if (aItem.removed_ || !storeCodec_.IsDeclarations(aItem.key_)) {
    return;
  }
  auto declarations = storeCodec_.ReadDeclarations(aItem);
  if (!declarations) {
    base::Log(kDeclarationsUnreadable, { { "revision", aItem.revision_ } });
    return;
  }
  httpstream::ServerLimits limits;
  limits.maxHeaderBytes_ = declarations->limits_.maxHeaderBytes_;
  limits.maxBodyBytes_ = declarations->limits_.maxBodyBytes_;
  limits.headerTimeout_ = declarations->limits_.headerTimeout_;
  limits.idleTimeout_ = declarations->limits_.idleTimeout_;
  const std::size_t routes = declarations->routes_.size();
  if (!shared_.routes_.Install(std::move(*declarations))) {
    return;
  }
  shared_.admission_.ForgetRoutes();
  callers_.SetLimits(limits);
  base::Log(kDeclarationsInForce,
            { { "version", shared_.routes_.Version() },
              { "routes", routes },
              { "revision", aItem.revision_ } });
  NoteReadiness();
}

bool
Gateway::OnEndpointKey(const metadata::StoreItem& aItem)
{
  const base::Instant now = base::MonotonicNow();
  const std::string id = aItem.key_.substr(layout_.endpointPrefix_.size());
  if (aItem.removed_) {
    shared_.endpoints_.Remove(id, health_.RecoveredAt(now), now);
    shared_.pool_.RemoveServer(id);
    base::Log(kEndpointChanged,
              { { "endpoint", id },
                { "state", "removed" },
                { "revision", aItem.revision_ } });
    return true;
  }
  const auto record = storeCodec_.ReadEndpoint(aItem);
  if (!record) {
    // Not a word of the endpoint's own: neither that it drains nor that it is
    // gone. It may have been overwritten, so nothing new is sent there.
    shared_.endpoints_.Withhold(id);
    base::Log(kEndpointUnreadable,
              { { "endpoint", id },
                { "bytes", aItem.value_.size() },
                { "revision", aItem.revision_ } });
    NoteReadiness();
    return true;
  }
  const bool isNews = !shared_.endpoints_.IsKnownAs(*record);
  const bool wasUsable = shared_.endpoints_.IsUsable(id);
  const fleet::RegistrationOutcome outcome =
    shared_.endpoints_.Put(*record, now);
  if (outcome == fleet::RegistrationOutcome::Restarted) {
    shared_.pool_.RemoveServer(id);
    base::Log(kEndpointChanged,
              { { "endpoint", id },
                { "state", "restarted" },
                { "born_ms", record->startedAtMs_ },
                { "revision", aItem.revision_ } });
  } else if (wasUsable == record->isDraining_) {
    base::Log(kEndpointChanged,
              { { "endpoint", id },
                { "state", record->isDraining_ ? "draining" : "ready" },
                { "revision", aItem.revision_ } });
  }
  NoteReadiness();
  return isNews;
}

void
Gateway::OnBatchJobKey(const metadata::StoreItem& aItem)
{
  if (aItem.removed_) {
    jobs_.Remove(aItem.key_);
    return;
  }
  if (const auto job = jobs_.Apply(aItem.key_, aItem.value_, aItem.revision_)) {
    OnJobChanged(*job);
  }
}

void
Gateway::OnJobChanged(const std::string& aJob)
{
  worker_.OnJobChanged(aJob);
  batchJobHandler_.OnJobChanged(aJob);
}

void
Gateway::OnHostKey(const metadata::StoreItem& aItem)
{
  const std::string host = aItem.key_.substr(layout_.hostPrefix_.size());
  const base::Instant now = base::MonotonicNow();
  if (aItem.removed_) {
    hosts_.Remove(host, now);
    peers_.RemovePeer(host);
    OnHostsChanged();
    if (host == settings_.host_) {
      lease_.OnKeyRemoved();
    }
    return;
  }
  const auto record = DecodeHostRecord(aItem.value_);
  if (!record) {
    // The host lives as long as its key does: what was known of it holds.
    base::Log(kHostUnreadable,
              { { "host", host }, { "revision", aItem.revision_ } });
    return;
  }
  hosts_.Put(
    host, record->owner_, record->preference_, record->callAddress_, now);
  peers_.SetPeer(host, record->peerAddress_);
  OnHostsChanged();
}

void
Gateway::OnHostsChanged()
{
  std::vector<batch::PeerAddress> others = hosts_.PeersBut(OwnName());
  peerClients_.Keep(others);
  storeTransport_.SetPeers(std::move(others));
  const bool mayRunJobs = hosts_.IsPreferred(settings_.batchPreference_);
  mirrors_.SetFreshness(StorePrefix::BatchJobs,
                        mayRunJobs
                          ? ShareOf(settings_.settleBound_, kJobTrustShare)
                          : base::Duration(kJobTrustOfOthers));
}

} // namespace pumiceturn::gateway
