#include "LibFleet/RateLimiter.h"

#include "LibBase/Ids.h"

#include <algorithm>

namespace pumiceturn::fleet {

namespace {

/// Share of the burst that all hosts together may have admitted without a
/// report.
constexpr double kUnreportedShare = 0.125;

/// Maximum number of unreported requests at one host, whatever burst is
/// declared.
constexpr double kMaxUnreported = 1000.0;

/// Maximum delay between an admission and its report.
constexpr std::chrono::milliseconds kMaxReportDelay{ 200 };

/// Reports ask for a response if the owner's last one is older than this.
constexpr std::chrono::seconds kResponseInterval{ 1 };

/// If the owner's last response is older than this, its reports may get lost,
/// and a host that goes on without queries would not be limited.
constexpr std::chrono::seconds kMaxResponseAge{ 2 };

/// Avoids division by zero for very low limits. In requests per second.
constexpr double kMinRate = 1e-3;
constexpr double kMaxRetryAfterSeconds = 5.0;

/// How long a request may wait for an owner's answer, or for the credit of an
/// account that is new to its owner, before it is refused. Covers the time in
/// which hosts notice that an owner is lost and choose another.
constexpr std::chrono::milliseconds kMaxWait{ 750 };

/// Minimum wait before a request is checked again.
constexpr std::chrono::milliseconds kMinWait{ 20 };

/// Requests of an organisation that may wait at one host; more are refused at
/// once, as an organisation beyond its limit would only wait for a refusal.
constexpr std::size_t kMaxWaiting = 8;

/// Time without requests after which an organisation's usage is dropped.
constexpr std::chrono::seconds kIdleTimeout{ 30 };

} // namespace

RateLimiter::RateLimiter(std::string aOwnName,
                         bool aAdmits,
                         RateTolerance aTolerance)
  : window_(aTolerance.window_)
  , members_(std::move(aOwnName), aAdmits)
  , accounts_(aTolerance)
{
}

void
RateLimiter::SetMembers(std::span<const RateLimitMembership::Member> aOthers,
                        base::Instant aNow)
{
  members_.Update(aOthers, aNow);
  if (!startedAt_) {
    startedAt_ = aNow;
  }
}

void
RateLimiter::ChangeOwner(Usage& aUsage,
                         const std::string& aOwner,
                         base::Instant aNow)
{
  Usage next;
  next.owner_ = aOwner;
  next.seriesId_ =
    std::max<std::uint64_t>(base::HashBytes(aOwner, aUsage.seriesId_), 1);
  // Requests that were not reported yet are in the totals of the new series;
  // the history has all refunds.
  next.admitted_ = aUsage.admitted_ - aUsage.reportedAdmitted_;
  next.unreportedSince_ = aUsage.unreportedSince_;
  next.limit_ = aUsage.limit_;
  next.usedAt_ = aUsage.usedAt_;
  next.unconfirmed_ = aUsage.unconfirmed_;
  next.waiting_ = aUsage.waiting_;
  next.wasAnswered_ = aUsage.wasAnswered_;
  next.queryUntil_ = aUsage.queryUntil_;
  next.maxUnreported_ = aUsage.maxUnreported_;
  next.executed_ = aUsage.executed_;
  next.history_ = aUsage.history_;
  next.handover_ = aUsage.history_;
  // A report is due immediately if there is something to hand over.
  const bool hasHistory = next.history_.requests_.Sum() > 0;
  next.reportedAt_ = hasHistory ? aNow - kMaxReportDelay : aNow;
  aUsage = std::move(next);
}

RateLimiter::Usage&
RateLimiter::UsageFor(const Organisation& aOrganisation,
                      base::Instant aNow,
                      std::mt19937_64& aRandom)
{
  Usage& usage = usages_[aOrganisation.name_];
  if (usage.seriesId_ == 0) {
    usage.seriesId_ = aRandom();
  }
  const std::string& owner = members_.OwnerOf(aOrganisation.name_);
  if (usage.owner_ != owner) {
    ChangeOwner(usage, owner, aNow);
  }
  usage.usedAt_ = aNow;
  usage.limit_ = aOrganisation.limit_;
  const double maxUnreported = kUnreportedShare * aOrganisation.limit_.burst_ /
                               static_cast<double>(members_.AdmittingCount());
  usage.maxUnreported_ =
    static_cast<std::uint64_t>(std::min(maxUnreported, kMaxUnreported));
  return usage;
}

RateReport
RateLimiter::MakeReport(const std::string& aOrganisation,
                        Usage& aUsage,
                        base::Instant aNow) const
{
  RateReport report;
  report.organisation_ = aOrganisation;
  report.seriesId_ = aUsage.seriesId_;
  report.admitted_ = aUsage.admitted_;
  report.refunded_ = aUsage.refunded_;
  report.candidatesHash_ = members_.CandidatesHash();
  if (aUsage.handover_) {
    report.history_ = EncodeHistory(*aUsage.handover_, aNow);
  }
  if (aUsage.refunded_ > 0) {
    report.refunds_ = EncodeRefunds(aUsage.refunds_, aNow);
  }
  aUsage.history_.requests_.AdvanceTo(SliceAt(aNow));
  aUsage.history_.requests_.Add(
    static_cast<std::int64_t>(aUsage.admitted_ - aUsage.reportedAdmitted_));
  aUsage.reportedAdmitted_ = aUsage.admitted_;
  aUsage.unreportedSince_ = aNow;
  aUsage.reported_ = aUsage.admitted_ + aUsage.refunded_;
  aUsage.reportedAt_ = aNow;
  return report;
}

RateHistory
RateLimiter::EncodeHistory(History& aHistory, base::Instant aNow) const
{
  const std::int64_t current = SliceAt(aNow);
  aHistory.requests_.AdvanceTo(current);
  constexpr auto kSlices = static_cast<std::int64_t>(WindowCounter::kSlices);
  const base::Instant startedAt = startedAt_.value_or(aNow);
  const std::int64_t known =
    std::min(current - SliceAt(startedAt) + 1, kSlices);
  RateHistory history;
  history.knownFor_ = std::min<base::Duration>(
    aNow - startedAt, WindowCounter::SliceLength(window_) * kSlices);
  for (std::int64_t age = 0; age < known; ++age) {
    history.requestsBySlice_.push_back(static_cast<std::uint32_t>(
      std::max<std::int64_t>(aHistory.requests_.At(current - age), 0)));
  }
  if (aHistory.usedUpSlice_ && current - *aHistory.usedUpSlice_ < known) {
    history.usedUpSlice_ =
      static_cast<std::uint32_t>(current - *aHistory.usedUpSlice_);
  }
  return history;
}

RateRefunds
RateLimiter::EncodeRefunds(WindowCounter& aRefunds, base::Instant aNow) const
{
  RateRefunds refunds;
  refunds.currentSlice_ = SliceAt(aNow);
  aRefunds.AdvanceTo(refunds.currentSlice_);
  for (std::int64_t slice = refunds.currentSlice_;
       slice >= aRefunds.OldestSlice();
       --slice) {
    refunds.requestsBySlice_.push_back(
      static_cast<std::uint32_t>(aRefunds.At(slice)));
  }
  while (!refunds.requestsBySlice_.empty() &&
         refunds.requestsBySlice_.back() == 0) {
    refunds.requestsBySlice_.pop_back();
  }
  return refunds;
}

bool
RateLimiter::MayAdmitAtOnce(const Usage& aUsage, base::Instant aNow) const
{
  const std::uint64_t unreported =
    aUsage.admitted_ + aUsage.refunded_ - aUsage.reported_;
  // Hosts that restart again and again must not each admit requests that no
  // owner ever hears of.
  const bool mayBeUnconfirmed =
    aUsage.wasAnswered_ || aNow - startedAt_.value_or(aNow) >= window_;
  const bool isConfirmed =
    aNow - aUsage.respondedAt_ <= kMaxResponseAge ||
    (mayBeUnconfirmed && aUsage.unconfirmed_ < 2 * aUsage.maxUnreported_);
  return aUsage.owner_ != members_.OwnName() && aNow >= aUsage.queryUntil_ &&
         unreported < aUsage.maxUnreported_ && isConfirmed &&
         !aUsage.hasUnansweredQuery_;
}

bool
RateLimiter::ShouldWait(const Usage& aUsage,
                        base::Duration aTime,
                        base::Duration aWaited)
{
  return aWaited + aTime <= kMaxWait && aUsage.waiting_ < kMaxWaiting;
}

void
RateLimiter::EndWait(const std::string& aOrganisation)
{
  const auto usage = usages_.find(aOrganisation);
  if (usage != usages_.end() && usage->second.waiting_ > 0) {
    --usage->second.waiting_;
  }
}

RateDecision
RateLimiter::Check(const Organisation& aOrganisation,
                   base::Instant aNow,
                   std::mt19937_64& aRandom,
                   base::Duration aWaited)
{
  if (!aOrganisation.limit_.IsSet()) {
    return RateAdmitted{};
  }
  if (!startedAt_) {
    return DecideWithoutMembers(aOrganisation, aNow, aWaited);
  }
  Usage& usage = UsageFor(aOrganisation, aNow, aRandom);
  if (aNow < usage.noCreditUntil_) {
    const base::Duration timeToCredit = usage.noCreditUntil_ - aNow;
    if (usage.isAccountNew_ && ShouldWait(usage, timeToCredit, aWaited)) {
      ++usage.waiting_;
      return RateWait{ timeToCredit };
    }
    return RateRefused{ usage.retryAfter_, RateBasis::NoCredit };
  }
  if (MayAdmitAtOnce(usage, aNow)) {
    ++usage.admitted_;
    ++usage.unconfirmed_;
    CountExecuted(usage, aNow);
    return RateAdmitted{ RateBasis::AtOnce };
  }
  RateReport report = MakeReport(aOrganisation.name_, usage, aNow);
  report.query_ = ++lastQuery_;
  if (usage.owner_ != members_.OwnName()) {
    return RateQuery{ usage.owner_, std::move(report) };
  }
  const RateResponse response = accounts_.HandleReport(
    members_.OwnName(), report, aOrganisation.limit_, members_, aNow);
  return *HandleResponse(response, aNow, aWaited);
}

RateDecision
RateLimiter::DecideWithoutMembers(const Organisation& aOrganisation,
                                  base::Instant aNow,
                                  base::Duration aWaited)
{
  Usage& usage = usages_[aOrganisation.name_];
  usage.usedAt_ = aNow;
  if (ShouldWait(usage, kMinWait, aWaited)) {
    ++usage.waiting_;
    return RateWait{ kMinWait };
  }
  return RateRefused{ kMaxWait, RateBasis::MembersUnknown };
}

RateDecision
RateLimiter::CheckLocally(const Organisation& aOrganisation,
                          base::Instant aNow,
                          base::Duration aWaited)
{
  Usage& usage = usages_[aOrganisation.name_];
  usage.usedAt_ = aNow;
  usage.limit_ = aOrganisation.limit_;
  usage.hasUnansweredQuery_ = true;
  const double hosts = static_cast<double>(members_.AdmittingCount());
  const RateLimit& limit = aOrganisation.limit_;
  if (usage.localCreditAt_ != base::Instant{}) {
    const double passed =
      std::chrono::duration<double>(aNow - usage.localCreditAt_).count();
    usage.localCredit_ += limit.ratePerSecond_ / hosts * passed;
  }
  usage.localCredit_ =
    std::min(usage.localCredit_, std::max(limit.burst_ / hosts, 1.0));
  usage.localCreditAt_ = aNow;
  if (usage.localCredit_ >= 1.0) {
    usage.localCredit_ -= 1.0;
    ++usage.admitted_;
    CountExecuted(usage, aNow);
    return RateAdmitted{ RateBasis::OwnPart };
  }
  if (ShouldWait(usage, kMinWait, aWaited)) {
    ++usage.waiting_;
    return RateWait{ kMinWait };
  }
  const double seconds = (1.0 - usage.localCredit_) * hosts /
                         std::max(limit.ratePerSecond_, kMinRate);
  return RateRefused{ std::chrono::duration_cast<base::Duration>(
                        std::chrono::duration<double>(
                          std::min(seconds, kMaxRetryAfterSeconds))),
                      RateBasis::OwnPart };
}

void
RateLimiter::Refund(const std::string& aOrganisation,
                    std::optional<base::Instant> aAdmittedAt)
{
  const auto found = usages_.find(aOrganisation);
  if (found == usages_.end()) {
    return;
  }
  Usage& usage = found->second;
  usage.executed_.AddAt(
    aAdmittedAt ? SliceAt(*aAdmittedAt) : usage.executed_.CurrentSlice(), -1);
  if (aAdmittedAt && *aAdmittedAt >= usage.unreportedSince_ &&
      usage.admitted_ > usage.reportedAdmitted_) {
    // The owner hasn't counted it.
    --usage.admitted_;
    return;
  }
  WindowCounter& requests = usage.history_.requests_;
  std::int64_t slice = requests.OldestSlice();
  if (aAdmittedAt) {
    if (SliceAt(*aAdmittedAt) < slice) {
      return;
    }
    slice = SliceAt(*aAdmittedAt);
  }
  const std::int64_t first = slice;
  // What was admitted without a query is counted from its report on.
  while (slice <= requests.CurrentSlice() && requests.At(slice) <= 0) {
    ++slice;
  }
  if (slice > requests.CurrentSlice()) {
    // The caller's time may be just behind the end of the slice.
    slice = first - 1;
    if (requests.At(slice) <= 0) {
      return;
    }
  }
  requests.AddAt(slice, -1);
  usage.refunds_.AdvanceTo(requests.CurrentSlice());
  usage.refunds_.AddAt(slice, 1);
  ++usage.refunded_;
}

void
RateLimiter::RecordResponse(Usage& aUsage,
                            const RateResponse& aResponse,
                            base::Instant aNow) const
{
  aUsage.handover_.reset();
  if (aResponse.isCreditUsedUp_) {
    aUsage.history_.usedUpSlice_ = SliceAt(aNow);
  }
  aUsage.queryUntil_ =
    std::max(aUsage.queryUntil_, aNow + aResponse.queryFirstFor_);
  aUsage.noCreditUntil_ = aNow + aResponse.noCreditFor_;
  aUsage.retryAfter_ = aResponse.retryAfter_;
  aUsage.respondedAt_ = aNow;
  aUsage.wasAnswered_ = true;
  aUsage.isAccountNew_ = aResponse.isAccountNew_;
  aUsage.hasUnansweredQuery_ = false;
  aUsage.unconfirmed_ = 0;
  // The owner grants this host's part of the limit until now.
  aUsage.localCredit_ = 0.0;
  aUsage.localCreditAt_ = aNow;
}

std::optional<RateDecision>
RateLimiter::HandleResponse(const RateResponse& aResponse,
                            base::Instant aNow,
                            std::optional<base::Duration> aWaited)
{
  const auto found = usages_.find(aResponse.organisation_);
  if (found != usages_.end()) {
    Usage& usage = found->second;
    if (usage.seriesId_ == aResponse.seriesId_) {
      RecordResponse(usage, aResponse, aNow);
      if (aResponse.isGranted_) {
        usage.history_.requests_.AdvanceTo(SliceAt(aNow));
        usage.history_.requests_.Add(1);
      }
    } else if (aResponse.isGranted_) {
      // A former owner's grant, which the owner doesn't know of.
      ++usage.admitted_;
    }
  }
  if (aResponse.query_ == 0 || !aWaited) {
    return std::nullopt;
  }
  const bool isOwner =
    found != usages_.end() && found->second.owner_ == members_.OwnName();
  const RateBasis basis =
    isOwner ? RateBasis::OwnAccount : RateBasis::OwnerResponse;
  if (aResponse.isGranted_) {
    if (found != usages_.end()) {
      CountExecuted(found->second, aNow);
    }
    return RateAdmitted{ basis };
  }
  const base::Duration timeToCredit =
    std::max<base::Duration>(aResponse.noCreditFor_, kMinWait);
  if (found != usages_.end() && aResponse.isAccountNew_ &&
      ShouldWait(found->second, timeToCredit, *aWaited)) {
    ++found->second.waiting_;
    return RateWait{ timeToCredit };
  }
  return RateRefused{ aResponse.retryAfter_, basis };
}

std::int64_t
RateLimiter::ExecutedRequests(const std::string& aOrganisation,
                              base::Instant aNow) const
{
  const auto usage = usages_.find(aOrganisation);
  return usage == usages_.end() ? 0
                                : usage->second.executed_.SumAt(SliceAt(aNow));
}

RateKnowledge
RateLimiter::KnowledgeOf(const std::string& aOrganisation,
                         base::Instant aNow) const
{
  RateKnowledge knowledge;
  knowledge.admittingHosts_ = members_.AdmittingCount();
  if (startedAt_) {
    knowledge.membersAge_ = aNow - *startedAt_;
  }
  const auto found = usages_.find(aOrganisation);
  if (found == usages_.end()) {
    return knowledge;
  }
  const Usage& usage = found->second;
  knowledge.owner_ = usage.owner_;
  knowledge.isAccountNew_ = usage.isAccountNew_;
  if (usage.respondedAt_ != base::Instant{}) {
    knowledge.responseAge_ = aNow - usage.respondedAt_;
  }
  return knowledge;
}

std::optional<RateResponse>
RateLimiter::HandleReport(const std::string& aHost,
                          const RateReport& aReport,
                          const Organisation& aOrganisation,
                          base::Instant aNow)
{
  // Without the number of hosts, this host can't tell its share of the limit.
  if (!startedAt_) {
    return std::nullopt;
  }
  if (aReport.candidatesHash_ != 0) {
    members_.RecordCandidates(aHost, aReport.candidatesHash_);
  }
  RateResponse response = accounts_.HandleReport(
    aHost, aReport, aOrganisation.limit_, members_, aNow);
  const bool isDue = aReport.query_ != 0 || aReport.isResponseNeeded_ ||
                     response.queryFirstFor_ > base::Duration::zero();
  return isDue ? std::optional(std::move(response)) : std::nullopt;
}

std::vector<std::pair<std::string, RateReport>>
RateLimiter::CollectDueReports(base::Instant aNow)
{
  std::vector<std::pair<std::string, RateReport>> due;
  const bool mayOwnersHaveChanged = members_.ChangedAt() >= ownersCheckedAt_;
  ownersCheckedAt_ = aNow;
  for (auto& [organisation, usage] : usages_) {
    if (mayOwnersHaveChanged && !usage.owner_.empty() &&
        usage.owner_ != members_.OwnerOf(organisation)) {
      ChangeOwner(usage, members_.OwnerOf(organisation), aNow);
    }
    const std::uint64_t unreported =
      usage.admitted_ + usage.refunded_ - usage.reported_;
    const bool isDelayOver = aNow - usage.reportedAt_ >= kMaxReportDelay;
    const bool hasHandover =
      usage.handover_ && usage.handover_->requests_.Sum() > 0;
    const bool isReportDue =
      unreported > 0 && (isDelayOver || unreported >= usage.maxUnreported_);
    if (!isReportDue && !(isDelayOver && hasHandover)) {
      continue;
    }
    RateReport report = MakeReport(organisation, usage, aNow);
    report.isResponseNeeded_ = usage.handover_.has_value() ||
                               aNow - usage.respondedAt_ > kResponseInterval;
    if (usage.owner_ == members_.OwnName()) {
      RecordResponse(usage,
                     accounts_.HandleReport(
                       usage.owner_, report, usage.limit_, members_, aNow),
                     aNow);
    } else {
      due.emplace_back(usage.owner_, report);
    }
  }
  std::erase_if(usages_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.usedAt_ > kIdleTimeout;
  });
  accounts_.Expire(aNow);
  return due;
}

} // namespace pumiceturn::fleet
