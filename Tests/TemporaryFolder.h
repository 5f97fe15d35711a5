#pragma once

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace pumiceturn {

/// A new folder that is removed with its content.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "pumiceturn-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("mkdtemp");
    }
    path_ = pattern;
  }
  ~TemporaryFolder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] const std::string& Path() const { return path_; }

  /// @return paths of the files in it, sorted.
  [[nodiscard]] std::vector<std::string> Files() const
  {
    std::set<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(path_)) {
      names.insert(entry.path().string());
    }
    return { names.begin(), names.end() };
  }

private:
  std::string path_;
};

/// @return where a text stands in a file, or std::string::npos.
inline std::uint64_t
FindText(const std::string& aFile, const std::string& aText)
{
  std::ifstream stream(aFile, std::ios::binary);
  const std::string bytes(std::istreambuf_iterator<char>(stream), {});
  return bytes.find(aText);
}

inline void
FlipBit(const std::string& aFile, std::uint64_t aOffset)
{
  constexpr char kBit = 0x10;
  std::fstream stream(aFile, std::ios::binary | std::ios::in | std::ios::out);
  stream.seekg(static_cast<std::streamoff>(aOffset));
  const char byte = static_cast<char>(stream.get());
  stream.seekp(static_cast<std::streamoff>(aOffset));
  stream.put(static_cast<char>(byte ^ kBit));
}

} // namespace pumiceturn
