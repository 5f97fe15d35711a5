#include "LibAgent/AgentCore.h"

#include "LibAgent/Events.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace pumiceturn::agent {

using dispatch::ContentStanding;
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
      return dispatch::EngineOrder{};
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

ContentStanding
StandingOf(routing::Suspicion aSuspicion)
{
  switch (aSuspicion) {
    case routing::Suspicion::Suspect:
      return ContentStanding::Suspect;
    case routing::Suspicion::Quarantined:
      return ContentStanding::Quarantined;
    case routing::Suspicion::None:
      break;
  }
  return ContentStanding::Clear;
}

bool
IsKeeper(const settings::ListedHost& aHost)
{
  return std::find(aHost.functions().begin(),
                   aHost.functions().end(),
                   settings::FUNCTION_KEEPER) != aHost.functions().end();
}

/// A service's endpoints load one after another, this long apart, so that a
/// roll-out stays within the rate of the weight store.
constexpr base::Duration kLoadInterval{ std::chrono::seconds{ 2 } };

OrderKeeper::Declared
OrdersOf(const declarations::Service& aService,
         const std::string& aEndpoint,
         std::uint64_t aVersion)
{
  using endpoint::EngineOrder;
  using endpoint::OrderType;
  OrderKeeper::Declared declared;
  declared.version_ = aVersion;
  if (!aService.model_version().empty()) {
    declared.orders_.push_back(EngineOrder{
      OrderType::LoadModel, aService.model(), aService.model_version(), 0 });
  }
  for (const std::string& adapter : aService.adapters()) {
    declared.orders_.push_back(EngineOrder{
      OrderType::LoadAdapter, adapter, aService.model_version(), 0 });
  }
  for (const declarations::Endpoint& endpoint : aService.endpoints()) {
    if (endpoint.name() == aEndpoint) {
      break;
    }
    declared.delay_ += kLoadInterval;
  }
  return declared;
}

/// Unique to this process, so that it knows its own writes by it.
std::string
MakeWriteId(const settings::Settings& aSettings)
{
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", aSettings.host(), random(), random());
}

} // namespace

AgentCore::AgentCore(const node::Context& aContext)
  : context_(aContext)
  , service_(aContext.settings_.agent().service())
  , endpoint_(aContext.settings_.agent().endpoint())
  , gate_(MakeGateOptions(),
          [&quarantine = aContext.quarantine_](std::uint64_t aFingerprint,
                                               Moment aMoment) {
            return StandingOf(quarantine.Check(aFingerprint, aMoment.now_));
          })
  , orders_(aContext.keyValue_,
            aContext.settings_.platform().key_prefix() + "fence/" + endpoint_,
            MakeWriteId(aContext.settings_))
{
}

dispatch::Gate::Options
AgentCore::MakeGateOptions() const
{
  const settings::AgentSettings& agent = context_.settings_.agent();
  dispatch::Gate::Options options;
  options.service_ = agent.service();
  options.policy_ = PolicyOf(agent);
  options.limit_.most_ = OrDefault(agent.max_running(), kDefaultPlaces);
  options.limit_.firstTokenTarget_ = std::chrono::milliseconds{ OrDefault(
    agent.first_token_target_ms(), kDefaultFirstTokenTargetMs) };
  options.maxQueuedOnline_ =
    OrDefault(agent.max_queued_online(), kDefaultQueuedOnline);
  options.partitionCount_ = context_.partitions_.Count();
  options.startsUp_ = false;
  return options;
}

void
AgentCore::Begin()
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
  context_.pool_.PostEvery(dispatch::Gate::kTickInterval, [weak] {
    if (const auto core = weak.lock()) {
      core->OnTick();
    }
  });
}

void
AgentCore::AddMetrics()
{
  using Read = std::uint32_t dispatch::GateLoad::*;
  struct Gauge
  {
    const char* name_;
    const char* help_;
    Read read_;
  };
  static constexpr Gauge kGauges[] = {
    { "pumiceturn_agent_online_running",
      "Online streams at the engine.",
      &dispatch::GateLoad::onlineRunning_ },
    { "pumiceturn_agent_batch_running",
      "Batch streams at the engine.",
      &dispatch::GateLoad::batchRunning_ },
    { "pumiceturn_agent_online_waiting",
      "Online requests that wait for room.",
      &dispatch::GateLoad::onlineWaiting_ },
    { "pumiceturn_agent_batch_waiting",
      "Batch runs that wait for room, preempted ones included.",
      &dispatch::GateLoad::batchWaiting_ },
    { "pumiceturn_agent_places",
      "Requests that the engine is given at once.",
      &dispatch::GateLoad::limit_ },
    { "pumiceturn_agent_headroom",
      "Places kept free of batch.",
      &dispatch::GateLoad::headroom_ },
    { "pumiceturn_agent_unrecorded_results",
      "Results that are not recorded yet.",
      &dispatch::GateLoad::unrecorded_ },
  };
  const std::weak_ptr<AgentCore> weak = weak_from_this();
  for (const Gauge& gauge : kGauges) {
    const Read read = gauge.read_;
    context_.metrics_.AddGauge(gauge.name_, gauge.help_, {}, [weak, read] {
      const auto core = weak.lock();
      if (!core) {
        return 0.0;
      }
      const std::scoped_lock lock(core->loadMutex_);
      return static_cast<double>(core->load_.*read);
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
    Do(gate_.OnStartRun(aPeer, *start, now));
  } else if (const auto* cancel = std::get_if<wire::CancelRun>(&aMessage)) {
    Do(gate_.OnCancelRun(aPeer, *cancel, now));
  } else if (const auto* attach = std::get_if<wire::AttachRun>(&aMessage)) {
    Do(gate_.OnAttachRun(aPeer, *attach, now));
  } else if (const auto* done = std::get_if<wire::RunRecorded>(&aMessage)) {
    Do(gate_.OnRunRecorded(*done, now));
  } else if (const auto* demand = std::get_if<wire::BatchDemand>(&aMessage)) {
    Do(gate_.OnBatchDemand(aPeer, *demand, now));
  }
}

void
AgentCore::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  const Moment now = Now();
  const std::scoped_lock lock(mutex_);
  switch (aState) {
    case wire::LinkState::Up:
      Do(gate_.OnLinkUp(aPeer, now));
      return;
    case wire::LinkState::Lost: {
      gate_.OnLinkLost(aPeer, now);
      const std::scoped_lock loadLock(loadMutex_);
      prefixes_.ForgetPeer(aPeer);
      return;
    }
    case wire::LinkState::Replaced:
      Do(gate_.OnPeerReplaced(aPeer, now));
      return;
  }
}

void
AgentCore::FillHeartbeat(const std::string& aPeer,
                         wire::Heartbeat& aHeartbeat) const
{
  const std::scoped_lock lock(loadMutex_);
  const dispatch::GateLoad& load = load_;
  aHeartbeat.draining_ = aHeartbeat.draining_ || load.draining_;
  aHeartbeat.running_ =
    load.onlineRunning_ + load.batchRunning_ + load.yielding_;
  aHeartbeat.queuedOnline_ = load.onlineWaiting_;
  aHeartbeat.capacity_ = load.engineDown_ ? 0 : load.limit_;
  aHeartbeat.expectedWaitMs_ = load.expectedWaitMs_;
  dispatch::PrefixBook::Changes changes = prefixes_.TakeChangesFor(aPeer);
  aHeartbeat.prefixesAdded_ = std::move(changes.added_);
  aHeartbeat.prefixesDropped_ = std::move(changes.dropped_);
}

void
AgentCore::SetDrain(DrainCause aCause, bool aWanted)
{
  const std::scoped_lock lock(mutex_);
  drains_.at(static_cast<std::size_t>(aCause)) = aWanted;
  const bool isWanted = std::ranges::any_of(drains_, std::identity{});
  Do(gate_.SetIntake(
    isWanted ? dispatch::Intake::Draining : dispatch::Intake::Open, Now()));
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
    base::Log(kServiceUnknown,
              { { "service", service_ },
                { "endpoint", endpoint_ },
                { "version", aSnapshot->Version() } });
    return;
  }
  Declare(*service, *endpoint, aSnapshot->Version());
}

void
AgentCore::Declare(const declarations::Service& aService,
                   const declarations::Endpoint& aEndpoint,
                   std::uint64_t aVersion)
{
  const std::scoped_lock lock(mutex_);
  if (stopped_) {
    return;
  }
  model_ = aService.model();
  MakeRunner(aService.type());
  if (engine_) {
    orders_.SetDeclared(OrdersOf(aService, endpoint_, aVersion));
  }
  dispatch::ConcurrencyLimit::Options limit = MakeGateOptions().limit_;
  limit.most_ = PlacesOf(aEndpoint);
  base::Log(kEndpointDeclared,
            { { "service", service_ },
              { "endpoint", endpoint_ },
              { "model", model_ },
              { "places", limit.most_ } });
  Do(gate_.SetLimit(limit, Now()));
}

std::uint32_t
AgentCore::PlacesOf(const declarations::Endpoint& aEndpoint) const
{
  const std::uint32_t declared = aEndpoint.max_running();
  const std::uint32_t set = context_.settings_.agent().max_running();
  if (declared != 0 && set != 0) {
    return std::min(declared, set);
  }
  return OrDefault(std::max(declared, set), kDefaultPlaces);
}

void
AgentCore::MakeRunner(declarations::ServiceType aType)
{
  if (runner_) {
    return; // What stands at an address does not change while it is served.
  }
  const std::string& address = context_.settings_.agent().engine_address();
  auto made = base::Capture([&]() -> base::Result<Backend> {
    if (aType == declarations::SERVICE_TYPE_PLAIN) {
      endpoint::PlainServiceClient::Options options;
      options.address_ = address;
      BOOST_LEAF_AUTO(client, endpoint::PlainServiceClient::Make(options));
      return Backend{ std::move(client) };
    }
    endpoint::EngineClient::Options options;
    options.address_ = address;
    BOOST_LEAF_AUTO(client, endpoint::EngineClient::Make(options));
    engine_ = std::move(client);
    return Backend{ engine_ };
  });
  auto* backend = std::get_if<Backend>(&made);
  if (backend == nullptr) {
    return; // The settings' check has refused a malformed address before.
  }
  gate_.SetResumption(aType == declarations::SERVICE_TYPE_PLAIN
                        ? dispatch::Resumption::None
                        : dispatch::Resumption::Possible);
  // The runner's threads end before this object does, in Stop().
  StreamRunner::Handlers handlers;
  handlers.tokens_ = [this](const dispatch::StreamId& aStream,
                            dispatch::AnswerPart aPart) {
    const std::scoped_lock lock(mutex_);
    Do(gate_.OnTokens(aStream, std::move(aPart), Now()));
  };
  handlers.ended_ = [this](const dispatch::StreamId& aStream,
                           const dispatch::StreamEnd& aEnd) {
    const std::scoped_lock lock(mutex_);
    Do(gate_.OnStreamEnded(aStream, aEnd, Now()));
  };
  runner_ =
    std::make_unique<StreamRunner>(std::move(*backend), std::move(handlers));
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
  SetDrain(DrainCause::HostList, isLeaving);
}

void
AgentCore::OnTick()
{
  const std::scoped_lock lock(mutex_);
  if (stopped_) {
    return;
  }
  if (ticks_++ % kTicksBetweenRefreshes == 0) {
    RefreshKeepers();
    gate_.SetPartitionCount(context_.partitions_.Count());
    RunOrders();
    PollCacheEvents();
  }
  Do(gate_.OnTick(Now()));
}

void
AgentCore::RunOrders()
{
  if (engine_ && orders_.IsDue()) {
    runner_->Run([this] { orders_.Run(*engine_); });
  }
}

void
AgentCore::PollCacheEvents()
{
  if (!engine_) {
    return;
  }
  runner_->Run([this] {
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
      prefixes_.OnCacheEvent(isStored ? dispatch::CacheNews::Stored
                                      : dispatch::CacheNews::Evicted,
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
  gate_.SetKeepers(std::move(keepers));
}

void
AgentCore::Do(dispatch::Actions aActions)
{
  for (dispatch::Action& action : aActions) {
    std::visit([this](auto& aAction) { Carry(aAction); }, action);
  }
  const dispatch::GateLoad load = gate_.Load(base::MonotonicNow());
  wasUp_ = wasUp_ || !load.engineDown_;
  const std::scoped_lock lock(loadMutex_);
  load_ = load;
}

void
AgentCore::Carry(dispatch::StartStream& aStart)
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
AgentCore::Carry(const dispatch::CancelStream& aCancel)
{
  if (runner_) {
    runner_->Cancel(aCancel.stream_);
  }
}

void
AgentCore::Carry(dispatch::SendMessage& aSend)
{
  // A lost message is asked for again by its receiver when the link is back.
  static_cast<void>(
    context_.links_.Send(aSend.peer_, std::move(aSend.message_)));
}

void
AgentCore::Carry(const dispatch::SpreadHeartbeat& /*aSpread*/)
{
  {
    const std::scoped_lock lock(loadMutex_);
    load_ = gate_.Load(base::MonotonicNow());
  }
  context_.links_.HeartbeatNow();
}

void
AgentCore::Carry(const dispatch::RecordCrash& aCrash)
{
  context_.quarantine_.RecordCrash(aCrash.fingerprints_, base::MonotonicNow());
}

void
AgentCore::Carry(const dispatch::ProbeEngine& /*aProbe*/)
{
  if (!runner_) {
    return;
  }
  runner_->Run([this] {
    if (!runner_->IsHealthy()) {
      return;
    }
    orders_.OnEngineRestarted();
    {
      const std::scoped_lock lock(loadMutex_);
      prefixes_.OnEngineRestarted();
      lastCacheEvent_ = 0;
    }
    const std::scoped_lock lock(mutex_);
    Do(gate_.OnEngineUp(Now()));
  });
}

void
AgentCore::Carry(const dispatch::LogDecision& aDecision)
{
  if (!base::IsLogged(aDecision.event_->level_)) {
    return;
  }
  const dispatch::GateLoad& load = aDecision.load_;
  base::Log(*aDecision.event_,
            { { "run", base::ToString(aDecision.run_) },
              { "peer", aDecision.peer_ },
              { "code", base::NameOf(aDecision.code_) },
              { "weighed_ms", base::ToMs(aDecision.weighedWait_) },
              { "online", load.onlineRunning_ },
              { "batch", load.batchRunning_ },
              { "yielding", load.yielding_ },
              { "online_waiting", load.onlineWaiting_ },
              { "batch_waiting", load.batchWaiting_ },
              { "places", load.limit_ },
              { "headroom", load.headroom_ },
              { "credits", load.creditsOutstanding_ } });
}

bool
AgentCore::IsIdle() const
{
  const std::scoped_lock lock(mutex_);
  return gate_.IsIdle();
}

node::Readiness
AgentCore::GetReadiness() const
{
  const std::scoped_lock lock(mutex_);
  if (gate_.Load(base::MonotonicNow()).draining_) {
    return node::Readiness::Draining;
  }
  return wasUp_ ? node::Readiness::Ready : node::Readiness::Starting;
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
  // Without the lock: the streams that are ended report their ends.
  if (runner_) {
    runner_->Stop();
  }
}

} // namespace pumiceturn::agent
