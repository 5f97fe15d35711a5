#include "Command.h"
#include "Connection.h"

#include "LibSettings/AnyFile.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <vector>

namespace pumiceturn::pumicectl {

namespace {

namespace filesystem = std::filesystem;

/// Appends a file, or every YAML file below a folder in the order of names.
void
AppendFiles(const std::string& aPath, std::vector<std::string>& aFiles)
{
  std::error_code error;
  if (!filesystem::is_directory(aPath, error)) {
    aFiles.push_back(aPath);
    return;
  }
  std::vector<std::string> found;
  for (const auto& entry :
       filesystem::recursive_directory_iterator(aPath, error)) {
    const auto extension = entry.path().extension();
    if (entry.is_regular_file() &&
        (extension == ".yaml" || extension == ".yml")) {
      found.push_back(entry.path().string());
    }
  }
  std::sort(found.begin(), found.end());
  aFiles.insert(aFiles.end(), found.begin(), found.end());
}

void
Declare(cxxopts::Options& aOptions)
{
  aOptions.add_options()("path",
                         "Files, or folders of YAML files",
                         cxxopts::value<std::vector<std::string>>());
  aOptions.parse_positional({ "path" });
}

base::Result<ExitCode>
Run(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("path") == 0) {
    throw cxxopts::exceptions::parsing("the argument path is missing");
  }
  std::vector<std::string> files;
  for (const auto& path : aArguments["path"].as<std::vector<std::string>>()) {
    AppendFiles(path, files);
  }
  bool isGood = true;
  for (const std::string& file : files) {
    const auto outcome =
      base::Capture([&] { return settings::CheckFile(file); });
    if (const auto* failure = std::get_if<base::Failure>(&outcome)) {
      std::cerr << failure->detail_ << "\n";
      isGood = false;
      continue;
    }
    std::cout << file << ": "
              << settings::NameOf(std::get<settings::FileType>(outcome))
              << ", ok\n";
  }
  if (files.empty()) {
    std::cerr << "no YAML file found\n";
  }
  return isGood && !files.empty() ? ExitCode::Done : ExitCode::InvalidInput;
}

} // namespace

const Command kValidateCommand{
  "validate", "PATH...", "Check settings, declarations, host lists and plans",
  Declare,    Run,
};

} // namespace pumiceturn::pumicectl
