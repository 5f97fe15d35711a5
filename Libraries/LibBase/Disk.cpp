#include "LibBase/Disk.h"

#include <fmt/format.h>

#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <system_error>
#include <unistd.h>

namespace pumiceturn::base {

namespace {

constexpr mode_t kFileMode = 0640;

boost::leaf::error_id
FailWithErrno(const char* aCall)
{
  const int code = errno;
  return Fail(
    code == ENOSPC || code == EDQUOT ? ResultCode::DiskFull
                                     : ResultCode::InputOutput,
    fmt::format("{}: {}", aCall, std::generic_category().message(code)));
}

Result<void>
WriteAll(const File& aFile, std::string_view aBytes, std::uint64_t aOffset)
{
  while (!aBytes.empty()) {
    const ssize_t written = pwrite(aFile.Descriptor(),
                                   aBytes.data(),
                                   aBytes.size(),
                                   static_cast<off_t>(aOffset));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return FailWithErrno("pwrite");
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
    aOffset += static_cast<std::uint64_t>(written);
  }
  return {};
}

Result<void>
SyncData(const File& aFile)
{
  if (fdatasync(aFile.Descriptor()) != 0) {
    return FailWithErrno("fdatasync");
  }
  return {};
}

std::uint64_t
FreeBytes(const std::string& aFolder)
{
  struct statvfs info = {};
  if (statvfs(aFolder.c_str(), &info) != 0) {
    return 0;
  }
  return std::uint64_t{ info.f_bavail } * info.f_frsize;
}

} // namespace

File::~File()
{
  close(descriptor_);
}

Disk
Disk::Real()
{
  return Disk{ WriteAll, SyncData, FreeBytes };
}

Result<FilePointer>
OpenFile(const std::string& aPath)
{
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): the system's signature.
  const int descriptor =
    open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    return FailWithErrno("open");
  }
  return std::make_shared<File>(descriptor);
}

Result<std::string>
ReadBytes(const File& aFile, std::uint64_t aOffset, std::size_t aLength)
{
  std::string bytes(aLength, '\0');
  std::size_t done = 0;
  while (done < aLength) {
    const ssize_t count = pread(aFile.Descriptor(),
                                bytes.data() + done,
                                aLength - done,
                                static_cast<off_t>(aOffset + done));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return FailWithErrno("pread");
    }
    if (count == 0) {
      break;
    }
    done += static_cast<std::size_t>(count);
  }
  bytes.resize(done);
  return bytes;
}

Result<std::uint64_t>
FileBytes(const File& aFile)
{
  struct stat info = {};
  if (fstat(aFile.Descriptor(), &info) != 0) {
    return FailWithErrno("fstat");
  }
  return static_cast<std::uint64_t>(info.st_size);
}

Result<void>
TruncateFile(const File& aFile, std::uint64_t aLength)
{
  if (ftruncate(aFile.Descriptor(), static_cast<off_t>(aLength)) != 0) {
    return FailWithErrno("ftruncate");
  }
  return {};
}

Result<void>
SyncFolder(const std::string& aFolder)
{
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): the system's signature.
  const int descriptor = open(aFolder.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return FailWithErrno("open");
  }
  const File folder(descriptor);
  if (fsync(folder.Descriptor()) != 0) {
    return FailWithErrno("fsync");
  }
  return {};
}

} // namespace pumiceturn::base
