#pragma once

#include "LibBase/Time.h"
#include "LibBase/TokenDigest.h"
#include "LibFleet/OrganisationTable.h"

#include <optional>
#include <string_view>
#include <variant>

namespace pumiceturn::fleet {

/// The request carries no key.
struct NoCredential
{};

/// The key is malformed or was sent more than once.
struct MalformedCredential
{};

/// The credential that a request carries.
using Credential =
  std::variant<NoCredential, MalformedCredential, base::TokenDigest>;

/// Age of this host's copy of the declarations, and the ages up to which it may
/// be used to admit or reject a key.
struct DeclarationsAge
{
  /// Time since the copy was last known to be complete; empty if it never was.
  std::optional<base::Duration> age_;
  /// From this age on, keys found in the copy aren't admitted. Bounds how long
  /// a revoked key still works. Empty: keys are admitted at any age.
  std::optional<base::Duration> maxAgeToAdmit_;
  /// From this age on, a key missing in the copy may have been added since, so
  /// it isn't rejected.
  base::Duration maxAgeToReject_{ 0 };

  /// @return whether a key found in the copy may be admitted.
  [[nodiscard]] bool MayAdmit() const
  {
    return !maxAgeToAdmit_ || (age_ && *age_ < *maxAgeToAdmit_);
  }

  /// @return whether a key missing in the copy may be rejected.
  [[nodiscard]] bool MayReject() const
  {
    return age_ && *age_ < maxAgeToReject_;
  }
};

/// No key is needed, since the route admits anyone or no organisations are
/// declared. The caller isn't tied to an organisation.
struct AnonymousCaller
{};

/// The caller has a key of an organisation.
struct AuthenticatedCaller
{
  /// Points into the OrganisationTable.
  const Organisation* organisation_ = nullptr;
};

/// The caller has no valid key.
struct UnauthenticatedCaller
{
  std::string_view reason_; ///< For the log.
};

/// This host can't decide, since its copy of the declarations may be outdated.
struct UnconfirmedCaller
{};

using Caller = std::variant<AnonymousCaller,
                            AuthenticatedCaller,
                            UnauthenticatedCaller,
                            UnconfirmedCaller>;

/// Authenticates the caller of a request.
/// @param aNeedsKey Whether the route admits only organisations.
[[nodiscard]] Caller
AuthenticateCaller(const OrganisationTable& aOrganisations,
                   const Credential& aCredential,
                   bool aNeedsKey,
                   const DeclarationsAge& aAge);

} // namespace pumiceturn::fleet
