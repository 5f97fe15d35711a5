#include "LibFleet/RateAccounts.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::fleet {

namespace {

/// Hosts must query first if fewer requests are available than this share of
/// the bucket's capacity, or of the requests per window if these are fewer.
/// Until they receive the response that says so, they admit requests without a
/// query, which the available ones must cover.
constexpr double kQueryFirstThreshold = 0.3;

/// How long hosts query first after each response that requires it.
constexpr std::chrono::milliseconds kQueryFirstDuration{ 2000 };

/// Shares of the tolerance that are added to the bucket's capacity, and given
/// to a new owner as initial credit. A window in which the owner restarts may
/// admit both in addition to the limit, so their sum must not exceed 1.
constexpr double kBucketToleranceShare = 0.25;
constexpr double kInitialToleranceShare = 0.15;

/// Share of the tolerance that is added to the limit while some hosts are
/// unreachable, since half of the fleet or more may be down and leave its share
/// of the limit unused. The rest is kept, as it isn't known what they admit.
constexpr double kPartitionToleranceShare = 0.25;

/// Replaces kBucketToleranceShare while kPartitionToleranceShare is added, so
/// that all shares of the tolerance together stay below 1.
constexpr double kPartitionBucketToleranceShare = 0.15;

/// Replaces kInitialToleranceShare in the same case: several owners may start
/// anew in one window.
constexpr double kPartitionInitialToleranceShare = 0.1;

/// Decay time of the count of refused requests.
constexpr std::chrono::seconds kRefusalDecayTime{ 1 };

constexpr std::chrono::seconds kMaxRetryAfter{ 5 };

/// Maximum debt of an account, in seconds of its rate, so that a burst that
/// was reported late doesn't block an organisation for long.
constexpr double kMaxDebtSeconds = 2.0;

/// If an account was last used longer than this before the reachable hosts
/// changed, it may have had another owner meanwhile.
constexpr std::chrono::seconds kMinUnusedForOtherOwner{ 1 };

constexpr std::chrono::minutes kIdleTimeout{ 1 };

/// How long a host whose choice of owners isn't known counts as having chosen
/// this one after a report. Hosts report each 200 ms while they admit requests.
constexpr std::chrono::milliseconds kReporterLifetime{ 500 };

/// Avoids division by zero for very low limits. In requests per second.
constexpr double kMinRate = 1e-3;

double
ToSeconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

base::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

RateAccounts::Allowance
RateAccounts::AllowanceFor(const RateLimit& aLimit, double aShare) const
{
  const double seconds = ToSeconds(tolerance_.window_);
  const double allowed = aLimit.ratePerSecond_ * seconds + aLimit.burst_;
  const double tolerated = tolerance_.overage_ * allowed + tolerance_.slack_;
  const bool isPartial = aShare < 1.0;
  const double extra = isPartial ? kPartitionToleranceShare * tolerated : 0.0;
  const double bucketShare =
    isPartial ? kPartitionBucketToleranceShare : kBucketToleranceShare;
  Allowance allowance;
  allowance.rate_ = (aLimit.ratePerSecond_ + extra / seconds) * aShare;
  // A smaller bucket could never hold the credit for one request.
  allowance.capacity_ =
    std::max((aLimit.burst_ + bucketShare * tolerated) * aShare, 1.0);
  const double initialShare =
    isPartial ? kPartitionInitialToleranceShare : kInitialToleranceShare;
  allowance.initialCredit_ =
    std::min(initialShare * tolerated * aShare, allowance.capacity_);
  allowance.requestsPerWindow_ = std::max((allowed + extra) * aShare, 1.0);
  return allowance;
}

RateAccounts::Account&
RateAccounts::Refill(const std::string& aOrganisation,
                     const Allowance& aAllowance,
                     const RateLimitMembership& aMembers,
                     base::Instant aNow)
{
  const auto [found, isNew] = accounts_.try_emplace(aOrganisation);
  Account& account = found->second;
  const base::Instant changedAt = aMembers.ChangedAt();
  // Another host may have owned the account until the reachable hosts changed,
  // and what it admitted isn't known.
  const bool hadOtherOwner =
    account.refilledAt_ + kMinUnusedForOtherOwner < changedAt;
  if (isNew || hadOtherOwner) {
    account.credit_ = aAllowance.initialCredit_;
    account.refilledAt_ = std::min(changedAt, aNow);
  }
  const base::Duration passed = aNow - account.refilledAt_;
  account.credit_ =
    std::min(account.credit_ + aAllowance.rate_ * ToSeconds(passed),
             aAllowance.capacity_);
  account.recentRefusals_ *=
    std::exp(-ToSeconds(passed) / ToSeconds(base::Duration(kRefusalDecayTime)));
  account.refilledAt_ = aNow;
  AdvanceWindow(account, aNow);
  return account;
}

void
RateAccounts::AdvanceWindow(Account& aAccount, base::Instant aNow) const
{
  const base::Duration slice = tolerance_.window_ / kSlices;
  const std::int64_t currentSlice = aNow.time_since_epoch() / slice;
  const auto count =
    static_cast<std::int64_t>(aAccount.requestsBySlice_.size());
  const std::int64_t oldest = currentSlice - count;
  for (std::int64_t index = std::max(aAccount.slice_, oldest);
       index < currentSlice;
       ++index) {
    double& sliceRequests =
      aAccount.requestsBySlice_[static_cast<std::size_t>((index + 1) % count)];
    aAccount.requestsInWindow_ -= sliceRequests;
    sliceRequests = 0.0;
  }
  aAccount.slice_ = currentSlice;
}

void
RateAccounts::Debit(Account& aAccount, double aRequests)
{
  const auto count =
    static_cast<std::int64_t>(aAccount.requestsBySlice_.size());
  aAccount.credit_ -= aRequests;
  aAccount
    .requestsBySlice_[static_cast<std::size_t>(aAccount.slice_ % count)] +=
    aRequests;
  aAccount.requestsInWindow_ += aRequests;
}

void
RateAccounts::ApplyTotals(Account& aAccount,
                          const std::string& aHost,
                          const RateReport& aReport,
                          base::Instant aNow)
{
  HostTotals& totals = aAccount.totals_[aHost];
  if (totals.seriesId_ != aReport.seriesId_) {
    totals = { aReport.seriesId_ };
  }
  totals.reportedAt_ = aNow;
  // Totals never decrease: a lower one is from an older message.
  if (aReport.admitted_ > totals.admitted_) {
    Debit(aAccount, static_cast<double>(aReport.admitted_ - totals.admitted_));
    totals.admitted_ = aReport.admitted_;
  }
  if (aReport.refunded_ > totals.refunded_) {
    Debit(aAccount, -static_cast<double>(aReport.refunded_ - totals.refunded_));
    totals.refunded_ = aReport.refunded_;
  }
}

double
RateAccounts::ShareFor(const std::string& aOrganisation,
                       const std::string& aReporter,
                       const RateLimitMembership& aMembers,
                       base::Instant aNow) const
{
  const auto account = accounts_.find(aOrganisation);
  return aMembers.ShareOf(aOrganisation, [&](const std::string& aHost) {
    if (aHost == aReporter) {
      return true;
    }
    if (account == accounts_.end()) {
      return false;
    }
    const auto totals = account->second.totals_.find(aHost);
    return totals != account->second.totals_.end() &&
           aNow - totals->second.reportedAt_ <= kReporterLifetime;
  });
}

double
RateAccounts::LastShareOf(const std::string& aOrganisation) const
{
  const auto account = accounts_.find(aOrganisation);
  return account == accounts_.end() ? 0.0 : account->second.share_;
}

RateResponse
RateAccounts::HandleReport(const std::string& aHost,
                           const RateReport& aReport,
                           const RateLimit& aLimit,
                           const RateLimitMembership& aMembers,
                           base::Instant aNow)
{
  const double share = ShareFor(aReport.organisation_, aHost, aMembers, aNow);
  const Allowance allowance = AllowanceFor(aLimit, share);
  Account& account = Refill(aReport.organisation_, allowance, aMembers, aNow);
  account.share_ = share;
  ApplyTotals(account, aHost, aReport, aNow);
  account.credit_ = std::clamp(
    account.credit_, -kMaxDebtSeconds * allowance.rate_, allowance.capacity_);
  RateResponse response;
  response.organisation_ = aReport.organisation_;
  response.seriesId_ = aReport.seriesId_;
  response.query_ = aReport.query_;
  if (aReport.query_ != 0) {
    response.isGranted_ = AvailableRequests(account, allowance) >= 1.0;
    if (response.isGranted_) {
      Debit(account, 1.0);
    } else {
      account.recentRefusals_ += 1.0;
    }
  }
  const double available = AvailableRequests(account, allowance);
  if (available <
      std::max(1.0,
               kQueryFirstThreshold *
                 std::min(allowance.capacity_, allowance.requestsPerWindow_))) {
    response.queryFirstFor_ = kQueryFirstDuration;
  }
  if (available < 1.0) {
    response.noCreditFor_ = TimeToCredit(account, allowance);
    response.retryAfter_ = std::clamp<base::Duration>(
      FromSeconds(account.recentRefusals_ /
                  std::max(allowance.rate_, kMinRate)),
      response.noCreditFor_,
      kMaxRetryAfter);
  }
  return response;
}

double
RateAccounts::AvailableRequests(const Account& aAccount,
                                const Allowance& aAllowance)
{
  return std::min(aAccount.credit_,
                  aAllowance.requestsPerWindow_ - aAccount.requestsInWindow_);
}

base::Duration
RateAccounts::TimeToCredit(const Account& aAccount,
                           const Allowance& aAllowance) const
{
  const double rate = std::max(aAllowance.rate_, kMinRate);
  const base::Duration byBucket = FromSeconds((1.0 - aAccount.credit_) / rate);
  // Slices leave the window one by one, oldest first.
  const base::Duration slice = tolerance_.window_ / kSlices;
  const auto count =
    static_cast<std::int64_t>(aAccount.requestsBySlice_.size());
  double inWindow = aAccount.requestsInWindow_;
  base::Duration byWindow{ 0 };
  for (std::int64_t ahead = 1;
       ahead <= count && aAllowance.requestsPerWindow_ - inWindow < 1.0;
       ++ahead) {
    inWindow -= aAccount.requestsBySlice_[static_cast<std::size_t>(
      (aAccount.slice_ + ahead) % count)];
    byWindow += slice;
  }
  return std::clamp<base::Duration>(
    std::max(byBucket, byWindow), base::Duration::zero(), kMaxRetryAfter);
}

void
RateAccounts::Expire(base::Instant aNow)
{
  std::erase_if(accounts_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.refilledAt_ > kIdleTimeout;
  });
}

} // namespace pumiceturn::fleet
