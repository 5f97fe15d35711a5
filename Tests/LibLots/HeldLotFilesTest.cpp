#include "LibLots/HeldLotFiles.h"

#include "Tests/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

namespace pumiceturn::lots {

class HeldLotFilesFixture
{
protected:
  static HeldLot Lot(const std::string& aId)
  {
    HeldLot lot;
    lot.id_ = aId;
    lot.state_.owner_ = "worker/1";
    lot.state_.acceptedAtMs_ = 1700000000000;
    lot.state_.itemCount_ = 2;
    lot.content_ = "{\"items\":[]}\n and any ";
    lot.content_.push_back('\0');
    lot.content_.append("bytes");
    return lot;
  }

  [[nodiscard]] std::filesystem::path OnlyFile() const
  {
    return std::filesystem::directory_iterator(folder_)->path();
  }

  TemporaryFolder temporary_;
  std::filesystem::path folder_{ std::filesystem::path(temporary_.Path()) /
                                 "lots" };
};

TEST_CASE_METHOD(HeldLotFilesFixture,
                 "HeldLotFiles_Written_IsThereAfterRestart")
{
  CHECK_FALSE(HeldLotFiles(folder_).Write(Lot("../a lot")).error_);
  const auto lots = HeldLotFiles(folder_).ReadAll();
  REQUIRE(lots.size() == 1);
  CHECK(lots.front() == Lot("../a lot"));
}

TEST_CASE_METHOD(HeldLotFilesFixture, "HeldLotFiles_Removed_IsGone")
{
  HeldLotFiles files(folder_);
  CHECK_FALSE(files.Write(Lot("a")).error_);
  CHECK_FALSE(files.Write(Lot("b")).error_);
  files.Remove("a");
  const auto lots = files.ReadAll();
  REQUIRE(lots.size() == 1);
  CHECK(lots.front().id_ == "b");
}

// Half a lot runs: the host lost power while it wrote the file, and took what
// was there for the whole.
TEST_CASE_METHOD(HeldLotFilesFixture, "HeldLotFiles_TornFile_IsNoLot")
{
  CHECK_FALSE(HeldLotFiles(folder_).Write(Lot("a")).error_);
  const auto path = OnlyFile();
  std::ifstream whole(path, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(whole), {});
  for (const std::size_t bytes :
       { std::size_t{ 0 }, std::size_t{ 20 }, text.size() - 1 }) {
    std::ofstream(path, std::ios::binary)
      .write(text.data(), static_cast<std::streamsize>(bytes));
    CHECK(HeldLotFiles(folder_).ReadAll().empty());
  }
  std::string spoilt = text;
  spoilt[text.size() - 3] ^= 1;
  std::ofstream(path, std::ios::binary) << spoilt;
  CHECK(HeldLotFiles(folder_).ReadAll().empty());
  CHECK_FALSE(std::filesystem::exists(path));
}

// A disk that refuses writes: the lot must not count as kept.
TEST_CASE_METHOD(HeldLotFilesFixture, "HeldLotFiles_NoFolder_WriteSaysWhy")
{
  std::ofstream(folder_) << "a file where the folder should be";
  const WriteOutcome outcome = HeldLotFiles(folder_).Write(Lot("a"));
  CHECK(outcome.error_);
  CHECK_FALSE(outcome.mayBeThere_);
}

// A partner is told that its lot was refused, and it runs after a restart: the
// file had its name when the disk began to refuse writes.
TEST_CASE_METHOD(HeldLotFilesFixture, "HeldLotFiles_RenameFails_MayBeThere")
{
  HeldLotFiles files(folder_);
  CHECK_FALSE(files.Write(Lot("a")).error_);
  const auto path = OnlyFile();
  std::filesystem::remove(path);
  std::filesystem::create_directories(path / "in the way");
  const WriteOutcome outcome = files.Write(Lot("a"));
  CHECK(outcome.error_);
  CHECK(outcome.mayBeThere_);
}

} // namespace pumiceturn::lots
