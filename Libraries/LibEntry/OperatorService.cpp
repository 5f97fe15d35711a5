#include "LibEntry/OperatorService.h"

#include "LibEntry/Events.h"
#include "LibEntry/Replies.h"
#include "LibSettings/DeclarationsFile.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::entry {

namespace {

using Heartbeats = std::map<std::string, wire::Heartbeat>;

std::uint32_t
ToMsOrNever(base::Duration aAge)
{
  constexpr std::uint32_t kNever = std::numeric_limits<std::uint32_t>::max();
  if (aAge == base::Duration::max()) {
    return kNever;
  }
  return static_cast<std::uint32_t>(
    std::min<std::int64_t>(base::ToMs(aAge), kNever));
}

void
FillHosts(const node::Context& aContext,
          const configuration::Snapshot& aConfiguration,
          const Heartbeats& aHeartbeats,
          operations::StatusReply& aReply)
{
  const auto listed = aContext.hosts_.Current();
  if (listed == nullptr) {
    return;
  }
  for (const settings::ListedHost& host : listed->hosts()) {
    operations::HostStatus& status = *aReply.add_hosts();
    status.set_name(host.name());
    status.set_failure_domain(host.failure_domain());
    const bool isSelf = host.name() == aContext.settings_.host();
    status.set_linked(isSelf || aContext.links_.IsUp(host.name()));
    status.set_last_heard_ms(
      isSelf ? 0 : ToMsOrNever(aContext.links_.SinceHeard(host.name())));
    status.set_draining(host.state() == settings::HOST_STATE_LEAVING ||
                        aConfiguration.IsDrained(host.name()));
    const auto heartbeat = aHeartbeats.find(host.name());
    if (isSelf) {
      status.set_configuration_version(aConfiguration.Version());
    } else if (heartbeat != aHeartbeats.end()) {
      status.set_configuration_version(heartbeat->second.configurationVersion_);
      status.set_draining(status.draining() || heartbeat->second.draining_);
    }
  }
}

void
FillEndpoints(const node::Context& aContext,
              const configuration::Snapshot& aConfiguration,
              const Heartbeats& aHeartbeats,
              operations::StatusReply& aReply)
{
  for (const auto& service :
       aConfiguration.Content().declarations().services()) {
    for (const auto& endpoint : service.endpoints()) {
      operations::EndpointStatus& status = *aReply.add_endpoints();
      status.set_name(endpoint.name());
      status.set_service(service.name());
      status.set_failure_domain(endpoint.failure_domain());
      status.set_linked(aContext.links_.IsUp(endpoint.name()));
      status.set_draining(aConfiguration.IsDrained(endpoint.name()));
      const auto heartbeat = aHeartbeats.find(endpoint.name());
      if (heartbeat == aHeartbeats.end()) {
        continue;
      }
      const wire::Heartbeat& report = heartbeat->second;
      status.set_draining(status.draining() || report.draining_);
      status.set_running(report.running_);
      status.set_queued_online(report.queuedOnline_);
      status.set_capacity(report.capacity_);
      status.set_configuration_version(report.configurationVersion_);
    }
  }
}

void
FillPartitions(const node::Context& aContext, operations::StatusReply& aReply)
{
  for (const partition::PartitionRecord& record : aContext.partitions_.All()) {
    operations::PartitionStatus& status = *aReply.add_partitions();
    status.set_partition(record.partition_);
    status.set_owner(record.owner_);
    status.set_epoch(record.epoch_);
    for (const std::string& copy : record.copies_) {
      status.add_copies(copy);
    }
  }
}

std::optional<std::uint64_t>
ParseFingerprint(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, kHexadecimal);
  const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == end;
  return isWhole && !aText.empty() ? std::optional{ value } : std::nullopt;
}

configuration::ConfigurationStore::Options
MakeStoreOptions(const settings::Settings& aSettings)
{
  configuration::ConfigurationStore::Options options;
  if (!aSettings.platform().key_prefix().empty()) {
    options.keyPrefix_ = aSettings.platform().key_prefix();
  }
  return options;
}

grpc::Status
MakeFailureStatus(const base::Failure& aFailure)
{
  return MakeStatus(
    MakeOutcome(aFailure.code_, base::Ran::Unspecified, 0, aFailure.detail_));
}

grpc::Status
MakeConflict(const configuration::Conflict& aConflict)
{
  operations::ApplyConflict details;
  details.set_current_version(aConflict.currentVersion_);
  details.set_difference(aConflict.difference_);
  const base::ResultCode code = base::ResultCode::VersionConflict;
  return { ToStatusCode(code),
           fmt::format("{}: the current version is {}",
                       base::NameOf(code),
                       aConflict.currentVersion_),
           details.SerializeAsString() };
}

} // namespace

OperatorService::OperatorService(std::shared_ptr<EntryCore> aCore)
  : core_(std::move(aCore))
  , store_(core_->context_.keyValue_,
           MakeStoreOptions(core_->context_.settings_),
           settings::CheckDeclarations)
  , strand_(core_->context_.pool_)
{
}

grpc::ServerUnaryReactor*
OperatorService::RunSerially(grpc::CallbackServerContext* aContext,
                             std::function<grpc::Status()> aStep)
{
  auto* reactor = aContext->DefaultReactor();
  if (queued_.fetch_add(1) >= kMaxQueued) {
    queued_.fetch_sub(1);
    constexpr std::uint32_t kRetryAfterMs = 5000;
    reactor->Finish(MakeRefusal(
      { base::ResultCode::Overloaded, "too many operator calls are queued" },
      kRetryAfterMs));
    return reactor;
  }
  strand_.Post([this, reactor, step = std::move(aStep)] {
    const grpc::Status status = step();
    queued_.fetch_sub(1);
    reactor->Finish(status);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
OperatorService::Apply(grpc::CallbackServerContext* aContext,
                       const operations::ApplyRequest* aRequest,
                       operations::ApplyReply* aReply)
{
  return RunSerially(
    aContext, [this, aRequest, aReply] { return DoApply(*aRequest, *aReply); });
}

grpc::ServerUnaryReactor*
OperatorService::GetConfiguration(
  grpc::CallbackServerContext* aContext,
  const operations::GetConfigurationRequest* aRequest,
  declarations::Configuration* aReply)
{
  return RunSerially(aContext, [this, aRequest, aReply] {
    return DoGet(aRequest->version(), *aReply);
  });
}

grpc::ServerUnaryReactor*
OperatorService::History(grpc::CallbackServerContext* aContext,
                         const operations::HistoryRequest* aRequest,
                         operations::HistoryReply* aReply)
{
  return RunSerially(aContext, [this, aRequest, aReply] {
    return DoHistory(aRequest->limit(), *aReply);
  });
}

grpc::ServerUnaryReactor*
OperatorService::Drain(grpc::CallbackServerContext* aContext,
                       const operations::DrainRequest* aRequest,
                       operations::DrainReply* aReply)
{
  return RunSerially(
    aContext, [this, aRequest, aReply] { return DoDrain(*aRequest, *aReply); });
}

grpc::Status
OperatorService::DoApply(const operations::ApplyRequest& aRequest,
                         operations::ApplyReply& aReply)
{
  const auto outcome = base::Capture([&] {
    return store_.Apply({ aRequest.declarations(),
                          aRequest.expected_version(),
                          aRequest.author(),
                          aRequest.comment(),
                          base::WallNow() });
  });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    return MakeFailureStatus(*failure);
  }
  const auto& applied = std::get<configuration::ApplyOutcome>(outcome);
  if (const auto* conflict = std::get_if<configuration::Conflict>(&applied)) {
    return MakeConflict(*conflict);
  }
  const auto& accepted = std::get<configuration::Applied>(applied);
  base::Log(kOperatorOrder,
            { { "order", "apply" },
              { "author", aRequest.author() },
              { "version", accepted.version_ },
              { "unchanged", accepted.unchanged_ } });
  aReply.set_version(accepted.version_);
  aReply.set_unchanged(accepted.unchanged_);
  return grpc::Status::OK;
}

grpc::Status
OperatorService::DoGet(std::uint64_t aVersion,
                       declarations::Configuration& aReply)
{
  auto outcome = base::Capture([&] { return store_.Get(aVersion); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    // The current configuration is available even if the platform isn't.
    const auto current = core_->context_.configuration_.Current();
    const bool isCurrent = current->Version() > 0 &&
                           (aVersion == 0 || aVersion == current->Version());
    if (!isCurrent) {
      return MakeFailureStatus(*failure);
    }
    aReply = current->Content();
    return grpc::Status::OK;
  }
  aReply = std::get<declarations::Configuration>(std::move(outcome));
  return grpc::Status::OK;
}

grpc::Status
OperatorService::DoHistory(std::uint32_t aLimit,
                           operations::HistoryReply& aReply)
{
  constexpr std::uint32_t kDefaultLimit = 20;
  const auto outcome = base::Capture(
    [&] { return store_.History(aLimit == 0 ? kDefaultLimit : aLimit); });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    return MakeFailureStatus(*failure);
  }
  for (const auto& applied :
       std::get<std::vector<configuration::HistoryEntry>>(outcome)) {
    operations::HistoryEntry& entry = *aReply.add_entries();
    entry.set_version(applied.version_);
    entry.set_author(applied.author_);
    entry.set_comment(applied.comment_);
    entry.set_applied_unix_ms(applied.appliedUnixMs_);
  }
  return grpc::Status::OK;
}

grpc::Status
OperatorService::DoDrain(const operations::DrainRequest& aRequest,
                         operations::DrainReply& aReply)
{
  if (aRequest.host().empty()) {
    return MakeFailureStatus(
      { base::ResultCode::InvalidRequest, "the host name is missing" });
  }
  const auto outcome = base::Capture([&] {
    return store_.Drain(aRequest.host(),
                        aRequest.drained() ? configuration::DrainOrder::Drain
                                           : configuration::DrainOrder::Return,
                        aRequest.author(),
                        base::WallNow());
  });
  if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
    return MakeFailureStatus(*failure);
  }
  aReply.set_version(std::get<std::uint64_t>(outcome));
  base::Log(kOperatorOrder,
            { { "order", aRequest.drained() ? "drain" : "return" },
              { "host", aRequest.host() },
              { "author", aRequest.author() },
              { "version", aReply.version() } });
  return grpc::Status::OK;
}

grpc::ServerUnaryReactor*
OperatorService::Status(grpc::CallbackServerContext* aContext,
                        const operations::StatusRequest* /*aRequest*/,
                        operations::StatusReply* aReply)
{
  const node::Context& context = core_->context_;
  const auto configuration = context.configuration_.Current();
  const Heartbeats heartbeats = core_->onlineCalls_->Heartbeats();
  aReply->set_configuration_version(configuration->Version());
  FillHosts(context, *configuration, heartbeats, *aReply);
  FillEndpoints(context, *configuration, heartbeats, *aReply);
  FillPartitions(context, *aReply);
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor*
OperatorService::Quarantine(grpc::CallbackServerContext* aContext,
                            const operations::QuarantineRequest* /*aRequest*/,
                            operations::QuarantineReply* aReply)
{
  constexpr std::uint32_t kMsPerS = 1000;
  const auto listed = core_->context_.quarantine_.List(base::MonotonicNow());
  for (const wire::Suspect& suspect : listed) {
    if (suspect.crashes_ == 0) {
      continue; // Lifted by an operator.
    }
    operations::QuarantineEntry& entry = *aReply->add_entries();
    entry.set_fingerprint(fmt::format("{:016x}", suspect.fingerprint_));
    entry.set_crashes(suspect.crashes_);
    entry.set_quarantined(suspect.crashes_ >=
                          routing::QuarantineTable::kCrashesToQuarantine);
    entry.set_expires_in_s(suspect.expiresInMs_ / kMsPerS);
  }
  auto* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor*
OperatorService::LiftQuarantine(
  grpc::CallbackServerContext* aContext,
  const operations::LiftQuarantineRequest* aRequest,
  operations::LiftQuarantineReply* aReply)
{
  auto* reactor = aContext->DefaultReactor();
  const auto fingerprint = ParseFingerprint(aRequest->fingerprint());
  if (!fingerprint.has_value()) {
    reactor->Finish(
      MakeRefusal({ base::ResultCode::InvalidRequest,
                    "the fingerprint must be a hexadecimal number" }));
    return reactor;
  }
  const bool isFound =
    core_->context_.quarantine_.Lift(*fingerprint, base::MonotonicNow());
  base::Log(kOperatorOrder,
            { { "order", "lift" },
              { "fingerprint", aRequest->fingerprint() },
              { "found", isFound } });
  core_->context_.links_.HeartbeatNow(); // Informs the other hosts.
  aReply->set_found(isFound);
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace pumiceturn::entry
