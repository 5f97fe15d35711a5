#include "LibRouting/Fingerprint.h"

#include "LibBase/Ids.h"

namespace pumiceturn::routing {

namespace {
/// Arbitrary; the same on all hosts.
constexpr std::uint64_t kPrefixSeed = 0x70726566;
}

std::uint64_t
MakeFingerprint(std::string_view aService, std::string_view aPayload)
{
  const std::uint64_t hash =
    base::HashBytes(aPayload, base::HashBytes(aService));
  return hash == 0 ? 1 : hash;
}

std::uint64_t
HashPrefix(std::string_view aPayload)
{
  return base::HashBytes(aPayload.substr(0, kPrefixBytes), kPrefixSeed);
}

} // namespace pumiceturn::routing
