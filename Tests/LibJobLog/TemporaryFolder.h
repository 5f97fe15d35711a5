#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace pumiceturn::joblog {

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

private:
  std::string path_;
};

} // namespace pumiceturn::joblog
