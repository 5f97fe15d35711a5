#include "LibDaemon/Daemon.h"

#include "LibAgent/AgentFunction.h"
#include "LibBase/Log.h"
#include "LibBase/WorkerPool.h"
#include "LibConfiguration/ConfigurationFollower.h"
#include "LibDaemon/MessageRouter.h"
#include "LibDaemon/PeerStrands.h"
#include "LibEntry/EntryFunction.h"
#include "LibHttp/StatusServer.h"
#include "LibKeeper/KeeperFunction.h"
#include "LibNode/Context.h"
#include "LibNode/Events.h"
#include "LibPartition/PartitionFollower.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

namespace pumiceturn::daemon {

namespace {

/// Suspects named on one heartbeat; the rest follows on later ones.
constexpr std::size_t kSuspectsInHeartbeat = 32;

/// @param aProcess Its own settings, or a listed host.
template<typename Process>
bool
HasFunction(const Process& aProcess, settings::Function aFunction)
{
  const auto& functions = aProcess.functions();
  return std::find(functions.begin(), functions.end(), aFunction) !=
         functions.end();
}

std::string_view
NameOf(wire::LinkState aState)
{
  switch (aState) {
    case wire::LinkState::Up:
      return "up";
    case wire::LinkState::Lost:
      return "lost";
    case wire::LinkState::Replaced:
      break;
  }
  return "replaced";
}

platform::KeyValueClient::Options
KeyValueOptions(const settings::Settings& aSettings)
{
  const settings::PlatformSettings& platform = aSettings.platform();
  platform::KeyValueClient::Options options;
  options.addresses_.assign(platform.key_value_addresses().begin(),
                            platform.key_value_addresses().end());
  options.callsPerSecond_ = platform.calls_per_second();
  options.callTimeout_ =
    std::chrono::milliseconds{ platform.call_timeout_ms() };
  return options;
}

wire::LinkTable::Options
LinkOptions(const settings::Settings& aSettings)
{
  wire::LinkTable::Options options;
  options.host_ = aSettings.host();
  options.listenAddress_ = aSettings.link_address();
  options.heartbeatInterval_ =
    std::chrono::milliseconds{ aSettings.link().heartbeat_ms() };
  options.missedHeartbeats_ = aSettings.link().missed_heartbeats();
  options.connectTimeout_ =
    std::chrono::milliseconds{ aSettings.link().connect_timeout_ms() };
  return options;
}

/// Entries watch the platform, so that a change spreads from them; an agent
/// holds only its own service's part.
configuration::ConfigurationFollower::Options
ConfigurationOptions(const settings::Settings& aSettings)
{
  configuration::ConfigurationFollower::Options options;
  options.keyPrefix_ = aSettings.platform().key_prefix();
  options.pollInterval_ =
    std::chrono::milliseconds{ aSettings.platform().poll_ms() };
  if (HasFunction(aSettings, settings::FUNCTION_ENTRY)) {
    options.platformUse_ = configuration::PlatformUse::Watch;
  }
  const bool isAgentAlone = aSettings.functions_size() == 1 &&
                            HasFunction(aSettings, settings::FUNCTION_AGENT);
  if (isAgentAlone) {
    options.scope_ = configuration::Scope{ aSettings.agent().service() };
  }
  return options;
}

/// Agents and keepers have no setting of their own and take the default.
base::Duration
QuarantineLifetime(const settings::Settings& aSettings)
{
  const std::uint32_t seconds = aSettings.entry().quarantine_s();
  return seconds == 0 ? routing::QuarantineTable::kDefaultLifetime
                      : base::Duration{ std::chrono::seconds{ seconds } };
}

} // namespace

/// Members are destroyed in reverse order: the functions before what they use.
/// The pool is stopped first, so that no task outlives what it works on.
struct Daemon::State
{
  explicit State(const settings::Settings& aSettings)
    : settings_(aSettings)
    , pool_(aSettings.worker_threads())
    , strands_(pool_)
    , keyValue_(platform::KeyValueClient::Make(KeyValueOptions(aSettings)))
    , hosts_(
        platform::HostDirectory::Options{ aSettings.platform().host_list() })
  {
  }

  ~State();

  node::Context MakeContext();
  base::Result<void> StartLinks();
  base::Result<void> StartFunctions();
  base::Result<void> StartStatusPages();
  void FollowPartitions();
  void StartTimers();

  void OnMessage(const std::string& aPeer, wire::Message aMessage);
  void OnLinkState(const std::string& aPeer, wire::LinkState aState);
  wire::Heartbeat MakeHeartbeat(const std::string& aPeer);

  void Deliver(const std::string& aPeer, const wire::Message& aMessage);
  void DeliverHeartbeat(const std::string& aPeer,
                        const wire::Message& aMessage);
  void DeliverRunEnded(const std::string& aPeer, const wire::Message& aMessage);
  void DeliverConfiguration(const std::string& aPeer,
                            const wire::Message& aMessage);
  void ConnectToListedHosts(const settings::HostList& aHosts);

  [[nodiscard]] bool IsReady() const;

  template<typename Function>
  void ForEachFunction(Function aFunction) const
  {
    if (entry_) {
      aFunction(*entry_);
    }
    if (keeper_) {
      aFunction(*keeper_);
    }
    if (agent_) {
      aFunction(*agent_);
    }
  }

  const settings::Settings settings_;
  base::WorkerPool pool_;
  PeerStrands strands_;
  metrics::Registry metrics_;
  std::unique_ptr<platform::KeyValueClient> keyValue_;
  platform::HostDirectory hosts_;
  configuration::ConfigurationCache configuration_;
  partition::PartitionTable partitions_;
  routing::QuarantineTable quarantine_{ QuarantineLifetime(settings_) };
  std::unique_ptr<wire::LinkTable> links_;
  std::unique_ptr<configuration::ConfigurationFollower> follower_;
  /// Of an entry without a keeper; a keeper's log follows the table itself.
  std::unique_ptr<partition::PartitionFollower> partitionFollower_;
  std::unique_ptr<agent::AgentFunction> agent_;
  std::unique_ptr<keeper::KeeperFunction> keeper_;
  std::unique_ptr<entry::EntryFunction> entry_;
  std::unique_ptr<http::StatusServer> statusServer_;
  std::atomic<bool> started_{ false };
  std::atomic<bool> draining_{ false };
  std::mutex connectedMutex_;
  std::set<std::string> connected_;
};

Daemon::State::~State()
{
  statusServer_.reset();
  started_ = false;
  keyValue_->Stop();
  ForEachFunction([](auto& aFunction) { aFunction.Stop(); });
  if (follower_) {
    follower_->Stop();
  }
  if (partitionFollower_) {
    partitionFollower_->Stop();
  }
  // Tasks hold references to the functions and the links.
  pool_.Stop();
  links_.reset();
}

node::Context
Daemon::State::MakeContext()
{
  return node::Context{ settings_,      pool_,       *links_,
                        metrics_,       *keyValue_,  hosts_,
                        configuration_, partitions_, quarantine_ };
}

base::Result<void>
Daemon::State::StartLinks()
{
  wire::LinkTable::Handlers handlers;
  handlers.message_ = [this](const std::string& aPeer, wire::Message aMessage) {
    OnMessage(aPeer, std::move(aMessage));
  };
  handlers.state_ = [this](const std::string& aPeer, wire::LinkState aState) {
    OnLinkState(aPeer, aState);
  };
  handlers.heartbeat_ = [this](const std::string& aPeer) {
    return MakeHeartbeat(aPeer);
  };
  BOOST_LEAF_ASSIGN(
    links_,
    wire::LinkTable::Start(LinkOptions(settings_), std::move(handlers)));
  follower_ = std::make_unique<configuration::ConfigurationFollower>(
    ConfigurationOptions(settings_),
    *keyValue_,
    configuration_,
    pool_,
    [this](const std::string& aPeer, wire::Message aMessage) {
      return links_->Send(aPeer, std::move(aMessage));
    });
  configuration_.Subscribe([this](const auto&) {
    // Peers hear of the version at once, so a change does not wait a heartbeat
    // at each host on its way.
    links_->HeartbeatNow();
  });
  return {};
}

base::Result<void>
Daemon::State::StartFunctions()
{
  if (HasFunction(settings_, settings::FUNCTION_AGENT)) {
    BOOST_LEAF_ASSIGN(agent_, agent::AgentFunction::Start(MakeContext()));
  }
  if (HasFunction(settings_, settings::FUNCTION_KEEPER)) {
    BOOST_LEAF_ASSIGN(keeper_, keeper::KeeperFunction::Start(MakeContext()));
  }
  if (HasFunction(settings_, settings::FUNCTION_ENTRY)) {
    FollowPartitions();
    BOOST_LEAF_ASSIGN(entry_, entry::EntryFunction::Start(MakeContext()));
  }
  started_ = true;
  follower_->Start();
  return {};
}

void
Daemon::State::FollowPartitions()
{
  if (keeper_) {
    return;
  }
  partition::PartitionFollower::Options options;
  options.keyPrefix_ = settings_.platform().key_prefix();
  partitionFollower_ = std::make_unique<partition::PartitionFollower>(
    options,
    partition::AccessTo(*keyValue_),
    partitions_,
    pool_,
    [](const partition::PartitionRecord&) {});
  partitionFollower_->Start();
}

base::Result<void>
Daemon::State::StartStatusPages()
{
  http::StatusServer::Callbacks callbacks;
  callbacks.writeMetrics_ = [this] { return metrics_.Write(); };
  callbacks.isHealthy_ = [this] { return started_.load(); };
  callbacks.isReady_ = [this] { return IsReady(); };
  BOOST_LEAF_ASSIGN(
    statusServer_,
    http::StatusServer::Start(settings_.http_address(), std::move(callbacks)));
  return {};
}

void
Daemon::State::StartTimers()
{
  hosts_.Subscribe([this](const platform::HostDirectory::Snapshot& aHosts) {
    ConnectToListedHosts(*aHosts);
  });
  pool_.Post([this] { hosts_.Refresh(); });
  pool_.PostEvery(
    std::chrono::milliseconds{ settings_.platform().host_list_poll_ms() },
    [this] { hosts_.Refresh(); });
}

void
Daemon::State::OnMessage(const std::string& aPeer, wire::Message aMessage)
{
  strands_.Post(aPeer, [this, aPeer, message = std::move(aMessage)] {
    Deliver(aPeer, message);
  });
}

void
Daemon::State::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  base::Log(node::kLinkChanged,
            { { "peer", aPeer }, { "state", NameOf(aState) } });
  strands_.Post(aPeer, [this, aPeer, aState] {
    if (!started_) {
      return;
    }
    if (aState != wire::LinkState::Up) {
      follower_->OnPeerLost(aPeer);
    }
    ForEachFunction(
      [&](auto& aFunction) { aFunction.OnLinkState(aPeer, aState); });
  });
}

wire::Heartbeat
Daemon::State::MakeHeartbeat(const std::string& aPeer)
{
  wire::Heartbeat heartbeat;
  heartbeat.configurationVersion_ = configuration_.Current()->Version();
  heartbeat.draining_ = draining_;
  heartbeat.suspects_ = quarantine_.List(base::MonotonicNow());
  if (heartbeat.suspects_.size() > kSuspectsInHeartbeat) {
    heartbeat.suspects_.resize(kSuspectsInHeartbeat);
  }
  if (started_) {
    ForEachFunction(
      [&](auto& aFunction) { aFunction.FillHeartbeat(aPeer, heartbeat); });
  }
  return heartbeat;
}

void
Daemon::State::Deliver(const std::string& aPeer, const wire::Message& aMessage)
{
  if (!started_) {
    return;
  }
  const Receiver receiver = ReceiverOf(aMessage);
  const bool isRecorded = std::holds_alternative<wire::RunRecorded>(aMessage);
  if (isRecorded && keeper_) {
    // An owner's answer to a result that this keeper forwarded for an agent.
    keeper_->OnMessage(aPeer, aMessage);
  }
  if (receiver == Receiver::Everyone) {
    DeliverHeartbeat(aPeer, aMessage);
  } else if (receiver == Receiver::Configuration) {
    DeliverConfiguration(aPeer, aMessage);
  } else if (receiver == Receiver::RunStarter) {
    DeliverRunEnded(aPeer, aMessage);
  } else if (receiver == Receiver::Agent && agent_) {
    agent_->OnMessage(aPeer, aMessage);
  } else if (receiver == Receiver::Entry && entry_) {
    entry_->OnMessage(aPeer, aMessage);
  } else if (receiver == Receiver::Keeper && keeper_) {
    keeper_->OnMessage(aPeer, aMessage);
  } else if (!isRecorded || !keeper_) {
    base::Log(node::kMessageDropped,
              { { "peer", aPeer }, { "type", aMessage.index() } });
  }
}

void
Daemon::State::DeliverHeartbeat(const std::string& aPeer,
                                const wire::Message& aMessage)
{
  const auto& heartbeat = std::get<wire::Heartbeat>(aMessage);
  quarantine_.Merge(heartbeat.suspects_, base::MonotonicNow());
  follower_->OnHeartbeatVersion(aPeer, heartbeat.configurationVersion_);
  ForEachFunction(
    [&](auto& aFunction) { aFunction.OnMessage(aPeer, aMessage); });
}

void
Daemon::State::DeliverRunEnded(const std::string& aPeer,
                               const wire::Message& aMessage)
{
  const auto& ended = std::get<wire::RunEnded>(aMessage);
  if (entry_ && entry_->HasRun(ended.run_)) {
    entry_->OnMessage(aPeer, aMessage);
  } else if (keeper_) {
    keeper_->OnMessage(aPeer, aMessage);
  }
}

void
Daemon::State::DeliverConfiguration(const std::string& aPeer,
                                    const wire::Message& aMessage)
{
  if (const auto* request = std::get_if<wire::FetchConfiguration>(&aMessage)) {
    follower_->OnMessage(aPeer, *request);
  } else if (const auto* content =
               std::get_if<wire::ConfigurationContent>(&aMessage)) {
    follower_->OnMessage(aPeer, *content);
  }
}

void
Daemon::State::ConnectToListedHosts(const settings::HostList& aHosts)
{
  // Agents only answer links that others open.
  if (!entry_ && !keeper_) {
    return;
  }
  if (entry_) {
    // All entries poll the platform for changes, so they share its calls.
    const auto& hosts = aHosts.hosts();
    const auto entries = std::count_if(
      hosts.begin(), hosts.end(), [](const settings::ListedHost& aHost) {
        return HasFunction(aHost, settings::FUNCTION_ENTRY);
      });
    follower_->SetPollers(static_cast<std::size_t>(entries));
  }
  const std::lock_guard lock(connectedMutex_);
  std::set<std::string> listed;
  for (const settings::ListedHost& host : aHosts.hosts()) {
    const bool isKeeper = HasFunction(host, settings::FUNCTION_KEEPER);
    if (!isKeeper || host.name() == settings_.host()) {
      continue;
    }
    listed.insert(host.name());
    links_->Connect(host.name(), host.link_address());
  }
  for (const std::string& name : connected_) {
    if (!listed.contains(name)) {
      links_->Disconnect(name);
    }
  }
  connected_ = std::move(listed);
}

bool
Daemon::State::IsReady() const
{
  if (!started_ || draining_) {
    return false;
  }
  bool ready = true;
  ForEachFunction([&](auto& aFunction) {
    ready = ready && aFunction.GetReadiness() == node::Readiness::Ready;
  });
  return ready;
}

Daemon::Daemon(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

Daemon::~Daemon() = default;

base::Result<std::unique_ptr<Daemon>>
Daemon::Start(const settings::Settings& aSettings)
{
  auto state = std::make_unique<State>(aSettings);
  BOOST_LEAF_CHECK(state->StartLinks());
  BOOST_LEAF_CHECK(state->StartFunctions());
  BOOST_LEAF_CHECK(state->StartStatusPages());
  state->StartTimers();
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

void
Daemon::BeginDrain()
{
  state_->draining_ = true;
  state_->ForEachFunction([](auto& aFunction) { aFunction.BeginDrain(); });
  // Peers must not wait a heartbeat to stop sending new work here.
  state_->links_->HeartbeatNow();
}

bool
Daemon::IsIdle() const
{
  bool idle = true;
  state_->ForEachFunction(
    [&](auto& aFunction) { idle = idle && aFunction.IsIdle(); });
  return idle;
}

base::Duration
Daemon::ShutdownGrace() const
{
  const std::uint32_t grace =
    std::max(state_->settings_.entry().shutdown_grace_ms(),
             state_->settings_.agent().shutdown_grace_ms());
  return std::chrono::milliseconds{ grace };
}

} // namespace pumiceturn::daemon
