#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>

namespace pumiceturn::fleet {

/// Report of a host to the owner of an organisation's account. Holds totals
/// since the start of the host's series of reports, so that a lost, duplicated
/// or late message does no harm.
struct RateReport
{
  std::string organisation_;
  /// Random id of the host's series of reports to this owner. The owner
  /// counts a new series from zero.
  std::uint64_t seriesId_ = 0;
  /// Requests that the host admitted without the owner's grant.
  std::uint64_t admitted_ = 0;
  /// Requests admitted at the host, with or without a grant, that were
  /// certainly not executed.
  std::uint64_t refunded_ = 0;
  /// Id of the query that the report makes: whether one more request may be
  /// admitted. 0: no query.
  std::uint64_t query_ = 0;
  /// Hash of the owners that the host chooses from
  /// (RateLimitMembership::CandidatesHash()); 0: not given.
  std::uint64_t candidatesHash_ = 0;
  /// The host needs a response, to know that its reports arrive.
  bool isResponseNeeded_ = false;

  bool operator==(const RateReport&) const = default;
};

/// Response of an owner to a report.
struct RateResponse
{
  std::string organisation_;
  std::uint64_t seriesId_ = 0;
  std::uint64_t query_ = 0; ///< Query that is answered; 0: none.
  bool isGranted_ = false;
  /// Time for which the host must query the owner before it admits a request of
  /// the organisation.
  base::Duration queryFirstFor_{ 0 };
  /// Time until there may be credit again; the host sends no query before that.
  base::Duration noCreditFor_{ 0 };
  /// How long the caller of a refused request should wait before it retries.
  base::Duration retryAfter_{ 0 };

  bool operator==(const RateResponse&) const = default;
};

} // namespace pumiceturn::fleet
