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
/// to an owner that doesn't know the account's history.
constexpr double kBucketToleranceShare = 0.25;
constexpr double kInitialToleranceShare = 0.15;

/// Time in which an owner that doesn't know the history gets
/// kInitialToleranceShare, in addition to the rate. All at once, it would be
/// granted anew at each restart of the whole fleet; so restarts add at most
/// kInitialToleranceShare * window / kInitialCreditTime to a window, however
/// many there are. With kBucketToleranceShare this must not exceed 1.
constexpr std::chrono::milliseconds kInitialCreditTime{ 1250 };

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

/// How long hosts may take until all have chosen a new owner and it knows so.
/// What it refuses meanwhile doesn't show how much credit the account has.
constexpr std::chrono::milliseconds kTakeoverTime{ 300 };

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
  allowance.isPartial_ = isPartial;
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

void
RateAccounts::Refill(Account& aAccount,
                     const Allowance& aAllowance,
                     const RateLimitMembership& aMembers,
                     bool aIsNewSeries,
                     base::Instant aNow) const
{
  const base::Instant changedAt = aMembers.ChangedAt();
  // Another host may have owned the account until the reachable hosts changed,
  // and what it admitted isn't known.
  const bool hadOtherOwner =
    aIsNewSeries && aAccount.refilledAt_ + kMinUnusedForOtherOwner < changedAt;
  if (aAccount.refilledAt_ == base::Instant{} || hadOtherOwner) {
    aAccount.credit_ = 0.0;
    aAccount.refilledAt_ = std::min(changedAt, aNow);
    aAccount.unknownUntil_ = aAccount.refilledAt_;
    aAccount.isCreditUnknown_ = true;
  }
  const base::Duration passed = aNow - aAccount.refilledAt_;
  aAccount.credit_ =
    std::min(aAccount.credit_ +
               AccruedCredit(aAccount, aAllowance, aAccount.refilledAt_, aNow),
             aAllowance.capacity_);
  aAccount.recentRefusals_ *=
    std::exp(-ToSeconds(passed) / ToSeconds(base::Duration(kRefusalDecayTime)));
  aAccount.refilledAt_ = aNow;
  const std::int64_t slice = WindowCounter::SliceAt(aNow, tolerance_.window_);
  aAccount.requests_.AdvanceTo(slice);
  aAccount.hostRequests_.AdvanceTo(slice);
}

double
RateAccounts::AccruedCredit(const Account& aAccount,
                            const Allowance& aAllowance,
                            base::Instant aFrom,
                            base::Instant aTo)
{
  const base::Instant begin = std::max(aFrom, aAccount.unknownUntil_);
  const base::Instant end =
    std::min(aTo, aAccount.unknownUntil_ + kInitialCreditTime);
  const double initialShare =
    std::max(ToSeconds(end - begin), 0.0) / ToSeconds(kInitialCreditTime);
  return aAllowance.rate_ * ToSeconds(aTo - aFrom) +
         aAllowance.initialCredit_ * initialShare;
}

void
RateAccounts::Debit(Account& aAccount,
                    HostTotals& aTotals,
                    std::int64_t aRequests)
{
  aAccount.credit_ -= static_cast<double>(aRequests);
  aAccount.requests_.Add(aRequests);
  aAccount.hostRequests_.Add(aRequests);
  aTotals.requests_.Add(aRequests);
}

std::int64_t
RateAccounts::Refund(Account& aAccount,
                     HostTotals& aTotals,
                     std::int64_t aSlice,
                     std::int64_t aRequests)
{
  const auto refundAt = [&](std::int64_t aAt) {
    const std::int64_t refunded =
      std::clamp<std::int64_t>(aTotals.requests_.At(aAt), 0, aRequests);
    aRequests -= refunded;
    aTotals.requests_.AddAt(aAt, -refunded);
    aAccount.hostRequests_.AddAt(aAt, -refunded);
    aAccount.requests_.AddAt(
      aAt, -std::clamp<std::int64_t>(aAccount.requests_.At(aAt), 0, refunded));
    aAccount.credit_ += static_cast<double>(refunded);
  };
  const std::int64_t oldest = aTotals.requests_.OldestSlice();
  const std::int64_t current = aTotals.requests_.CurrentSlice();
  const std::int64_t first = std::clamp(aSlice, oldest, current);
  // A report that got lost is counted in a later slice than the host's.
  for (std::int64_t slice = first; slice <= current && aRequests > 0; ++slice) {
    refundAt(slice);
  }
  for (std::int64_t slice = first - 1; slice >= oldest && aRequests > 0;
       --slice) {
    refundAt(slice);
  }
  return aRequests;
}

std::int64_t
RateAccounts::ApplyRefunds(Account& aAccount,
                           HostTotals& aTotals,
                           const RateRefunds& aRefunds)
{
  const std::int64_t current = aTotals.requests_.CurrentSlice();
  const std::int64_t offset = current - aRefunds.currentSlice_;
  aTotals.sliceOffset_ =
    std::min(aTotals.sliceOffset_.value_or(offset), offset);
  aTotals.refunds_.AdvanceTo(aRefunds.currentSlice_);
  std::int64_t ignored = 0;
  std::int64_t age = -1;
  for (const std::int64_t requests : aRefunds.requestsBySlice_) {
    ++age;
    if (age >= static_cast<std::int64_t>(WindowCounter::kSlices)) {
      ignored += requests;
      continue;
    }
    const std::int64_t slice = aRefunds.currentSlice_ - age;
    // Totals never decrease: a lower one is from an older message. Of a slice
    // that left the window, nothing is counted any more.
    const std::int64_t added = requests - aTotals.refunds_.At(slice);
    if (added <= 0 || slice < aTotals.refunds_.OldestSlice()) {
      continue;
    }
    aTotals.refunds_.AddAt(slice, added);
    ignored += Refund(aAccount, aTotals, slice + *aTotals.sliceOffset_, added);
  }
  return ignored;
}

void
RateAccounts::BeginSeries(Account& aAccount,
                          HostTotals& aTotals,
                          const RateReport& aReport,
                          base::Instant aNow) const
{
  const bool isNewHost = aTotals.seriesId_ == 0;
  aTotals.seriesId_ = aReport.seriesId_;
  aTotals.admitted_ = 0;
  aTotals.refunded_ = 0;
  aTotals.refunds_ = {};
  aTotals.sliceOffset_.reset();
  if (aReport.history_) {
    ApplyHistory(aAccount, aTotals, *aReport.history_, isNewHost, aNow);
  }
}

std::int64_t
RateAccounts::ApplyTotals(Account& aAccount,
                          HostTotals& aTotals,
                          const RateReport& aReport)
{
  // Totals never decrease: a lower one is from an older message.
  if (aReport.admitted_ > aTotals.admitted_) {
    Debit(aAccount,
          aTotals,
          static_cast<std::int64_t>(aReport.admitted_ - aTotals.admitted_));
    aTotals.admitted_ = aReport.admitted_;
  }
  const std::uint64_t refunded =
    std::max(aReport.refunded_, aTotals.refunded_) - aTotals.refunded_;
  aTotals.refunded_ += refunded;
  if (aReport.refunds_) {
    return ApplyRefunds(aAccount, aTotals, *aReport.refunds_);
  }
  // A host of an earlier version doesn't say when the requests were admitted.
  // Taken from the oldest slices, they can't make room for as many beyond the
  // window in which they were counted. What left the window gives nothing back.
  static_cast<void>(Refund(aAccount,
                           aTotals,
                           aTotals.requests_.OldestSlice(),
                           static_cast<std::int64_t>(refunded)));
  return 0;
}

void
RateAccounts::ApplyHistory(Account& aAccount,
                           HostTotals& aTotals,
                           const RateHistory& aHistory,
                           bool aIsNewHost,
                           base::Instant aNow) const
{
  const std::int64_t current = aTotals.requests_.CurrentSlice();
  const auto known =
    static_cast<std::int64_t>(aHistory.requestsBySlice_.size());
  for (std::int64_t age = 0; age < known; ++age) {
    const std::int64_t slice = current - age;
    const std::int64_t added =
      aHistory.requestsBySlice_[static_cast<std::size_t>(age)] -
      aTotals.requests_.At(slice);
    aTotals.requests_.AddAt(slice, added);
    aAccount.hostRequests_.AddAt(slice, added);
  }
  if (aHistory.usedUpSlice_) {
    aAccount.usedUpSlice_ = std::max(
      aAccount.usedUpSlice_, current - std::int64_t{ *aHistory.usedUpSlice_ });
  }
  // Of a restarted host that reported here before, this owner has counted what
  // the host no longer knows.
  if (aIsNewHost) {
    aAccount.knownSince_ =
      std::max(aAccount.knownSince_, KnownSince(aHistory, aNow));
  }
}

base::Instant
RateAccounts::KnownSince(const RateHistory& aHistory, base::Instant aNow) const
{
  if (aHistory.knownFor_) {
    return aNow - *aHistory.knownFor_;
  }
  // The host may have started at the end of its first slice.
  const auto slices =
    static_cast<std::int64_t>(aHistory.requestsBySlice_.size());
  const std::int64_t current = WindowCounter::SliceAt(aNow, tolerance_.window_);
  const std::int64_t first =
    slices < static_cast<std::int64_t>(WindowCounter::kSlices)
      ? current - slices + 2
      : current - slices + 1;
  return std::min(
    base::Instant{ first * WindowCounter::SliceLength(tolerance_.window_) },
    aNow);
}

double
RateAccounts::CreditFromHistory(Account& aAccount,
                                const Allowance& aAllowance,
                                base::Instant aNow) const
{
  const std::int64_t current = aAccount.hostRequests_.CurrentSlice();
  const std::int64_t oldest = aAccount.hostRequests_.OldestSlice();
  const base::Duration length = WindowCounter::SliceLength(tolerance_.window_);
  const bool isComplete = !IsHistoryIncomplete(aAccount);
  const std::int64_t first =
    isComplete
      ? oldest
      : WindowCounter::SliceAt(aAccount.knownSince_, tolerance_.window_);
  aAccount.unknownUntil_ = isComplete ? base::Instant{} : aAccount.knownSince_;
  double credit = isComplete ? aAllowance.capacity_ : 0.0;
  for (std::int64_t slice = first; slice <= current; ++slice) {
    const base::Instant end =
      std::min(base::Instant{ (slice + 1) * length }, aNow);
    const base::Instant begin =
      std::clamp(aAccount.knownSince_, base::Instant{ slice * length }, end);
    const auto requests = static_cast<double>(aAccount.hostRequests_.At(slice));
    credit = std::min(credit + AccruedCredit(aAccount, aAllowance, begin, end) -
                        requests,
                      aAllowance.capacity_);
    if (slice == aAccount.usedUpSlice_) {
      // With a part of the limit, a debt may only mean that these hosts have
      // more of the requests than others.
      credit = aAllowance.isPartial_ ? 0.0 : std::min(credit, 0.0);
    }
  }
  return credit;
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

bool
RateAccounts::IsHistoryIncomplete(const Account& aAccount) const
{
  const base::Instant oldest{ aAccount.requests_.OldestSlice() *
                              WindowCounter::SliceLength(tolerance_.window_) };
  return aAccount.knownSince_ > oldest ||
         (aAccount.isCreditUnknown_ && aAccount.unknownUntil_ > oldest);
}

double
RateAccounts::LastShareOf(const std::string& aOrganisation) const
{
  const auto account = accounts_.find(aOrganisation);
  return account == accounts_.end() ? 0.0 : account->second.share_;
}

std::int64_t
RateAccounts::CountedRequests(const std::string& aOrganisation,
                              base::Instant aNow) const
{
  const auto account = accounts_.find(aOrganisation);
  return account == accounts_.end()
           ? 0
           : account->second.requests_.SumAt(
               WindowCounter::SliceAt(aNow, tolerance_.window_));
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
  Account& account = accounts_[aReport.organisation_];
  HostTotals& totals = account.totals_[aHost];
  const bool isNewSeries = totals.seriesId_ != aReport.seriesId_;
  Refill(account, allowance, aMembers, isNewSeries, aNow);
  totals.reportedAt_ = aNow;
  totals.requests_.AdvanceTo(account.requests_.CurrentSlice());
  if (isNewSeries) {
    BeginSeries(account, totals, aReport, aNow);
  }
  const std::int64_t ignored = ApplyTotals(account, totals, aReport);
  if (ignored > 0 && !std::exchange(totals.hadIgnoredRefunds_, true)) {
    ignoredRefunds_.push_back({ aHost, aReport.organisation_, ignored });
  }
  const bool hasHistory = isNewSeries && aReport.history_;
  const bool isTakeover =
    UpdateTakeover(account, allowance, share, hasHistory, aNow);
  account.share_ = share;
  account.credit_ = std::clamp(
    account.credit_, -kMaxDebtSeconds * allowance.rate_, allowance.capacity_);
  return MakeResponse(account, totals, aReport, allowance, isTakeover);
}

bool
RateAccounts::UpdateTakeover(Account& aAccount,
                             const Allowance& aAllowance,
                             double aShare,
                             bool aHasHistory,
                             base::Instant aNow) const
{
  if (aHasHistory && aAccount.isCreditUnknown_) {
    aAccount.isCreditUnknown_ = false;
    aAccount.takenOverAt_ = aNow;
  }
  const base::Duration sinceTakeover = aNow - aAccount.takenOverAt_;
  const bool isTakeover = sinceTakeover <= kTakeoverTime;
  const bool isInWindow = sinceTakeover <= tolerance_.window_;
  const bool isCompletedLate =
    isInWindow && aAccount.isTakeoverPartial_ && !aAllowance.isPartial_;
  if ((isTakeover && (aHasHistory || aShare != aAccount.share_)) ||
      isCompletedLate) {
    aAccount.credit_ = CreditFromHistory(aAccount, aAllowance, aNow);
    aAccount.isTakeoverPartial_ = aAllowance.isPartial_;
  } else if (aHasHistory && isInWindow) {
    // The host's part of the limit may have been granted without its history.
    aAccount.credit_ =
      std::min(aAccount.credit_, CreditFromHistory(aAccount, aAllowance, aNow));
  }
  return isTakeover;
}

RateResponse
RateAccounts::MakeResponse(Account& aAccount,
                           HostTotals& aTotals,
                           const RateReport& aReport,
                           const Allowance& aAllowance,
                           bool aIsTakeover) const
{
  RateResponse response;
  response.organisation_ = aReport.organisation_;
  response.seriesId_ = aReport.seriesId_;
  response.query_ = aReport.query_;
  response.isAccountNew_ =
    (aIsTakeover && aAllowance.isPartial_) || IsHistoryIncomplete(aAccount);
  if (aReport.query_ != 0) {
    response.isGranted_ = AvailableRequests(aAccount, aAllowance) >= 1.0;
    if (response.isGranted_) {
      Debit(aAccount, aTotals, 1);
    } else {
      aAccount.recentRefusals_ += 1.0;
    }
  }
  if (!aIsTakeover && aAccount.credit_ < 1.0) {
    aAccount.usedUpSlice_ = aAccount.requests_.CurrentSlice();
    response.isCreditUsedUp_ = true;
  }
  const double available = AvailableRequests(aAccount, aAllowance);
  if (available < std::max(1.0,
                           kQueryFirstThreshold *
                             std::min(aAllowance.capacity_,
                                      aAllowance.requestsPerWindow_))) {
    response.queryFirstFor_ = kQueryFirstDuration;
  }
  if (available < 1.0) {
    const base::Duration timeToCredit = TimeToCredit(aAccount, aAllowance);
    // During a takeover the credit grows with each further host that chose this
    // owner.
    response.noCreditFor_ = aIsTakeover ? base::Duration::zero() : timeToCredit;
    response.retryAfter_ = std::clamp<base::Duration>(
      FromSeconds(aAccount.recentRefusals_ /
                  std::max(aAllowance.rate_, kMinRate)),
      timeToCredit,
      kMaxRetryAfter);
  }
  return response;
}

double
RateAccounts::AvailableRequests(const Account& aAccount,
                                const Allowance& aAllowance)
{
  return std::min(aAccount.credit_,
                  aAllowance.requestsPerWindow_ -
                    static_cast<double>(aAccount.requests_.Sum()));
}

base::Duration
RateAccounts::TimeToCredit(const Account& aAccount,
                           const Allowance& aAllowance) const
{
  const double rate = std::max(aAllowance.rate_, kMinRate);
  const base::Duration byBucket = FromSeconds((1.0 - aAccount.credit_) / rate);
  // Slices leave the window one by one, oldest first.
  const base::Duration slice = WindowCounter::SliceLength(tolerance_.window_);
  double inWindow = static_cast<double>(aAccount.requests_.Sum());
  base::Duration byWindow{ 0 };
  for (std::int64_t leaving = aAccount.requests_.OldestSlice();
       leaving <= aAccount.requests_.CurrentSlice() &&
       aAllowance.requestsPerWindow_ - inWindow < 1.0;
       ++leaving) {
    inWindow -= static_cast<double>(aAccount.requests_.At(leaving));
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
