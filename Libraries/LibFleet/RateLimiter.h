#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"
#include "LibFleet/RateAccounts.h"
#include "LibFleet/RateLimitMembership.h"
#include "LibFleet/RateMessages.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace pumiceturn::fleet {

/// A request may run.
struct RateAdmitted
{};

/// A request is beyond its organisation's limit.
struct RateRefused
{
  base::Duration retryAfter_{ 0 };
  std::string_view decidedBy_; ///< For the log.
};

/// The owner of the organisation's account is to be asked first.
struct RateQuery
{
  std::string owner_;
  RateReport report_; ///< With the query.
};

using RateDecision = std::variant<RateAdmitted, RateRefused, RateQuery>;

/// Holds organisations to their limits at one of the hosts that let requests
/// run. Each organisation's account is kept by one of them. As long as its
/// credit is plentiful, hosts let requests run at once and report them within
/// a fraction of a second. Near the limit, or with more to report than a small
/// part of the burst, they ask the owner before each. Only reports of
/// organisations that are in use travel, to one host each.
///
/// Hosts that don't hear each other keep accounts of their own, with a part of
/// the limit that goes by their number. Takes time and random numbers as
/// arguments, does no I/O, is not thread-safe.
class RateLimiter
{
public:
  /// @param aAdmits This host lets requests run, and doesn't only keep
  /// accounts.
  RateLimiter(std::string aOwnName, bool aAdmits, RateTolerance aTolerance);

  /// @param aOthers All registered hosts but this one.
  void SetMembers(std::span<const RateLimitMembership::Member> aOthers,
                  base::Instant aNow);

  /// Decides on a request. An organisation without a limit is not counted.
  [[nodiscard]] RateDecision Check(const Organisation& aOrganisation,
                                   base::Instant aNow,
                                   std::mt19937_64& aRandom);

  /// The owner did not answer a query: decides by the part of the limit
  /// that is this host's, if all hosts shared it evenly.
  [[nodiscard]] RateDecision CheckLocally(const Organisation& aOrganisation,
                                          base::Instant aNow);

  /// A request that was let run has certainly not run.
  void Refund(const std::string& aOrganisation);

  /// Takes in an owner's answer.
  /// @return what became of the query; nothing where it answers none.
  std::optional<RateDecision> HandleResponse(const RateResponse& aResponse,
                                             base::Instant aNow);

  /// Takes in a host's report.
  /// @return the answer to send; nothing where none is due.
  [[nodiscard]] std::optional<RateResponse> HandleReport(
    const std::string& aHost,
    const RateReport& aReport,
    const Organisation& aOrganisation,
    base::Instant aNow);

  /// @return the reports that are due, with the hosts they go to. Own accounts
  ///         are settled at once.
  [[nodiscard]] std::vector<std::pair<std::string, RateReport>>
  CollectDueReports(base::Instant aNow);

  /// @return how many organisations' accounts this host keeps now.
  [[nodiscard]] std::size_t AccountCount() const { return accounts_.Count(); }

  [[nodiscard]] double Share() const { return members_.Share(); }

private:
  /// An organisation's use of this host.
  struct Use
  {
    RateLimit limit_; ///< As it was last declared.
    std::string owner_;
    std::uint64_t account_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t returned_ = 0;
    std::uint64_t reported_ = 0; ///< Of both.
    std::uint64_t reportAfter_ = 1;
    base::Instant reportedAt_;
    base::Instant usedAt_;
    base::Instant askUntil_;
    base::Instant noCreditUntil_;
    base::Duration retryAfter_{ 0 };
    double alone_ = 0.0; ///< Credit for CheckLocally().
    base::Instant aloneAt_;
  };

  Use& Find(const Organisation& aOrganisation,
            base::Instant aNow,
            std::mt19937_64& aRandom);
  [[nodiscard]] static RateReport ReportOf(const std::string& aOrganisation,
                                           const Use& aUse);
  void RecordResponse(Use& aUse,
                      const RateResponse& aResponse,
                      base::Instant aNow);

  RateLimitMembership members_;
  RateAccounts accounts_;
  std::unordered_map<std::string, Use> uses_; ///< By organisation.
  std::uint64_t lastQuery_ = 0;
};

} // namespace pumiceturn::fleet
