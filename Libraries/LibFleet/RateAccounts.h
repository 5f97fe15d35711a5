#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"
#include "LibFleet/RateLimitMembership.h"
#include "LibFleet/RateMessages.h"
#include "LibFleet/WindowCounter.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

/// How far a limit may be exceeded, so that hosts needn't coordinate on each
/// request.
struct RateTolerance
{
  base::Duration window_{ std::chrono::seconds{ 5 } };
  double overage_ = 0.0; ///< As a share of what a window allows.
  double slack_ = 0.0;   ///< Additional requests in each window.
};

/// The rate accounts that this host owns. Each counts an organisation's
/// requests at all hosts.
///
/// Requests are bounded twice: by the number admitted in the last window,
/// however they are distributed in it, and by a credit bucket that fills at the
/// organisation's rate. Hosts tell a new owner what they admitted in the last
/// window, and it continues with the credit that this leaves. Where hosts don't
/// know it, as they were started in the meantime, the owner begins without
/// credit and gains a small part of the tolerance beside the rate.
///
/// While credit is plentiful, hosts admit requests without a query and report
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

  [[nodiscard]] std::size_t Count() const { return accounts_.size(); }

  /// @return the organisation's requests that are counted in the window; 0 if
  ///         this host doesn't own its account.
  [[nodiscard]] std::int64_t CountedRequests(const std::string& aOrganisation,
                                             base::Instant aNow) const;

  /// Refunds of a host that were ignored, since they exceed what it reported or
  /// lie outside the window.
  struct IgnoredRefunds
  {
    std::string host_;
    std::string organisation_;
    std::int64_t requests_ = 0;
  };

  /// @return the refunds that were ignored since the last call; only the first
  ///         of each host and organisation.
  [[nodiscard]] std::vector<IgnoredRefunds> TakeIgnoredRefunds()
  {
    return std::exchange(ignoredRefunds_, {});
  }

  /// @return the share of the organisation's limit that was granted last; 0 if
  ///         this host doesn't own its account.
  [[nodiscard]] double LastShareOf(const std::string& aOrganisation) const;

private:
  /// Totals that one host reported.
  struct HostTotals
  {
    std::uint64_t seriesId_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t refunded_ = 0;
    base::Instant reportedAt_{};
    WindowCounter requests_; ///< Requests at the host, whoever granted them.
    /// Refunds of the series that were applied, by slices of the host's clock.
    WindowCounter refunds_;
    /// Difference between a slice's number here and at the host: the least in
    /// the series, as that of the fastest message.
    std::optional<std::int64_t> sliceOffset_ = std::nullopt;
    bool hadIgnoredRefunds_ = false;
  };

  struct Account
  {
    double credit_ = 0.0;
    WindowCounter requests_; ///< Requests that this owner counted.
    /// Requests at the hosts, whoever granted them: the sum of
    /// HostTotals::requests_.
    WindowCounter hostRequests_;
    /// Since when all hosts know what they admitted.
    base::Instant knownSince_ = base::Instant::min();
    /// Slice in which the credit was last used up, here or at a former owner.
    std::int64_t usedUpSlice_ = std::numeric_limits<std::int64_t>::min();
    /// This owner doesn't know the account's credit until a host's history
    /// arrives.
    bool isCreditUnknown_ = true;
    /// The credit was computed when only some hosts had chosen this owner; with
    /// few requests, no report may come while the others do.
    bool isTakeoverPartial_ = false;
    /// When the first history arrived after the credit became unknown.
    base::Instant takenOverAt_{};
    /// What was admitted before isn't known to this owner or any host.
    base::Instant unknownUntil_{};
    double recentRefusals_ = 0.0; ///< Recently refused requests, decaying.
    base::Instant refilledAt_;
    double share_ = 0.0; ///< Of the limit, as of the last report.
    std::unordered_map<std::string, HostTotals> totals_; ///< By host.
  };

  /// The part of a limit that the reachable hosts may use.
  struct Allowance
  {
    double rate_ = 0.0;
    double capacity_ = 0.0; ///< Capacity of the bucket, in requests.
    /// Additional credit of an owner that doesn't know the account's history.
    double initialCredit_ = 0.0;
    double requestsPerWindow_ = 0.0; ///< Requests allowed in one window.
    bool isPartial_ = false; ///< Other owners grant the rest of the limit.
  };

  [[nodiscard]] Allowance AllowanceFor(const RateLimit& aLimit,
                                       double aShare) const;
  /// @return the share of an organisation's limit that this host may grant.
  [[nodiscard]] double ShareFor(const std::string& aOrganisation,
                                const std::string& aReporter,
                                const RateLimitMembership& aMembers,
                                base::Instant aNow) const;
  /// @param aIsNewSeries Whether the report begins a series, as hosts do when
  ///        they change the owner.
  void Refill(Account& aAccount,
              const Allowance& aAllowance,
              const RateLimitMembership& aMembers,
              bool aIsNewSeries,
              base::Instant aNow) const;
  /// @return the credit that an account gains in a time.
  [[nodiscard]] static double AccruedCredit(const Account& aAccount,
                                            const Allowance& aAllowance,
                                            base::Instant aFrom,
                                            base::Instant aTo);
  static void Debit(Account& aAccount,
                    HostTotals& aTotals,
                    std::int64_t aRequests);
  /// Takes back requests of a host that weren't executed.
  /// @param aSlice Slice in which they were counted, or a slightly earlier one.
  /// @return the requests that the host didn't report in the last window.
  [[nodiscard]] static std::int64_t Refund(Account& aAccount,
                                           HostTotals& aTotals,
                                           std::int64_t aSlice,
                                           std::int64_t aRequests);
  /// @return the refunds that were ignored.
  [[nodiscard]] static std::int64_t ApplyRefunds(Account& aAccount,
                                                 HostTotals& aTotals,
                                                 const RateRefunds& aRefunds);
  /// Begins a host's series of reports, with its history if it sent one.
  void BeginSeries(Account& aAccount,
                   HostTotals& aTotals,
                   const RateReport& aReport,
                   base::Instant aNow) const;
  /// @return the refunds that were ignored.
  [[nodiscard]] static std::int64_t ApplyTotals(Account& aAccount,
                                                HostTotals& aTotals,
                                                const RateReport& aReport);

  /// Replaces what is known of a host's requests before its series of reports.
  /// @param aIsNewHost Whether the host never reported to this account.
  void ApplyHistory(Account& aAccount,
                    HostTotals& aTotals,
                    const RateHistory& aHistory,
                    bool aIsNewHost,
                    base::Instant aNow) const;

  /// @return since when a host knows what it admitted.
  [[nodiscard]] base::Instant KnownSince(const RateHistory& aHistory,
                                         base::Instant aNow) const;

  /// Determines since when the history is known.
  /// @return the credit that the known requests of the last window leave, if
  ///         the bucket was full before a completely known window, and
  ///         otherwise empty.
  [[nodiscard]] double CreditFromHistory(Account& aAccount,
                                         const Allowance& aAllowance,
                                         base::Instant aNow) const;

  /// Recomputes the credit from the hosts' histories if this owner took over
  /// the account within the last window.
  /// @param aHasHistory Whether the report brought a history.
  /// @return whether hosts may still be changing to this owner.
  [[nodiscard]] bool UpdateTakeover(Account& aAccount,
                                    const Allowance& aAllowance,
                                    double aShare,
                                    bool aHasHistory,
                                    base::Instant aNow) const;

  /// Decides on a report's query, if it has one, and makes the response.
  [[nodiscard]] RateResponse MakeResponse(Account& aAccount,
                                          HostTotals& aTotals,
                                          const RateReport& aReport,
                                          const Allowance& aAllowance,
                                          bool aIsTakeover) const;

  /// @return whether requests were admitted within the last window that this
  ///         owner may not know of.
  [[nodiscard]] bool IsHistoryIncomplete(const Account& aAccount) const;

  /// @return the number of requests that may be admitted now.
  [[nodiscard]] static double AvailableRequests(const Account& aAccount,
                                                const Allowance& aAllowance);

  /// @return the time until a request may be admitted again.
  [[nodiscard]] base::Duration TimeToCredit(const Account& aAccount,
                                            const Allowance& aAllowance) const;

  RateTolerance tolerance_;
  std::unordered_map<std::string, Account> accounts_; ///< By organisation.
  std::vector<IgnoredRefunds> ignoredRefunds_;
};

} // namespace pumiceturn::fleet
