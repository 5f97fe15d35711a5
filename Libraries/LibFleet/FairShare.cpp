#include "LibFleet/FairShare.h"

namespace pumiceturn::fleet {

void
FairShare::CountStart(const std::string& /*aOrganisation*/)
{
}

void
FairShare::CountEnd(const std::string& /*aOrganisation*/)
{
}

void
FairShare::SetPeerCounts(const std::string& /*aPeer*/,
                         std::span<const OrganisationCount> /*aCounts*/,
                         base::Instant /*aNow*/)
{
}

std::vector<OrganisationCount>
FairShare::LargestCounts() const
{
  return {};
}

ShareDecision
FairShare::Check(const std::string& /*aOrganisation*/,
                 const ServiceLoad& /*aLoad*/,
                 base::Instant /*aNow*/) const
{
  return ShareDecision::Admit;
}

} // namespace pumiceturn::fleet
