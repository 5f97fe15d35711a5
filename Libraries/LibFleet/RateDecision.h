#pragma once

#include "LibBase/Time.h"
#include "LibFleet/RateMessages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace pumiceturn::fleet {

/// What a decision on a request of a limited organisation rests on.
enum class RateBasis : std::uint8_t
{
  AtOnce,         ///< Admitted without a query, to be reported to the owner.
  OwnAccount,     ///< This host owns the organisation's account.
  OwnerResponse,  ///< The owner answered a query.
  OwnPart,        ///< The owner didn't answer: this host's part of the limit.
  NoCredit,       ///< The owner said when there will be credit.
  MembersUnknown, ///< The registered hosts aren't known yet.
};

/// @return the basis as written in logs and metrics.
[[nodiscard]] std::string_view
NameOf(RateBasis aBasis);

/// The request is admitted.
struct RateAdmitted
{
  RateBasis basis_ = RateBasis::AtOnce;
};

/// The request exceeds its organisation's limit.
struct RateRefused
{
  base::Duration retryAfter_{ 0 };
  RateBasis basis_ = RateBasis::NoCredit;
};

/// The owner of the organisation's account must be queried first.
struct RateQuery
{
  std::string owner_;
  RateReport report_; ///< Includes the query.
};

/// There may soon be credit, or an owner that knows: the request should wait
/// and be checked again.
struct RateWait
{
  base::Duration time_{ 0 };
};

using RateDecision =
  std::variant<RateAdmitted, RateRefused, RateQuery, RateWait>;

/// What a host knew when it decided on a request, for logs.
struct RateKnowledge
{
  std::string owner_; ///< Owner of the account; empty: none chosen yet.
  /// Registered hosts that admit requests, this one included.
  std::size_t admittingHosts_ = 0;
  /// Since when this host knows the registered hosts; std::nullopt: never read.
  std::optional<base::Duration> membersAge_ = std::nullopt;
  /// Since the owner's last response; std::nullopt: it never responded.
  std::optional<base::Duration> responseAge_ = std::nullopt;
  /// The owner doesn't know what was admitted in the last window.
  bool isAccountNew_ = false;

  /// @return whether a decision may exceed the limit, as neither the owner's
  ///         knowledge nor a recent response covers it.
  [[nodiscard]] bool IsUncertain(RateBasis aBasis) const
  {
    return aBasis == RateBasis::OwnPart || isAccountNew_ || !membersAge_ ||
           (aBasis == RateBasis::AtOnce && !responseAge_);
  }
};

} // namespace pumiceturn::fleet
