#include "LibBatch/SpoolFiles.h"

#include "LibBase/Disk.h"
#include "LibBase/Ids.h"

#include <fmt/format.h>

#include <array>
#include <fstream>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace pumiceturn::batch {

namespace {

constexpr std::string_view kPrefix = "lot-";
constexpr std::string_view kTemporarySuffix = ".part";

std::optional<base::Failure>
FailureOf(const base::Outcome<std::monostate>& aOutcome)
{
  const auto* failure = std::get_if<base::Failure>(&aOutcome);
  return failure != nullptr ? std::optional(*failure) : std::nullopt;
}

/// @return the content of a file, or why it can't be read.
base::Result<std::string>
ReadFile(const std::filesystem::path& aPath)
{
  constexpr std::size_t kBlockBytes = 65536;
  std::ifstream file(aPath, std::ios::binary);
  std::string text;
  std::array<char, kBlockBytes> block{};
  while (file) {
    file.read(block.data(), block.size());
    text.append(block.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    return base::Fail(
      base::ResultCode::InputOutput,
      fmt::format("{}: can't be read", aPath.filename().string()));
  }
  return text;
}

} // namespace

SpoolFiles::SpoolFiles(std::filesystem::path aFolder)
  : folder_(std::move(aFolder))
{
  std::error_code ignored;
  // If this fails, each write reports an error.
  std::filesystem::create_directories(folder_, ignored);
}

std::filesystem::path
SpoolFiles::PathOf(const std::string& aJob) const
{
  // The job ID is chosen by the submitter and may contain any character.
  return folder_ / fmt::format("{}{:016x}", kPrefix, base::HashBytes(aJob));
}

base::Result<void>
SpoolFiles::WriteTemporary(const std::filesystem::path& aTemporary,
                           const SpooledJob& aJob)
{
  const base::Disk disk = base::Disk::Real();
  BOOST_LEAF_AUTO(file, base::OpenFile(aTemporary.string()));
  BOOST_LEAF_CHECK(base::TruncateFile(*file, 0));
  BOOST_LEAF_CHECK(disk.write_(*file, EncodeSpooledJob(aJob), 0));
  return disk.sync_(*file);
}

base::Result<void>
SpoolFiles::Rename(const std::filesystem::path& aTemporary,
                   const std::filesystem::path& aPath) const
{
  std::error_code error;
  std::filesystem::rename(aTemporary, aPath, error);
  if (error) {
    return base::Fail(base::ResultCode::InputOutput,
                      fmt::format("rename: {}", error.message()));
  }
  return base::SyncFolder(folder_.string());
}

SpoolWriteOutcome
SpoolFiles::Write(const SpooledJob& aJob)
{
  const std::filesystem::path path = PathOf(aJob.id_);
  std::filesystem::path temporary = path;
  temporary += kTemporarySuffix;
  auto error =
    FailureOf(base::Capture([&] { return WriteTemporary(temporary, aJob); }));
  if (error) {
    return { std::move(error), false };
  }
  return { FailureOf(base::Capture([&] { return Rename(temporary, path); })),
           true };
}

void
SpoolFiles::Remove(const std::string& aJob)
{
  std::error_code ignored;
  std::filesystem::remove(PathOf(aJob), ignored);
}

SpoolReadOutcome
SpoolFiles::ReadAll()
{
  SpoolReadOutcome outcome;
  std::vector<std::filesystem::path> incomplete;
  std::error_code error;
  std::filesystem::directory_iterator entry(folder_, error);
  for (; !error && entry != std::filesystem::directory_iterator();
       entry.increment(error)) {
    const std::filesystem::path path = entry->path();
    if (!path.filename().string().starts_with(kPrefix)) {
      continue;
    }
    const auto text = base::Capture([&path] { return ReadFile(path); });
    if (const auto* failure = std::get_if<base::Failure>(&text)) {
      outcome.error_ = outcome.error_.value_or(*failure);
      continue;
    }
    auto job = DecodeSpooledJob(std::get<std::string>(text));
    if (job && path == PathOf(job->id_)) {
      outcome.jobs_.push_back(std::move(*job));
    } else {
      incomplete.push_back(path);
    }
  }
  if (error) {
    outcome.error_ = outcome.error_.value_or(
      base::Failure{ base::ResultCode::InputOutput, error.message() });
  }
  for (const auto& path : incomplete) {
    std::filesystem::remove(path, error);
  }
  return outcome;
}

} // namespace pumiceturn::batch
