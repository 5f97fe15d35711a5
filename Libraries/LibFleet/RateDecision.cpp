#include "LibFleet/RateDecision.h"

namespace pumiceturn::fleet {

std::string_view
NameOf(RateBasis aBasis)
{
  switch (aBasis) {
    case RateBasis::AtOnce:
      return "at_once";
    case RateBasis::OwnAccount:
      return "own_account";
    case RateBasis::OwnerResponse:
      return "owner";
    case RateBasis::OwnPart:
      return "own_part";
    case RateBasis::NoCredit:
      return "no_credit";
    case RateBasis::MembersUnknown:
      return "members_unknown";
  }
  return "unknown";
}

} // namespace pumiceturn::fleet
