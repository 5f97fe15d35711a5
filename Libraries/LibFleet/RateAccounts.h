#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"
#include "LibFleet/RateLimitMembership.h"
#include "LibFleet/RateMessages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace pumiceturn::fleet {

/// How far a limit may be exceeded, so that hosts needn't coordinate on each
/// request.
struct RateTolerance
{
  base::Duration window_{ std::chrono::seconds{ 5 } };
  double overage_ = 0.0; ///< As a share of what a window allows.
  double slack_ = 0.0;   ///< Additional requests in each window.
};

/// Rate accounts of the organisations that this host owns, for all hosts.
///
/// Two things bound the requests that may run: the number admitted in the last
/// window, in which they may arrive in any rhythm, and a credit bucket that
/// fills at the organisation's rate. The bucket limits what a new owner, which
/// doesn't know the window, adds to what was admitted before.
///
/// While credit is plentiful, hosts admit requests by themselves and report
/// them afterwards; when it runs low, the owner requires a query first.
/// The time is passed as an argument. Performs no I/O. Not thread-safe.
class RateAccounts
{
public:
  explicit RateAccounts(RateTolerance aTolerance)
    : tolerance_(aTolerance)
  {
  }

  /// Applies a host's report and answers its query, if it has one.
  [[nodiscard]] RateResponse HandleReport(const std::string& aHost,
                                          const RateReport& aReport,
                                          const RateLimit& aLimit,
                                          const RateLimitMembership& aMembers,
                                          base::Instant aNow);

  /// Drops accounts that were not used for kIdleTimeout.
  void Expire(base::Instant aNow);

  [[nodiscard]] std::size_t Count() const { return buckets_.size(); }

private:
  struct Account
  {
    std::uint64_t id_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t refunded_ = 0;
  };
  /// Number of slices of the window by which requests are counted.
  static constexpr std::size_t kSlices = 20;

  struct Bucket
  {
    double credit_ = 0.0;
    /// Requests by slice, including the current one.
    std::array<double, kSlices + 1> requestsBySlice_{};
    double requestsInWindow_ = 0.0; ///< Sum of requestsBySlice_.
    std::int64_t slice_ = 0;        ///< Current slice, counted from the epoch.
    double recentRefusals_ = 0.0;   ///< Recently refused requests, decaying.
    base::Instant refilledAt_;
    std::unordered_map<std::string, Account> accounts_; ///< By host.
  };

  /// The part of a limit that the reachable hosts may use.
  struct Allowance
  {
    double rate_ = 0.0;
    double capacity_ = 0.0; ///< Capacity of the bucket, in requests.
    /// Credit of an owner that doesn't know the account's history.
    double initialCredit_ = 0.0;
    double window_ = 0.0; ///< Requests allowed in one window.
  };

  [[nodiscard]] Allowance AllowanceFor(const RateLimit& aLimit,
                                       double aShare) const;
  Bucket& Refill(const std::string& aOrganisation,
                 const Allowance& aAllowance,
                 const RateLimitMembership& aMembers,
                 base::Instant aNow);
  void AdvanceWindow(Bucket& aBucket, base::Instant aNow) const;
  static void Debit(Bucket& aBucket, double aRequests);
  static void Charge(Bucket& aBucket,
                     const std::string& aHost,
                     const RateReport& aReport);

  /// @return the number of requests that may be admitted now.
  [[nodiscard]] static double AvailableRequests(const Bucket& aBucket,
                                                const Allowance& aAllowance);

  /// @return the time until a request may be admitted again.
  [[nodiscard]] base::Duration TimeToCredit(const Bucket& aBucket,
                                            const Allowance& aAllowance) const;

  RateTolerance tolerance_;
  std::unordered_map<std::string, Bucket> buckets_; ///< By organisation.
};

} // namespace pumiceturn::fleet
