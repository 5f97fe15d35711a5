#include "LibKeeper/KeeperFunction.h"

#include "LibJobLog/LogService.h"
#include "LibKeeper/JobService.h"
#include "LibKeeper/KeeperMetrics.h"
#include "LibRouting/Subset.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace pumiceturn::keeper {

namespace {

constexpr base::Duration kTickInterval{ std::chrono::milliseconds{ 100 } };
/// Number of a service's agents that a keeper connects to if the settings set
/// no subset size.
constexpr std::uint32_t kDefaultAgentsPerService = 20;

/// Holds the log service for the job service's ports. Empty before the log
/// service has started and after it has stopped.
class LogHolder
{
public:
  void Set(std::shared_ptr<joblog::LogService> aLog)
  {
    const std::lock_guard lock(mutex_);
    log_ = std::move(aLog);
  }

  [[nodiscard]] std::shared_ptr<joblog::LogService> Get() const
  {
    const std::lock_guard lock(mutex_);
    return log_;
  }

private:
  mutable std::mutex mutex_;
  std::shared_ptr<joblog::LogService> log_;
};

using LogHolderPointer = std::shared_ptr<LogHolder>;

void
SetLogPorts(Ports& aPorts, const LogHolderPointer& aHolder)
{
  aPorts.append_ = [aHolder](std::uint32_t aPartition,
                             std::vector<std::string> aRecords,
                             Ports::Appended aDone) {
    if (const auto log = aHolder->Get()) {
      log->Append(aPartition, std::move(aRecords), std::move(aDone));
    } else {
      aDone(base::ResultCode::NotOwner, {});
    }
  };
  aPorts.read_ =
    [aHolder](
      const joblog::LogPosition& aPosition) -> base::Result<std::string> {
    const auto log = aHolder->Get();
    if (!log) {
      return base::Fail(base::ResultCode::NotOwner, "the log is not open");
    }
    return log->Read(aPosition);
  };
  aPorts.trim_ = [aHolder](std::uint32_t aPartition, std::uint64_t aBefore) {
    if (const auto log = aHolder->Get()) {
      log->Trim(aPartition, aBefore);
    }
  };
  aPorts.handOver_ = [aHolder] {
    if (const auto log = aHolder->Get()) {
      log->HandOver();
    }
  };
  aPorts.hasRoom_ = [aHolder] {
    const auto log = aHolder->Get();
    return log && log->HasRoom();
  };
}

KindLimits
LimitsOf(const configuration::Snapshot& aConfiguration,
         const std::string& aService,
         const std::string& aKind)
{
  const declarations::RequestKind* kind =
    aConfiguration.FindKind(aService, aKind);
  return kind == nullptr
           ? KindLimits{}
           : KindLimits{ kind->max_attempts(), kind->deadline_ms() };
}

std::uint32_t
BatchShareOf(const configuration::Snapshot& aConfiguration,
             const std::string& aPartner)
{
  const declarations::Partner* partner = aConfiguration.FindPartner(aPartner);
  return partner == nullptr ? 1 : std::max(partner->batch_share(), 1U);
}

Ports
MakePorts(const node::Context& aContext, const LogHolderPointer& aHolder)
{
  Ports ports;
  SetLogPorts(ports, aHolder);
  ports.host_ = aContext.settings_.host();
  ports.send_ = [&links = aContext.links_](const std::string& aPeer,
                                           wire::Message aMessage) {
    return links.Send(aPeer, std::move(aMessage));
  };
  ports.post_ = [&pool = aContext.pool_](Ports::Task aTask) {
    pool.Post(std::move(aTask));
  };
  ports.now_ = [] { return base::MonotonicNow(); };
  ports.wallUnixMs_ = [] { return base::ToUnixMs(base::WallNow()); };
  ports.partitionCount_ = [&table = aContext.partitions_] {
    return table.Count();
  };
  ports.ownerOf_ = [&table = aContext.partitions_](std::uint32_t aPartition) {
    return table.OwnerOf(aPartition);
  };
  ports.limitsOf_ = [&cache = aContext.configuration_](
                      const std::string& aService, const std::string& aKind) {
    return LimitsOf(*cache.Current(), aService, aKind);
  };
  ports.batchWeightOf_ =
    [&cache = aContext.configuration_](const std::string& aPartner) {
      return BatchShareOf(*cache.Current(), aPartner);
    };
  ports.isQuarantined_ = [&table =
                            aContext.quarantine_](std::uint64_t aFingerprint) {
    return table.Check(aFingerprint, base::MonotonicNow()) ==
           routing::Suspicion::Quarantined;
  };
  return ports;
}

/// Name and address of an agent that this host connects to.
struct AgentLink
{
  std::string name_;
  std::string address_;
};

std::vector<AgentLink>
ChooseAgents(const std::string& aHost,
             std::size_t aSubsetSize,
             const declarations::Service& aService)
{
  std::vector<routing::SubsetCandidate> candidates;
  candidates.reserve(static_cast<std::size_t>(aService.endpoints_size()));
  for (const declarations::Endpoint& endpoint : aService.endpoints()) {
    candidates.push_back({ endpoint.name(), endpoint.failure_domain() });
  }
  std::vector<AgentLink> links;
  for (const std::size_t position :
       routing::ChooseSubset(aHost, candidates, aSubsetSize)) {
    const declarations::Endpoint& endpoint =
      aService.endpoints(static_cast<int>(position));
    links.push_back({ endpoint.name(), endpoint.agent_address() });
  }
  return links;
}

joblog::LogService::Handlers
MakeHandlers(const std::shared_ptr<JobService>& aJobs)
{
  joblog::LogService::Handlers handlers;
  handlers.recovering_ = [aJobs](std::uint32_t aPartition,
                                 std::uint64_t aEpoch) {
    aJobs->OnRecovering(aPartition, aEpoch);
  };
  handlers.replay_ = [aJobs](std::uint32_t aPartition,
                             std::uint64_t aSequence,
                             joblog::LogPosition aPosition,
                             std::string_view aRecord) {
    aJobs->OnReplay(aPartition, aSequence, aPosition, aRecord);
  };
  handlers.owned_ = [aJobs](std::uint32_t aPartition, std::uint64_t aEpoch) {
    aJobs->OnOwned(aPartition, aEpoch);
  };
  handlers.released_ = [aJobs](std::uint32_t aPartition) {
    aJobs->OnReleased(aPartition);
  };
  return handlers;
}

} // namespace

struct KeeperFunction::State
{
  explicit State(node::Context aContext)
    : context_(aContext)
    , logHolder_(std::make_shared<LogHolder>())
    , jobs_(JobService::Make(MakePorts(aContext, logHolder_),
                             JobService::Options{}))
    , metrics_(aContext.metrics_, jobs_)
  {
  }

  void LinkAgents(const configuration::Snapshot& aConfiguration);
  void Tick();

  node::Context context_;
  LogHolderPointer logHolder_;
  std::shared_ptr<JobService> jobs_;
  KeeperMetrics metrics_;
  std::mutex linksMutex_;
  std::set<std::string> linked_;
};

void
KeeperFunction::State::LinkAgents(const configuration::Snapshot& aConfiguration)
{
  const std::uint32_t configured = context_.settings_.entry().subset_size();
  const std::size_t subsetSize =
    configured == 0 ? kDefaultAgentsPerService : configured;
  const std::lock_guard lock(linksMutex_);
  for (const declarations::Service& service :
       aConfiguration.Content().declarations().services()) {
    std::vector<std::string> names;
    for (const AgentLink& link :
         ChooseAgents(context_.settings_.host(), subsetSize, service)) {
      context_.links_.Connect(link.name_, link.address_);
      linked_.insert(link.name_);
      names.push_back(link.name_);
    }
    jobs_->SetAgents(service.name(), names);
    for (const std::string& name : names) {
      // The entry function of this host may already have opened the link,
      // and then no Up is reported for it again.
      if (context_.links_.IsUp(name) && !jobs_->IsAgentUp(name)) {
        jobs_->OnLinkState(name, wire::LinkState::Up);
      }
    }
  }
  std::erase_if(linked_, [&](const std::string& aName) {
    if (aConfiguration.FindEndpoint(aName) != nullptr) {
      return false;
    }
    context_.links_.Disconnect(aName);
    jobs_->OnLinkState(aName, wire::LinkState::Lost);
    return true;
  });
}

void
KeeperFunction::State::Tick()
{
  jobs_->Tick();
  metrics_.Update(jobs_->Counts());
}

base::Result<std::unique_ptr<KeeperFunction>>
KeeperFunction::Start(node::Context aContext)
{
  auto state = std::make_shared<State>(aContext);
  BOOST_LEAF_AUTO(
    log, joblog::LogService::Start(aContext, MakeHandlers(state->jobs_)));
  state->logHolder_->Set(std::move(log));

  const std::weak_ptr<State> weak = state;
  aContext.configuration_.Subscribe(
    [weak](const configuration::ConfigurationCache::SnapshotPointer& aNew) {
      if (const auto locked = weak.lock()) {
        locked->LinkAgents(*aNew);
      }
    });
  state->LinkAgents(*aContext.configuration_.Current());
  aContext.pool_.PostEvery(kTickInterval, [weak] {
    if (const auto locked = weak.lock()) {
      locked->Tick();
    }
  });
  return std::unique_ptr<KeeperFunction>(new KeeperFunction(std::move(state)));
}

KeeperFunction::KeeperFunction(std::shared_ptr<State> aState)
  : state_(std::move(aState))
{
}

KeeperFunction::~KeeperFunction()
{
  Stop();
}

void
KeeperFunction::OnMessage(const std::string& aPeer,
                          const wire::Message& aMessage)
{
  if (const auto log = state_->logHolder_->Get()) {
    log->OnMessage(aPeer, aMessage);
  }
  state_->jobs_->OnMessage(aPeer, aMessage);
}

void
KeeperFunction::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  if (const auto log = state_->logHolder_->Get()) {
    log->OnLinkState(aPeer, aState);
  }
  state_->jobs_->OnLinkState(aPeer, aState);
}

void
KeeperFunction::FillHeartbeat(const std::string& /*aPeer*/,
                              wire::Heartbeat& aHeartbeat) const
{
  aHeartbeat.draining_ = aHeartbeat.draining_ || state_->jobs_->IsDraining();
}

void
KeeperFunction::BeginDrain()
{
  state_->jobs_->BeginDrain();
}

bool
KeeperFunction::IsIdle() const
{
  return state_->jobs_->IsIdle();
}

node::Readiness
KeeperFunction::GetReadiness() const
{
  if (state_->jobs_->IsDraining()) {
    return node::Readiness::Draining;
  }
  return state_->context_.partitions_.Count() > 0 ? node::Readiness::Ready
                                                  : node::Readiness::Starting;
}

void
KeeperFunction::Stop()
{
  if (const auto log = state_->logHolder_->Get()) {
    state_->logHolder_->Set(nullptr);
    log->Stop();
  }
}

} // namespace pumiceturn::keeper
