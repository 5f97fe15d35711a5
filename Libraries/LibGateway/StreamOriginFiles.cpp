#include "LibGateway/StreamOriginFiles.h"

#include "LibBase/Ids.h"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <system_error>
#include <utility>
#include <variant>

namespace pumiceturn::gateway {

using nlohmann::json;

namespace {

/// Precedes each group. The byte order is the machine's: a disk stays with it,
/// and a group of another order fails its checksum.
struct GroupHeader
{
  std::uint64_t bytes_ = 0; ///< Of the rows.
  std::uint64_t checksum_ = 0;
};

} // namespace

std::string
EncodeOriginRows(std::span<const StoredOrigin> aRows)
{
  json rows = json::array();
  for (const StoredOrigin& row : aRows) {
    rows.push_back({ row.id_,
                     row.origin_.service_,
                     row.origin_.version_,
                     base::ToUnixMs(row.expiresAt_) });
  }
  return rows.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<StoredOrigin>>
DecodeOriginRows(std::string_view aText)
{
  try {
    std::vector<StoredOrigin> decoded;
    for (const json& row : json::parse(aText)) {
      decoded.push_back(
        { row.at(0).get<std::string>(),
          { row.at(1).get<std::string>(), row.at(2).get<std::string>() },
          base::FromUnixMs(row.at(3).get<std::int64_t>()) });
    }
    return decoded;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string
EncodeOriginGroup(std::span<const StoredOrigin> aRows)
{
  const std::string text = EncodeOriginRows(aRows);
  const GroupHeader header{ text.size(), base::HashBytes(text) };
  std::string group(sizeof(header), '\0');
  std::memcpy(group.data(), &header, sizeof(header));
  return group + text;
}

DecodedOrigins
DecodeOriginGroups(std::string_view aBytes)
{
  DecodedOrigins decoded;
  while (aBytes.size() - decoded.validBytes_ >= sizeof(GroupHeader)) {
    const std::string_view rest = aBytes.substr(decoded.validBytes_);
    GroupHeader header;
    std::memcpy(&header, rest.data(), sizeof(header));
    if (header.bytes_ > rest.size() - sizeof(header)) {
      break;
    }
    const std::string_view text = rest.substr(sizeof(header), header.bytes_);
    if (base::HashBytes(text) != header.checksum_) {
      break;
    }
    auto rows = DecodeOriginRows(text);
    if (!rows) {
      break;
    }
    std::move(rows->begin(), rows->end(), std::back_inserter(decoded.rows_));
    decoded.validBytes_ += sizeof(header) + header.bytes_;
  }
  return decoded;
}

StreamOriginFiles::StreamOriginFiles(std::filesystem::path aFolder,
                                     base::Disk aDisk)
  : folder_(std::move(aFolder))
  , disk_(std::move(aDisk))
{
  std::error_code ignored;
  // If this fails, each write reports an error.
  std::filesystem::create_directories(folder_, ignored);
}

std::filesystem::path
StreamOriginFiles::PathOf(std::size_t aFile) const
{
  return folder_ / fmt::format("origins-{}", aFile);
}

base::Result<DecodedOrigins>
StreamOriginFiles::Read(std::size_t aFile)
{
  BOOST_LEAF_AUTO(file, base::OpenFile(PathOf(aFile).string()));
  BOOST_LEAF_AUTO(bytes, base::FileBytes(*file));
  BOOST_LEAF_AUTO(text, base::ReadBytes(*file, 0, std::min(bytes, kMaxBytes)));
  return DecodeOriginGroups(text);
}

StreamOriginFiles::ReadOutcome
StreamOriginFiles::ReadAll(base::WallTime aNow)
{
  ReadOutcome outcome;
  for (std::size_t file = 0; file < files_.size(); ++file) {
    auto read = base::Capture([&] { return Read(file); });
    if (const auto* failure = std::get_if<base::Failure>(&read)) {
      outcome.error_ = outcome.error_.value_or(*failure);
      // Its rows mustn't be overwritten before they can have expired.
      files_[file].bytes_ = kMaxBytes;
      continue;
    }
    auto& decoded = std::get<DecodedOrigins>(read);
    files_[file].bytes_ = decoded.validBytes_;
    for (StoredOrigin& row : decoded.rows_) {
      files_[file].lastExpiry_ =
        std::max(files_[file].lastExpiry_, row.expiresAt_);
      if (row.expiresAt_ > aNow) {
        outcome.rows_.push_back(std::move(row));
      }
    }
  }
  current_ = files_[0].lastExpiry_ >= files_[1].lastExpiry_ ? 0 : 1;
  return outcome;
}

base::Result<void>
StreamOriginFiles::Rotate()
{
  const std::size_t next = 1 - current_;
  BOOST_LEAF_AUTO(file, base::OpenFile(PathOf(next).string()));
  BOOST_LEAF_CHECK(base::TruncateFile(*file, 0));
  current_ = next;
  files_[current_].bytes_ = 0;
  return {};
}

base::Result<void>
StreamOriginFiles::Write(std::string_view aGroup)
{
  OriginFile& current = files_[current_];
  if (current.bytes_ + aGroup.size() > kMaxBytes) {
    return base::Fail(base::ResultCode::DiskFull,
                      "records of streams: both files are full");
  }
  BOOST_LEAF_AUTO(file, base::OpenFile(PathOf(current_).string()));
  BOOST_LEAF_CHECK(disk_.write_(*file, aGroup, current.bytes_));
  current.isSynced_ = false;
  current.bytes_ += aGroup.size();
  return {};
}

base::Result<void>
StreamOriginFiles::SyncFile(std::size_t aFile)
{
  OriginFile& entry = files_[aFile];
  if (entry.isSynced_) {
    return {};
  }
  BOOST_LEAF_AUTO(file, base::OpenFile(PathOf(aFile).string()));
  BOOST_LEAF_CHECK(disk_.sync_(*file));
  if (!entry.isDurable_) {
    BOOST_LEAF_CHECK(base::SyncFolder(folder_.string()));
    entry.isDurable_ = true;
  }
  entry.isSynced_ = true;
  return {};
}

std::optional<base::Failure>
StreamOriginFiles::Sync()
{
  const auto synced = base::Capture([this]() -> base::Result<void> {
    for (std::size_t file = 0; file < files_.size(); ++file) {
      BOOST_LEAF_CHECK(SyncFile(file));
    }
    return {};
  });
  if (const auto* failure = std::get_if<base::Failure>(&synced)) {
    return *failure;
  }
  return std::nullopt;
}

std::optional<base::Failure>
StreamOriginFiles::Append(std::span<const StoredOrigin> aRows,
                          base::WallTime aNow)
{
  const bool mayRotate = files_[current_].bytes_ >= kRotationBytes &&
                         files_[1 - current_].lastExpiry_ <= aNow;
  const auto written = base::Capture([&]() -> base::Result<void> {
    if (mayRotate) {
      BOOST_LEAF_CHECK(Rotate());
    }
    return Write(EncodeOriginGroup(aRows));
  });
  if (const auto* failure = std::get_if<base::Failure>(&written)) {
    return *failure;
  }
  for (const StoredOrigin& row : aRows) {
    files_[current_].lastExpiry_ =
      std::max(files_[current_].lastExpiry_, row.expiresAt_);
  }
  return std::nullopt;
}

} // namespace pumiceturn::gateway
