#pragma once

#include "LibLots/HeldLot.h"

#include <filesystem>
#include <string>
#include <system_error>
#include <vector>

namespace pumiceturn::lots {

/// Held lots as files, one each, in a folder. A file has its name only once its
/// content is on the disk, so after a loss of power it is whole or isn't there.
/// Each call waits for the disk. Not thread-safe.
class HeldLotFiles
{
public:
  /// @param aFolder Made where it is missing.
  explicit HeldLotFiles(std::filesystem::path aFolder);

  /// Writes a lot and waits until it would outlast a loss of power.
  /// @return what went wrong, from the system.
  [[nodiscard]] std::error_code Write(const HeldLot& aLot);

  /// Removes a lot's file. It may be back after a loss of power: whoever reads
  /// it then finds that the store has the lot.
  void Remove(const std::string& aLot);

  /// @return all whole lots. Files that are not whole were never acknowledged
  ///         and are removed.
  [[nodiscard]] std::vector<HeldLot> ReadAll();

private:
  [[nodiscard]] std::filesystem::path PathOf(const std::string& aLot) const;

  std::filesystem::path folder_;
};

} // namespace pumiceturn::lots
