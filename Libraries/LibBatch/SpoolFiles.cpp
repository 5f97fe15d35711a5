#include "LibBatch/SpoolFiles.h"

#include "LibBase/Disk.h"
#include "LibBase/Ids.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace pumiceturn::batch {

namespace {

constexpr std::string_view kTemporarySuffix = ".part";

std::optional<base::Failure>
FailureOf(const base::Outcome<std::monostate>& aOutcome)
{
  const auto* failure = std::get_if<base::Failure>(&aOutcome);
  return failure != nullptr ? std::optional(*failure) : std::nullopt;
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
  return folder_ / fmt::format("lot-{:016x}", base::HashBytes(aJob));
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

std::vector<SpooledJob>
SpoolFiles::ReadAll()
{
  std::vector<SpooledJob> jobs;
  std::vector<std::filesystem::path> incomplete;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(folder_, error)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    auto job = DecodeSpooledJob(text);
    if (job && entry.path() == PathOf(job->id_)) {
      jobs.push_back(std::move(*job));
    } else {
      incomplete.push_back(entry.path());
    }
  }
  for (const auto& path : incomplete) {
    std::filesystem::remove(path, error);
  }
  return jobs;
}

} // namespace pumiceturn::batch
