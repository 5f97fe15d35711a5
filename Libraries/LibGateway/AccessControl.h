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

namespace pumiceturn::gateway {

/// Lets requests through to be run: tells who calls by the declarations in
/// force, and holds organisations to their limits together with the other
/// hosts. Answers what isn't let through. Belongs to the event thread.
class AccessControl
{
public:
  struct Bounds
  {
    /// Time after which no request with a key that was taken away may run, at
    /// whatever host; nothing: no such bound.
    std::optional<base::Duration> revocation_;
    /// Within which an accepted configuration must be in force.
    base::Duration configuration_{ 0 };
  };

  using ExchangePtr = std::shared_ptr<httpstream::Exchange>;

  AccessControl(boost::asio::any_io_executor aExecutor,
                SharedState& aShared,
                const StoreMirrors& aMirrors,
                PeerMessenger& aPeers,
                Bounds aBounds);

  /// Tells who calls on a route.
  /// @return nothing where the request is answered: the caller has no valid
  ///         key, or this host can't tell now.
  [[nodiscard]] std::optional<CallerName> Identify(const ExchangePtr& aExchange,
                                                   const fleet::Route& aRoute);

  /// The same for a call on a job, which may be one that needs no key.
  [[nodiscard]] std::optional<CallerName> IdentifyReader(
    const ExchangePtr& aExchange);

  /// Runs a request if its caller's organisation is within its limit, otherwise
  /// answers it.
  void RunWithinLimit(const ExchangePtr& aExchange,
                      const CallerName& aCaller,
                      std::function<void()> aRun);

  /// @return whether requests with keys may run now.
  [[nodiscard]] bool IsConfirmed() const;

  /// Notes which hosts there are, and sends what is due.
  void Tick(std::span<const batch::PeerAddress> aPeers, base::Instant aNow);

private:
  /// A request that waits until the owner of its organisation's account says
  /// whether it may run.
  struct PendingQuery
  {
    explicit PendingQuery(const boost::asio::any_io_executor& aExecutor)
      : timer_(aExecutor)
    {
    }

    ExchangePtr exchange_;
    std::string organisation_;
    std::function<void()> run_;
    boost::asio::steady_timer timer_;
  };

  [[nodiscard]] fleet::DeclarationsAge Age() const;
  [[nodiscard]] std::optional<CallerName> Respond(const ExchangePtr& aExchange,
                                                  const fleet::Caller& aCaller);
  void Ask(const ExchangePtr& aExchange,
           const std::string& aOrganisation,
           std::function<void()> aRun,
           const fleet::RateQuery& aQuery);
  void OnOwnerTimeout(std::uint64_t aQuery);
  void OnReport(const std::string& aHost, const fleet::RateReport& aReport);
  void OnRateResponse(const fleet::RateResponse& aResponse);
  void Refuse(httpstream::Exchange& aExchange,
              const fleet::Organisation& aOrganisation,
              const fleet::RateRefused& aRefusal);

  boost::asio::any_io_executor executor_;
  SharedState& shared_;
  const StoreMirrors& mirrors_;
  PeerMessenger& peers_;
  Bounds bounds_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingQuery>> queries_;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::gateway
