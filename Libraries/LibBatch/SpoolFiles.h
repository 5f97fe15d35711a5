#pragma once

#include "LibBase/Result.h"
#include "LibBatch/SpooledJob.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::batch {

/// The outcome of writing a job to disk.
struct SpoolWriteOutcome
{
  std::optional<base::Failure> error_; ///< Not set: the job is durable.
  /// After an error: whether the file may exist after a restart, because the
  /// rename was attempted.
  bool mayExist_ = false;
};

/// The jobs in a spool folder.
struct SpoolReadOutcome
{
  std::vector<SpooledJob> jobs_;
  /// The first error; not set: all files were read.
  std::optional<base::Failure> error_;
};

/// Stores spooled jobs as one file each in a folder. A file is renamed to its
/// final name only after its content was synced, so after a power failure it is
/// either complete or absent. All calls block on disk I/O. Not thread-safe.
class SpoolFiles
{
public:
  /// @param aFolder Created if it does not exist.
  explicit SpoolFiles(std::filesystem::path aFolder);

  /// Writes a job durably.
  [[nodiscard]] SpoolWriteOutcome Write(const SpooledJob& aJob);

  /// Removes a job's file. The file may reappear after a power failure, which
  /// is harmless: the job is already stored or has expired.
  void Remove(const std::string& aJob);

  /// Reads all jobs. Deletes incomplete or corrupt files, whose jobs were never
  /// acknowledged, and keeps files that can't be read.
  [[nodiscard]] SpoolReadOutcome ReadAll();

private:
  /// Writes and syncs a job to a temporary file.
  [[nodiscard]] static base::Result<void> WriteTemporary(
    const std::filesystem::path& aTemporary,
    const SpooledJob& aJob);

  /// Renames a file and syncs the folder.
  [[nodiscard]] base::Result<void> Rename(
    const std::filesystem::path& aTemporary,
    const std::filesystem::path& aPath) const;
  [[nodiscard]] std::filesystem::path PathOf(const std::string& aJob) const;

  std::filesystem::path folder_;
};

} // namespace pumiceturn::batch
