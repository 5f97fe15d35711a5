#include "LibBatch/SpoolFiles.h"

#include "Tests/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

namespace pumiceturn::batch {

class SpoolFilesFixture
{
protected:
  static SpooledJob BatchJob(const std::string& aId)
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

TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_Written_IsThereAfterRestart")
{
  CHECK_FALSE(SpoolFiles(folder_).Write(BatchJob("../a lot")).error_);
  const auto jobs = SpoolFiles(folder_).ReadAll();
  REQUIRE(jobs.size() == 1);
  CHECK(jobs.front() == BatchJob("../a lot"));
}

TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_Removed_IsGone")
{
  SpoolFiles files(folder_);
  CHECK_FALSE(files.Write(BatchJob("a")).error_);
  CHECK_FALSE(files.Write(BatchJob("b")).error_);
  files.Remove("a");
  const auto jobs = files.ReadAll();
  REQUIRE(jobs.size() == 1);
  CHECK(jobs.front().id_ == "b");
}

// Half a job runs: the host lost power while it wrote the file, and took what
// was there for the whole.
TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_TornFile_IsNoJob")
{
  CHECK_FALSE(SpoolFiles(folder_).Write(BatchJob("a")).error_);
  const auto path = OnlyFile();
  std::ifstream whole(path, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(whole), {});
  for (const std::size_t bytes :
       { std::size_t{ 0 }, std::size_t{ 20 }, text.size() - 1 }) {
    std::ofstream(path, std::ios::binary)
      .write(text.data(), static_cast<std::streamsize>(bytes));
    CHECK(SpoolFiles(folder_).ReadAll().empty());
  }
  std::string spoilt = text;
  spoilt[text.size() - 3] ^= 1;
  std::ofstream(path, std::ios::binary) << spoilt;
  CHECK(SpoolFiles(folder_).ReadAll().empty());
  CHECK_FALSE(std::filesystem::exists(path));
}

// A disk that refuses writes: the job must not count as kept.
TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_NoFolder_WriteSaysWhy")
{
  std::ofstream(folder_) << "a file where the folder should be";
  const WriteOutcome outcome = SpoolFiles(folder_).Write(BatchJob("a"));
  CHECK(outcome.error_);
  CHECK_FALSE(outcome.mayBeThere_);
}

// A partner is told that its job was refused, and it runs after a restart: the
// file had its name when the disk began to refuse writes.
TEST_CASE_METHOD(SpoolFilesFixture, "SpoolFiles_RenameFails_MayBeThere")
{
  SpoolFiles files(folder_);
  CHECK_FALSE(files.Write(BatchJob("a")).error_);
  const auto path = OnlyFile();
  std::filesystem::remove(path);
  std::filesystem::create_directories(path / "in the way");
  const WriteOutcome outcome = files.Write(BatchJob("a"));
  CHECK(outcome.error_);
  CHECK(outcome.mayBeThere_);
}

} // namespace pumiceturn::batch
