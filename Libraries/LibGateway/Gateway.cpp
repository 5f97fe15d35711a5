#include "LibGateway/Gateway.h"

#include "LibGateway/CrashReports.h"
#include "LibGateway/EndpointAddress.h"
#include "LibGateway/EndpointVerdicts.h"
#include "LibGateway/Events.h"
#include "LibGateway/HostRecord.h"
#include "LibHttpStream/Status.h"

#include <utility>

namespace pumiceturn::gateway {

namespace {

/// If a preemption request is lost, the peer cancels the batch attempt at its
/// next tick, so online work waits about this long for the slot.
constexpr std::chrono::milliseconds kTickInterval{ 100 };

/// Time after the request to stop until the balancer sends no new connections:
/// it removes a host after two failed readiness probes and probes once a
/// second.
constexpr std::chrono::milliseconds kBalancerRemovalTime{ 2600 };

/// Reserved at the end of the grace period, so that the process exits before it
/// is killed.
constexpr std::chrono::milliseconds kGraceMargin{ 500 };
constexpr std::chrono::milliseconds kStopPollInterval{ 100 };

/// Large enough for a store call with the largest job: its bodies are base64 in
/// the job, and the job is base64 in the call.
constexpr std::uint64_t kMaxPeerBodyBytes = 16777216;

/// Suggested to callers while others haven't read their responses.
constexpr std::chrono::milliseconds kUnreadRetryAfter{ 500 };

/// How long a request may wait for this host to become ready after its start.
/// Callers retry only a few times, and after a loss of all hosts each answers
/// the retries of the others' callers.
constexpr std::chrono::seconds kMaxWaitForReady{ 1 };

/// Time after the start within which a host usually becomes ready. After that
/// requests are rejected at once, as it isn't known when they can be served.
constexpr std::chrono::seconds kStartTime{ 2 };

/// Maximum number of requests that wait for this host to become ready.
constexpr std::size_t kMaxEarlyRequests = 256;

/// Suggested to callers while this host starts or stops.
constexpr std::chrono::milliseconds kNotReadyRetryAfter{ 300 };

std::string_view
WithoutQuery(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// Organisations need short leases.
metadata::HostLease::Term
MakeFirstLeaseTerm(const GatewaySettings& aSettings)
{
  return aSettings.IsWorker() || aSettings.DeclaresOrganisations()
           ? metadata::HostLease::kShortTerm
           : metadata::HostLease::kLongTerm;
}

batch::BatchJobTable::Decoder
MakeDecoder(const Codec& aCodec)
{
  return [&aCodec](std::string_view aContent)
           -> std::optional<std::vector<batch::BatchItem>> {
    auto content = aCodec.ReadBatchJobContent(aContent);
    if (auto* items = std::get_if<std::vector<batch::BatchItem>>(&content)) {
      return std::move(*items);
    }
    return std::nullopt;
  };
}

/// Share of the time for which a draining endpoint must get no new requests any
/// more, for which it still gets the rest of streams. This host learns of the
/// change after half of that time at the latest.
constexpr double kDrainingUseShare = 0.4;

fleet::EndpointTable::Limits
MakeEndpointLimits(const GatewaySettings& aSettings)
{
  fleet::EndpointTable::Limits limits;
  limits.drainingUse_ = std::chrono::duration_cast<base::Duration>(
    aSettings.drainBound_ * kDrainingUseShare);
  return limits;
}

HostRecord
MakeHostRecord(const std::string& aOwnName, const GatewaySettings& aSettings)
{
  return { aOwnName,
           aSettings.peerAddress_,
           aSettings.forwardAddress_,
           aSettings.batchPreference_,
           aSettings.failureDomain_ };
}

} // namespace

Gateway::Gateway(boost::asio::io_context& aContext,
                 GatewaySettings aSettings,
                 StoreLayout aLayout,
                 const Codec& aCodec,
                 const StoreCodec& aStoreCodec,
                 metadata::StoreClient& aStore,
                 StoreTransport& aStoreTransport)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , layout_(std::move(aLayout))
  , storeCodec_(aStoreCodec)
  , store_(aStore,
           [this](std::string_view aCall, std::string_view aKeys) {
             CountStoreCall(aCall, aKeys);
           })
  , storeTransport_(aStoreTransport)
  , shared_{ aCodec,
             {},
             fleet::EndpointTable(settings_.failureDomain_,
                                  MakeEndpointLimits(settings_)),
             httpstream::ConnectionPool(aContext.get_executor()),
             std::mt19937_64(std::random_device{}()),
             {},
             fleet::CrashAttribution(settings_.host_),
             {},
             {},
             fleet::RateLimiter(settings_.host_,
                                !settings_.callerAddress_.empty(),
                                settings_.rateTolerance_),
             OutputBudget(settings_.maxUnsentBytes_) }
  , jobs_(layout_.jobs_, MakeDecoder(aCodec))
  , mirrors_(aContext,
             store_,
             health_,
             settings_.host_,
             settings_.IsWorker(),
             MirroredPrefixes(),
             shared_.random_)
  , lease_(aContext,
           store_,
           health_,
           { layout_.hostPrefix_ + settings_.host_,
             EncodeHostRecord(MakeHostRecord(OwnerId(), settings_)),
             MakeFirstLeaseTerm(settings_) })
  , loader_(store_, jobs_)
  , peerClients_(aContext.get_executor())
  , batchJobHandler_(shared_,
                     store_,
                     jobs_,
                     loader_,
                     hosts_,
                     health_,
                     lease_,
                     mirrors_,
                     OwnerId(),
                     peerClients_)
  , batchSubmissionHandler_(shared_,
                            store_,
                            jobs_,
                            hosts_,
                            OwnerId(),
                            aContext.get_executor(),
                            peerClients_,
                            settings_.jobCopies_)
  , worker_(aContext, shared_, store_, jobs_, loader_, hosts_, OwnerId())
  , ledgerWriter_(shared_, store_, jobs_, hosts_, OwnerId())
  , retention_(store_, jobs_, hosts_, OwnerId(), settings_.jobRetention_)
  , peerMessenger_(
      aContext,
      shared_,
      settings_.host_,
      settings_.IsWorker(),
      mirrors_,
      [this](const std::string& aEndpoint) { worker_.Preempt(aEndpoint); })
  , accessControl_(
      aContext.get_executor(),
      shared_,
      mirrors_,
      peerMessenger_,
      { settings_.revocationBound_, settings_.configurationBound_ })
  , streamOrigins_(
      aContext.get_executor(),
      shared_,
      peerMessenger_,
      mirrors_,
      store_,
      health_,
      { layout_.versionPrefix_, layout_.streamPrefix_ },
      { settings_.host_, settings_.failureDomain_, settings_.IsWorker() },
      settings_.drainBound_)
  , crashVerdictStore_(store_, layout_.refusedPrefix_, shared_.crashes_)
  , startInquiry_(aContext.get_executor(), shared_)
  , preemptBatch_(
      [this](const fleet::EndpointChoice& aChoice) { Preempt(aChoice); })
  , callerListener_(aContext,
                    [this](const auto& aExchange) { OnRequest(aExchange); })
  , statusListener_(
      aContext,
      [this](const auto& aExchange) { OnStatusRequest(*aExchange); })
  , metricsListener_(
      aContext,
      [this](const auto& aExchange) { OnOperatorRequest(*aExchange); })
  , forwardListener_(aContext,
                     [this](const auto& aExchange) { OnForwarded(aExchange); })
  , tickTimer_(aContext)
  , stopTimer_(aContext)
  , registrationTimer_(aContext)
{
  if (!settings_.spoolFolder_.empty()) {
    spool_.emplace(aContext,
                   shared_,
                   store_,
                   health_,
                   jobs_,
                   hosts_,
                   OwnerId(),
                   settings_.spoolFolder_,
                   settings_.jobRetention_,
                   settings_.capOverage_,
                   settings_.jobCopies_);
    streamOrigins_.KeepOnDisk(
      aContext, std::filesystem::path(settings_.spoolFolder_) / "origins");
  }
  AddGauges();
  if (settings_.detectsOutliers_) {
    shared_.endpoints_.Outliers().Enable();
  }
  callerListener_.SetOnConnectionEnded(
    [this](const auto& aEnd) { RecordCallerConnectionEnd(aEnd); });
  httpstream::ServerLimits peerLimits;
  peerLimits.maxBodyBytes_ = kMaxPeerBodyBytes;
  forwardListener_.SetLimits(peerLimits);
  storeTransport_.SetIsReachable([this](const std::string& aHost) {
    return peerMessenger_.IsReachable(aHost);
  });
  mirrors_.SetOnDelta([this](const StoreDelta& aDelta) {
    peerMessenger_.SendStoreDelta(aDelta);
  });
  batchJobHandler_.SetOnStateChanged(
    [this](const std::string& aJob) { OnJobChanged(aJob); });
  worker_.SetOnResults([this](const std::string& aJob) { OnJobChanged(aJob); });
}

std::string
Gateway::OwnerId() const
{
  return settings_.host_ + "/" + settings_.incarnation_;
}

bool
Gateway::Listen(httpstream::Listener& aListener, const std::string& aAddress)
{
  if (aAddress.empty()) {
    return true;
  }
  const auto address = ParseAddress(aAddress);
  const boost::system::error_code error =
    address ? aListener.Open(*address)
            : boost::system::error_code(boost::asio::error::invalid_argument);
  if (error) {
    base::Log(kGatewayCannotListen,
              { { "address", aAddress }, { "error", error.message() } });
    return false;
  }
  return true;
}

bool
Gateway::Start()
{
  if (!Listen(callerListener_, settings_.callerAddress_) ||
      !Listen(statusListener_, settings_.statusAddress_) ||
      !Listen(metricsListener_, settings_.metricsAddress_) ||
      !Listen(forwardListener_, settings_.forwardAddress_)) {
    return false;
  }
  if (const auto address = ParseAddress(settings_.peerAddress_)) {
    if (const auto error =
          peerMessenger_.Open({ address->address(), address->port() })) {
      base::Log(kGatewayCannotListen,
                { { "address", settings_.peerAddress_ },
                  { "error", error.message() } });
      return false;
    }
  }
  base::Log(kGatewayStarted,
            { { "callers", settings_.callerAddress_ },
              { "incarnation", settings_.incarnation_ } });
  if (spool_) {
    spool_->Start();
  }
  startedAt_ = base::MonotonicNow();
  mirrors_.Start(StorePrefix::Operators);
  mirrors_.Start(StorePrefix::Endpoints);
  mirrors_.Start(StorePrefix::BatchJobs);
  streamOrigins_.Tick(startedAt_);
  StartRegistration();
  ScheduleTick();
  return true;
}

bool
Gateway::IsReady() const
{
  return !isStopping_ && shared_.routes_.Version() > 0 &&
         mirrors_.HasBeenRead(StorePrefix::Endpoints) &&
         !shared_.endpoints_.IsEmpty() && KnowsRefusedFeatures() &&
         accessControl_.CanAuthenticate() && accessControl_.CanLimitRates();
}

void
Gateway::UpdateReadiness()
{
  const bool isReady = IsReady();
  if (isReady && !isReady_) {
    base::Log(kGatewayReady, { { "version", shared_.routes_.Version() } });
  }
  isReady_ = isReady;
  hasBeenReady_ = hasBeenReady_ || isReady;
}

void
Gateway::HandleEarlyRequests(base::Instant aNow)
{
  if (earlyRequests_.empty()) {
    return;
  }
  std::vector<EarlyRequest> stillWaiting;
  for (EarlyRequest& request : std::exchange(earlyRequests_, {})) {
    if (request.exchange_->IsFinished()) {
      continue; // The caller has disconnected.
    }
    if (hasBeenReady_ || isStopping_) {
      HandleRequest(request.exchange_);
    } else if (aNow - request.receivedAt_ >= kMaxWaitForReady) {
      request.exchange_->Respond(
        shared_.codec_.MakeUnavailable(kNotReadyRetryAfter));
    } else {
      stillWaiting.push_back(std::move(request));
    }
  }
  earlyRequests_ = std::move(stillWaiting);
}

void
Gateway::OnRequest(const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  const base::Instant now = base::MonotonicNow();
  const bool isStarting =
    !hasBeenReady_ && !isStopping_ && now - startedAt_ < kStartTime;
  if (isStarting && earlyRequests_.size() < kMaxEarlyRequests) {
    earlyRequests_.push_back({ aExchange, now });
    return;
  }
  HandleRequest(aExchange);
}

void
Gateway::HandleRequest(const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  const httpstream::Request& request = aExchange->GetRequest();
  // The balancer still sends requests if most hosts of a failure domain stop at
  // once. This host may not be able to finish them before it exits. This holds
  // for reads of jobs too: their long polls would keep the host busy until the
  // end of its grace period.
  if (HasBalancerRemovedHost()) {
    aExchange->Respond(shared_.codec_.MakeUnavailable(kNotReadyRetryAfter));
    return;
  }
  if (shared_.routes_.Version() == 0) {
    aExchange->Respond(shared_.codec_.MakeUnavailable(kNotReadyRetryAfter));
    return;
  }
  if (const auto call = shared_.codec_.ReadBatchJobCall(request)) {
    OnBatchJobCall(aExchange, *call);
    return;
  }
  const fleet::Route* route =
    shared_.routes_.Find(httpstream::HostNameOf(request),
                         WithoutQuery(httpstream::TargetOf(request)));
  if (route == nullptr) {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusNotFound, {}));
    return;
  }
  const auto caller = accessControl_.Identify(aExchange, *route);
  if (!caller) {
    return;
  }
  if (route->kind_ == fleet::RequestKind::BatchJob) {
    batchSubmissionHandler_.Submit(
      aExchange,
      shared_.codec_.ReadCallerFields(request).requestId_,
      *route,
      *caller);
    return;
  }
  if (RejectAsCrashing(aExchange)) {
    return;
  }
  accessControl_.RunIfWithinLimit(
    aExchange, *caller, [this, aExchange, route = *route, caller = *caller] {
      std::make_shared<OnlineProxy>(shared_,
                                    context_.get_executor(),
                                    aExchange,
                                    route,
                                    caller,
                                    streamOrigins_,
                                    preemptBatch_)
        ->Start();
    });
}

void
Gateway::OnBatchJobCall(const std::shared_ptr<httpstream::Exchange>& aExchange,
                        const BatchJobCall& aCall)
{
  if (shared_.outputBudget_.IsExhausted(callerListener_.UnsentBytes())) {
    aExchange->Respond(shared_.codec_.MakeUnavailable(kUnreadRetryAfter));
    return;
  }
  if (const auto caller = accessControl_.IdentifyForJob(aExchange)) {
    batchJobHandler_.Handle(aExchange, aCall, *caller);
  }
}

void
Gateway::OnForwarded(const std::shared_ptr<httpstream::Exchange>& aExchange)
{
  if (const auto call =
        shared_.codec_.ReadBatchJobCall(aExchange->GetRequest())) {
    batchJobHandler_.HandleForwarded(aExchange, *call);
    return;
  }
  const std::string_view target = httpstream::TargetOf(aExchange->GetRequest());
  if (!target.starts_with(BatchJobSpool::kTargetPrefix)) {
    storeTransport_.RelayForPeer(aExchange);
  } else if (spool_) {
    spool_->Spool(aExchange);
  } else {
    aExchange->Respond(
      httpstream::MakeResponse(httpstream::kStatusUnavailable, {}));
  }
}

void
Gateway::OnStatusRequest(httpstream::Exchange& aExchange)
{
  const httpstream::Request& request = aExchange.GetRequest();
  if (storeCodec_.IsReadinessProbe(request)) {
    aExchange.Respond(httpstream::MakeResponse(
      IsReady() ? httpstream::kStatusOk : httpstream::kStatusUnavailable, {}));
    return;
  }
  if (request.target() == "/metrics") {
    aExchange.Respond(httpstream::MakeResponse(httpstream::kStatusOk,
                                               shared_.metrics_.Write(),
                                               "text/plain; version=0.0.4"));
    return;
  }
  aExchange.Respond(httpstream::MakeResponse(httpstream::kStatusNotFound, {}));
}

void
Gateway::Preempt(const fleet::EndpointChoice& aChoice)
{
  if (aChoice.preemptedPeer_.empty()) {
    worker_.Preempt(aChoice.endpoint_.id_);
    return;
  }
  peerMessenger_.RequestPreemption(aChoice.preemptedPeer_,
                                   aChoice.endpoint_.id_);
  shared_.endpoints_.AssumePreemption(aChoice.endpoint_.id_,
                                      aChoice.preemptedPeer_);
}

void
Gateway::ScheduleTick()
{
  tickTimer_.Start(kTickInterval, [this] {
    Tick();
    ScheduleTick();
  });
}

void
Gateway::Tick()
{
  const base::Instant now = base::MonotonicNow();
  if (shared_.routes_.Organisations().AreDeclared() &&
      mirrors_.HasBeenRead(StorePrefix::Hosts)) {
    accessControl_.Tick(hosts_.PeersExcept(OwnerId()), now);
  }
  UpdateReadiness();
  HandleEarlyRequests(now);
  mirrors_.Tick(
    !isStopping_ && !isRetiring_ && !storeTransport_.IsDirectPathLost(), now);
  shared_.endpoints_.SetRegistrationAge(
    mirrors_.AgeOf(StorePrefix::Endpoints).value_or(base::Duration::max()),
    now);
  for (const std::string& id : shared_.endpoints_.Expire(now)) {
    shared_.pool_.RemoveServer(id);
    base::Log(kEndpointChanged, { { "endpoint", id }, { "state", "expired" } });
  }
  const base::WallTime wallNow = base::WallNow();
  worker_.Tick(now);
  ledgerWriter_.Tick(worker_.TakeTokenCounts(), now);
  if (!isStopping_) {
    retention_.Tick(now, wallNow);
  }
  batchJobHandler_.Tick(now);
  if (spool_) {
    spool_->Tick(now, wallNow);
  }
  streamOrigins_.Tick(now);
  shared_.crashes_.SetPeers(peerMessenger_.ReachableEntryHosts());
  UpdateCrashVerdicts(shared_, now);
  crashVerdictStore_.Tick(mirrors_.Follows(StorePrefix::Endpoints), now);
  UpdateEndpointVerdicts(shared_, now);
  shared_.pool_.CloseExpired(now);
  UpdateLeaseTerm(now);
  LogStoreCalls(now);
}

void
Gateway::Stop(std::function<void()> aStopped)
{
  if (isStopping_) {
    return;
  }
  isStopping_ = true;
  stopTimer_.Cancel();
  onStopped_ = std::move(aStopped);
  stopStartedAt_ = base::MonotonicNow();
  UpdateReadiness();
  callerListener_.SetDraining();
  base::Log(kGatewayStopping, { { "busy", callerListener_.BusyCount() } });
  if (isRetiring_) {
    isHandedOver_ = true;
  } else {
    worker_.HandOver([this] { lease_.End([this] { isHandedOver_ = true; }); });
  }
  StopWhenIdle();
}

bool
Gateway::HasBalancerRemovedHost() const
{
  return isStopping_ &&
         base::MonotonicNow() - stopStartedAt_ >= kBalancerRemovalTime;
}

void
Gateway::StopWhenIdle()
{
  const base::Duration passed = base::MonotonicNow() - stopStartedAt_;
  const bool acceptsCallers = !settings_.callerAddress_.empty();
  if (HasBalancerRemovedHost() || (!acceptsCallers && isHandedOver_)) {
    callerListener_.CloseIdle();
    const bool isIdle = callerListener_.BusyCount() == 0 && isHandedOver_;
    if (isIdle || passed >= settings_.gracePeriod_ - kGraceMargin) {
      base::Log(kGatewayStopped, { { "busy", callerListener_.BusyCount() } });
      onStopped_();
      return;
    }
  }
  stopTimer_.Start(kStopPollInterval, [this] { StopWhenIdle(); });
}

} // namespace pumiceturn::gateway
