#pragma once

#include <Declarations.pb.h>

#include <fmt/format.h>

namespace pumiceturn::benchmarks {

/// Declarations of the target's shape: five services with endpoints, and
/// partners with a token digest each.
inline declarations::Declarations
MakeDeclarations(int aPartners, int aEndpoints)
{
  constexpr int kServices = 5;
  constexpr int kKinds = 4;
  declarations::Declarations all;
  for (int s = 0; s < kServices; ++s) {
    auto& service = *all.add_services();
    service.set_name(fmt::format("service-{}", s));
    for (int k = 0; k < kKinds; ++k) {
      auto& kind = *service.add_kinds();
      kind.set_name(fmt::format("kind-{}", k));
      kind.set_deadline_ms(1000);
      kind.set_max_attempts(3);
      kind.set_max_tokens(512);
    }
  }
  for (int e = 0; e < aEndpoints; ++e) {
    auto& endpoint = *all.mutable_services(e % kServices)->add_endpoints();
    endpoint.set_name(fmt::format("endpoint-{}", e));
    endpoint.set_failure_domain(fmt::format("domain-{}", e % 19));
    endpoint.set_agent_address(
      fmt::format("10.0.{}.{}:7100", e / 250, e % 250));
  }
  for (int p = 0; p < aPartners; ++p) {
    auto& partner = *all.add_partners();
    partner.set_name(fmt::format("organisation-{}", p));
    partner.set_token_sha256(fmt::format("{:064x}", p * 2654435761U));
    partner.add_services(fmt::format("service-{}", p % kServices));
    partner.set_batch_share(1 + static_cast<std::uint32_t>(p % 4));
  }
  return all;
}

} // namespace pumiceturn::benchmarks
