#pragma once

#include "LibBase/Lifetime.h"
#include "LibMetadata/StoreClient.h"
#include "LibMetadata/StoreHealth.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace pumiceturn::metadata {

/// Registers this host in the store under a lease, so that the others learn of
/// it and of its end. A lease may lapse while the host is paused or the store
/// is away; it then registers again. Its renewals are the calls by which a host
/// that follows nothing learns of an outage. Belongs to the event thread.
class HostLease
{
public:
  struct Options
  {
    std::string key_;
    std::string value_;
    base::Duration lifetime_{ std::chrono::seconds{ 3 } };
    base::Duration renewal_{ std::chrono::seconds{ 1 } };
  };

  HostLease(boost::asio::io_context& aContext,
            StoreClient& aClient,
            StoreHealth& aHealth,
            Options aOptions);

  void Start() { Grant(); }

  /// Registers again if another process removed the key.
  void OnKeyRemoved();

  /// Ends the registration; aDone is called when the store has answered.
  void End(std::function<void()> aDone);

private:
  void Grant();
  void Register();
  void Renew();
  void After(base::Duration aPause, void (HostLease::*aStep)());
  void RecordCall(StoreStatus aStatus, base::Instant aMadeAt);

  StoreClient& client_;
  StoreHealth& health_;
  Options options_;
  boost::asio::steady_timer timer_;
  std::uint64_t lease_ = 0;
  bool registered_ = false;
  bool ended_ = false;
  base::Lifetime lifetime_;
};

} // namespace pumiceturn::metadata
