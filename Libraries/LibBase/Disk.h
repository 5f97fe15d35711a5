#pragma once

#include "LibBase/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pumiceturn::base {

/// An open file; closed with the last reference.
class File
{
public:
  explicit File(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  ~File();
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  [[nodiscard]] int Descriptor() const { return descriptor_; }

private:
  int descriptor_;
};

using FilePointer = std::shared_ptr<File>;

/// The operating system's calls that may fail in a way worth a test.
struct Disk
{
  /// Writes all bytes at an offset. @return DiskFull or InputOutput.
  std::function<Result<void>(const File& aFile,
                             std::string_view aBytes,
                             std::uint64_t aOffset)>
    write_;
  std::function<Result<void>(const File& aFile)> sync_;
  std::function<std::uint64_t(const std::string& aFolder)> freeBytes_;

  /// @return the calls of the operating system.
  static Disk Real();
};

/// Opens a file for reading and writing, and creates it where it is missing.
Result<FilePointer>
OpenFile(const std::string& aPath);

Result<std::string>
ReadBytes(const File& aFile, std::uint64_t aOffset, std::size_t aLength);

Result<std::uint64_t>
FileBytes(const File& aFile);

Result<void>
TruncateFile(const File& aFile, std::uint64_t aLength);

/// Makes the creation or deletion of a folder's files durable.
Result<void>
SyncFolder(const std::string& aFolder);

} // namespace pumiceturn::base
