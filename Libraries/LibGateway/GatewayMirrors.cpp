#include "LibGateway/Gateway.h"

#include "LibGateway/Events.h"
#include "LibGateway/HostRecord.h"

#include <utility>

// The part of Gateway that handles changes of the mirrored store prefixes.

namespace pumiceturn::gateway {

namespace {

/// Shares of a bound: a follower's maximum watch, and the freshness lifetime of
/// mirrors. Watches are short, as the connection of a waiting watch is known to
/// work only once the watch ends. What both leave of the bound covers a slow
/// call to the store and one retry.
constexpr double kConfigurationWatchShare = 0.2;
constexpr double kEndpointWatchShare = 0.2;
constexpr double kJobWatchShare = 0.25;
constexpr double kConfigurationFreshnessShare = 0.5;
constexpr double kEndpointFreshnessShare = 0.5;
constexpr double kJobFreshnessShare = 0.6;

/// Pause between watches; short, as operators' changes are rare and urgent.
constexpr std::chrono::milliseconds kOperatorPause{ 50 };

/// For the hosts' registrations. Loose, as no bound depends on them.
constexpr std::chrono::milliseconds kMaxHostWatch{ 3000 };
constexpr std::chrono::milliseconds kHostPause{ 200 };
constexpr std::chrono::milliseconds kHostFreshness{ 8000 };

/// Time after a first read until the hosts that start together are registered.
/// Until a host has read them, it knows no follower.
constexpr std::chrono::milliseconds kRegistrationTime{ 700 };

/// How long a host that is assigned no jobs trusts its mirror of job states. It
/// needs a job's state only to forward calls; a missing or outdated one costs a
/// read of the store.
constexpr std::chrono::milliseconds kNonWorkerJobFreshness{ 4000 };

base::Duration
ShareOf(base::Duration aBound, double aShare)
{
  return std::chrono::duration_cast<base::Duration>(aBound * aShare);
}

metadata::PrefixMirror::Options
MakeFollowOptions(const std::string& aPrefix,
                  base::Duration aMaxWatch,
                  base::Duration aPause,
                  base::Duration aFreshnessLifetime)
{
  metadata::PrefixMirror::Options options;
  options.prefix_ = aPrefix;
  options.maxWatchWait_ = aMaxWatch;
  options.pauseAfterChanges_ = aPause;
  options.freshnessLifetime_ = aFreshnessLifetime;
  return options;
}

/// @param aWatchShare     Share of aBound for the maximum watch and the pause.
/// @param aFreshnessShare Share of aBound for which a mirror is trusted.
metadata::PrefixMirror::Options
MakeBoundedFollowOptions(const std::string& aPrefix,
                         base::Duration aBound,
                         double aWatchShare,
                         double aFreshnessShare)
{
  const base::Duration watch = ShareOf(aBound, aWatchShare);
  return MakeFollowOptions(
    aPrefix, watch, watch, ShareOf(aBound, aFreshnessShare));
}

} // namespace

std::vector<StoreMirrors::MirrorSettings>
Gateway::MirroredPrefixes()
{
  metadata::PrefixMirror::Options operators =
    MakeBoundedFollowOptions(layout_.operatorPrefix_,
                             settings_.configurationBound_,
                             kConfigurationWatchShare,
                             kConfigurationFreshnessShare);
  operators.pauseAfterChanges_ = kOperatorPause;
  metadata::PrefixMirror::Options hosts = MakeFollowOptions(
    layout_.hostPrefix_, kMaxHostWatch, kHostPause, kHostFreshness);
  hosts.confirmationWait_ = kRegistrationTime;
  // The configuration is always read as of now, since routes and keys depend on
  // it. For the others a host that only forwards requests starts with a cheap
  // read; if many hosts start at once, the store serves as many of these as
  // they ask for.
  const auto withFirstRead = [this](metadata::PrefixMirror::Options aOptions) {
    aOptions.firstRead_ = settings_.IsWorker()
                            ? metadata::ReadConsistency::Linearizable
                            : metadata::ReadConsistency::MayBeStale;
    return aOptions;
  };
  return { { StorePrefix::Operators,
             operators,
             [this](const metadata::StoreItem& aItem) {
               OnOperatorEntry(aItem);
               return true;
             } },
           { StorePrefix::Endpoints,
             withFirstRead(MakeBoundedFollowOptions(layout_.endpointPrefix_,
                                                    settings_.drainBound_,
                                                    kEndpointWatchShare,
                                                    kEndpointFreshnessShare)),
             [this](const metadata::StoreItem& aItem) {
               return OnEndpointEntry(aItem);
             } },
           { StorePrefix::BatchJobs,
             withFirstRead(MakeBoundedFollowOptions(layout_.jobs_.statePrefix_,
                                                    settings_.jobStateBound_,
                                                    kJobWatchShare,
                                                    kJobFreshnessShare)),
             [this](const metadata::StoreItem& aItem) {
               OnBatchJobEntry(aItem);
               return true;
             } },
           { StorePrefix::Hosts,
             withFirstRead(hosts),
             [this](const metadata::StoreItem& aItem) {
               OnHostEntry(aItem);
               return true;
             } } };
}

void
Gateway::OnOperatorEntry(const metadata::StoreItem& aItem)
{
  if (const auto host = storeCodec_.ReadRetirement(aItem)) {
    if (*host == settings_.host_) {
      Retire();
    }
    return;
  }
  if (aItem.isRemoved_ || !storeCodec_.IsDeclarations(aItem.key_)) {
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
  streamOrigins_.OnRoutes(base::MonotonicNow());
  peerMessenger_.SetIsDivided(!shared_.routes_.Organisations().AreDeclared());
  shared_.admission_.ClearCallerTimeouts();
  callerListener_.SetLimits(limits);
  base::Log(kDeclarationsInForce,
            { { "version", shared_.routes_.Version() },
              { "routes", routes },
              { "revision", aItem.revision_ } });
  UpdateReadiness();
}

bool
Gateway::OnEndpointEntry(const metadata::StoreItem& aItem)
{
  const base::Instant now = base::MonotonicNow();
  const std::string id = aItem.key_.substr(layout_.endpointPrefix_.size());
  if (aItem.isRemoved_) {
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
    // The entry may have been overwritten: send no new requests, but don't
    // treat the endpoint as draining or removed.
    shared_.endpoints_.MarkUnreadable(id);
    base::Log(kEndpointUnreadable,
              { { "endpoint", id },
                { "bytes", aItem.value_.size() },
                { "revision", aItem.revision_ } });
    UpdateReadiness();
    return true;
  }
  const bool isUpdate = !shared_.endpoints_.IsUnchanged(*record);
  const bool wasUsable = shared_.endpoints_.IsUsable(id);
  const fleet::RegistrationOutcome outcome =
    shared_.endpoints_.Put(*record, now);
  if (outcome != fleet::RegistrationOutcome::Outdated) {
    streamOrigins_.OnEndpoint(*record, now);
  }
  if (outcome == fleet::RegistrationOutcome::New ||
      outcome == fleet::RegistrationOutcome::Restarted) {
    startInquiry_.OnEndpoint(*record);
  }
  if (outcome == fleet::RegistrationOutcome::Restarted) {
    shared_.pool_.RemoveServer(id);
    base::Log(kEndpointChanged,
              { { "endpoint", id },
                { "state", "restarted" },
                { "born_ms", record->startedAtMs_ },
                { "revision", aItem.revision_ } });
  } else if (wasUsable == record->isDraining_ &&
             mirrors_.HasBeenRead(StorePrefix::Endpoints)) {
    // Was usable and drains now, or the reverse. The first read is logged as a
    // whole, since hundreds of lines would delay the start.
    base::Log(kEndpointChanged,
              { { "endpoint", id },
                { "state", record->isDraining_ ? "draining" : "ready" },
                { "revision", aItem.revision_ } });
  }
  UpdateReadiness();
  return isUpdate;
}

void
Gateway::OnBatchJobEntry(const metadata::StoreItem& aItem)
{
  if (aItem.isRemoved_) {
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
Gateway::OnHostEntry(const metadata::StoreItem& aItem)
{
  const std::string host = aItem.key_.substr(layout_.hostPrefix_.size());
  const base::Instant now = base::MonotonicNow();
  if (aItem.isRemoved_) {
    hosts_.Remove(host, now);
    peerMessenger_.RemovePeer(host);
    streamOrigins_.RemoveHost(host);
    OnHostsChanged();
    if (host == settings_.host_) {
      lease_.OnKeyRemoved();
    }
    return;
  }
  const auto record = DecodeHostRecord(aItem.value_);
  if (!record) {
    // The host is alive while its key exists: keep the previous registration.
    base::Log(kHostUnreadable,
              { { "host", host }, { "revision", aItem.revision_ } });
    return;
  }
  hosts_.Put(
    host, record->ownerId_, record->preference_, record->callAddress_, now);
  peerMessenger_.SetPeer(host,
                         record->peerAddress_,
                         record->preference_ == batch::BatchPreference::Worker);
  streamOrigins_.SetHost(
    { host,
      record->failureDomain_,
      record->preference_ == batch::BatchPreference::Worker });
  OnHostsChanged();
}

void
Gateway::OnHostsChanged()
{
  std::vector<batch::PeerAddress> peers = hosts_.PeersExcept(OwnerId());
  peerClients_.RetainOnly(peers);
  storeTransport_.SetPeers(std::move(peers));
  const bool mayRunJobs = hosts_.IsPreferred(settings_.batchPreference_);
  mirrors_.SetFreshness(
    StorePrefix::BatchJobs,
    mayRunJobs ? ShareOf(settings_.jobStateBound_, kJobFreshnessShare)
               : base::Duration(kNonWorkerJobFreshness));
}

} // namespace pumiceturn::gateway
