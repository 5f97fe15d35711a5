#include "LibFleet/CallerAuthentication.h"

namespace pumiceturn::fleet {

namespace {

struct CredentialVisitor
{
  const OrganisationTable& organisations_;
  const DeclarationsAge& age_;

  Caller operator()(const NoCredential& /*aCredential*/) const
  {
    return UnauthenticatedCaller{ "no key" };
  }

  Caller operator()(const MalformedCredential& /*aCredential*/) const
  {
    return UnauthenticatedCaller{ "malformed key" };
  }

  Caller operator()(const base::TokenDigest& aKey) const
  {
    const Organisation* organisation = organisations_.FindByKey(aKey);
    if (organisation == nullptr) {
      return age_.MayReject() ? Caller{ UnauthenticatedCaller{ "unknown key" } }
                              : Caller{ UnconfirmedCaller{} };
    }
    return age_.MayAdmit() ? Caller{ AuthenticatedCaller{ organisation } }
                           : Caller{ UnconfirmedCaller{} };
  }
};

} // namespace

Caller
AuthenticateCaller(const OrganisationTable& aOrganisations,
                   const Credential& aCredential,
                   bool aNeedsKey,
                   const DeclarationsAge& aAge)
{
  if (!aNeedsKey || !aOrganisations.AreDeclared()) {
    return AnonymousCaller{};
  }
  return std::visit(CredentialVisitor{ aOrganisations, aAge }, aCredential);
}

} // namespace pumiceturn::fleet
