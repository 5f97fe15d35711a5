#pragma once

#include "LibBase/Time.h"
#include "LibFleet/Declarations.h"
#include "LibFleet/RateAccounts.h"
#include "LibFleet/RateDecision.h"
#include "LibFleet/RateLimitMembership.h"
#include "LibFleet/RateMessages.h"
#include "LibFleet/WindowCounter.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pumiceturn::fleet {

/// Enforces the rate limits of organisations at one of the hosts that admit
/// requests.
///
/// One host owns each organisation's account. While credit is plentiful, hosts
/// admit requests immediately and report them within a fraction of a second.
/// Near the limit, or with more unreported requests than a small part of the
/// burst, they query the owner before each request. Hosts send reports
/// only for organisations in use, each to one owner.
///
/// Hosts that can't reach each other keep separate accounts, each with a share
/// of the limit by the number of hosts that chose its owner
/// (RateLimitMembership). Time and random numbers are passed as
/// arguments. Performs no I/O. Not thread-safe.
class RateLimiter
{
public:
  /// @param aAdmits Whether this host admits requests; otherwise it only owns
  ///        accounts.
  RateLimiter(std::string aOwnName, bool aAdmits, RateTolerance aTolerance);

  /// Until the first call, no request of a limited organisation is admitted.
  /// @param aOthers All registered hosts except this one.
  void SetMembers(std::span<const RateLimitMembership::Member> aOthers,
                  base::Instant aNow);

  /// @return whether the registered hosts are known.
  [[nodiscard]] bool KnowsMembers() const { return startedAt_.has_value(); }

  /// Decides on a request. Requests of an organisation without a limit aren't
  /// counted.
  /// @param aWaited Since the request's first check.
  [[nodiscard]] RateDecision Check(const Organisation& aOrganisation,
                                   base::Instant aNow,
                                   std::mt19937_64& aRandom,
                                   base::Duration aWaited = {});

  /// Decides on a request after the owner did not answer a query. Allows an
  /// even share of the limit per host.
  /// @param aWaited Since the request's first check.
  [[nodiscard]] RateDecision CheckLocally(const Organisation& aOrganisation,
                                          base::Instant aNow,
                                          base::Duration aWaited = {});

  /// Ends the wait that a RateWait asked for. Call it before the request is
  /// checked again, or when it is given up.
  void EndWait(const std::string& aOrganisation);

  /// Records that an admitted request was certainly not executed.
  /// @param aAdmittedAt When it was admitted; std::nullopt: not known, so that
  ///        its credit may come back late.
  void Refund(const std::string& aOrganisation,
              std::optional<base::Instant> aAdmittedAt = std::nullopt);

  /// Applies an owner's response.
  /// @param aWaited Since the first check of the request that it decides on;
  ///        std::nullopt: that request no longer waits for it.
  /// @return the decision on the query that it answers; empty if it answers
  ///         none, or no request waits for it.
  std::optional<RateDecision> HandleResponse(
    const RateResponse& aResponse,
    base::Instant aNow,
    std::optional<base::Duration> aWaited = std::nullopt);

  /// Applies a host's report to an account that this host owns.
  /// @return the response to send; empty if none is due, or this host doesn't
  ///         know the members yet.
  [[nodiscard]] std::optional<RateResponse> HandleReport(
    const std::string& aHost,
    const RateReport& aReport,
    const Organisation& aOrganisation,
    base::Instant aNow);

  /// @return the refunds of hosts that were ignored; see RateAccounts.
  [[nodiscard]] std::vector<RateAccounts::IgnoredRefunds> TakeIgnoredRefunds()
  {
    return accounts_.TakeIgnoredRefunds();
  }

  /// Makes the reports that are due, and applies those for accounts that this
  /// host owns.
  /// @return those for other owners, with the owner to send each to.
  [[nodiscard]] std::vector<std::pair<std::string, RateReport>>
  CollectDueReports(base::Instant aNow);

  /// @return the number of accounts that this host owns.
  [[nodiscard]] std::size_t AccountCount() const { return accounts_.Count(); }

  /// @return the share of the organisation's limit that this host granted last
  ///         as the owner of its account; 0 if it doesn't own it.
  [[nodiscard]] double ShareOf(const std::string& aOrganisation) const
  {
    return accounts_.LastShareOf(aOrganisation);
  }

  /// @return the organisation's requests that this host counts in the window as
  ///         the owner of its account; 0 if it doesn't own it.
  [[nodiscard]] std::int64_t CountedRequests(const std::string& aOrganisation,
                                             base::Instant aNow) const
  {
    return accounts_.CountedRequests(aOrganisation, aNow);
  }

  /// @return the organisation's requests that this host admitted in the window
  ///         and that weren't refunded. Over all hosts, the owner counts as
  ///         many unless reports are lost or wrong.
  [[nodiscard]] std::int64_t ExecutedRequests(const std::string& aOrganisation,
                                              base::Instant aNow) const;

  /// @return what this host knows for a decision on an organisation's request.
  [[nodiscard]] RateKnowledge KnowledgeOf(const std::string& aOrganisation,
                                          base::Instant aNow) const;

  /// @return the number of admitting hosts that this host hears, for its peers.
  [[nodiscard]] std::size_t HeardHosts() const { return members_.HeardHosts(); }

  /// @return the hash of the owners that this host chooses from, for its peers.
  [[nodiscard]] std::uint64_t CandidatesHash() const
  {
    return members_.CandidatesHash();
  }

private:
  /// Requests of the last window that were reported or granted, to whichever
  /// owner, and not refunded.
  struct History
  {
    WindowCounter requests_;
    /// Slice in which an owner last had no credit.
    std::optional<std::int64_t> usedUpSlice_ = std::nullopt;
  };

  /// Requests of an organisation at this host.
  struct Usage
  {
    RateLimit limit_; ///< Limit as last declared.
    std::string owner_;
    std::uint64_t seriesId_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t refunded_ = 0;
    /// Refunds of the series, by slice of history_.
    WindowCounter refunds_;
    /// Value of admitted_ + refunded_ in the last report.
    std::uint64_t reported_ = 0;
    /// Value of admitted_ in the last report.
    std::uint64_t reportedAdmitted_ = 0;
    /// When the last report was made, to whichever owner.
    base::Instant unreportedSince_;
    History history_;
    /// Requests that were admitted and not refunded, by when they were
    /// admitted.
    WindowCounter executed_;
    /// History at the start of the series, until the owner knows it.
    std::optional<History> handover_ = std::nullopt;
    /// Number of unreported requests from which a report is due. 0: the burst
    /// leaves no request for each host, so each request needs a query.
    std::uint64_t maxUnreported_ = 0;
    base::Instant reportedAt_;
    base::Instant usedAt_;
    base::Instant respondedAt_; ///< When the owner last responded.
    bool isAccountNew_ = false; ///< As of the owner's last response.
    /// An owner responded since this host started.
    bool wasAnswered_ = false;
    /// Requests admitted without a query since the owner's last response.
    std::uint64_t unconfirmed_ = 0;
    /// The owner didn't respond to a query since its last response.
    bool hasUnansweredQuery_ = false;
    base::Instant queryUntil_;
    base::Instant noCreditUntil_;
    base::Duration retryAfter_{ 0 };
    std::size_t waiting_ = 0;  ///< Requests that wait to be checked again.
    double localCredit_ = 0.0; ///< Credit used by CheckLocally().
    base::Instant localCreditAt_;
  };

  void CountExecuted(Usage& aUsage, base::Instant aNow) const
  {
    aUsage.executed_.AdvanceTo(SliceAt(aNow));
    aUsage.executed_.Add(1);
  }

  /// @return whether a request may be admitted without a query.
  [[nodiscard]] bool MayAdmitAtOnce(const Usage& aUsage,
                                    base::Instant aNow) const;

  /// Decides on a request while the registered hosts aren't known: if each host
  /// took itself for the only one, each would grant the whole limit.
  [[nodiscard]] RateDecision DecideWithoutMembers(
    const Organisation& aOrganisation,
    base::Instant aNow,
    base::Duration aWaited);

  /// @param aTime Until there may be credit.
  /// @return whether a request should rather wait than be refused.
  [[nodiscard]] static bool ShouldWait(const Usage& aUsage,
                                       base::Duration aTime,
                                       base::Duration aWaited);
  Usage& UsageFor(const Organisation& aOrganisation,
                  base::Instant aNow,
                  std::mt19937_64& aRandom);
  /// Begins the series of reports to a new owner.
  void ChangeOwner(Usage& aUsage,
                   const std::string& aOwner,
                   base::Instant aNow);
  /// Makes a report and records that it was made.
  [[nodiscard]] RateReport MakeReport(const std::string& aOrganisation,
                                      Usage& aUsage,
                                      base::Instant aNow) const;
  [[nodiscard]] RateHistory EncodeHistory(History& aHistory,
                                          base::Instant aNow) const;
  [[nodiscard]] RateRefunds EncodeRefunds(WindowCounter& aRefunds,
                                          base::Instant aNow) const;
  void RecordResponse(Usage& aUsage,
                      const RateResponse& aResponse,
                      base::Instant aNow) const;
  [[nodiscard]] std::int64_t SliceAt(base::Instant aNow) const
  {
    return WindowCounter::SliceAt(aNow, window_);
  }

  base::Duration window_;
  RateLimitMembership members_;
  RateAccounts accounts_;
  /// When this host was first told of the members; it knows nothing of before.
  std::optional<base::Instant> startedAt_;
  base::Instant ownersCheckedAt_{};
  std::unordered_map<std::string, Usage> usages_; ///< By organisation.
  std::uint64_t lastQuery_ = 0;
};

} // namespace pumiceturn::fleet
