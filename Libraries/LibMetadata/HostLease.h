#pragma once

#include "LibBase/Lifetime.h"
#include "LibBase/RestartableTimer.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace pumiceturn::metadata {

/// Registers this host in the store under a lease, so that other hosts notice
/// when it starts and ends. If the lease lapses because the host is suspended
/// or the store is unavailable, the host registers again. A host that follows
/// no prefix detects outages of the store by its renewals. Used on the event
/// thread only.
class HostLease
{
public:
  struct Options
  {
    std::string key_;
    std::string value_;
    base::Duration lifetime_{ std::chrono::seconds{ 3 } };
    base::Duration renewalInterval_{ std::chrono::seconds{ 1 } };
  };

  HostLease(boost::asio::io_context& aContext,
            StoreClient& aClient,
            StoreHealth& aHealth,
            Options aOptions);

  void Start() { Grant(); }

  /// Handles the removal of the key by another process: writes it again with
  /// the next renewal.
  void OnKeyRemoved();

  /// Ends the lease.
  /// @param aDone Called when the store has responded, or immediately if there
  ///        is no lease.
  void End(std::function<void()> aDone);

private:
  void Grant();
  void Register();
  void Renew();
  void Schedule(base::Duration aPause, void (HostLease::*aStep)());
  void RecordCall(StoreStatus aStatus, base::Instant aMadeAt);

  StoreClient& client_;
  StoreHealth& health_;
  Options options_;
  base::RestartableTimer timer_;
  std::uint64_t lease_ = 0;
  bool isRegistered_ = false;
  bool isEnded_ = false;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::metadata
