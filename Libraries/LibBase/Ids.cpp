#include "LibBase/Ids.h"

#include <fmt/format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pumiceturn::base {

JobId
MakeJobId(std::string_view aPartner, std::string_view aRequestKey)
{
  // The partner's length keeps ("ab", "c") apart from ("a", "bc").
  const std::string text =
    fmt::format("{}:{}:{}", aPartner.size(), aPartner, aRequestKey);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return JobId{ hash.high64, hash.low64 };
}

std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string
ToString(const JobId& aJob)
{
  return fmt::format("{:016x}{:016x}", aJob.high_, aJob.low_);
}

std::string
ToString(const RunId& aRun)
{
  return fmt::format(
    "{}/{}/{}", ToString(aRun.job_), aRun.item_, aRun.attempt_);
}

} // namespace pumiceturn::base
