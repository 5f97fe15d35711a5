#include "LibBatch/SpoolFiles.h"

#include "Tests/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <iterator>

namespace pumiceturn::batch {

class SpoolFilesFixture
{
protected:
  static SpooledJob MakeJob(const std::string& aId)
  {
    SpooledJob job;
    job.id_ = aId;
    job.state_.owner_ = "worker/1";
    job.state_.acceptedAtMs_ = 1700000000000;
    job.state_.itemCount_ = 2;
    job.content_ = "{\"items\":[]}\n and any ";
    job.content_.push_back('\0');
    job.content_.append("bytes");
    return job;
  }

  [[nodiscard]] std::filesystem::path OnlyFile() const
  {
    return std::filesystem::directory_iterator(folder_)->path();
  }

  TemporaryFolder temporary_;
  std::filesystem::path folder_{ std::filesystem::path(temporary_.Path()) /
                                 "lots" };
};

TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_JobWritten_IsReadAfterRestart")
{
  CHECK_FALSE(SpoolFiles(folder_).Write(MakeJob("../a lot")).error_);
  const auto jobs = SpoolFiles(folder_).ReadAll().jobs_;
  REQUIRE(jobs.size() == 1);
  CHECK(jobs.front() == MakeJob("../a lot"));
}

TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_JobRemoved_IsNotRead")
{
  SpoolFiles files(folder_);
  CHECK_FALSE(files.Write(MakeJob("a")).error_);
  CHECK_FALSE(files.Write(MakeJob("b")).error_);
  files.Remove("a");
  const auto jobs = files.ReadAll().jobs_;
  REQUIRE(jobs.size() == 1);
  CHECK(jobs.front().id_ == "b");
}

// Guards against running a partially written job after a power failure.
TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_IncompleteFile_IsRemoved")
{
  CHECK_FALSE(SpoolFiles(folder_).Write(MakeJob("a")).error_);
  const auto path = OnlyFile();
  std::ifstream whole(path, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(whole), {});
  for (const std::size_t bytes :
       { std::size_t{ 0 }, std::size_t{ 20 }, text.size() - 1 }) {
    std::ofstream(path, std::ios::binary)
      .write(text.data(), static_cast<std::streamsize>(bytes));
    CHECK(SpoolFiles(folder_).ReadAll().jobs_.empty());
  }
  std::string corrupt = text;
  corrupt[text.size() - 3] ^= 1;
  std::ofstream(path, std::ios::binary) << corrupt;
  CHECK(SpoolFiles(folder_).ReadAll().jobs_.empty());
  CHECK_FALSE(std::filesystem::exists(path));
}

// Guards against acknowledging a job that could not be written.
TEST_CASE_METHOD(SpoolFilesFixture,
                 "SpoolFiles_FolderCannotBeCreated_WriteFails")
{
  std::ofstream(folder_) << "a file where the folder should be";
  const SpoolWriteOutcome outcome = SpoolFiles(folder_).Write(MakeJob("a"));
  CHECK(outcome.error_);
  CHECK_FALSE(outcome.mayExist_);
}

// Guards against rejecting a job that may still run after a restart.
TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_RenameFails_FileMayExist")
{
  SpoolFiles files(folder_);
  CHECK_FALSE(files.Write(MakeJob("a")).error_);
  const auto path = OnlyFile();
  std::filesystem::remove(path);
  std::filesystem::create_directories(path / "in the way");
  const SpoolWriteOutcome outcome = files.Write(MakeJob("a"));
  CHECK(outcome.error_);
  CHECK(outcome.mayExist_);
}

// Guards against deleting accepted jobs that can't be read at the start: while
// descriptors are exhausted, or the disk fails.
TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_FileCannotBeOpened_IsKept")
{
  SpoolFiles files(folder_);
  REQUIRE_FALSE(files.Write(MakeJob("a")).error_);
  struct rlimit former = {};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &former) == 0);
  const int next = dup(0);
  REQUIRE(next >= 0);
  close(next);
  // One descriptor is left, for the folder.
  struct rlimit limit = former;
  limit.rlim_cur = static_cast<rlim_t>(next) + 1;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  const auto unread = files.ReadAll();
  REQUIRE(setrlimit(RLIMIT_NOFILE, &former) == 0);
  CHECK(unread.error_);
  CHECK(unread.jobs_.empty());
  CHECK(files.ReadAll().jobs_.size() == 1);
}

TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_FileCannotBeRead_IsKept")
{
  SpoolFiles files(folder_);
  // Reading a folder fails, as reading from a faulty disk does.
  const auto path = folder_ / "lot-0";
  std::filesystem::create_directory(path);
  CHECK(files.ReadAll().error_);
  CHECK(std::filesystem::exists(path));
}

} // namespace pumiceturn::batch
