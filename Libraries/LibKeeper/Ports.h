#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibJobLog/LogPosition.h"
#include "LibWire/Messages.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace pumiceturn::keeper {

/// What the declarations say of a request kind.
struct KindLimits
{
  std::uint32_t maxAttempts_ = 0; ///< 0: the default.
  std::uint32_t deadlineMs_ = 0;  ///< 0: the default.
};

/// What the job service needs from the rest of the process. The functions are
/// called without its lock, except those marked "pure", which must not block or
/// call back.
struct Ports
{
  using Appended = std::function<void(base::ResultCode aCode,
                                      std::span<const joblog::LogPosition>)>;
  using Task = std::function<void()>;

  std::string host_; ///< This process's name.
  std::function<void(std::uint32_t aPartition,
                     std::vector<std::string> aRecords,
                     Appended aDone)>
    append_;
  std::function<base::Result<std::string>(const joblog::LogPosition&)> read_;
  std::function<void(std::uint32_t aPartition, std::uint64_t aBeforeSequence)>
    trim_;
  std::function<void()> handOver_;
  std::function<base::ResultCode(const std::string& aPeer, wire::Message)>
    send_;
  std::function<void(Task)> post_; ///< Runs a task on the worker pool.

  std::function<bool()> hasRoom_;                                ///< Pure.
  std::function<base::Instant()> now_;                           ///< Pure.
  std::function<std::int64_t()> wallUnixMs_;                     ///< Pure.
  std::function<std::uint32_t()> partitionCount_;                ///< Pure.
  std::function<std::string(std::uint32_t aPartition)> ownerOf_; ///< Pure.
  std::function<KindLimits(const std::string& aService,
                           const std::string& aKind)>
    limitsOf_; ///< Pure.
  std::function<std::uint32_t(const std::string& aPartner)>
    batchShareOf_;                                                ///< Pure.
  std::function<bool(std::uint64_t aFingerprint)> isQuarantined_; ///< Pure.
};

} // namespace pumiceturn::keeper
