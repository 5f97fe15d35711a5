#pragma once

#include "LibBase/Lifetime.h"
#include "LibBatch/HostSet.h"
#include "LibFleet/CallerAuthentication.h"
#include "LibFleet/RateLimiter.h"
#include "LibGateway/PeerMessenger.h"
#include "LibGateway/SharedState.h"
#include "LibGateway/StoreMirrors.h"
#include "LibHttpStream/ServerConnection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace pumiceturn::gateway {

/// Authenticates callers against the configuration in effect and enforces the
/// organisations' rate limits together with the other hosts. Responds to
/// requests that it rejects. Used on the event thread only.
class AccessControl
{
public:
  struct Bounds
  {
    /// Maximum time for which any host may run requests with a revoked key;
    /// std::nullopt if revocation is unbounded.
    std::optional<base::Duration> revocation_;
    /// Maximum time from when the store accepts a configuration until it is in
    /// effect at every host.
    base::Duration configuration_{ 0 };
  };

  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  AccessControl(boost::asio::any_io_executor aExecutor,
                SharedState& aShared,
                const StoreMirrors& aMirrors,
                PeerMessenger& aPeers,
                Bounds aBounds);

  /// Authenticates the caller of a request on a route.
  /// @return std::nullopt if the request was rejected and already has its
  ///         response: the caller has no valid key, or this host's
  ///         configuration is too old to check it.
  [[nodiscard]] std::optional<OrganisationName> Identify(
    const ExchangePtr& aExchange,
    const fleet::Route& aRoute);

  /// Authenticates the caller of a call on a job. A call without a key passes
  /// as anonymous, as the job may be on a route that needs none.
  /// @return std::nullopt if the request was rejected, as for Identify().
  [[nodiscard]] std::optional<OrganisationName> IdentifyForJob(
    const ExchangePtr& aExchange);

  /// Checks the rate limit of the caller's organisation.
  /// @param aRun Called if the request is within the limit, possibly later;
  ///             otherwise the request gets an error response.
  void RunIfWithinLimit(const ExchangePtr& aExchange,
                        const OrganisationName& aCaller,
                        std::function<void()> aRun);

  /// @return whether rate limits can be enforced: the hosts that share them are
  ///         known, or no organisation is declared.
  [[nodiscard]] bool CanLimitRates() const;

  /// @return whether the configuration is recent enough to accept keys.
  [[nodiscard]] bool CanAuthenticate() const;

  /// Updates the hosts that share the rate limits and sends due rate reports.
  void Tick(std::span<const batch::PeerAddress> aPeers, base::Instant aNow);

private:
  /// A request that isn't decided on yet.
  struct UndecidedRequest
  {
    ExchangePtr exchange_;
    std::string organisation_;
    std::function<void()> run_;
    base::Instant checkedAt_; ///< When it was first checked.
  };

  /// A request that waits for the owner of its organisation's account to
  /// decide.
  struct PendingQuery
  {
    PendingQuery(const boost::asio::any_io_executor& aExecutor,
                 UndecidedRequest aRequest)
      : request_(std::move(aRequest))
      , timer_(aExecutor)
    {
    }

    UndecidedRequest request_;
    boost::asio::steady_timer timer_;
  };

  [[nodiscard]] fleet::DeclarationsAge MakeDeclarationsAge() const;
  [[nodiscard]] std::optional<OrganisationName> ResolveOrReject(
    const ExchangePtr& aExchange,
    const fleet::Caller& aCaller);

  /// Checks the limit of a request's organisation.
  void Check(UndecidedRequest aRequest);

  /// @return the organisation of a request; nullptr if it is no longer
  ///         declared, and the request was rejected.
  [[nodiscard]] const fleet::Organisation* FindOrganisation(
    const UndecidedRequest& aRequest) const;
  void QueryAccountOwner(UndecidedRequest aRequest,
                         const fleet::RateQuery& aQuery);
  void CheckAgainAfter(base::Duration aTime, UndecidedRequest aRequest);
  void OnAccountOwnerTimeout(std::uint64_t aQuery);
  void OnRateReport(const std::string& aHost, const fleet::RateReport& aReport);
  void OnRateResponse(const fleet::RateResponse& aResponse);
  /// Runs, rejects or delays a request as decided.
  void Apply(const fleet::RateDecision& aDecision,
             const fleet::Organisation& aOrganisation,
             UndecidedRequest aRequest);
  void RecordAdmission(const httpstream::Exchange& aExchange,
                       const fleet::Organisation& aOrganisation,
                       fleet::RateBasis aBasis);
  /// Adds the gauges of an organisation's limit, once.
  void AddRateGauges(const std::string& aOrganisation);
  void CountDecision(const fleet::Organisation& aOrganisation,
                     std::string_view aDecision,
                     fleet::RateBasis aBasis);
  void RejectOverLimit(httpstream::Exchange& aExchange,
                       const fleet::Organisation& aOrganisation,
                       const fleet::RateRefused& aRefusal);

  boost::asio::any_io_executor executor_;
  SharedState& shared_;
  const StoreMirrors& mirrors_;
  PeerMessenger& peers_;
  Bounds bounds_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingQuery>> queries_;
  std::unordered_set<std::string> organisationsWithGauges_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
