#include "LibFleet/ProcessEndSearch.h"

#include <array>
#include <utility>

namespace pumiceturn::fleet {

namespace {

/// Pauses between checks. With the time that checks take, the last one is made
/// about half a second after the first.
constexpr std::array<std::chrono::milliseconds, 3> kPauses{
  std::chrono::milliseconds{ 20 },
  std::chrono::milliseconds{ 60 },
  std::chrono::milliseconds{ 120 }
};

} // namespace

std::string_view
NameOf(EndProof aProof)
{
  switch (aProof) {
    case EndProof::Refused:
      return "refused";
    case EndProof::OtherProcess:
      return "other_process";
    case EndProof::Replaced:
      break;
  }
  return "replaced";
}

EndFinding
ProcessEndSearch::Record(EndpointCheck aCheck, bool aIsReplaced)
{
  ++checks_;
  if (aIsReplaced) {
    return ProcessEnded{ EndProof::Replaced };
  }
  switch (aCheck) {
    case EndpointCheck::Refused:
      return ProcessEnded{ EndProof::Refused };
    case EndpointCheck::OtherProcess:
      return ProcessEnded{ EndProof::OtherProcess };
    case EndpointCheck::Open:
    case EndpointCheck::Unnamed:
    case EndpointCheck::SameProcess:
      return EndNotShown{};
    case EndpointCheck::Closed:
      if (std::exchange(wasClosed_, true)) {
        return EndNotShown{};
      }
      break;
    case EndpointCheck::Unreachable:
    case EndpointCheck::Silent:
      break;
  }
  return CheckLater();
}

EndFinding
ProcessEndSearch::CheckLater() const
{
  if (checks_ > kPauses.size()) {
    return EndNotShown{};
  }
  return CheckAgain{ kPauses.at(checks_ - 1) };
}

} // namespace pumiceturn::fleet
