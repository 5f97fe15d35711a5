#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace pumiceturn::base {

/// Identifies a job, or an online request, which is a job of one item. Made
/// from the partner and its request key, so that a resent request finds the
/// first one.
struct JobId
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
  auto operator<=>(const JobId&) const = default;
};

/// One attempt at one item.
struct RunId
{
  JobId job_;
  std::uint32_t item_ = 0;
  std::uint32_t attempt_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads a defaulted <=>.
  auto operator<=>(const RunId&) const = default;
};

/// @return the id of a partner's request key, by XXH3 with 128 bits. The
/// partner is part of it, so that a chosen collision harms only its maker.
JobId
MakeJobId(std::string_view aPartner, std::string_view aRequestKey);

/// @return XXH3 with 64 bits over the bytes.
std::uint64_t
HashBytes(std::string_view aBytes, std::uint64_t aSeed = 0);

/// @return the logical partition that holds a job's records.
inline std::uint32_t
PartitionOf(const JobId& aJob, std::uint32_t aPartitionCount)
{
  return static_cast<std::uint32_t>(aJob.low_ % aPartitionCount);
}

/// @return 32 hexadecimal digits.
std::string
ToString(const JobId& aJob);

/// @return job, item and attempt, separated by slashes.
std::string
ToString(const RunId& aRun);

} // namespace pumiceturn::base

template<>
struct std::hash<pumiceturn::base::JobId>
{
  std::size_t operator()(const pumiceturn::base::JobId& aJob) const noexcept
  {
    return static_cast<std::size_t>(aJob.high_ ^ aJob.low_);
  }
};

template<>
struct std::hash<pumiceturn::base::RunId>
{
  std::size_t operator()(const pumiceturn::base::RunId& aRun) const noexcept
  {
    constexpr std::uint64_t kOddMultiplier = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t position =
      (std::uint64_t{ aRun.item_ } << 32U) | aRun.attempt_;
    return std::hash<pumiceturn::base::JobId>{}(aRun.job_) ^
           (position * kOddMultiplier);
  }
};
