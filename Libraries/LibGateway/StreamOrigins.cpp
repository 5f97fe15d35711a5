#include "LibGateway/StreamOrigins.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace pumiceturn::gateway {

namespace {

/// How long answers of other hosts are waited for before they are asked again:
/// several round trips between
/// regions.
constexpr std::chrono::milliseconds kAnswerTimeout{ 150 };

/// How long a caller waits for the decision at most: for the versions in the
/// store, and for holders that have just started.
constexpr std::chrono::milliseconds kMaxInquiryTime{ 600 };

/// Time after its start in which this host may not know all holders, or they
/// may not know their records.
constexpr std::chrono::seconds kStartTime{ 3 };

/// Interval at which the versions of all endpoints are recorded.
constexpr std::chrono::milliseconds kObserveInterval{ 500 };

/// Maximum number of inquiries in progress. Beyond it, streams without a record
/// at this host aren't resumed.
constexpr std::size_t kMaxPending = 4096;

bool
IsRecordable(std::string_view aId)
{
  return !aId.empty() && aId.size() <= fleet::StreamOriginTable::kMaxIdBytes;
}

} // namespace

std::string
DescribeOrigins(const fleet::OriginSet& aOrigins)
{
  std::string text;
  for (const fleet::StreamOrigin& origin : aOrigins) {
    text += fmt::format(
      "{}{}/{}", text.empty() ? "" : "+", origin.service_, origin.version_);
  }
  return text;
}

StreamOrigins::StreamOrigins(boost::asio::any_io_executor aExecutor,
                             SharedState& aShared,
                             PeerMessenger& aPeers,
                             const StoreMirrors& aMirrors,
                             metadata::StoreClient& aStore,
                             const metadata::StoreHealth& aHealth,
                             StoreKeys aKeys,
                             fleet::RecordHolder aOwnHost,
                             base::Duration aMaxViewAge)
  : executor_(std::move(aExecutor))
  , shared_(aShared)
  , peers_(aPeers)
  , mirrors_(aMirrors)
  , health_(aHealth)
  , ownHost_(aOwnHost.host_)
  , maxViewAge_(aMaxViewAge)
  , versionStore_(aStore, std::move(aKeys.versions_), versions_)
  , recordStore_(aStore,
                 std::move(aKeys.records_),
                 fmt::format("{}/{:016x}", aOwnHost.host_, aShared.random_()))
  , nextQuery_(aShared.random_())
{
  SetHost(std::move(aOwnHost));
  peers_.SetOnOriginMessage(
    [this](const std::string& aPeer, const nlohmann::json& aContent) {
      HandleMessage(aPeer, aContent);
    });
  versionStore_.SetOnRead(
    [this](base::Instant aSentAt) { OnStoreRead(aSentAt); });
  recordStore_.SetOnRead([this](base::Instant aSentAt, const auto& aRows) {
    OnStoredRecords(aSentAt, aRows);
  });
  shared_.metrics_.AddGauge("pumiceturn_stream_records",
                            "Records of where streams began.",
                            {},
                            [this] { return table_.Count(); });
}

void
StreamOrigins::SetHost(fleet::RecordHolder aHost)
{
  RemoveHost(aHost.host_);
  hosts_.push_back(std::move(aHost));
}

void
StreamOrigins::RemoveHost(const std::string& aHost)
{
  std::erase_if(hosts_, [&aHost](const fleet::RecordHolder& aOther) {
    return aOther.host_ == aHost;
  });
}

std::vector<std::string>
StreamOrigins::HoldersOf(const std::string& aId,
                         fleet::HolderCounts aCounts) const
{
  std::vector<std::string> holders =
    fleet::ChooseRecordHolders(aId, hosts_, aCounts);
  std::erase(holders, ownHost_);
  return holders;
}

bool
StreamOrigins::NeedsRecords(const std::string& aService) const
{
  return versions_.VersionsOf(aService).size() > 1 ||
         !routeHistory_.RelatedTo(aService).empty();
}

void
StreamOrigins::PublishNeeded(base::Instant aNow)
{
  std::set<std::string> needed;
  for (const std::string& service : versions_.Services()) {
    if (!NeedsRecords(service)) {
      continue;
    }
    if (!needRecords_.contains(service)) {
      Publish(table_.OwnRowsOf(service, aNow));
    }
    needed.insert(service);
  }
  needRecords_ = std::move(needed);
}

void
StreamOrigins::OnEndpoint(const fleet::EndpointRecord& aRecord,
                          base::Instant aNow)
{
  versions_.Observe(aRecord.service_, aRecord.softwareVersion_, aNow);
  if (NeedsRecords(aRecord.service_) !=
      needRecords_.contains(aRecord.service_)) {
    PublishNeeded(aNow);
  }
}

void
StreamOrigins::OnRoutes(base::Instant aNow)
{
  streamLifetime_.SetTimeout(shared_.routes_.LongestStreamTimeout(), aNow);
  routeHistory_.Update(shared_.routes_, aNow);
  PublishNeeded(aNow);
}

void
StreamOrigins::ObserveEndpoints(base::Instant aNow)
{
  observedAt_ = aNow;
  shared_.endpoints_.ForEachRecord([&](const fleet::EndpointRecord& aRecord) {
    versions_.Observe(aRecord.service_, aRecord.softwareVersion_, aNow);
  });
  const base::Duration lifetime = streamLifetime_.LongestAt(aNow);
  routeHistory_.Refresh(lifetime, aNow);
  versions_.Expire(lifetime, aNow);
  PublishNeeded(aNow);
  table_.Expire(aNow);
}

void
StreamOrigins::Tick(base::Instant aNow)
{
  if (aNow - observedAt_ >= kObserveInterval) {
    ObserveEndpoints(aNow);
  }
  versionStore_.Tick(mirrors_.Follows(StorePrefix::Endpoints), aNow);
  if (log_) {
    log_->Tick(aNow);
  }
  StoreUnconfirmed(aNow);
  if (!MustDelayAnswers(aNow)) {
    AnswerDelayed();
  }
}

void
StreamOrigins::Record(const std::string& aId,
                      const fleet::StreamOrigin& aOrigin,
                      base::Duration aTimeout)
{
  const fleet::StreamOriginTable::Row row{
    aId, aOrigin, fleet::StreamLifetime::Of(aTimeout)
  };
  const base::Instant now = base::MonotonicNow();
  if (!table_.Record(row, fleet::StreamOriginTable::Source::OwnStream, now)) {
    shared_.metrics_
      .GetCounter("pumiceturn_streams_not_recorded_total",
                  "Streams that can't be resumed, as there are too many "
                  "records or the id is too long.")
      .Add();
    return;
  }
  if (NeedsRecords(aOrigin.service_)) {
    Publish(std::span(&row, 1));
  } else {
    PublishAhead(row, now);
  }
}

fleet::OriginEvidence
StreamOrigins::EvidenceOf(const std::string& aId,
                          std::span<const std::string> aServices,
                          base::Instant aNow) const
{
  fleet::OriginEvidence evidence{ table_.Find(aId, aNow) };
  for (const std::string& service : aServices) {
    evidence.origins_.merge(versions_.OriginsOf(service));
    for (const std::string& other : routeHistory_.RelatedTo(service)) {
      evidence.origins_.merge(versions_.OriginsOf(other));
    }
  }
  // Before the store's entries are read, another version may have just gone.
  if (!versionStore_.HasBeenRead() && evidence.origins_.size() == 1) {
    evidence.origins_.clear();
  }
  return evidence;
}

bool
StreamOrigins::IsViewRecent(base::Duration aViewAge, base::Instant aNow) const
{
  // A host that has just started may have an old copy of the endpoints, but
  // knows their versions from the store.
  return std::min(aViewAge, versionStore_.AgeOf(aNow)) <= maxViewAge_;
}

std::set<std::string>
StreamOrigins::HostsToAsk(const std::string& aId,
                          const fleet::OriginEvidence& aOwn) const
{
  // Without an id, others can only confirm that there is one version.
  if (!IsRecordable(aId) && aOwn.origins_.size() > 1) {
    return {};
  }
  const std::vector<std::string> holders = HoldersOf(aId);
  return { holders.begin(), holders.end() };
}

void
StreamOrigins::Find(const std::string& aId,
                    const fleet::Route& aRoute,
                    ResultHandler aHandler)
{
  std::vector<std::string> services = fleet::RouteTable::ServicesOf(aRoute);
  const base::Instant now = base::MonotonicNow();
  fleet::OriginEvidence own = EvidenceOf(aId, services, now);
  const auto ageOf = [this](StorePrefix aPrefix) {
    return mirrors_.AgeOf(aPrefix).value_or(base::Duration::max());
  };
  const base::Duration viewAge =
    std::max(ageOf(StorePrefix::Endpoints), ageOf(StorePrefix::Operators));
  const bool isViewRecent = IsViewRecent(viewAge, now);
  std::set<std::string> hosts = HostsToAsk(aId, own);
  std::string origins = DescribeOrigins(own.origins_);
  PendingInquiry pending{ IsRecordable(aId) ? aId : std::string(),
                          fleet::OriginInquiry(
                            std::move(own), isViewRecent, hosts.size()),
                          now,
                          std::move(services) };
  pending.handler_ = std::move(aHandler);
  pending.result_.asked_ = hosts.size();
  pending.result_.viewAge_ = viewAge;
  pending.result_.storeReadAge_ = versionStore_.AgeOf(now);
  pending.result_.origins_ = std::move(origins);
  if (!health_.IsLost()) {
    pending.inquiry_.AwaitStore();
  }
  if (IsRecordable(aId) && !health_.IsLost()) {
    pending.inquiry_.AwaitStoredRecord();
  }
  if (IsRecordable(aId) && now - startedAt_ < kStartTime) {
    pending.inquiry_.AwaitHolders();
  }
  if (pending_.size() >= kMaxPending && !pending.inquiry_.HasRecord()) {
    pending.result_.decision_ = fleet::OriginUnknown::OldView;
    pending.handler_(pending.result_);
    return;
  }
  if (const auto decision = pending.inquiry_.Decide()) {
    pending.result_.decision_ = *decision;
    pending.result_.asked_ = 0;
    pending.handler_(pending.result_);
    return;
  }
  Ask(std::move(hosts), std::move(pending));
}

void
StreamOrigins::Ask(std::set<std::string> aHosts, PendingInquiry aPending)
{
  const std::uint64_t query = nextQuery_++;
  aPending.missing_ = std::move(aHosts);
  aPending.timer_ = std::make_unique<boost::asio::steady_timer>(executor_);
  SendQuery(query, aPending);
  pending_.emplace(query, std::move(aPending));
  ArmTimer(query, kAnswerTimeout);
  Advance(query);
}

void
StreamOrigins::SendQuery(std::uint64_t aQuery, const PendingInquiry& aPending)
{
  const OriginQuery message{ aQuery, aPending.id_, aPending.services_ };
  for (const std::string& host : aPending.missing_) {
    Send(host, message);
  }
}

void
StreamOrigins::AskAgain(std::uint64_t aQuery, PendingInquiry& aPending)
{
  aPending.missing_.clear();
  for (const std::string& holder : HoldersOf(aPending.id_)) {
    if (!aPending.answered_.contains(holder)) {
      aPending.missing_.insert(holder);
    }
  }
  aPending.inquiry_.SetMissing(aPending.missing_.size());
  SendQuery(aQuery, aPending);
}

void
StreamOrigins::ArmTimer(std::uint64_t aQuery, base::Duration aTimeout)
{
  boost::asio::steady_timer& timer = *pending_.at(aQuery).timer_;
  timer.expires_after(aTimeout);
  timer.async_wait(
    lifetime_.Guard([this, aQuery](const boost::system::error_code& aError) {
      if (!aError) {
        OnTimeout(aQuery);
      }
    }));
}

void
StreamOrigins::OnTimeout(std::uint64_t aQuery)
{
  const auto found = pending_.find(aQuery);
  if (found == pending_.end()) {
    return;
  }
  PendingInquiry& pending = found->second;
  const base::Duration waited = base::MonotonicNow() - pending.startedAt_;
  if (waited >= kMaxInquiryTime) {
    End(aQuery, pending.inquiry_.DecideNow());
    return;
  }
  if (pending.inquiry_.NeedsStoredRecord()) {
    recordStore_.RequestRead(base::MonotonicNow());
  }
  if (pending.inquiry_.NeedsRecord() && !pending.id_.empty()) {
    AskAgain(aQuery, pending);
  } else {
    SendQuery(aQuery, pending);
    if (pending.inquiry_.IsStoreAwaited()) {
      // Asks the store meanwhile.
      pending.inquiry_.SetMissing(0);
    }
  }
  ArmTimer(aQuery, kAnswerTimeout);
  Advance(aQuery);
}

void
StreamOrigins::Advance(std::uint64_t aQuery)
{
  const auto found = pending_.find(aQuery);
  if (found == pending_.end()) {
    return;
  }
  const fleet::OriginInquiry& inquiry = found->second.inquiry_;
  const bool areAllHeard = found->second.missing_.empty();
  if (const auto decision = inquiry.Decide()) {
    End(aQuery, *decision);
  } else if (inquiry.NeedsStore()) {
    versionStore_.RequestRead(base::MonotonicNow());
  } else if (inquiry.NeedsStoredRecord() && areAllHeard) {
    recordStore_.RequestRead(base::MonotonicNow());
  }
}

std::optional<fleet::OriginSet>
StreamOrigins::RecordedOriginsOf(const PendingInquiry& aPending) const
{
  fleet::OriginSet all;
  const auto addVersionsOf = [&](const std::string& aService) {
    const auto* versions = versionStore_.RecordedVersions(aService);
    if (versions == nullptr) {
      return false;
    }
    for (const std::string& version : *versions) {
      all.insert({ aService, version });
    }
    return true;
  };
  if (!std::all_of(
        aPending.services_.begin(), aPending.services_.end(), addVersionsOf)) {
    return std::nullopt;
  }
  for (const std::string& service : aPending.services_) {
    const auto* related =
      versionStore_.RecordedVersions(fleet::RouteHistory::NameOf(service));
    if (related != nullptr) {
      // Without a version, a service can't have begun a stream of late.
      std::for_each(related->begin(), related->end(), addVersionsOf);
    }
  }
  return all;
}

void
StreamOrigins::OnStoreRead(base::Instant aSentAt)
{
  AdvanceAfterRead(aSentAt, [this](PendingInquiry& aPending) {
    const auto origins = RecordedOriginsOf(aPending);
    if (origins) {
      aPending.inquiry_.AddStoreOrigins(*origins);
    }
    return origins.has_value();
  });
}

void
StreamOrigins::OnStoredRecords(base::Instant aSentAt,
                               std::span<const StoredOrigin> aRows)
{
  AddStored(aRows);
  const base::Instant now = base::MonotonicNow();
  AdvanceAfterRead(aSentAt, [this, now](PendingInquiry& aPending) {
    aPending.inquiry_.AddStoredRecord(table_.Find(aPending.id_, now));
    return true;
  });
}

void
StreamOrigins::AdvanceAfterRead(
  base::Instant aSentAt,
  const std::function<bool(PendingInquiry&)>& aAdd)
{
  std::vector<std::uint64_t> served;
  for (auto& [query, pending] : pending_) {
    if (pending.startedAt_ <= aSentAt && aAdd(pending)) {
      served.push_back(query);
    }
  }
  for (const std::uint64_t query : served) {
    Advance(query);
  }
}

void
StreamOrigins::End(std::uint64_t aQuery, const fleet::OriginDecision& aDecision)
{
  auto node = pending_.extract(aQuery);
  PendingInquiry& pending = node.mapped();
  pending.result_.decision_ = aDecision;
  for (const std::string& host : pending.missing_) {
    pending.result_.answers_ += fmt::format("{}=unheard,", host);
  }
  pending.handler_(pending.result_);
}

} // namespace pumiceturn::gateway
