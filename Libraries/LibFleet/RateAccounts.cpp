#include "LibFleet/RateAccounts.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::fleet {

namespace {

/// Share of the available requests below which hosts must query first. What
/// they admit by themselves before they receive this must fit into the
/// remainder.
constexpr double kQueryFirstThreshold = 0.3;

/// How long hosts query first after each response that requires it.
constexpr std::chrono::milliseconds kQueryFirstDuration{ 2000 };

/// Shares of the tolerance. A window that contains a restart may hold the
/// bucket's capacity, the rate, and the initial credit.
constexpr double kBucketToleranceShare = 0.4;
constexpr double kInitialToleranceShare = 0.25;

/// Share of the tolerance used while some hosts are unreachable: what they
/// admit isn't known, and half of the fleet or more may be down.
constexpr double kPartitionToleranceShare = 0.5;

/// Decay time of the count of refused requests.
constexpr std::chrono::seconds kRefusalDecayTime{ 1 };

constexpr std::chrono::seconds kMaxRetryAfter{ 5 };

/// Seconds of the rate by which credit may be overdrawn, so that a burst that
/// was reported late doesn't block an organisation for long.
constexpr double kMaxDebtSeconds = 2.0;

/// An account that was not used for this time may have had another owner
/// meanwhile.
constexpr std::chrono::seconds kMaxUnusedTime{ 1 };

constexpr std::chrono::minutes kIdleTimeout{ 1 };

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
  const double extra =
    aShare < 1.0 ? kPartitionToleranceShare * tolerated : 0.0;
  Allowance allowance;
  allowance.rate_ = (aLimit.ratePerSecond_ + extra / seconds) * aShare;
  // A smaller bucket could never hold the credit for one request.
  allowance.capacity_ =
    std::max((aLimit.burst_ + kBucketToleranceShare * tolerated) * aShare, 1.0);
  allowance.initialCredit_ =
    std::min(kInitialToleranceShare * tolerated * aShare, allowance.capacity_);
  allowance.window_ = std::max((allowed + extra) * aShare, 1.0);
  return allowance;
}

RateAccounts::Bucket&
RateAccounts::Refill(const std::string& aOrganisation,
                     const Allowance& aAllowance,
                     const RateLimitMembership& aMembers,
                     base::Instant aNow)
{
  const auto [found, isNew] = buckets_.try_emplace(aOrganisation);
  Bucket& bucket = found->second;
  const base::Instant changedAt = aMembers.ChangedAt();
  // Another host may have owned the account until the reachable hosts changed,
  // and what it admitted isn't known.
  const bool hadOtherOwner = bucket.refilledAt_ + kMaxUnusedTime < changedAt;
  if (isNew || hadOtherOwner) {
    bucket.credit_ = aAllowance.initialCredit_;
    bucket.refilledAt_ = std::min(changedAt, aNow);
  }
  const base::Duration passed = aNow - bucket.refilledAt_;
  bucket.credit_ =
    std::min(bucket.credit_ + aAllowance.rate_ * ToSeconds(passed),
             aAllowance.capacity_);
  bucket.recentRefusals_ *=
    std::exp(-ToSeconds(passed) / ToSeconds(base::Duration(kRefusalDecayTime)));
  bucket.refilledAt_ = aNow;
  AdvanceWindow(bucket, aNow);
  return bucket;
}

void
RateAccounts::AdvanceWindow(Bucket& aBucket, base::Instant aNow) const
{
  const base::Duration slice = tolerance_.window_ / kSlices;
  const std::int64_t currentSlice = aNow.time_since_epoch() / slice;
  const auto count = static_cast<std::int64_t>(aBucket.requestsBySlice_.size());
  const std::int64_t oldest = currentSlice - count;
  for (std::int64_t index = std::max(aBucket.slice_, oldest);
       index < currentSlice;
       ++index) {
    double& sliceRequests =
      aBucket.requestsBySlice_[static_cast<std::size_t>((index + 1) % count)];
    aBucket.requestsInWindow_ -= sliceRequests;
    sliceRequests = 0.0;
  }
  aBucket.slice_ = currentSlice;
}

void
RateAccounts::Debit(Bucket& aBucket, double aRequests)
{
  const auto count = static_cast<std::int64_t>(aBucket.requestsBySlice_.size());
  aBucket.credit_ -= aRequests;
  aBucket.requestsBySlice_[static_cast<std::size_t>(aBucket.slice_ % count)] +=
    aRequests;
  aBucket.requestsInWindow_ += aRequests;
}

void
RateAccounts::Charge(Bucket& aBucket,
                     const std::string& aHost,
                     const RateReport& aReport)
{
  Account& account = aBucket.accounts_[aHost];
  if (account.id_ != aReport.account_) {
    account = { aReport.account_, 0, 0 };
  }
  // Totals never decrease: a lower one is from an older message.
  if (aReport.admitted_ > account.admitted_) {
    Debit(aBucket, static_cast<double>(aReport.admitted_ - account.admitted_));
    account.admitted_ = aReport.admitted_;
  }
  if (aReport.refunded_ > account.refunded_) {
    Debit(aBucket, -static_cast<double>(aReport.refunded_ - account.refunded_));
    account.refunded_ = aReport.refunded_;
  }
}

RateResponse
RateAccounts::HandleReport(const std::string& aHost,
                           const RateReport& aReport,
                           const RateLimit& aLimit,
                           const RateLimitMembership& aMembers,
                           base::Instant aNow)
{
  const Allowance allowance = AllowanceFor(aLimit, aMembers.Share());
  Bucket& bucket = Refill(aReport.organisation_, allowance, aMembers, aNow);
  Charge(bucket, aHost, aReport);
  bucket.credit_ = std::clamp(
    bucket.credit_, -kMaxDebtSeconds * allowance.rate_, allowance.capacity_);
  RateResponse response;
  response.organisation_ = aReport.organisation_;
  response.account_ = aReport.account_;
  response.query_ = aReport.query_;
  if (aReport.query_ != 0) {
    response.isGranted_ = AvailableRequests(bucket, allowance) >= 1.0;
    if (response.isGranted_) {
      Debit(bucket, 1.0);
    } else {
      bucket.recentRefusals_ += 1.0;
    }
  }
  const double available = AvailableRequests(bucket, allowance);
  if (available <
      std::max(1.0,
               kQueryFirstThreshold *
                 std::min(allowance.capacity_, allowance.window_))) {
    response.queryFirstFor_ = kQueryFirstDuration;
  }
  if (available < 1.0) {
    response.noCreditFor_ = TimeToCredit(bucket, allowance);
    response.retryAfter_ = std::clamp<base::Duration>(
      FromSeconds(bucket.recentRefusals_ / std::max(allowance.rate_, kMinRate)),
      response.noCreditFor_,
      kMaxRetryAfter);
  }
  return response;
}

double
RateAccounts::AvailableRequests(const Bucket& aBucket,
                                const Allowance& aAllowance)
{
  return std::min(aBucket.credit_,
                  aAllowance.window_ - aBucket.requestsInWindow_);
}

base::Duration
RateAccounts::TimeToCredit(const Bucket& aBucket,
                           const Allowance& aAllowance) const
{
  const double rate = std::max(aAllowance.rate_, kMinRate);
  const base::Duration byBucket = FromSeconds((1.0 - aBucket.credit_) / rate);
  // Slices leave the window one by one, oldest first.
  const base::Duration slice = tolerance_.window_ / kSlices;
  const auto count = static_cast<std::int64_t>(aBucket.requestsBySlice_.size());
  double inWindow = aBucket.requestsInWindow_;
  base::Duration byWindow{ 0 };
  for (std::int64_t ahead = 1;
       ahead <= count && aAllowance.window_ - inWindow < 1.0;
       ++ahead) {
    inWindow -= aBucket.requestsBySlice_[static_cast<std::size_t>(
      (aBucket.slice_ + ahead) % count)];
    byWindow += slice;
  }
  return std::clamp<base::Duration>(
    std::max(byBucket, byWindow), base::Duration::zero(), kMaxRetryAfter);
}

void
RateAccounts::Expire(base::Instant aNow)
{
  std::erase_if(buckets_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.refilledAt_ > kIdleTimeout;
  });
}

} // namespace pumiceturn::fleet
