#pragma once

#include "LibBase/Result.h"
#include "LibLots/HeldLot.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace pumiceturn::lots {

/// How the writing of a lot went.
struct WriteOutcome
{
  std::optional<base::Failure> error_; ///< None: the lot is on the disk.
  /// After an error: the file has its name already, and may be there after a
  /// restart.
  bool mayBeThere_ = false;
};

/// Held lots as files, one each, in a folder. A file has its name only once its
/// content is on the disk, so after a loss of power it is whole or isn't there.
/// Each call waits for the disk. Not thread-safe.
class HeldLotFiles
{
public:
  /// @param aFolder Made where it is missing.
  explicit HeldLotFiles(std::filesystem::path aFolder);

  /// Writes a lot and waits until it would outlast a loss of power.
  [[nodiscard]] WriteOutcome Write(const HeldLot& aLot);

  /// Removes a lot's file. It may be back after a loss of power: whoever reads
  /// it then finds that the store has the lot.
  void Remove(const std::string& aLot);

  /// @return all whole lots. Files that are not whole were never acknowledged
  ///         and are removed.
  [[nodiscard]] std::vector<HeldLot> ReadAll();

private:
  /// Makes a file with the lot's content durable, under any name.
  [[nodiscard]] static base::Result<void> WritePart(
    const std::filesystem::path& aPart,
    const HeldLot& aLot);

  /// Gives the file its name for good.
  [[nodiscard]] base::Result<void> Rename(
    const std::filesystem::path& aPart,
    const std::filesystem::path& aPath) const;
  [[nodiscard]] std::filesystem::path PathOf(const std::string& aLot) const;

  std::filesystem::path folder_;
};

} // namespace pumiceturn::lots
