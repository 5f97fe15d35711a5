#pragma once

#include "LibBase/Disk.h"
#include "LibBase/Time.h"
#include "LibFleet/StreamOrigin.h"

#include <array>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pumiceturn::gateway {

/// A record of where a stream began, as it is kept on disk.
struct StoredOrigin
{
  std::string id_; ///< Of the request that brought the first event.
  fleet::StreamOrigin origin_;
  base::WallTime expiresAt_;

  bool operator==(const StoredOrigin&) const = default;
};

/// @return rows as text, without a checksum.
[[nodiscard]] std::string
EncodeOriginRows(std::span<const StoredOrigin> aRows);

/// @return the rows; std::nullopt if the text isn't of their format.
[[nodiscard]] std::optional<std::vector<StoredOrigin>>
DecodeOriginRows(std::string_view aText);

/// The rows of a file, and where the next ones belong.
struct DecodedOrigins
{
  std::vector<StoredOrigin> rows_;
  std::uint64_t validBytes_ = 0;
};

/// @return rows that are written together, with a checksum.
[[nodiscard]] std::string
EncodeOriginGroup(std::span<const StoredOrigin> aRows);

/// @return the rows up to the first group that is torn or damaged.
[[nodiscard]] DecodedOrigins
DecodeOriginGroups(std::string_view aBytes);

/// Keeps records of streams in two files, so that they survive the process and
/// a power failure. One file is written until it has a certain size; then the
/// other one is written anew, once all its rows have expired. All calls block
/// on disk I/O. Not thread-safe.
class StreamOriginFiles
{
public:
  /// Size from which on the other file is used, and the largest size. A row
  /// takes about 80 bytes.
  static constexpr std::uint64_t kRotationBytes = 1024ULL * 1024;
  static constexpr std::uint64_t kMaxBytes = 8ULL * 1024 * 1024;

  /// @param aFolder Created if it does not exist.
  /// @param aDisk   Calls of the operating system.
  explicit StreamOriginFiles(std::filesystem::path aFolder,
                             base::Disk aDisk = base::Disk::Real());

  struct ReadOutcome
  {
    std::vector<StoredOrigin> rows_;
    std::optional<base::Failure> error_; ///< The first one.
  };

  /// Reads the rows of both files that haven't expired.
  ReadOutcome ReadAll(base::WallTime aNow);

  /// Appends rows. They outlive the process, and a power failure after Sync().
  /// @return why the rows may be lost with the process; empty if they aren't.
  std::optional<base::Failure> Append(std::span<const StoredOrigin> aRows,
                                      base::WallTime aNow);

  /// Syncs what was appended.
  /// @return why rows may be lost with the machine; empty if none are.
  std::optional<base::Failure> Sync();

private:
  struct OriginFile
  {
    std::uint64_t bytes_ = 0;
    base::WallTime lastExpiry_{}; ///< Of its rows.
    bool isDurable_ = false;      ///< Its name is synced.
    bool isSynced_ = true;
  };

  [[nodiscard]] std::filesystem::path PathOf(std::size_t aFile) const;
  base::Result<DecodedOrigins> Read(std::size_t aFile);
  base::Result<void> Write(std::string_view aGroup);
  base::Result<void> Rotate();
  base::Result<void> SyncFile(std::size_t aFile);

  std::filesystem::path folder_;
  base::Disk disk_;
  std::array<OriginFile, 2> files_;
  std::size_t current_ = 0;
};

} // namespace pumiceturn::gateway
