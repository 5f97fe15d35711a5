#include "LibFleet/RateLimiter.h"

#include <algorithm>

namespace pumiceturn::fleet {

namespace {

/// Part of the burst that all hosts together may have admitted and not yet
/// reported.
constexpr double kUnreportedShare = 0.125;

/// Bounds it at one host, whatever burst is declared.
constexpr double kMaxUnreported = 1000.0;

/// What was admitted is reported after this time at the latest.
constexpr std::chrono::milliseconds kReportWithin{ 200 };

/// For a limit that lets almost nothing run.
constexpr double kMinRate = 1e-3;
constexpr double kMaxRetryAfterSeconds = 5.0;

/// Time without requests after which an organisation's use is forgotten.
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

RateLimiter::Use&
RateLimiter::Find(const Organisation& aOrganisation,
                  base::Instant aNow,
                  std::mt19937_64& aRandom)
{
  Use& use = uses_[aOrganisation.name_];
  const std::string& owner = members_.OwnerOf(aOrganisation.name_);
  if (use.owner_ != owner) {
    // The new owner begins with what this host has not reported yet.
    const std::uint64_t unreported =
      use.admitted_ + use.returned_ - use.reported_;
    const base::Instant askUntil = use.askUntil_;
    use = {};
    use.owner_ = owner;
    use.account_ = std::max<std::uint64_t>(aRandom(), 1);
    use.admitted_ = unreported;
    use.askUntil_ = askUntil;
    use.reportedAt_ = aNow;
  }
  use.usedAt_ = aNow;
  use.limit_ = aOrganisation.limit_;
  const double unreported = kUnreportedShare * aOrganisation.limit_.burst_ /
                            static_cast<double>(members_.Count());
  use.reportAfter_ =
    static_cast<std::uint64_t>(std::clamp(unreported, 1.0, kMaxUnreported));
  return use;
}

RateReport
RateLimiter::ReportOf(const std::string& aOrganisation, const Use& aUse)
{
  return { aOrganisation, aUse.account_, aUse.admitted_, aUse.returned_, 0 };
}

RateDecision
RateLimiter::Check(const Organisation& aOrganisation,
                   base::Instant aNow,
                   std::mt19937_64& aRandom)
{
  if (!aOrganisation.limit_.IsSet()) {
    return RateAdmitted{};
  }
  Use& use = Find(aOrganisation, aNow, aRandom);
  if (aNow < use.noCreditUntil_) {
    return RateRefused{ use.retryAfter_, "no credit" };
  }
  const bool isOwner = use.owner_ == members_.OwnName();
  const std::uint64_t unreported =
    use.admitted_ + use.returned_ - use.reported_;
  if (!isOwner && aNow >= use.askUntil_ && unreported < use.reportAfter_) {
    ++use.admitted_;
    return RateAdmitted{};
  }
  RateReport report = ReportOf(aOrganisation.name_, use);
  report.query_ = ++lastQuery_;
  use.reported_ = use.admitted_ + use.returned_;
  use.reportedAt_ = aNow;
  if (!isOwner) {
    return RateQuery{ use.owner_, std::move(report) };
  }
  const RateResponse response = accounts_.Take(
    members_.OwnName(), report, aOrganisation.limit_, members_, aNow);
  return *HandleResponse(response, aNow);
}

RateDecision
RateLimiter::CheckLocally(const Organisation& aOrganisation, base::Instant aNow)
{
  Use& use = uses_[aOrganisation.name_];
  use.usedAt_ = aNow;
  use.limit_ = aOrganisation.limit_;
  const double hosts = static_cast<double>(members_.Count());
  const RateLimit& limit = aOrganisation.limit_;
  if (use.aloneAt_ != base::Instant{}) {
    const double passed =
      std::chrono::duration<double>(aNow - use.aloneAt_).count();
    use.alone_ += limit.ratePerSecond_ / hosts * passed;
  }
  use.alone_ = std::min(use.alone_, std::max(limit.burst_ / hosts, 1.0));
  use.aloneAt_ = aNow;
  if (use.alone_ >= 1.0) {
    use.alone_ -= 1.0;
    ++use.admitted_;
    return RateAdmitted{};
  }
  const double seconds =
    (1.0 - use.alone_) * hosts / std::max(limit.ratePerSecond_, kMinRate);
  return RateRefused{ std::chrono::duration_cast<base::Duration>(
                        std::chrono::duration<double>(
                          std::min(seconds, kMaxRetryAfterSeconds))),
                      "keeper silent" };
}

void
RateLimiter::Refund(const std::string& aOrganisation)
{
  if (const auto use = uses_.find(aOrganisation); use != uses_.end()) {
    ++use->second.returned_;
  }
}

void
RateLimiter::RecordResponse(Use& aUse,
                            const RateResponse& aResponse,
                            base::Instant aNow)
{
  aUse.askUntil_ = std::max(aUse.askUntil_, aNow + aResponse.askFirst_);
  aUse.noCreditUntil_ = aNow + aResponse.noCreditFor_;
  aUse.retryAfter_ = aResponse.retryAfter_;
}

std::optional<RateDecision>
RateLimiter::HandleResponse(const RateResponse& aResponse, base::Instant aNow)
{
  const auto use = uses_.find(aResponse.organisation_);
  if (use != uses_.end() && use->second.account_ == aResponse.account_) {
    RecordResponse(use->second, aResponse, aNow);
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
  RateResponse response =
    accounts_.Take(aHost, aReport, aOrganisation.limit_, members_, aNow);
  const bool isDue =
    aReport.query_ != 0 || response.askFirst_ > base::Duration::zero();
  return isDue ? std::optional(std::move(response)) : std::nullopt;
}

std::vector<std::pair<std::string, RateReport>>
RateLimiter::CollectDueReports(base::Instant aNow)
{
  std::vector<std::pair<std::string, RateReport>> due;
  for (auto& [organisation, use] : uses_) {
    const std::uint64_t total = use.admitted_ + use.returned_;
    const std::uint64_t unreported = total - use.reported_;
    if (unreported == 0 || (unreported < use.reportAfter_ &&
                            aNow - use.reportedAt_ < kReportWithin)) {
      continue;
    }
    use.reported_ = total;
    use.reportedAt_ = aNow;
    const RateReport report = ReportOf(organisation, use);
    if (use.owner_ == members_.OwnName()) {
      RecordResponse(
        use,
        accounts_.Take(use.owner_, report, use.limit_, members_, aNow),
        aNow);
    } else {
      due.emplace_back(use.owner_, report);
    }
  }
  std::erase_if(uses_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.usedAt_ > kIdleTimeout;
  });
  accounts_.Expire(aNow);
  return due;
}

} // namespace pumiceturn::fleet
