#include "Tests/PlatformPowerLoss/DurableFiles.h"

#include "LibBase/Disk.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <fmt/format.h>

#include <atomic>
#include <cassert>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace pumiceturn::adapter {

namespace {

std::atomic<DurableFiles*> current{ nullptr };

int
Sync(long aCall, int aDescriptor)
{
  const long result = syscall(aCall, aDescriptor);
  DurableFiles* files = current;
  if (result == 0 && files != nullptr) {
    files->RecordSync(aDescriptor);
  }
  return static_cast<int>(result);
}

std::string
ReadWholeFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

DurableFiles::DurableFiles(std::string aRoot)
  : root_(std::move(aRoot))
{
  assert(current == nullptr);
  current = this;
}

DurableFiles::~DurableFiles()
{
  current = nullptr;
  for (const auto& [inode, content] : contents_) {
    close(content.descriptor_);
  }
}

void
DurableFiles::RecordSync(int aDescriptor)
{
  struct stat info = {};
  const std::filesystem::path path =
    std::filesystem::read_symlink(fmt::format("/proc/self/fd/{}", aDescriptor));
  if (!path.string().starts_with(root_) || fstat(aDescriptor, &info) != 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (S_ISDIR(info.st_mode)) {
    RecordFolder(path.string());
  } else {
    RecordFile(aDescriptor, path.string(), info.st_ino);
  }
}

void
DurableFiles::RecordFolder(const std::string& aFolder)
{
  std::map<std::string, ino_t> names;
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    struct stat info = {};
    if (stat(entry.path().c_str(), &info) == 0) {
      names[entry.path().filename().string()] = info.st_ino;
    }
  }
  names_[aFolder] = std::move(names);
}

void
DurableFiles::RecordFile(int aDescriptor,
                         const std::string& aPath,
                         ino_t aInode)
{
  const std::filesystem::path path(aPath);
  names_[path.parent_path().string()][path.filename().string()] = aInode;
  Content& content = contents_[aInode];
  if (content.descriptor_ < 0) {
    content.descriptor_ = dup(aDescriptor);
  }
  content.bytes_ = ReadWholeFile(aPath);
}

std::map<std::string, std::string>
DurableFiles::ContentsOf(const std::string& aFolder) const
{
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::string> contents;
  const auto folder = names_.find(aFolder);
  if (folder == names_.end()) {
    return contents;
  }
  for (const auto& [name, inode] : folder->second) {
    const auto content = contents_.find(inode);
    contents[name] =
      content != contents_.end() ? content->second.bytes_ : std::string();
  }
  return contents;
}

void
DurableFiles::Restore(const std::string& aFolder, const std::string& aTarget)
{
  std::filesystem::create_directories(aTarget);
  for (const auto& [name, bytes] : ContentsOf(aFolder)) {
    const std::string path = fmt::format("{}/{}", aTarget, name);
    std::ofstream(path, std::ios::binary) << bytes;
    const base::File file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    fsync(file.Descriptor());
  }
}

} // namespace pumiceturn::adapter

// The C library's functions, replaced to record what would outlive a loss of
// power.

// NOLINTNEXTLINE(readability-identifier-naming): the system's signature.
extern "C" int
fsync(int aDescriptor)
{
  return pumiceturn::adapter::Sync(SYS_fsync, aDescriptor);
}

// NOLINTNEXTLINE(readability-identifier-naming): the system's signature.
extern "C" int
fdatasync(int aDescriptor)
{
  return pumiceturn::adapter::Sync(SYS_fdatasync, aDescriptor);
}
