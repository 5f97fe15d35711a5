#include "LibFleet/RateAccounts.h"

#include <algorithm>
#include <cmath>

namespace pumiceturn::fleet {

namespace {

/// Share of what may run below which hosts ask first. What they let run by
/// themselves until they hear of it must fit into the rest.
constexpr double kAskShare = 0.3;

/// How long hosts ask first after each answer that says so.
constexpr std::chrono::milliseconds kAskFirst{ 2000 };

/// Parts of the tolerance. A window that a restart falls into may hold the
/// bucket's capacity, the rate, and a start's credit.
constexpr double kToleranceOfBucket = 0.4;
constexpr double kToleranceOfStart = 0.25;

/// Used up while some hosts are silent: what these use isn't known, and half of
/// the fleet or more may be down.
constexpr double kToleranceWhileSilent = 0.5;

/// How long refused requests count among those that wait for credit.
constexpr std::chrono::seconds kRefusedMemory{ 1 };

constexpr std::chrono::seconds kMaxRetryAfter{ 5 };

/// Seconds of the rate by which credit may be overdrawn, so that a rush that
/// was reported late doesn't shut an organisation out for long.
constexpr double kMaxDebt = 2.0;

/// An account that was not used for so long may have been kept by another host
/// meanwhile.
constexpr std::chrono::seconds kUnattended{ 1 };

constexpr std::chrono::minutes kIdleTimeout{ 1 };

/// For a limit that lets almost nothing run.
constexpr double kMinRate = 1e-3;

double
SecondsOf(base::Duration aDuration)
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

RateAccounts::Part
RateAccounts::PartOf(const RateLimit& aLimit, double aShare) const
{
  const double seconds = SecondsOf(tolerance_.window_);
  const double allowed = aLimit.ratePerSecond_ * seconds + aLimit.burst_;
  const double tolerated = tolerance_.overage_ * allowed + tolerance_.slack_;
  const double extra = aShare < 1.0 ? kToleranceWhileSilent * tolerated : 0.0;
  Part part;
  part.rate_ = (aLimit.ratePerSecond_ + extra / seconds) * aShare;
  // A smaller bucket could never hold the credit for a request.
  part.capacity_ =
    std::max((aLimit.burst_ + kToleranceOfBucket * tolerated) * aShare, 1.0);
  part.startCredit_ =
    std::min(kToleranceOfStart * tolerated * aShare, part.capacity_);
  part.window_ = std::max((allowed + extra) * aShare, 1.0);
  return part;
}

RateAccounts::Bucket&
RateAccounts::Fill(const std::string& aOrganisation,
                   const Part& aPart,
                   const RateLimitMembership& aMembers,
                   base::Instant aNow)
{
  const auto [found, isNew] = buckets_.try_emplace(aOrganisation);
  Bucket& bucket = found->second;
  const base::Instant since = aMembers.Since();
  // Another host may have kept it until the hosts that are heard changed: what
  // it let run isn't known.
  const bool wasElsewhere = bucket.filledAt_ + kUnattended < since;
  if (isNew || wasElsewhere) {
    bucket.credit_ = aPart.startCredit_;
    bucket.filledAt_ = std::min(since, aNow);
  }
  const base::Duration passed = aNow - bucket.filledAt_;
  bucket.credit_ =
    std::min(bucket.credit_ + aPart.rate_ * SecondsOf(passed), aPart.capacity_);
  bucket.refused_ *=
    std::exp(-SecondsOf(passed) / SecondsOf(base::Duration(kRefusedMemory)));
  bucket.filledAt_ = aNow;
  MoveWindow(bucket, aNow);
  return bucket;
}

void
RateAccounts::MoveWindow(Bucket& aBucket, base::Instant aNow) const
{
  const base::Duration slice = tolerance_.window_ / kSlices;
  const std::int64_t present = aNow.time_since_epoch() / slice;
  const auto count = static_cast<std::int64_t>(aBucket.ran_.size());
  const std::int64_t oldest = present - count;
  for (std::int64_t over = std::max(aBucket.slice_, oldest); over < present;
       ++over) {
    double& ran = aBucket.ran_[static_cast<std::size_t>((over + 1) % count)];
    aBucket.inWindow_ -= ran;
    ran = 0.0;
  }
  aBucket.slice_ = present;
}

void
RateAccounts::Spend(Bucket& aBucket, double aRequests)
{
  const auto count = static_cast<std::int64_t>(aBucket.ran_.size());
  aBucket.credit_ -= aRequests;
  aBucket.ran_[static_cast<std::size_t>(aBucket.slice_ % count)] += aRequests;
  aBucket.inWindow_ += aRequests;
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
  // Totals never fall: a lower one is an older message.
  if (aReport.admitted_ > account.admitted_) {
    Spend(aBucket, static_cast<double>(aReport.admitted_ - account.admitted_));
    account.admitted_ = aReport.admitted_;
  }
  if (aReport.returned_ > account.returned_) {
    Spend(aBucket, -static_cast<double>(aReport.returned_ - account.returned_));
    account.returned_ = aReport.returned_;
  }
}

RateResponse
RateAccounts::Take(const std::string& aHost,
                   const RateReport& aReport,
                   const RateLimit& aLimit,
                   const RateLimitMembership& aMembers,
                   base::Instant aNow)
{
  const Part part = PartOf(aLimit, aMembers.Share());
  Bucket& bucket = Fill(aReport.organisation_, part, aMembers, aNow);
  Charge(bucket, aHost, aReport);
  bucket.credit_ =
    std::clamp(bucket.credit_, -kMaxDebt * part.rate_, part.capacity_);
  RateResponse response;
  response.organisation_ = aReport.organisation_;
  response.account_ = aReport.account_;
  response.query_ = aReport.query_;
  if (aReport.query_ != 0) {
    response.isGranted_ = RoomIn(bucket, part) >= 1.0;
    if (response.isGranted_) {
      Spend(bucket, 1.0);
    } else {
      bucket.refused_ += 1.0;
    }
  }
  const double room = RoomIn(bucket, part);
  if (room <
      std::max(1.0, kAskShare * std::min(part.capacity_, part.window_))) {
    response.askFirst_ = kAskFirst;
  }
  if (room < 1.0) {
    response.noCreditFor_ = TimeToCredit(bucket, part);
    response.retryAfter_ = std::clamp<base::Duration>(
      FromSeconds(bucket.refused_ / std::max(part.rate_, kMinRate)),
      response.noCreditFor_,
      kMaxRetryAfter);
  }
  return response;
}

double
RateAccounts::RoomIn(const Bucket& aBucket, const Part& aPart)
{
  return std::min(aBucket.credit_, aPart.window_ - aBucket.inWindow_);
}

base::Duration
RateAccounts::TimeToCredit(const Bucket& aBucket, const Part& aPart) const
{
  const double rate = std::max(aPart.rate_, kMinRate);
  const base::Duration byBucket = FromSeconds((1.0 - aBucket.credit_) / rate);
  // The oldest slices leave the window one after the other.
  const base::Duration slice = tolerance_.window_ / kSlices;
  const auto count = static_cast<std::int64_t>(aBucket.ran_.size());
  double inWindow = aBucket.inWindow_;
  base::Duration byWindow{ 0 };
  for (std::int64_t ahead = 1; ahead <= count && aPart.window_ - inWindow < 1.0;
       ++ahead) {
    inWindow -=
      aBucket.ran_[static_cast<std::size_t>((aBucket.slice_ + ahead) % count)];
    byWindow += slice;
  }
  return std::clamp<base::Duration>(
    std::max(byBucket, byWindow), base::Duration::zero(), kMaxRetryAfter);
}

void
RateAccounts::Expire(base::Instant aNow)
{
  std::erase_if(buckets_, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.filledAt_ > kIdleTimeout;
  });
}

} // namespace pumiceturn::fleet
