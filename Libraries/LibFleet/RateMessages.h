#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::fleet {

/// What a host knows of an organisation's requests in the last window, for an
/// owner that takes over the account.
struct RateHistory
{
  /// Requests that the host admitted and reported to former owners, by slice of
  /// a WindowCounter: the current slice first. Shorter than the window if the
  /// host started within it.
  std::vector<std::uint32_t> requestsBySlice_;
  /// Index in requestsBySlice_ of the slice in which an owner last said that
  /// the credit is used up; std::nullopt: none in the window.
  std::optional<std::uint32_t> usedUpSlice_ = std::nullopt;
  /// Time for which the host knows what it admitted, up to the length of
  /// requestsBySlice_; std::nullopt: not given.
  std::optional<base::Duration> knownFor_ = std::nullopt;

  bool operator==(const RateHistory&) const = default;
};

/// Requests of a series of reports that were refunded, as totals by the slice
/// of the reporter's clock in which they were reported or granted.
struct RateRefunds
{
  std::int64_t currentSlice_ = 0; ///< When the report was made.
  /// The current slice first; at most those of a WindowCounter.
  std::vector<std::uint32_t> requestsBySlice_;

  bool operator==(const RateRefunds&) const = default;
};

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
  /// Given until the owner responds for the first time in this series.
  std::optional<RateHistory> history_ = std::nullopt;
  /// The refunded requests of the last window. std::nullopt: none were refunded
  /// in the series, or the reporter doesn't know when they were admitted.
  std::optional<RateRefunds> refunds_ = std::nullopt;

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
  /// The account's credit is used up. Without it, requests may also be refused
  /// because the window is full.
  bool isCreditUsedUp_ = false;
  /// The owner doesn't know all that was admitted in the last window, or hosts
  /// are still changing to it.
  bool isAccountNew_ = false;

  bool operator==(const RateResponse&) const = default;
};

} // namespace pumiceturn::fleet
