#include "LibGateway/StreamOriginFiles.h"
#include "Tests/TemporaryFolder.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>

namespace pumiceturn::gateway {

using namespace std::chrono_literals;

class StreamOriginFilesFixture
{
protected:
  static StoredOrigin Row(const std::string& aId, base::WallTime aExpiresAt)
  {
    return { aId, { "service", "v1" }, aExpiresAt };
  }

  /// Writes rows that expire together until a file is above a size.
  void Fill(std::uint64_t aBytes, base::WallTime aExpiresAt)
  {
    const std::string id(100, 'x');
    const std::vector<StoredOrigin> rows(1000, Row(id, aExpiresAt));
    std::uint64_t written = 0;
    while (written < aBytes) {
      REQUIRE_FALSE(files_.Append(rows, now_));
      written += EncodeOriginGroup(rows).size();
    }
  }

  /// @return the ids that another process reads.
  std::vector<std::string> IdsAtRestart() const
  {
    std::vector<std::string> ids;
    for (const StoredOrigin& row :
         StreamOriginFiles(folder_.Path()).ReadAll(now_).rows_) {
      ids.push_back(row.id_);
    }
    return ids;
  }

  TemporaryFolder folder_;
  StreamOriginFiles files_{ folder_.Path() };
  base::WallTime now_{ 1h };
};

TEST_CASE_METHOD(StreamOriginFilesFixture,
                 "StreamOriginFiles_ProcessRestarts_RowsAreRead")
{
  const std::vector<StoredOrigin> rows{ Row("a", now_ + 1s),
                                        Row("b", now_ + 2s) };
  REQUIRE_FALSE(files_.Append(std::span(rows).first(1), now_));
  REQUIRE_FALSE(files_.Append(std::span(rows).last(1), now_));
  StreamOriginFiles again(folder_.Path());
  CHECK(again.ReadAll(now_).rows_ == rows);
  // Rows of the new process follow.
  REQUIRE_FALSE(again.Append(std::vector{ Row("c", now_ + 3s) }, now_));
  CHECK(IdsAtRestart() == std::vector<std::string>{ "a", "b", "c" });
}

TEST_CASE_METHOD(StreamOriginFilesFixture,
                 "StreamOriginFiles_RowsHaveExpired_AreLeftOut")
{
  REQUIRE_FALSE(files_.Append(
    std::vector{ Row("a", now_ + 1s), Row("b", now_ + 9s) }, now_));
  now_ += 5s;
  CHECK(IdsAtRestart() == std::vector<std::string>{ "b" });
}

// Guards against records that are lost, or read wrongly, as a power failure cut
// the last write at any byte.
TEST_CASE_METHOD(StreamOriginFilesFixture,
                 "StreamOriginFiles_LastGroupIsTorn_OthersAreRead")
{
  const std::vector<StoredOrigin> first{ Row("a", now_ + 1s) };
  const std::string bytes = EncodeOriginGroup(first);
  const std::string torn =
    bytes + EncodeOriginGroup(std::vector{ Row("b", now_ + 1s) });
  for (std::size_t size = 0; size < torn.size(); ++size) {
    const DecodedOrigins decoded =
      DecodeOriginGroups(std::string_view(torn).substr(0, size));
    CHECK(decoded.rows_.size() == (size < bytes.size() ? 0 : 1));
    CHECK(decoded.validBytes_ == (size < bytes.size() ? 0 : bytes.size()));
  }
  std::string damaged = torn;
  damaged.back() = static_cast<char>(damaged.back() + 1);
  CHECK(DecodeOriginGroups(damaged).rows_ == first);
  CHECK(DecodeOriginGroups(std::string(1000, '\xff')).rows_.empty());
}

// Guards against a file that grows as long as the host runs.
TEST_CASE_METHOD(StreamOriginFilesFixture,
                 "StreamOriginFiles_RowsExpire_FilesAreWrittenAnew")
{
  for (int round = 0; round < 20; ++round) {
    Fill(StreamOriginFiles::kRotationBytes, now_ + 1s);
    now_ += 2s;
  }
  REQUIRE_FALSE(files_.Append(std::vector{ Row("last", now_ + 1s) }, now_));
  std::uint64_t bytes = 0;
  for (const std::string& path : folder_.Files()) {
    bytes += std::filesystem::file_size(path);
  }
  CHECK(bytes < 4 * StreamOriginFiles::kRotationBytes);
  CHECK(IdsAtRestart() == std::vector<std::string>{ "last" });
}

// Guards against a disk that is filled, or rows that are dropped before they
// expire.
TEST_CASE_METHOD(StreamOriginFilesFixture,
                 "StreamOriginFiles_NothingExpires_SizeIsLimited")
{
  REQUIRE_FALSE(files_.Append(std::vector{ Row("first", now_ + 1h) }, now_));
  const std::vector<StoredOrigin> rows(1000,
                                       Row(std::string(100, 'x'), now_ + 1h));
  std::optional<base::Failure> error;
  for (int round = 0; round < 1000 && !error; ++round) {
    error = files_.Append(rows, now_);
  }
  REQUIRE(error);
  CHECK(error->code_ == base::ResultCode::DiskFull);
  CHECK(IdsAtRestart().front() == "first");
}

// Guards against ending the process because its disk fails.
TEST_CASE("StreamOriginFiles_FolderIsMissing_WriteFails")
{
  StreamOriginFiles files("/proc/no-such-folder");
  const base::WallTime now{ 1h };
  CHECK(files.ReadAll(now).error_);
  CHECK(files.Append(
    std::vector<StoredOrigin>{ { "a", { "service", "v1" }, now + 1s } }, now));
}

} // namespace pumiceturn::gateway
