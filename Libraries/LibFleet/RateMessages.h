#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>

namespace pumiceturn::fleet {

/// What a host tells the owner of an organisation's account. Totals since the
/// account began, so that a lost, doubled or late message does no harm.
struct RateReport
{
  std::string organisation_;
  std::uint64_t account_ = 0;  ///< Drawn when a host begins with an owner.
  std::uint64_t admitted_ = 0; ///< Requests that the host let run by itself.
  std::uint64_t returned_ = 0; ///< Let run by anyone, and certainly not run.
  /// Asks whether one more request may run; 0: no query.
  std::uint64_t query_ = 0;

  bool operator==(const RateReport&) const = default;
};

/// What an owner tells a host.
struct RateResponse
{
  std::string organisation_;
  std::uint64_t account_ = 0;
  std::uint64_t query_ = 0; ///< That is answered; 0: none.
  bool isGranted_ = false;
  /// For so long, the host asks before each request of the organisation.
  base::Duration askFirst_{ 0 };
  /// Until there may be credit again; no query need be sent before.
  base::Duration noCreditFor_{ 0 };
  /// When the caller of a refused request should come back.
  base::Duration retryAfter_{ 0 };

  bool operator==(const RateResponse&) const = default;
};

} // namespace pumiceturn::fleet
