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

/// How long a host waits for the records on its disk before it answers without.
constexpr std::chrono::milliseconds kMaxReadTime{ 500 };

/// Interval at which the versions of all endpoints are recorded.
constexpr std::chrono::milliseconds kObserveInterval{ 500 };

/// Maximum number of inquiries in progress. Beyond it, streams without a record
/// at this host aren't resumed.
constexpr std::size_t kMaxPending = 4096;

/// Maximum number of records in one datagram.
constexpr std::size_t kMaxRows = 128;

/// Maximum number of datagrams a second with records of streams whose service
/// has one version. About 4 KB/s.
constexpr double kAheadPerSecond = 40.0;

/// A stream with all its caller's tries lasts up to this many times its route's
/// timeout.
constexpr int kTriesPerStream = 2;

/// Used without a route for streams.
constexpr std::chrono::seconds kDefaultTimeout{ 15 };

/// @return what a host knows, for the log: its record, or the versions.
std::string
Describe(const fleet::OriginEvidence& aEvidence)
{
  if (const auto* known = std::get_if<fleet::KnownOrigin>(&aEvidence.record_)) {
    return "record:" + known->origin_.version_;
  }
  if (std::holds_alternative<fleet::AmbiguousOrigin>(aEvidence.record_)) {
    return "ambiguous";
  }
  return fmt::format("{}", fmt::join(aEvidence.versions_, "+"));
}

bool
IsRecordable(std::string_view aId)
{
  return !aId.empty() && aId.size() <= fleet::StreamOriginTable::kMaxIdBytes;
}

std::vector<std::string>
ServicesOf(const fleet::Route& aRoute)
{
  std::vector<std::string> services;
  for (const fleet::RouteTarget& target : aRoute.targets_) {
    services.push_back(target.service_);
  }
  return services;
}

} // namespace

StreamOrigins::StreamOrigins(boost::asio::any_io_executor aExecutor,
                             SharedState& aShared,
                             PeerMessenger& aPeers,
                             const StoreMirrors& aMirrors,
                             metadata::StoreClient& aStore,
                             const metadata::StoreHealth& aHealth,
                             std::string aKeyPrefix,
                             fleet::RecordHolder aOwnHost,
                             base::Duration aMaxViewAge)
  : executor_(std::move(aExecutor))
  , shared_(aShared)
  , peers_(aPeers)
  , mirrors_(aMirrors)
  , health_(aHealth)
  , ownHost_(aOwnHost.host_)
  , maxViewAge_(aMaxViewAge)
  , versionStore_(aStore, std::move(aKeyPrefix), versions_)
  , nextQuery_(aShared.random_())
{
  SetHost(std::move(aOwnHost));
  peers_.SetOnOriginMessage(
    [this](const std::string& aPeer, const nlohmann::json& aContent) {
      HandleMessage(aPeer, aContent);
    });
  versionStore_.SetOnRead(
    [this](base::Instant aSentAt) { OnStoreRead(aSentAt); });
  shared_.metrics_.AddGauge("pumiceturn_stream_records",
                            "Records of where streams began.",
                            {},
                            [this] { return table_.Count(); });
}

base::Duration
StreamOrigins::VersionLifetime() const
{
  const base::Duration longest = shared_.routes_.LongestStreamTimeout();
  return kTriesPerStream * (longest > base::Duration::zero()
                              ? longest
                              : base::Duration(kDefaultTimeout));
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
StreamOrigins::HasSeveralVersions(const std::string& aService) const
{
  return versions_.VersionsOf(aService).size() > 1;
}

void
StreamOrigins::OnEndpoint(const fleet::EndpointRecord& aRecord,
                          base::Instant aNow)
{
  const bool hadSeveral = HasSeveralVersions(aRecord.service_);
  versions_.Observe(aRecord.service_, aRecord.softwareVersion_, aNow);
  if (!hadSeveral && HasSeveralVersions(aRecord.service_)) {
    // Of the streams that began beside one version alone, few other hosts have
    // records, or none.
    Publish(table_.OwnRowsOf(aRecord.service_, aNow));
  }
}

void
StreamOrigins::ObserveEndpoints(base::Instant aNow)
{
  observedAt_ = aNow;
  shared_.endpoints_.ForEachRecord([&](const fleet::EndpointRecord& aRecord) {
    versions_.Observe(aRecord.service_, aRecord.softwareVersion_, aNow);
  });
  versions_.Expire(VersionLifetime(), aNow);
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
  if (!MustDelayAnswers(aNow)) {
    AnswerDelayed();
  }
}

void
StreamOrigins::Record(const std::string& aId,
                      const fleet::StreamOrigin& aOrigin,
                      base::Duration aLifetime)
{
  const fleet::StreamOriginTable::Row row{ aId,
                                           aOrigin,
                                           kTriesPerStream * aLifetime };
  const base::Instant now = base::MonotonicNow();
  if (!table_.Record(row, fleet::StreamOriginTable::Source::OwnStream, now)) {
    shared_.metrics_
      .GetCounter("pumiceturn_streams_not_recorded_total",
                  "Streams that can't be resumed, as there are too many "
                  "records or the id is too long.")
      .Add();
    return;
  }
  if (HasSeveralVersions(aOrigin.service_)) {
    Publish(std::span(&row, 1));
  } else {
    PublishAhead(row, now);
  }
}

void
StreamOrigins::PublishAhead(const fleet::StreamOriginTable::Row& aRow,
                            base::Instant aNow)
{
  const double passed =
    std::chrono::duration<double>(aNow - aheadBudgetAt_).count();
  aheadBudgetAt_ = aNow;
  aheadBudget_ =
    std::min(aheadBudget_ + passed * kAheadPerSecond, kAheadPerSecond);
  if (aheadBudget_ < 1.0) {
    return;
  }
  for (const std::string& holder : HoldersOf(aRow.id_, fleet::kAheadHolders)) {
    if (aheadBudget_ >= 1.0) {
      aheadBudget_ -= 1.0;
      Send(holder, OriginRows{ { aRow } });
    }
  }
}

void
StreamOrigins::Publish(std::span<const fleet::StreamOriginTable::Row> aRows)
{
  std::map<std::string, OriginRows> byHolder;
  for (const fleet::StreamOriginTable::Row& row : aRows) {
    for (const std::string& holder : HoldersOf(row.id_)) {
      OriginRows& message = byHolder[holder];
      message.rows_.push_back(row);
      if (message.rows_.size() == kMaxRows) {
        Send(holder, message);
        message.rows_.clear();
      }
    }
  }
  for (const auto& [holder, message] : byHolder) {
    if (!message.rows_.empty()) {
      Send(holder, message);
    }
  }
}

fleet::OriginEvidence
StreamOrigins::EvidenceOf(const std::string& aId,
                          std::span<const std::string> aServices,
                          base::Instant aNow) const
{
  fleet::OriginEvidence evidence{ table_.Find(aId, aNow) };
  for (const std::string& service : aServices) {
    evidence.versions_.merge(versions_.VersionsOf(service));
  }
  // Before the store's entries are read, another version may have just gone.
  if (!versionStore_.HasBeenRead() && evidence.versions_.size() == 1) {
    evidence.versions_.clear();
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
                          const fleet::OriginEvidence& aOwn,
                          bool aIsViewRecent) const
{
  // Without an id, others can only confirm that there is one version.
  const bool needsAnswers =
    IsRecordable(aId) || (!aIsViewRecent && aOwn.versions_.size() <= 1);
  if (!needsAnswers) {
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
  std::vector<std::string> services = ServicesOf(aRoute);
  const base::Instant now = base::MonotonicNow();
  fleet::OriginEvidence own = EvidenceOf(aId, services, now);
  const base::Duration viewAge =
    mirrors_.AgeOf(StorePrefix::Endpoints).value_or(base::Duration::max());
  const bool isViewRecent = IsViewRecent(viewAge, now);
  std::set<std::string> hosts = HostsToAsk(aId, own, isViewRecent);
  const std::size_t versions = own.versions_.size();
  PendingInquiry pending{ IsRecordable(aId) ? aId : std::string(),
                          fleet::OriginInquiry(
                            std::move(own), isViewRecent, hosts.size()),
                          now,
                          std::move(services) };
  pending.handler_ = std::move(aHandler);
  pending.result_.asked_ = hosts.size();
  pending.result_.viewAge_ = viewAge;
  pending.result_.storeReadAge_ = versionStore_.AgeOf(now);
  pending.result_.versions_ = versions;
  if (!health_.IsLost()) {
    pending.inquiry_.AwaitStore();
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
  if (pending.inquiry_.NeedsRecord() && !pending.id_.empty()) {
    AskAgain(aQuery, pending);
  } else {
    pending.inquiry_.SetMissing(0);
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
  if (const auto decision = inquiry.Decide()) {
    End(aQuery, *decision);
  } else if (inquiry.NeedsStore()) {
    versionStore_.RequestRead(base::MonotonicNow());
  }
}

std::optional<fleet::ServiceVersions::Versions>
StreamOrigins::RecordedVersionsOf(std::span<const std::string> aServices) const
{
  fleet::ServiceVersions::Versions all;
  for (const std::string& service : aServices) {
    const auto* versions = versionStore_.RecordedVersions(service);
    if (versions == nullptr) {
      return std::nullopt;
    }
    all.insert(versions->begin(), versions->end());
  }
  return all;
}

void
StreamOrigins::OnStoreRead(base::Instant aSentAt)
{
  std::vector<std::uint64_t> served;
  for (auto& [query, pending] : pending_) {
    if (pending.startedAt_ > aSentAt) {
      continue;
    }
    if (const auto versions = RecordedVersionsOf(pending.services_)) {
      pending.inquiry_.AddStoreVersions(*versions);
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

void
StreamOrigins::Send(const std::string& aPeer, const OriginMessage& aMessage)
{
  peers_.SendOriginMessage(aPeer, EncodeOriginMessage(aMessage));
}

void
StreamOrigins::HandleMessage(const std::string& aPeer,
                             const nlohmann::json& aContent)
{
  std::visit([&](const auto& aMessage) { Handle(aPeer, aMessage); },
             DecodeOriginMessage(aContent));
}

void
StreamOrigins::Handle(const std::string& /*aPeer*/, const OriginRows& aMessage)
{
  const base::Instant now = base::MonotonicNow();
  const base::Duration maxLifetime = VersionLifetime();
  const base::WallTime wallNow = base::WallNow();
  for (fleet::StreamOriginTable::Row row : aMessage.rows_) {
    row.lifetime_ = std::min(row.lifetime_, maxLifetime);
    const bool isRecorded =
      table_.Record(row, fleet::StreamOriginTable::Source::Peer, now);
    if (log_ && isRecorded) {
      const auto lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(row.lifetime_);
      log_->Add({ row.id_, row.origin_, wallNow + lifetime });
    }
  }
}

void
StreamOrigins::KeepOnDisk(boost::asio::io_context& aContext,
                          const std::filesystem::path& aFolder)
{
  log_.emplace(
    aContext, aFolder, [this](const auto& aRows) { OnRecordsRead(aRows); });
  log_->Start();
}

void
StreamOrigins::OnRecordsRead(std::span<const StoredOrigin> aRows)
{
  const base::Instant now = base::MonotonicNow();
  const base::WallTime wallNow = base::WallNow();
  // The wall clock may have been set back.
  const base::Duration maxLifetime = VersionLifetime();
  for (const StoredOrigin& row : aRows) {
    const base::Duration lifetime =
      std::min<base::Duration>(row.expiresAt_ - wallNow, maxLifetime);
    table_.Record({ row.id_, row.origin_, lifetime },
                  fleet::StreamOriginTable::Source::Peer,
                  now);
  }
  AnswerDelayed();
}

bool
StreamOrigins::MustDelayAnswers(base::Instant aNow) const
{
  return log_ && !log_->HasBeenRead() && aNow - startedAt_ < kMaxReadTime;
}

void
StreamOrigins::AnswerDelayed()
{
  for (const auto& [peer, query] : std::exchange(delayedQueries_, {})) {
    Handle(peer, query);
  }
}

void
StreamOrigins::Handle(const std::string& aPeer, const OriginQuery& aMessage)
{
  if (MustDelayAnswers(base::MonotonicNow())) {
    if (delayedQueries_.size() < kMaxPending) {
      delayedQueries_.emplace_back(aPeer, aMessage);
    }
    return;
  }
  Send(aPeer,
       OriginAnswer{
         aMessage.query_,
         EvidenceOf(aMessage.id_, aMessage.services_, base::MonotonicNow()) });
}

void
StreamOrigins::Handle(const std::string& aPeer, const OriginAnswer& aMessage)
{
  const auto found = pending_.find(aMessage.query_);
  if (found == pending_.end() || found->second.missing_.erase(aPeer) == 0) {
    return;
  }
  found->second.answered_.insert(aPeer);
  found->second.inquiry_.Add(aMessage.evidence_);
  found->second.result_.answers_ +=
    fmt::format("{}={},", aPeer, Describe(aMessage.evidence_));
  Advance(aMessage.query_);
}

} // namespace pumiceturn::gateway
