#pragma once

#include <sys/types.h>

#include <map>
#include <mutex>
#include <string>

namespace pumiceturn::adapter {

/// What the files below a folder would hold after a loss of power: their
/// content as of their last sync, and the names as of the last sync of their
/// folder. A new file's name is durable with the file's own sync. The test
/// program's fsync() and fdatasync() report each sync to the instance, of which
/// there may be one at a time. Thread-safe.
class DurableFiles
{
public:
  explicit DurableFiles(std::string aRoot);
  ~DurableFiles();
  DurableFiles(const DurableFiles&) = delete;
  DurableFiles& operator=(const DurableFiles&) = delete;

  /// Records the content of a file or folder that was synced.
  void RecordSync(int aDescriptor);

  /// Writes the durable files of a folder to another one, which is created.
  /// They are durable there too.
  void Restore(const std::string& aFolder, const std::string& aTarget);

private:
  struct Content
  {
    int descriptor_ = -1; ///< Keeps the inode number from being used again.
    std::string bytes_;
  };

  /// @return the content of the folder's durable files, by name.
  [[nodiscard]] std::map<std::string, std::string> ContentsOf(
    const std::string& aFolder) const;
  void RecordFolder(const std::string& aFolder);
  void RecordFile(int aDescriptor, const std::string& aPath, ino_t aInode);

  std::string root_;
  mutable std::mutex mutex_;
  /// Inodes by name, by folder.
  std::map<std::string, std::map<std::string, ino_t>> names_;
  std::map<ino_t, Content> contents_;
};

} // namespace pumiceturn::adapter
