#include "LibJobLog/LogService.h"

#include "LibJobLog/FleetTracker.h"
#include "LibJobLog/PartitionHost.h"
#include "LibPartition/PartitionFollower.h"

#include <fmt/format.h>

#include <algorithm>
#include <mutex>
#include <random>
#include <utility>

namespace pumiceturn::joblog {

using base::ResultCode;
using partition::PartitionRecord;

namespace {

using Hosts = std::vector<std::shared_ptr<PartitionHost>>;

LogOptions
OptionsOf(const settings::Settings& aSettings)
{
  const settings::KeeperSettings& keeper = aSettings.keeper();
  LogOptions options;
  options.host_ = aSettings.host();
  options.failureDomain_ = aSettings.failure_domain();
  options.keyPrefix_ = aSettings.platform().key_prefix();
  options.store_.folder_ = keeper.data_folder();
  options.store_.reserveBytes_ = keeper.reserve_bytes();
  if (keeper.segment_bytes() != 0) {
    options.store_.segmentBytes_ = keeper.segment_bytes();
  }
  options.minCopies_ = std::max<std::uint32_t>(keeper.min_copies(), 1);
  options.copies_ =
    std::max<std::uint32_t>(keeper.copies(), options.minCopies_);
  if (keeper.partitions() != 0) {
    options.proposedPartitions_ = keeper.partitions();
  }
  if (keeper.takeover_after_ms() != 0) {
    options.takeoverAfter_ =
      std::chrono::milliseconds{ keeper.takeover_after_ms() };
  }
  return options;
}

std::vector<ListedKeeper>
KeepersOf(const settings::HostList& aList)
{
  std::vector<ListedKeeper> keepers;
  for (const settings::ListedHost& host : aList.hosts()) {
    const auto& functions = host.functions();
    if (std::find(functions.begin(),
                  functions.end(),
                  settings::FUNCTION_KEEPER) == functions.end()) {
      continue;
    }
    keepers.push_back(
      ListedKeeper{ host.name(),
                    host.failure_domain(),
                    host.state() == settings::HOST_STATE_LEAVING });
  }
  return keepers;
}

LogPorts
PortsOf(const node::Context& aContext)
{
  return LogPorts{
    partition::AccessTo(aContext.keyValue_),
    [&links = aContext.links_](const std::string& aPeer,
                               wire::Message aMessage) {
      return links.Send(aPeer, std::move(aMessage));
    },
    [&links = aContext.links_](const std::string& aPeer) {
      return links.IsUp(aPeer);
    },
    [&hosts = aContext.hosts_] {
      const auto snapshot = hosts.Current();
      return snapshot ? KeepersOf(*snapshot) : std::vector<ListedKeeper>{};
    },
    aContext.pool_,
    aContext.partitions_,
    aContext.metrics_,
  };
}

/// @return the partition of a message of this service, or nothing.
std::optional<std::uint32_t>
PartitionOf(const wire::Message& aMessage)
{
  return std::visit(
    [](const auto& aBody) -> std::optional<std::uint32_t> {
      if constexpr (requires { aBody.partition_; }) {
        return aBody.partition_;
      } else {
        return std::nullopt;
      }
    },
    aMessage);
}

} // namespace

struct LogService::State : std::enable_shared_from_this<State>
{
  State(const LogOptions& aOptions, const LogPorts& aPorts, Handlers aHandlers)
    : shared_(
        std::make_shared<LogShared>(aOptions, aPorts, std::move(aHandlers)))
    , fleet_(aOptions.host_, aOptions.failureDomain_, base::MonotonicNow())
  {
  }

  base::Result<void> Open();
  void Begin();
  void Tick();
  void PostTick();
  void OnRecord(const PartitionRecord& aRecord);
  void TellOfMissingRecords();
  void AddGauges();

  /// @return all partitions; empty until their count is known.
  std::shared_ptr<const Hosts> Partitions();
  std::shared_ptr<PartitionHost> Find(std::uint32_t aPartition);

  const std::shared_ptr<LogShared> shared_;
  FleetTracker fleet_;
  std::unique_ptr<partition::PartitionFollower> follower_;
  bool toldOfMissing_ = false; ///< Of Tick() alone.

  std::mutex mutex_;
  std::shared_ptr<const Hosts> partitions_;
};

base::Result<void>
LogService::State::Open()
{
  BOOST_LEAF_ASSIGN(shared_->store_,
                    SegmentStore::Open(shared_->options_.store_));
  shared_->incarnation_ =
    fmt::format("{:08x}{:08x}", std::random_device{}(), std::random_device{}());
  return {};
}

void
LogService::State::Begin()
{
  const std::weak_ptr<State> weak = weak_from_this();
  shared_->swaps_ = std::make_shared<SwapQueue>(
    shared_->options_,
    shared_->ports_,
    [weak](std::uint32_t aPartition, SwapOutcome aOutcome) {
      const auto self = weak.lock();
      const auto host = self ? self->Find(aPartition) : nullptr;
      if (host) {
        host->OnSwap(std::move(aOutcome), self->fleet_.View());
      }
    });
  follower_ = std::make_unique<partition::PartitionFollower>(
    partition::PartitionFollower::Options{
      shared_->options_.keyPrefix_, shared_->options_.proposedPartitions_ },
    shared_->ports_.keyValue_,
    shared_->ports_.table_,
    shared_->ports_.pool_,
    [weak](const PartitionRecord& aRecord) {
      if (const auto self = weak.lock()) {
        self->OnRecord(aRecord);
      }
    });
  AddGauges();
  follower_->Start();
  PostTick();
}

void
LogService::State::PostTick()
{
  shared_->ports_.pool_.PostAt(base::MonotonicNow() +
                                 shared_->options_.tickInterval_,
                               [weak = weak_from_this()] {
                                 const auto self = weak.lock();
                                 if (self && !self->shared_->isStopped_) {
                                   self->Tick();
                                   self->PostTick();
                                 }
                               });
}

void
LogService::State::Tick()
{
  const bool hasChanged = fleet_.Update(shared_->ports_, base::MonotonicNow());
  if (!toldOfMissing_ && follower_->HasRead()) {
    TellOfMissingRecords();
    toldOfMissing_ = true;
  }
  const FleetTracker::ViewPointer view = fleet_.View();
  // The range-for keeps no hold on what a temporary pointer points to.
  const auto hosts = Partitions();
  for (const auto& host : *hosts) {
    if (hasChanged || host->NeedsTick()) {
      host->Tick(view);
    }
  }
}

void
LogService::State::OnRecord(const PartitionRecord& aRecord)
{
  if (const auto host = Find(aRecord.partition_)) {
    host->OnRecord(aRecord, fleet_.View());
  }
}

void
LogService::State::TellOfMissingRecords()
{
  const auto hosts = Partitions();
  for (std::uint32_t partition = 0; partition < hosts->size(); ++partition) {
    if (shared_->ports_.table_.Get(partition).epoch_ == 0) {
      (*hosts)[partition]->OnNoRecord();
    }
  }
}

void
LogService::State::AddGauges()
{
  metrics::Registry& metrics = shared_->ports_.metrics_;
  metrics.AddGauge("pumiceturn_partitions_owned_count",
                   "Partitions that this host owns.",
                   {},
                   [shared = shared_] {
                     return static_cast<double>(shared->ownedCount_.load());
                   });
  metrics.AddGauge("pumiceturn_log_bytes",
                   "Bytes of the log's segment files.",
                   {},
                   [shared = shared_] {
                     return static_cast<double>(shared->store_->Bytes());
                   });
  metrics.AddGauge("pumiceturn_log_syncs",
                   "Group syncs since the process began.",
                   {},
                   [shared = shared_] {
                     return static_cast<double>(shared->store_->SyncCount());
                   });
  metrics.AddGauge(
    "pumiceturn_log_has_room_count",
    "1 while the data folder has room for new work.",
    {},
    [shared = shared_] { return shared->store_->HasRoom() ? 1.0 : 0.0; });
}

std::shared_ptr<const Hosts>
LogService::State::Partitions()
{
  const std::uint32_t count = shared_->ports_.table_.Count();
  const std::lock_guard lock(mutex_);
  if (partitions_ && !partitions_->empty()) {
    return partitions_;
  }
  auto hosts = std::make_shared<Hosts>();
  hosts->reserve(count);
  for (std::uint32_t partition = 0; partition < count; ++partition) {
    hosts->push_back(std::make_shared<PartitionHost>(partition, shared_));
  }
  partitions_ = std::move(hosts);
  return partitions_;
}

std::shared_ptr<PartitionHost>
LogService::State::Find(std::uint32_t aPartition)
{
  const auto hosts = Partitions();
  return aPartition < hosts->size() ? (*hosts)[aPartition] : nullptr;
}

base::Result<std::unique_ptr<LogService>>
LogService::Start(node::Context aContext, Handlers aHandlers)
{
  return Start(
    OptionsOf(aContext.settings_), PortsOf(aContext), std::move(aHandlers));
}

base::Result<std::unique_ptr<LogService>>
LogService::Start(const LogOptions& aOptions,
                  const LogPorts& aPorts,
                  Handlers aHandlers)
{
  auto state = std::make_shared<State>(aOptions, aPorts, std::move(aHandlers));
  BOOST_LEAF_CHECK(state->Open());
  state->Begin();
  return std::unique_ptr<LogService>(new LogService(std::move(state)));
}

LogService::LogService(std::shared_ptr<State> aState)
  : state_(std::move(aState))
{
}

LogService::~LogService()
{
  Stop();
}

void
LogService::Append(std::uint32_t aPartition,
                   std::vector<std::string> aRecords,
                   Appended aDone)
{
  const auto host = state_->Find(aPartition);
  if (!host || aRecords.empty()) {
    aDone(host ? ResultCode::Ok : ResultCode::NotOwner, {});
    return;
  }
  const bool isTooLarge = std::any_of(
    aRecords.begin(), aRecords.end(), [](const std::string& aRecord) {
      return aRecord.size() > kMaxRecordBytes;
    });
  if (isTooLarge) {
    aDone(ResultCode::ItemTooLarge, {});
    return;
  }
  host->Append(std::move(aRecords), std::move(aDone));
}

base::Result<std::string>
LogService::Read(LogPosition aPosition) const
{
  return state_->shared_->store_->Read(aPosition);
}

void
LogService::Trim(std::uint32_t aPartition, std::uint64_t aBeforeSequence)
{
  if (const auto host = state_->Find(aPartition)) {
    host->Trim(aBeforeSequence);
  }
}

void
LogService::OnMessage(const std::string& aPeer, const wire::Message& aMessage)
{
  const auto partition = PartitionOf(aMessage);
  const auto host = partition ? state_->Find(*partition) : nullptr;
  // Before the count of partitions is known, a message is as good as lost.
  if (host) {
    host->OnMessage(aPeer, aMessage);
  }
}

void
LogService::OnLinkState(const std::string& aPeer, wire::LinkState aState)
{
  if (aState == wire::LinkState::Lost) {
    return;
  }
  const auto hosts = state_->Partitions();
  for (const auto& host : *hosts) {
    host->OnLinkUp(aPeer);
  }
}

bool
LogService::IsOwned(std::uint32_t aPartition) const
{
  const auto host = state_->Find(aPartition);
  return host && host->IsOwned();
}

std::uint64_t
LogService::EpochOf(std::uint32_t aPartition) const
{
  const auto host = state_->Find(aPartition);
  return host ? host->Epoch() : 0;
}

bool
LogService::HasRoom() const
{
  return state_->shared_->store_->HasRoom() &&
         !state_->shared_->store_->HasFailed();
}

void
LogService::HandOver()
{
  state_->shared_->isLeaving_ = true;
  const auto hosts = state_->Partitions();
  for (const auto& host : *hosts) {
    host->HandOver(state_->fleet_.View());
  }
}

void
LogService::Stop()
{
  if (state_->shared_->isStopped_.exchange(true)) {
    return;
  }
  state_->follower_->Stop();
  state_->shared_->swaps_->Stop();
  state_->shared_->store_->Stop();
}

} // namespace pumiceturn::joblog
