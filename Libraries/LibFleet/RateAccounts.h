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

/// By how much operators let a limit be exceeded, so that hosts need not agree
/// on each request.
struct RateTolerance
{
  base::Duration window_{ std::chrono::seconds{ 5 } };
  double overage_ = 0.0; ///< Part of what a window allows.
  double slack_ = 0.0;   ///< Requests in each window, besides.
};

/// Keeps the accounts of some organisations for all hosts. Two things bound
/// what may run: the requests of the last window, which a limit allows to come
/// in any rhythm, and a bucket of credit that fills at the organisation's rate.
/// The bucket bounds what an owner that starts anew, and knows nothing of the
/// window, may add to what ran before.
///
/// While there is plenty, hosts let requests run by themselves and report them
/// afterwards; where it runs low, they are told to ask first. Takes the time as
/// an argument, does no I/O, is not thread-safe.
class RateAccounts
{
public:
  explicit RateAccounts(RateTolerance aTolerance)
    : tolerance_(aTolerance)
  {
  }

  /// Takes in a host's report, and answers its query.
  [[nodiscard]] RateResponse Take(const std::string& aHost,
                                  const RateReport& aReport,
                                  const RateLimit& aLimit,
                                  const RateLimitMembership& aMembers,
                                  base::Instant aNow);

  /// Drops accounts that nobody has used for long.
  void Expire(base::Instant aNow);

  [[nodiscard]] std::size_t Count() const { return buckets_.size(); }

private:
  struct Account
  {
    std::uint64_t id_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t returned_ = 0;
  };
  /// Parts of the window that requests are counted by.
  static constexpr std::size_t kSlices = 20;

  struct Bucket
  {
    double credit_ = 0.0;
    /// Requests by slice, the present one included.
    std::array<double, kSlices + 1> ran_{};
    double inWindow_ = 0.0;  ///< Sum of ran_.
    std::int64_t slice_ = 0; ///< The present one, counted from the epoch.
    double refused_ = 0.0;   ///< Of late, fading.
    base::Instant filledAt_;
    std::unordered_map<std::string, Account> accounts_; ///< By host.
  };

  /// What the hosts that are heard may use.
  struct Part
  {
    double rate_ = 0.0;
    double capacity_ = 0.0;    ///< Of the bucket.
    double startCredit_ = 0.0; ///< Of an owner that knows nothing.
    double window_ = 0.0;      ///< Requests in one window.
  };

  [[nodiscard]] Part PartOf(const RateLimit& aLimit, double aShare) const;
  Bucket& Fill(const std::string& aOrganisation,
               const Part& aPart,
               const RateLimitMembership& aMembers,
               base::Instant aNow);
  void MoveWindow(Bucket& aBucket, base::Instant aNow) const;
  static void Spend(Bucket& aBucket, double aRequests);
  static void Charge(Bucket& aBucket,
                     const std::string& aHost,
                     const RateReport& aReport);

  /// @return how many requests may run now.
  [[nodiscard]] static double RoomIn(const Bucket& aBucket, const Part& aPart);

  /// @return when one may run again.
  [[nodiscard]] base::Duration TimeToCredit(const Bucket& aBucket,
                                            const Part& aPart) const;

  RateTolerance tolerance_;
  std::unordered_map<std::string, Bucket> buckets_; ///< By organisation.
};

} // namespace pumiceturn::fleet
