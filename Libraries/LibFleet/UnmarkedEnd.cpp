#include "LibFleet/UnmarkedEnd.h"

namespace pumiceturn::fleet {

UnmarkedEnd
Judge(EndpointCheck aCheck)
{
  switch (aCheck) {
    case EndpointCheck::SameProcess:
      return UnmarkedEnd::Whole;
    case EndpointCheck::Unreachable:
    case EndpointCheck::OtherProcess:
      return UnmarkedEnd::BrokenOff;
    case EndpointCheck::Open:
    case EndpointCheck::Unnamed:
      break;
  }
  return UnmarkedEnd::Unconfirmed;
}

} // namespace pumiceturn::fleet
