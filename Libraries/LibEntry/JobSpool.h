#pragma once

#include "LibBase/Result.h"
#include "LibEntry/RequestChecks.h"
#include "LibWire/Messages.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pumiceturn::entry {

/// Limits the memory used by all jobs that are being submitted through this
/// entry. Thread-safe.
class SpoolBudget
{
public:
  static constexpr std::size_t kMaxBytes = std::size_t{ 384 } << 20U;

  /// @return false if the limit would be exceeded; the caller should retry
  /// later.
  [[nodiscard]] bool TryReserve(std::size_t aBytes);
  void Release(std::size_t aBytes);

private:
  std::atomic<std::size_t> reserved_{ 0 };
};

/// Buffers a job during its submission and computes its item count and digest,
/// which the owner needs with the first frame. Kept in memory, since entry
/// hosts have no disk; limited per job and per entry. Not thread-safe.
class JobSpool
{
public:
  static constexpr std::size_t kMaxJobBytes = std::size_t{ 256 } << 20U;
  static constexpr std::size_t kTargetFrameBytes = std::size_t{ 256 } << 10U;
  static constexpr std::size_t kMaxFrameItems = 2048;

  /// @param aBudget Must outlive the spool.
  JobSpool(CheckedJobHeader aHeader, SpoolBudget& aBudget);
  ~JobSpool();
  JobSpool(const JobSpool&) = delete;
  JobSpool& operator=(const JobSpool&) = delete;

  /// Appends an item.
  /// Fails with ItemTooLarge, TooManyItems or Overloaded; the whole job must
  /// then be refused.
  base::Result<void> Add(std::string_view aName, std::string_view aPayload);

  /// Completes the job after its last item: sets its digest, ID and, if the
  /// caller gave none, its key. Fails with InvalidRequest if the job has no
  /// items, or not as many as its header declares, for example after a broken
  /// connection.
  base::Result<void> Complete();

  [[nodiscard]] const wire::JobDescription& Job() const { return header_.job_; }

  /// @param aFirstItem Index of the first item; the number of items in all
  /// earlier frames.
  /// @return a frame of at least one item; last_ is set if it contains the
  /// job's last item.
  wire::SubmitFrame MakeFrame(std::uint32_t aFirstItem);

private:
  struct Position
  {
    std::uint32_t item_ = 0;
    std::size_t offset_ = 0;
  };

  void Append(std::string_view aPart);
  std::string_view ReadPart(std::size_t& aOffset) const;

  CheckedJobHeader header_;
  SpoolBudget& budget_;
  std::size_t reserved_ = 0;
  std::string content_;
  std::uint64_t digest_;
  std::uint64_t secondDigest_;
  Position next_;
};

} // namespace pumiceturn::entry
