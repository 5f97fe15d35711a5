#include "LibEntry/EntryFunction.h"

#include "LibEntry/CallerService.h"
#include "LibEntry/EntryCore.h"
#include "LibEntry/Events.h"
#include "LibEntry/OperatorService.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace pumiceturn::entry {

namespace {

constexpr int kKeepaliveMs = 20000;
constexpr int kKeepaliveTimeoutMs = 5000;
constexpr int kMinClientPingIntervalMs = 5000;
constexpr std::size_t kMaxGrpcBytes = std::size_t{ 64 } << 20U;
constexpr int kMaxGrpcThreads = 32;
constexpr int kMaxMessageBytes = 16 << 20;

/// Time for open RPCs to finish after the server was asked to shut down.
constexpr std::chrono::milliseconds kShutdownTimeout{ 500 };

constexpr std::uint32_t kDefaultSubsetSize = 20;
constexpr double kDefaultRetryShare = 0.1;
constexpr std::uint32_t kDefaultRetryBurst = 10;

routing::Policy
ToPolicy(settings::RoutingPolicy aPolicy)
{
  switch (aPolicy) {
    case settings::ROUTING_POLICY_ROUND_ROBIN:
      return routing::RoundRobin{};
    case settings::ROUTING_POLICY_RANDOM:
      return routing::RandomChoice{};
    default:
      return routing::PowerOfTwoChoices{};
  }
}

EndpointRouter::Options
MakeRouterOptions(const settings::Settings& aSettings)
{
  const settings::EntrySettings& entry = aSettings.entry();
  EndpointRouter::Options options;
  options.host_ = aSettings.host();
  options.failureDomain_ = aSettings.failure_domain();
  options.subsetSize_ =
    entry.subset_size() == 0 ? kDefaultSubsetSize : entry.subset_size();
  options.policy_ = ToPolicy(entry.routing());
  options.retryLimits_.share_ =
    entry.retry_share() == 0.0 ? kDefaultRetryShare : entry.retry_share();
  options.retryLimits_.burst_ =
    entry.retry_burst() == 0 ? kDefaultRetryBurst : entry.retry_burst();
  options.seed_ = std::random_device{}();
  return options;
}

} // namespace

struct EntryFunction::State
{
  explicit State(node::Context aContext)
    : core_(std::make_shared<EntryCore>(aContext))
    , callers_(core_)
    , operators_(core_)
  {
  }

  std::shared_ptr<EntryCore> core_;
  CallerService callers_;
  OperatorService operators_;
  std::unique_ptr<grpc::Server> server_;
  std::string address_;
};

namespace {

/// Subscribes the entry to changes of the configuration and the host list.
void
SubscribeToUpdates(const std::shared_ptr<EntryCore>& aCore)
{
  const std::weak_ptr<EntryCore> weak = aCore;
  aCore->context_.configuration_.Subscribe(
    [weak](const configuration::ConfigurationCache::SnapshotPointer& aNew) {
      if (const auto core = weak.lock()) {
        core->onlineCalls_->OnConfiguration(*aNew);
      }
    });
  aCore->context_.hosts_.Subscribe(
    [weak](const platform::HostDirectory::Snapshot& aNew) {
      if (const auto core = weak.lock()) {
        core->onlineCalls_->OnHostList(*aNew);
      }
    });
  aCore->onlineCalls_->OnConfiguration(
    *aCore->context_.configuration_.Current());
  if (const auto hosts = aCore->context_.hosts_.Current()) {
    aCore->onlineCalls_->OnHostList(*hosts);
  }
}

void
AddGauges(const std::shared_ptr<EntryCore>& aCore)
{
  const std::weak_ptr<EntryCore> weak = aCore;
  aCore->context_.metrics_.AddGauge(
    "pumiceturn_open_calls",
    "Calls and lots that a shutdown would cut off.",
    {},
    [weak] {
      const auto core = weak.lock();
      return core == nullptr ? 0.0 : static_cast<double>(core->openCalls_);
    });
}

void
SetLimits(grpc::ServerBuilder& aBuilder)
{
  grpc::ResourceQuota quota("entry");
  quota.Resize(kMaxGrpcBytes);
  quota.SetMaxThreads(kMaxGrpcThreads);
  aBuilder.SetResourceQuota(quota);
  aBuilder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Detects dead connections of callers, so that their runs are cancelled.
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                              kKeepaliveTimeoutMs);
  aBuilder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
    kMinClientPingIntervalMs);
  // Without this, two processes could listen on the same port and each would
  // get only some of the connections.
  aBuilder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
}

} // namespace

base::Result<std::unique_ptr<EntryFunction>>
EntryFunction::Start(node::Context aContext)
{
  auto state = std::make_unique<State>(aContext);
  EntryCore& core = *state->core_;
  core.onlineCalls_ = std::make_shared<OnlineCalls>(
    aContext, MakeRouterOptions(aContext.settings_));
  core.ownerCalls_ = std::make_shared<OwnerCalls>(aContext);
  core.ownerCalls_->Start();
  SubscribeToUpdates(state->core_);
  AddGauges(state->core_);

  const std::string& address = aContext.settings_.entry().grpc_address();
  grpc::ServerBuilder builder;
  SetLimits(builder);
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&state->callers_);
  builder.RegisterService(&state->operators_);
  state->server_ = builder.BuildAndStart();
  if (state->server_ == nullptr || port == 0) {
    return base::Fail(base::ResultCode::InputOutput,
                      "cannot listen on " + address);
  }
  state->address_ =
    fmt::format("{}:{}", address.substr(0, address.rfind(':')), port);
  base::Log(kEntryStarted, { { "address", state->address_ } });
  return std::unique_ptr<EntryFunction>(new EntryFunction(std::move(state)));
}

EntryFunction::EntryFunction(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

EntryFunction::~EntryFunction()
{
  Stop();
}

void
EntryFunction::OnMessage(const std::string& aPeer,
                         const wire::Message& aMessage)
{
  state_->core_->onlineCalls_->OnMessage(aPeer, aMessage);
  state_->core_->ownerCalls_->OnMessage(aMessage);
}

void
EntryFunction::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  state_->core_->onlineCalls_->OnLinkState(aPeer, aState);
  state_->core_->ownerCalls_->OnLinkState(aPeer, aState);
}

bool
EntryFunction::HasRun(const wire::RunId& aRun) const
{
  return state_->core_->onlineCalls_->HasJob(aRun.job_);
}

void
EntryFunction::FillHeartbeat(const std::string& /*aPeer*/,
                             wire::Heartbeat& aHeartbeat) const
{
  const EntryCore& core = *state_->core_;
  aHeartbeat.draining_ = aHeartbeat.draining_ || core.draining_;
}

void
EntryFunction::BeginDrain()
{
  EntryCore& core = *state_->core_;
  if (core.draining_.exchange(true)) {
    return;
  }
  base::Log(kEntryDraining,
            { { "calls", core.onlineCalls_->Count() },
              { "open", core.openCalls_.load() } });
}

bool
EntryFunction::IsIdle() const
{
  const EntryCore& core = *state_->core_;
  return core.openCalls_ == 0 && core.onlineCalls_->Count() == 0 &&
         core.ownerCalls_->Count() == 0;
}

node::Readiness
EntryFunction::GetReadiness() const
{
  const EntryCore& core = *state_->core_;
  if (core.draining_) {
    return node::Readiness::Draining;
  }
  const bool isReady = core.context_.configuration_.Current()->Version() > 0 &&
                       core.context_.partitions_.Count() > 0;
  return isReady ? node::Readiness::Ready : node::Readiness::Starting;
}

std::string
EntryFunction::ListenAddress() const
{
  return state_->address_;
}

void
EntryFunction::Stop()
{
  if (state_->server_ != nullptr) {
    // Shutdown() waits for all RPCs, so those that wait for an owner are failed
    // first.
    state_->core_->ownerCalls_->Stop();
    state_->server_->Shutdown(std::chrono::system_clock::now() +
                              kShutdownTimeout);
    state_->server_->Wait();
    state_->server_.reset();
  }
}

} // namespace pumiceturn::entry
