#include "LibLots/HeldLotFiles.h"

#include "LibBase/Disk.h"
#include "LibBase/Ids.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace pumiceturn::lots {

namespace {

constexpr std::string_view kUnfinished = ".part";

std::optional<base::Failure>
FailureOf(const base::Outcome<std::monostate>& aOutcome)
{
  const auto* failure = std::get_if<base::Failure>(&aOutcome);
  return failure != nullptr ? std::optional(*failure) : std::nullopt;
}

} // namespace

HeldLotFiles::HeldLotFiles(std::filesystem::path aFolder)
  : folder_(std::move(aFolder))
{
  std::error_code ignored;
  // Where it can't be made, each write says why.
  std::filesystem::create_directories(folder_, ignored);
}

std::filesystem::path
HeldLotFiles::PathOf(const std::string& aLot) const
{
  // A lot's id comes from its sender and may hold any character.
  return folder_ / fmt::format("lot-{:016x}", base::HashBytes(aLot));
}

base::Result<void>
HeldLotFiles::WritePart(const std::filesystem::path& aPart, const HeldLot& aLot)
{
  const base::Disk disk = base::Disk::Real();
  BOOST_LEAF_AUTO(file, base::OpenFile(aPart.string()));
  BOOST_LEAF_CHECK(base::TruncateFile(*file, 0));
  BOOST_LEAF_CHECK(disk.write_(*file, EncodeHeldLot(aLot), 0));
  return disk.sync_(*file);
}

base::Result<void>
HeldLotFiles::Rename(const std::filesystem::path& aPart,
                     const std::filesystem::path& aPath) const
{
  std::error_code error;
  std::filesystem::rename(aPart, aPath, error);
  if (error) {
    return base::Fail(base::ResultCode::InputOutput,
                      fmt::format("rename: {}", error.message()));
  }
  return base::SyncFolder(folder_.string());
}

WriteOutcome
HeldLotFiles::Write(const HeldLot& aLot)
{
  const std::filesystem::path path = PathOf(aLot.id_);
  std::filesystem::path part = path;
  part += kUnfinished;
  auto error = FailureOf(base::Capture([&] { return WritePart(part, aLot); }));
  if (error) {
    return { std::move(error), false };
  }
  return { FailureOf(base::Capture([&] { return Rename(part, path); })), true };
}

void
HeldLotFiles::Remove(const std::string& aLot)
{
  std::error_code ignored;
  std::filesystem::remove(PathOf(aLot), ignored);
}

std::vector<HeldLot>
HeldLotFiles::ReadAll()
{
  std::vector<HeldLot> lots;
  std::vector<std::filesystem::path> broken;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(folder_, error)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    auto lot = DecodeHeldLot(text);
    if (lot && entry.path() == PathOf(lot->id_)) {
      lots.push_back(std::move(*lot));
    } else {
      broken.push_back(entry.path());
    }
  }
  for (const auto& path : broken) {
    std::filesystem::remove(path, error);
  }
  return lots;
}

} // namespace pumiceturn::lots
