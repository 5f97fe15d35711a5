#pragma once

#include "LibBase/Result.h"

#include <Declarations.pb.h>

#include <fmt/format.h>

#include <string>

namespace pumiceturn::configuration {

inline declarations::Partner
MakePartner(const std::string& aName)
{
  declarations::Partner partner;
  partner.set_name(aName);
  partner.set_token_sha256("digest-of-" + aName);
  partner.add_services("origin-llm");
  return partner;
}

/// One service with a kind and an endpoint, and some partners.
inline declarations::Declarations
MakeDeclarations(int aPartners)
{
  declarations::Declarations all;
  declarations::Service& service = *all.add_services();
  service.set_name("origin-llm");
  declarations::RequestKind& kind = *service.add_kinds();
  kind.set_name("look-up");
  kind.set_deadline_ms(500);
  service.add_endpoints()->set_name("agent-1");
  for (int i = 0; i < aPartners; ++i) {
    *all.add_partners() = MakePartner(fmt::format("partner-{}", i));
  }
  return all;
}

/// @return the result's code, Ok where it has a value.
template<typename T>
base::ResultCode
CodeOf(const base::Outcome<T>& aOutcome)
{
  const auto* failure = std::get_if<base::Failure>(&aOutcome);
  return failure == nullptr ? base::ResultCode::Ok : failure->code_;
}

} // namespace pumiceturn::configuration
