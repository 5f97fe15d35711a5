#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/RestartableTimer.h"
#include "LibBase/Time.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace pumiceturn::metadata {

/// Registers this host in the store under a lease, so that other hosts notice
/// when it starts and ends. If the lease lapses because the host is suspended
/// or the store is unavailable, the host registers again. A host that follows
/// no prefix detects outages of the store by its renewals. Used on the event
/// thread only.
class HostLease
{
public:
  struct Term
  {
    base::Duration lifetime_;
    base::Duration renewalInterval_;

    bool operator==(const Term&) const = default;
  };

  /// For hosts whose loss peers must learn of from the store, since jobs or
  /// shares of rate limits are assigned by registrations.
  static constexpr Term kShortTerm{ std::chrono::seconds{ 3 },
                                    std::chrono::seconds{ 1 } };

  /// For other hosts. Their peers notice a loss by themselves, so that the
  /// registration only has to end some time.
  static constexpr Term kLongTerm{ std::chrono::seconds{ 30 },
                                   std::chrono::seconds{ 10 } };

  struct Options
  {
    std::string key_;
    std::string value_;
    Term term_ = kShortTerm;
  };

  HostLease(boost::asio::io_context& aContext,
            StoreClient& aClient,
            StoreHealth& aHealth,
            Options aOptions);

  void Start() { Grant(); }

  /// @param aOnRegistered Called each time the store has registered this host.
  void SetOnRegistered(std::function<void()> aOnRegistered)
  {
    onRegistered_ = std::move(aOnRegistered);
  }

  /// Changes how long the lease lasts and how often it is renewed. Registers
  /// the host under a new lease if there is one.
  void SetTerm(Term aTerm);

  [[nodiscard]] const Term& CurrentTerm() const { return options_.term_; }

  /// Handles the removal of the key by another process: writes it again with
  /// the next renewal.
  void OnKeyRemoved();

  /// @return since when this host has been registered without a gap;
  ///         BootInstant::min() for the first registration of the process, as
  ///         nothing was assigned to it before.
  [[nodiscard]] base::BootInstant RegisteredSince() const
  {
    return registeredSince_;
  }

  /// @return until when the registration lasts for certain, by this host's
  ///         clock, unless it is renewed: a lease runs from the arrival of the
  ///         call that granted or renewed it.
  [[nodiscard]] base::BootInstant RegisteredUntil() const
  {
    return registeredUntil_;
  }

  /// Ends the lease.
  /// @param aDone Called when the store has responded, or immediately if there
  ///        is no lease.
  void End(std::function<void()> aDone);

private:
  void Grant();
  void Register();
  void OnRegistered();
  void RecordRenewal(base::BootInstant aMadeAt);
  /// Records that the registration may end at a moment.
  void LimitRegistration(base::BootInstant aUntil);
  void Renew();
  void ScheduleRenewal();
  void Schedule(base::Duration aPause, void (HostLease::*aStep)());
  void RecordCall(StoreStatus aStatus, base::Instant aMadeAt);

  StoreClient& client_;
  StoreHealth& health_;
  Options options_;
  std::function<void()> onRegistered_ = [] {};
  base::RestartableTimer timer_;
  std::uint64_t lease_ = 0;
  Term leaseTerm_{};                                        ///< Term of lease_.
  base::BootInstant leaseUntil_ = base::BootInstant::min(); ///< Of lease_.
  base::BootInstant registeredSince_ = base::BootInstant::min();
  base::BootInstant registeredUntil_ = base::BootInstant::min();
  /// Lease with a former term, ended once the key is tied to the new one.
  std::uint64_t replacedLease_ = 0;
  bool isWaiting_ = false; ///< No call is in progress.
  bool isRegistered_ = false;
  bool hasBeenRegistered_ = false;
  bool isEnded_ = false;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::metadata
