#include "LibAgent/AgentCore.h"

#include "LibAgent/Events.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace pumiceturn::agent {

using dispatch::ContentStatus;
using dispatch::Moment;

namespace {

constexpr std::uint32_t kDefaultPlaces = 8;
constexpr std::uint32_t kDefaultQueuedOnline = 256;
constexpr std::uint32_t kDefaultFirstTokenTargetMs = 700;
constexpr std::uint32_t kTicksBetweenRefreshes = 20;

dispatch::Policy
PolicyOf(const settings::AgentSettings& aSettings)
{
  switch (aSettings.dispatch()) {
    case settings::DISPATCH_POLICY_ENGINE_ORDER:
      return dispatch::PassThrough{};
    case settings::DISPATCH_POLICY_STRICT_PRIORITY:
      return dispatch::StrictPriority{};
    case settings::DISPATCH_POLICY_STATIC_HEADROOM:
      return dispatch::StaticHeadroom{ aSettings.static_headroom() };
    default:
      return dispatch::BurstHeadroom{ aSettings.static_headroom() };
  }
}

std::uint32_t
OrDefault(std::uint32_t aValue, std::uint32_t aDefault)
{
  return aValue == 0 ? aDefault : aValue;
}

ContentStatus
ContentStatusOf(routing::Suspicion aSuspicion)
{
  switch (aSuspicion) {
    case routing::Suspicion::Suspect:
      return ContentStatus::Suspect;
    case routing::Suspicion::Quarantined:
      return ContentStatus::Quarantined;
    case routing::Suspicion::None:
      break;
  }
  return ContentStatus::Clear;
}

bool
IsKeeper(const settings::ListedHost& aHost)
{
  return std::find(aHost.functions().begin(),
                   aHost.functions().end(),
                   settings::FUNCTION_KEEPER) != aHost.functions().end();
}

/// Delay between the endpoints of a service when they load a model, so that a
/// roll-out stays within the bandwidth of the store of the models.
constexpr base::Duration kModelLoadInterval{ std::chrono::seconds{ 2 } };

EngineReconciler::DesiredState
DesiredStateOf(const declarations::Service& aService,
               const std::string& aEndpoint,
               std::uint64_t aVersion)
{
  using endpoint::CommandType;
  using endpoint::EngineCommand;
  EngineReconciler::DesiredState desired;
  desired.version_ = aVersion;
  if (!aService.model_version().empty()) {
    desired.commands_.push_back(EngineCommand{
      CommandType::LoadModel, aService.model(), aService.model_version(), 0 });
  }
  for (const std::string& adapter : aService.adapters()) {
    desired.commands_.push_back(EngineCommand{
      CommandType::LoadAdapter, adapter, aService.model_version(), 0 });
  }
  for (const declarations::Endpoint& endpoint : aService.endpoints()) {
    if (endpoint.name() == aEndpoint) {
      break;
    }
    desired.delay_ += kModelLoadInterval;
  }
  return desired;
}

/// @return an id unique to this process, by which it recognises its own writes.
std::string
MakeProcessId(const settings::Settings& aSettings)
{
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", aSettings.host(), random(), random());
}

} // namespace

AgentCore::AgentCore(const node::Context& aContext)
  : context_(aContext)
  , service_(aContext.settings_.agent().service())
  , endpoint_(aContext.settings_.agent().endpoint())
  , scheduler_(MakeSchedulerOptions(),
               [&quarantine = aContext.quarantine_](std::uint64_t aFingerprint,
                                                    Moment aMoment) {
                 return ContentStatusOf(
                   quarantine.Check(aFingerprint, aMoment.now_));
               })
  , reconciler_(aContext.keyValue_,
                aContext.settings_.platform().key_prefix() + "fence/" +
                  endpoint_,
                MakeProcessId(aContext.settings_))
{
}

dispatch::EndpointScheduler::Options
AgentCore::MakeSchedulerOptions() const
{
  const settings::AgentSettings& agent = context_.settings_.agent();
  dispatch::EndpointScheduler::Options options;
  options.service_ = agent.service();
  options.policy_ = PolicyOf(agent);
  options.limit_.max_ = OrDefault(agent.max_running(), kDefaultPlaces);
  options.limit_.firstTokenTarget_ = std::chrono::milliseconds{ OrDefault(
    agent.first_token_target_ms(), kDefaultFirstTokenTargetMs) };
  options.maxQueuedOnline_ =
    OrDefault(agent.max_queued_online(), kDefaultQueuedOnline);
  options.partitionCount_ = context_.partitions_.Count();
  options.isEngineInitiallyUp_ = false;
  return options;
}

void
AgentCore::Start()
{
  const std::weak_ptr<AgentCore> weak = weak_from_this();
  context_.configuration_.Subscribe([weak](const auto& aSnapshot) {
    if (const auto core = weak.lock()) {
      core->OnConfiguration(aSnapshot);
    }
  });
  context_.hosts_.Subscribe([weak](const auto& aHosts) {
    if (const auto core = weak.lock()) {
      core->OnHosts(aHosts);
    }
  });
  OnConfiguration(context_.configuration_.Current());
  OnHosts(context_.hosts_.Current());
  AddMetrics();
  context_.pool_.PostEvery(dispatch::EndpointScheduler::kTickInterval, [weak] {
    if (const auto core = weak.lock()) {
      core->OnTick();
    }
  });
}

void
AgentCore::AddMetrics()
{
  using LoadField = std::uint32_t dispatch::SchedulerLoad::*;
  struct Gauge
  {
    const char* name_;
    const char* help_;
    LoadField field_;
  };
  static constexpr Gauge kGauges[] = {
    { "pumiceturn_agent_online_running",
      "Online streams at the engine.",
      &dispatch::SchedulerLoad::onlineRunning_ },
    { "pumiceturn_agent_batch_running",
      "Batch streams at the engine.",
      &dispatch::SchedulerLoad::batchRunning_ },
    { "pumiceturn_agent_online_waiting",
      "Online requests that wait for room.",
      &dispatch::SchedulerLoad::onlineWaiting_ },
    { "pumiceturn_agent_batch_waiting",
      "Batch runs that wait for room, preempted ones included.",
      &dispatch::SchedulerLoad::batchWaiting_ },
    { "pumiceturn_agent_places",
      "Requests that the engine is given at once.",
      &dispatch::SchedulerLoad::places_ },
    { "pumiceturn_agent_headroom",
      "Places kept free of batch.",
      &dispatch::SchedulerLoad::headroom_ },
    { "pumiceturn_agent_unrecorded_results",
      "Results that are not recorded yet.",
      &dispatch::SchedulerLoad::unrecordedResults_ },
  };
  const std::weak_ptr<AgentCore> weak = weak_from_this();
  for (const Gauge& gauge : kGauges) {
    const LoadField field = gauge.field_;
    context_.metrics_.AddGauge(gauge.name_, gauge.help_, {}, [weak, field] {
      const auto core = weak.lock();
      if (!core) {
        return 0.0;
      }
      const std::scoped_lock lock(core->loadMutex_);
      return static_cast<double>(core->load_.*field);
    });
  }
}

Moment
AgentCore::Now()
{
  return Moment{ base::MonotonicNow(), base::WallNow() };
}

void
AgentCore::OnMessage(const std::string& aPeer, const wire::Message& aMessage)
{
  const Moment now = Now();
  const std::scoped_lock lock(mutex_);
  if (const auto* start = std::get_if<wire::StartRun>(&aMessage)) {
    ExecuteActions(scheduler_.OnStartRun(aPeer, *start, now));
  } else if (const auto* cancel = std::get_if<wire::CancelRun>(&aMessage)) {
    ExecuteActions(scheduler_.OnCancelRun(aPeer, *cancel, now));
  } else if (const auto* attach = std::get_if<wire::AttachRun>(&aMessage)) {
    ExecuteActions(scheduler_.OnAttachRun(aPeer, *attach, now));
  } else if (const auto* recorded = std::get_if<wire::RunRecorded>(&aMessage)) {
    ExecuteActions(scheduler_.OnRunRecorded(*recorded, now));
  } else if (const auto* demand = std::get_if<wire::BatchDemand>(&aMessage)) {
    ExecuteActions(scheduler_.OnBatchDemand(aPeer, *demand, now));
  }
}

void
AgentCore::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  const Moment now = Now();
  const std::scoped_lock lock(mutex_);
  switch (aState) {
    case wire::LinkState::Up:
      ExecuteActions(scheduler_.OnLinkUp(aPeer, now));
      return;
    case wire::LinkState::Lost: {
      scheduler_.OnLinkLost(aPeer, now);
      const std::scoped_lock loadLock(loadMutex_);
      prefixes_.RemovePeer(aPeer);
      return;
    }
    case wire::LinkState::Replaced:
      ExecuteActions(scheduler_.OnPeerReplaced(aPeer, now));
      return;
  }
}

void
AgentCore::FillHeartbeat(const std::string& aPeer,
                         wire::Heartbeat& aHeartbeat) const
{
  const std::scoped_lock lock(loadMutex_);
  const dispatch::SchedulerLoad& load = load_;
  aHeartbeat.draining_ = aHeartbeat.draining_ || load.draining_;
  aHeartbeat.running_ =
    load.onlineRunning_ + load.batchRunning_ + load.cancelling_;
  aHeartbeat.queuedOnline_ = load.onlineWaiting_;
  aHeartbeat.capacity_ = load.engineDown_ ? 0 : load.places_;
  aHeartbeat.expectedWaitMs_ = load.expectedWaitMs_;
  dispatch::PrefixCacheTracker::Changes changes =
    prefixes_.TakeChangesFor(aPeer);
  aHeartbeat.prefixesAdded_ = std::move(changes.stored_);
  aHeartbeat.prefixesDropped_ = std::move(changes.evicted_);
}

void
AgentCore::SetDrain(DrainCause aCause, bool aWanted)
{
  const std::scoped_lock lock(mutex_);
  drainRequested_.at(static_cast<std::size_t>(aCause)) = aWanted;
  const bool isWanted = std::ranges::any_of(drainRequested_, std::identity{});
  ExecuteActions(
    scheduler_.SetAdmissionState(isWanted ? dispatch::AdmissionState::Draining
                                          : dispatch::AdmissionState::Open,
                                 Now()));
}

void
AgentCore::OnConfiguration(
  const configuration::ConfigurationCache::SnapshotPointer& aSnapshot)
{
  SetDrain(DrainCause::Operator,
           aSnapshot->IsDrained(context_.settings_.host()));
  const declarations::Service* service = aSnapshot->FindService(service_);
  const declarations::Endpoint* endpoint = aSnapshot->FindEndpoint(endpoint_);
  if (service == nullptr || endpoint == nullptr) {
    base::Log(kEndpointNotDeclared,
              { { "service", service_ },
                { "endpoint", endpoint_ },
                { "version", aSnapshot->Version() } });
    return;
  }
  ApplyDeclaration(*service, *endpoint, aSnapshot->Version());
}

void
AgentCore::ApplyDeclaration(const declarations::Service& aService,
                            const declarations::Endpoint& aEndpoint,
                            std::uint64_t aVersion)
{
  const std::scoped_lock lock(mutex_);
  if (stopped_) {
    return;
  }
  model_ = aService.model();
  CreateRunner(aService.type());
  if (engine_) {
    reconciler_.SetDesiredState(DesiredStateOf(aService, endpoint_, aVersion));
  }
  dispatch::ConcurrencyLimit::Options limit = MakeSchedulerOptions().limit_;
  limit.max_ = PlacesOf(aEndpoint);
  base::Log(kEndpointDeclared,
            { { "service", service_ },
              { "endpoint", endpoint_ },
              { "model", model_ },
              { "places", limit.max_ } });
  ExecuteActions(scheduler_.SetLimit(limit, Now()));
}

std::uint32_t
AgentCore::PlacesOf(const declarations::Endpoint& aEndpoint) const
{
  const std::uint32_t fromDeclaration = aEndpoint.max_running();
  const std::uint32_t fromSettings = context_.settings_.agent().max_running();
  if (fromDeclaration != 0 && fromSettings != 0) {
    return std::min(fromDeclaration, fromSettings);
  }
  return OrDefault(std::max(fromDeclaration, fromSettings), kDefaultPlaces);
}

void
AgentCore::CreateRunner(declarations::ServiceType aType)
{
  if (runner_) {
    return; // The type of a service does not change while it is served.
  }
  const std::string& address = context_.settings_.agent().engine_address();
  auto made = base::Capture([&]() -> base::Result<EndpointClient> {
    if (aType == declarations::SERVICE_TYPE_PLAIN) {
      endpoint::PlainServiceClient::Options options;
      options.address_ = address;
      BOOST_LEAF_AUTO(client, endpoint::PlainServiceClient::Make(options));
      return EndpointClient{ std::move(client) };
    }
    endpoint::EngineClient::Options options;
    options.address_ = address;
    BOOST_LEAF_AUTO(client, endpoint::EngineClient::Make(options));
    engine_ = std::move(client);
    return EndpointClient{ engine_ };
  });
  auto* endpointClient = std::get_if<EndpointClient>(&made);
  if (endpointClient == nullptr) {
    return; // Cannot happen: settings with a malformed address are rejected.
  }
  scheduler_.SetResumption(aType == declarations::SERVICE_TYPE_PLAIN
                             ? dispatch::Resumption::None
                             : dispatch::Resumption::Possible);
  // The runner's threads are joined in Stop(), before this object is destroyed.
  StreamRunner::Handlers handlers;
  handlers.chunk_ = [this](const dispatch::StreamId& aStream,
                           dispatch::ResponseChunk aChunk) {
    const std::scoped_lock lock(mutex_);
    ExecuteActions(scheduler_.OnChunk(aStream, std::move(aChunk), Now()));
  };
  handlers.ended_ = [this](const dispatch::StreamId& aStream,
                           const dispatch::StreamEnd& aEnd) {
    const std::scoped_lock lock(mutex_);
    ExecuteActions(scheduler_.OnStreamEnded(aStream, aEnd, Now()));
  };
  runner_ = std::make_unique<StreamRunner>(std::move(*endpointClient),
                                           std::move(handlers));
}

void
AgentCore::OnHosts(const platform::HostDirectory::Snapshot& aHosts)
{
  if (!aHosts) {
    return;
  }
  bool isLeaving = false;
  for (const settings::ListedHost& host : aHosts->hosts()) {
    isLeaving = isLeaving || (host.name() == context_.settings_.host() &&
                              host.state() == settings::HOST_STATE_LEAVING);
  }
  SetDrain(DrainCause::HostLeaving, isLeaving);
}

void
AgentCore::OnTick()
{
  const std::scoped_lock lock(mutex_);
  if (stopped_) {
    return;
  }
  if (tickCount_++ % kTicksBetweenRefreshes == 0) {
    RefreshKeepers();
    scheduler_.SetPartitionCount(context_.partitions_.Count());
    ReconcileEngine();
    PollCacheEvents();
  }
  ExecuteActions(scheduler_.OnTick(Now()));
}

void
AgentCore::ReconcileEngine()
{
  if (engine_ && reconciler_.IsDue()) {
    runner_->Post([this] { reconciler_.ExecuteDueSteps(*engine_); });
  }
}

void
AgentCore::PollCacheEvents()
{
  if (!engine_) {
    return;
  }
  runner_->Post([this] {
    std::uint64_t after = 0;
    {
      const std::scoped_lock lock(loadMutex_);
      after = lastCacheEvent_;
    }
    const auto read =
      base::Capture([&] { return engine_->ReadCacheEvents(after); });
    const auto* page = std::get_if<endpoint::CacheEventPage>(&read);
    if (page == nullptr) {
      return;
    }
    const std::scoped_lock lock(loadMutex_);
    lastCacheEvent_ = page->lastSequence_;
    for (const endpoint::CacheEvent& event : page->events_) {
      const bool isStored = event.change_ == endpoint::CacheChange::Stored;
      prefixes_.OnCacheEvent(isStored ? dispatch::CacheChange::Stored
                                      : dispatch::CacheChange::Evicted,
                             event.prefixHash_,
                             event.prefixBytes_);
    }
  });
}

void
AgentCore::RefreshKeepers()
{
  const platform::HostDirectory::Snapshot hosts = context_.hosts_.Current();
  if (!hosts) {
    return;
  }
  std::vector<std::string> keepers;
  for (const settings::ListedHost& host : hosts->hosts()) {
    if (IsKeeper(host) && context_.links_.IsUp(host.name())) {
      keepers.push_back(host.name());
    }
  }
  scheduler_.SetKeepers(std::move(keepers));
}

void
AgentCore::ExecuteActions(dispatch::Actions aActions)
{
  for (dispatch::Action& action : aActions) {
    std::visit([this](auto& aAction) { Execute(aAction); }, action);
  }
  const dispatch::SchedulerLoad load = scheduler_.Load(base::MonotonicNow());
  engineHasBeenUp_ = engineHasBeenUp_ || !load.engineDown_;
  const std::scoped_lock lock(loadMutex_);
  load_ = load;
}

void
AgentCore::Execute(dispatch::StartStream& aStart)
{
  if (!runner_) {
    return;
  }
  {
    const std::scoped_lock lock(loadMutex_);
    prefixes_.OnRun(aStart.prefix_, aStart.payload_);
  }
  runner_->Start(std::move(aStart), model_);
}

void
AgentCore::Execute(const dispatch::CancelStream& aCancel)
{
  if (runner_) {
    runner_->Cancel(aCancel.stream_);
  }
}

void
AgentCore::Execute(dispatch::SendMessage& aSend)
{
  // The receiver requests a lost message again when the link is up.
  static_cast<void>(
    context_.links_.Send(aSend.peer_, std::move(aSend.message_)));
}

void
AgentCore::Execute(const dispatch::BroadcastHeartbeat& /*aBroadcast*/)
{
  {
    const std::scoped_lock lock(loadMutex_);
    load_ = scheduler_.Load(base::MonotonicNow());
  }
  context_.links_.HeartbeatNow();
}

void
AgentCore::Execute(const dispatch::RecordCrash& aCrash)
{
  context_.quarantine_.RecordCrash(aCrash.fingerprints_, base::MonotonicNow());
}

void
AgentCore::Execute(const dispatch::ProbeEngine& /*aProbe*/)
{
  if (!runner_) {
    return;
  }
  runner_->Post([this] {
    if (!runner_->IsHealthy()) {
      return;
    }
    reconciler_.OnEngineRestarted();
    {
      const std::scoped_lock lock(loadMutex_);
      prefixes_.OnEngineRestarted();
      lastCacheEvent_ = 0;
    }
    const std::scoped_lock lock(mutex_);
    ExecuteActions(scheduler_.OnEngineUp(Now()));
  });
}

void
AgentCore::Execute(const dispatch::LogDecision& aDecision)
{
  if (!base::IsLogged(aDecision.event_->level_)) {
    return;
  }
  const dispatch::SchedulerLoad& load = aDecision.load_;
  base::Log(*aDecision.event_,
            { { "run", base::ToString(aDecision.run_) },
              { "peer", aDecision.peer_ },
              { "code", base::NameOf(aDecision.code_) },
              { "weighed_ms", base::ToMs(aDecision.duration_) },
              { "online", load.onlineRunning_ },
              { "batch", load.batchRunning_ },
              { "yielding", load.cancelling_ },
              { "online_waiting", load.onlineWaiting_ },
              { "batch_waiting", load.batchWaiting_ },
              { "places", load.places_ },
              { "headroom", load.headroom_ },
              { "credits", load.creditsOutstanding_ } });
}

bool
AgentCore::IsIdle() const
{
  const std::scoped_lock lock(mutex_);
  return scheduler_.IsIdle();
}

node::Readiness
AgentCore::GetReadiness() const
{
  const std::scoped_lock lock(mutex_);
  if (scheduler_.Load(base::MonotonicNow()).draining_) {
    return node::Readiness::Draining;
  }
  return engineHasBeenUp_ ? node::Readiness::Ready : node::Readiness::Starting;
}

void
AgentCore::Stop()
{
  {
    const std::scoped_lock lock(mutex_);
    if (stopped_) {
      return;
    }
    stopped_ = true;
  }
  // Must not hold the mutex: Stop() joins threads whose handlers lock it.
  if (runner_) {
    runner_->Stop();
  }
}

} // namespace pumiceturn::agent
