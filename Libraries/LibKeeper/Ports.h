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

/// Declared limits of a request kind.
struct KindLimits
{
  std::uint32_t maxAttempts_ = 0; ///< 0 for the default.
  std::uint32_t deadlineMs_ = 0;  ///< 0 for the default.
};

/// Dependencies of the job service. They are called without its lock, except
/// those marked "Pure", which may be called under it and must not block or call
/// back.
struct Ports
{
  using Appended = std::function<void(base::ResultCode aCode,
                                      std::span<const joblog::LogPosition>)>;
  using Task = std::function<void()>;

  std::string host_; ///< Name of this host.
  /// Appends records to a partition's log. Calls aDone with their positions
  /// once they are durable, or with an error.
  std::function<void(std::uint32_t aPartition,
                     std::vector<std::string> aRecords,
                     Appended aDone)>
    append_;
  /// Reads a record. May block.
  std::function<base::Result<std::string>(const joblog::LogPosition&)> read_;
  /// Drops a partition's records before a sequence number.
  std::function<void(std::uint32_t aPartition, std::uint64_t aBeforeSequence)>
    trim_;
  /// Hands all partitions over to other hosts.
  std::function<void()> handOver_;
  std::function<base::ResultCode(const std::string& aPeer, wire::Message)>
    send_;
  std::function<void(Task)> post_; ///< Runs a task on the worker pool.

  /// @return whether the log has room for new jobs. Pure.
  std::function<bool()> hasRoom_;
  std::function<base::Instant()> now_;                           ///< Pure.
  std::function<std::int64_t()> wallUnixMs_;                     ///< Pure.
  std::function<std::uint32_t()> partitionCount_;                ///< Pure.
  std::function<std::string(std::uint32_t aPartition)> ownerOf_; ///< Pure.
  std::function<KindLimits(const std::string& aService,
                           const std::string& aKind)>
    limitsOf_; ///< Pure.
  std::function<std::uint32_t(const std::string& aPartner)>
    batchWeightOf_;                                               ///< Pure.
  std::function<bool(std::uint64_t aFingerprint)> isQuarantined_; ///< Pure.
};

} // namespace pumiceturn::keeper
