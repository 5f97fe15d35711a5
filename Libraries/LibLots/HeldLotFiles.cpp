#include "LibLots/HeldLotFiles.h"

#include "LibBase/Ids.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

namespace pumiceturn::lots {

namespace {

constexpr std::string_view kUnfinished = ".part";

std::error_code
LastError()
{
  return { errno, std::generic_category() };
}

/// A file descriptor that is closed at the end of its scope.
class Descriptor
{
public:
  Descriptor(const std::filesystem::path& aPath, int aFlags)
    : number_(::open(aPath.c_str(), aFlags | O_CLOEXEC, S_IRUSR | S_IWUSR))
  {
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor(Descriptor&&) = delete;
  Descriptor& operator=(Descriptor&&) = delete;
  ~Descriptor()
  {
    if (number_ >= 0) {
      ::close(number_);
    }
  }

  [[nodiscard]] bool IsOpen() const { return number_ >= 0; }

  [[nodiscard]] std::error_code WriteAll(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const ssize_t written = ::write(number_, aBytes.data(), aBytes.size());
      if (written < 0) {
        return LastError();
      }
      aBytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }

  [[nodiscard]] std::error_code Sync() const
  {
    return ::fsync(number_) == 0 ? std::error_code() : LastError();
  }

private:
  int number_;
};

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

std::error_code
HeldLotFiles::WritePart(const std::filesystem::path& aPart, const HeldLot& aLot)
{
  const Descriptor file(aPart, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.IsOpen()) {
    return LastError();
  }
  if (const auto error = file.WriteAll(EncodeHeldLot(aLot))) {
    return error;
  }
  return file.Sync();
}

WriteOutcome
HeldLotFiles::Write(const HeldLot& aLot)
{
  const std::filesystem::path path = PathOf(aLot.id_);
  std::filesystem::path part = path;
  part += kUnfinished;
  if (const auto error = WritePart(part, aLot)) {
    return { error, false };
  }
  std::error_code error;
  std::filesystem::rename(part, path, error);
  if (error) {
    return { error, true };
  }
  const Descriptor folder(folder_, O_RDONLY | O_DIRECTORY);
  return { folder.IsOpen() ? folder.Sync() : LastError(), true };
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
