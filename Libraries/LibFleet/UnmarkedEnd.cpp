#include "LibFleet/UnmarkedEnd.h"

namespace pumiceturn::fleet {

std::string_view
NameOf(EndpointCheck aCheck)
{
  switch (aCheck) {
    case EndpointCheck::Refused:
      return "refused";
    case EndpointCheck::Unreachable:
      return "unreachable";
    case EndpointCheck::Closed:
      return "closed";
    case EndpointCheck::Silent:
      return "silent";
    case EndpointCheck::Open:
      return "open";
    case EndpointCheck::SameProcess:
      return "same_process";
    case EndpointCheck::OtherProcess:
      return "other_process";
    case EndpointCheck::Unnamed:
      break;
  }
  return "unnamed";
}

UnmarkedEnd
Judge(EndpointCheck aCheck, Sender aSender)
{
  switch (aCheck) {
    case EndpointCheck::SameProcess:
      return UnmarkedEnd::Whole;
    case EndpointCheck::Refused:
    case EndpointCheck::Unreachable:
    case EndpointCheck::Closed:
      return UnmarkedEnd::BrokenOff;
    case EndpointCheck::OtherProcess:
      // If the sender isn't known, it may be that one.
      return aSender == Sender::Known ? UnmarkedEnd::BrokenOff
                                      : UnmarkedEnd::Unconfirmed;
    case EndpointCheck::Silent:
    case EndpointCheck::Open:
    case EndpointCheck::Unnamed:
      break;
  }
  return UnmarkedEnd::Unconfirmed;
}

} // namespace pumiceturn::fleet
