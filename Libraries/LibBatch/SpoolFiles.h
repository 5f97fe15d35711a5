#pragma once

#include "LibBase/Result.h"
#include "LibBatch/SpooledJob.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::batch {

/// How the writing of a job went.
struct WriteOutcome
{
  std::optional<base::Failure> error_; ///< None: the job is on the disk.
  /// After an error: the file has its name already, and may be there after a
  /// restart.
  bool mayBeThere_ = false;
};

/// Held jobs as files, one each, in a folder. A file has its name only once its
/// content is on the disk, so after a loss of power it is whole or isn't there.
/// Each call waits for the disk. Not thread-safe.
class SpoolFiles
{
public:
  /// @param aFolder Made where it is missing.
  explicit SpoolFiles(std::filesystem::path aFolder);

  /// Writes a job and waits until it would outlast a loss of power.
  [[nodiscard]] WriteOutcome Write(const SpooledJob& aJob);

  /// Removes a job's file. It may be back after a loss of power: whoever reads
  /// it then finds that the store has the job.
  void Remove(const std::string& aJob);

  /// @return all whole jobs. Files that are not whole were never acknowledged
  ///         and are removed.
  [[nodiscard]] std::vector<SpooledJob> ReadAll();

private:
  /// Makes a file with the job's content durable, under any name.
  [[nodiscard]] static base::Result<void> WritePart(
    const std::filesystem::path& aPart,
    const SpooledJob& aJob);

  /// Gives the file its name for good.
  [[nodiscard]] base::Result<void> Rename(
    const std::filesystem::path& aPart,
    const std::filesystem::path& aPath) const;
  [[nodiscard]] std::filesystem::path PathOf(const std::string& aJob) const;

  std::filesystem::path folder_;
};

} // namespace pumiceturn::batch
