#pragma once

#include "LibBase/Time.h"
#include "LibBase/TokenDigest.h"
#include "LibFleet/OrganisationTable.h"

#include <optional>
#include <string_view>
#include <variant>

namespace pumiceturn::fleet {

/// A request came without a key.
struct NoCredential
{};

/// What came as a key can't be one, or came more than once.
struct MalformedCredential
{};

/// What a request shows of its caller.
using Credential =
  std::variant<NoCredential, MalformedCredential, base::TokenDigest>;

/// How far this host's copy of the declarations may be relied on.
struct DeclarationsAge
{
  /// Time since the copy is known to have been complete; nothing: never.
  std::optional<base::Duration> age_;
  /// Beyond this age a key may have been taken away so long ago that nothing
  /// may run for it any more; nothing: keys have no such bound.
  std::optional<base::Duration> revocationBound_;
  /// Beyond this age a key that isn't known here may have been declared.
  base::Duration additionBound_{ 0 };

  /// @return whether requests with a known key may run.
  [[nodiscard]] bool MayAdmit() const
  {
    return !revocationBound_ || (age_ && *age_ < *revocationBound_);
  }

  /// @return whether a key that isn't known here isn't declared.
  [[nodiscard]] bool MayReject() const
  {
    return age_ && *age_ < additionBound_;
  }
};

/// The caller needs no key, and is no organisation.
struct AnonymousCaller
{};

/// A caller with a key of an organisation.
struct AuthenticatedCaller
{
  const Organisation* organisation_ = nullptr; ///< As in the table.
};

/// The caller has no valid key.
struct UnauthorisedCaller
{
  std::string_view reason_; ///< For the log.
};

/// This host can't tell: its copy of the declarations may be old.
struct UnconfirmedCaller
{};

using Caller = std::variant<AnonymousCaller,
                            AuthenticatedCaller,
                            UnauthorisedCaller,
                            UnconfirmedCaller>;

/// Decides who calls.
/// @param aNeedsKey Whether the route is one for organisations alone.
[[nodiscard]] Caller
AuthenticateCaller(const OrganisationTable& aOrganisations,
                   const Credential& aCredential,
                   bool aNeedsKey,
                   const DeclarationsAge& aAge);

} // namespace pumiceturn::fleet
