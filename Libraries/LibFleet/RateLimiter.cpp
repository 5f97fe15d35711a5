#include "LibFleet/RateLimiter.h"

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

/// Time without requests after which an organisation's usage is dropped.
constexpr std::chrono::seconds kIdleTimeout{ 30 };

} // namespace

RateLimiter::RateLimiter(std::string aOwnName,
                         bool aAdmits,
                         RateTolerance aTolerance)
  : members_(std::move(aOwnName), aAdmits)
  , accounts_(aTolerance)
{
}

void
RateLimiter::SetMembers(std::span<const RateLimitMembership::Member> aOthers,
                        base::Instant aNow)
{
  members_.Update(aOthers, aNow);
}

RateLimiter::Usage&
RateLimiter::UsageFor(const Organisation& aOrganisation,
                      base::Instant aNow,
                      std::mt19937_64& aRandom)
{
  Usage& usage = usages_[aOrganisation.name_];
  const std::string& owner = members_.OwnerOf(aOrganisation.name_);
  if (usage.owner_ != owner) {
    // The series of reports to the new owner begins with the requests that were
    // not reported yet.
    const std::uint64_t unreported =
      usage.admitted_ + usage.refunded_ - usage.reported_;
    const base::Instant queryUntil = usage.queryUntil_;
    const std::uint64_t unconfirmed = usage.unconfirmed_;
    usage = {};
    usage.owner_ = owner;
    usage.seriesId_ = std::max<std::uint64_t>(aRandom(), 1);
    usage.admitted_ = unreported;
    usage.unconfirmed_ = unconfirmed;
    usage.queryUntil_ = queryUntil;
    usage.reportedAt_ = aNow;
  }
  usage.usedAt_ = aNow;
  usage.limit_ = aOrganisation.limit_;
  const double maxUnreported = kUnreportedShare * aOrganisation.limit_.burst_ /
                               static_cast<double>(members_.AdmittingCount());
  usage.maxUnreported_ =
    static_cast<std::uint64_t>(std::clamp(maxUnreported, 1.0, kMaxUnreported));
  return usage;
}

RateReport
RateLimiter::MakeReport(const std::string& aOrganisation,
                        const Usage& aUsage) const
{
  RateReport report;
  report.organisation_ = aOrganisation;
  report.seriesId_ = aUsage.seriesId_;
  report.admitted_ = aUsage.admitted_;
  report.refunded_ = aUsage.refunded_;
  report.candidatesHash_ = members_.CandidatesHash();
  return report;
}

bool
RateLimiter::MayAdmitAtOnce(const Usage& aUsage, base::Instant aNow) const
{
  const std::uint64_t unreported =
    aUsage.admitted_ + aUsage.refunded_ - aUsage.reported_;
  const bool isConfirmed = aNow - aUsage.respondedAt_ <= kMaxResponseAge ||
                           aUsage.unconfirmed_ < 2 * aUsage.maxUnreported_;
  return aUsage.owner_ != members_.OwnName() && aNow >= aUsage.queryUntil_ &&
         unreported < aUsage.maxUnreported_ && isConfirmed &&
         !aUsage.hasUnansweredQuery_;
}

RateDecision
RateLimiter::Check(const Organisation& aOrganisation,
                   base::Instant aNow,
                   std::mt19937_64& aRandom)
{
  if (!aOrganisation.limit_.IsSet()) {
    return RateAdmitted{};
  }
  Usage& usage = UsageFor(aOrganisation, aNow, aRandom);
  if (aNow < usage.noCreditUntil_) {
    return RateRefused{ usage.retryAfter_, "no credit" };
  }
  if (MayAdmitAtOnce(usage, aNow)) {
    ++usage.admitted_;
    ++usage.unconfirmed_;
    return RateAdmitted{};
  }
  RateReport report = MakeReport(aOrganisation.name_, usage);
  report.query_ = ++lastQuery_;
  usage.reported_ = usage.admitted_ + usage.refunded_;
  usage.reportedAt_ = aNow;
  if (usage.owner_ != members_.OwnName()) {
    return RateQuery{ usage.owner_, std::move(report) };
  }
  const RateResponse response = accounts_.HandleReport(
    members_.OwnName(), report, aOrganisation.limit_, members_, aNow);
  return *HandleResponse(response, aNow);
}

RateDecision
RateLimiter::CheckLocally(const Organisation& aOrganisation, base::Instant aNow)
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
    return RateAdmitted{};
  }
  const double seconds = (1.0 - usage.localCredit_) * hosts /
                         std::max(limit.ratePerSecond_, kMinRate);
  return RateRefused{ std::chrono::duration_cast<base::Duration>(
                        std::chrono::duration<double>(
                          std::min(seconds, kMaxRetryAfterSeconds))),
                      "no response from the account's owner" };
}

void
RateLimiter::Refund(const std::string& aOrganisation)
{
  if (const auto usage = usages_.find(aOrganisation); usage != usages_.end()) {
    ++usage->second.refunded_;
  }
}

void
RateLimiter::RecordResponse(Usage& aUsage,
                            const RateResponse& aResponse,
                            base::Instant aNow)
{
  aUsage.queryUntil_ =
    std::max(aUsage.queryUntil_, aNow + aResponse.queryFirstFor_);
  aUsage.noCreditUntil_ = aNow + aResponse.noCreditFor_;
  aUsage.retryAfter_ = aResponse.retryAfter_;
  aUsage.respondedAt_ = aNow;
  aUsage.hasUnansweredQuery_ = false;
  aUsage.unconfirmed_ = 0;
  // The owner grants this host's part of the limit until now.
  aUsage.localCredit_ = 0.0;
  aUsage.localCreditAt_ = aNow;
}

std::optional<RateDecision>
RateLimiter::HandleResponse(const RateResponse& aResponse, base::Instant aNow)
{
  const auto usage = usages_.find(aResponse.organisation_);
  if (usage != usages_.end() &&
      usage->second.seriesId_ == aResponse.seriesId_) {
    RecordResponse(usage->second, aResponse, aNow);
  }
  if (aResponse.query_ == 0) {
    return std::nullopt;
  }
  if (aResponse.isGranted_) {
    return RateAdmitted{};
  }
  return RateRefused{ aResponse.retryAfter_, "keeper" };
}

std::optional<RateResponse>
RateLimiter::HandleReport(const std::string& aHost,
                          const RateReport& aReport,
                          const Organisation& aOrganisation,
                          base::Instant aNow)
{
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
  for (auto& [organisation, usage] : usages_) {
    const std::uint64_t total = usage.admitted_ + usage.refunded_;
    const std::uint64_t unreported = total - usage.reported_;
    if (unreported == 0 || (unreported < usage.maxUnreported_ &&
                            aNow - usage.reportedAt_ < kMaxReportDelay)) {
      continue;
    }
    usage.reported_ = total;
    usage.reportedAt_ = aNow;
    RateReport report = MakeReport(organisation, usage);
    report.isResponseNeeded_ = aNow - usage.respondedAt_ > kResponseInterval;
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
