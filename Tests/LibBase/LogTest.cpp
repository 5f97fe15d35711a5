#include "LibBase/Log.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace pumiceturn::base {

namespace {

constexpr Event kNoisy{ 1, "noisy", LogLevel::Info, "For tests." };
constexpr Event kRare{ 2, "rare", LogLevel::Info, "For tests." };

} // namespace

class LogFixture
{
protected:
  LogFixture()
    : path_(std::filesystem::temp_directory_path() /
            ("pumiceturn-log-" + std::to_string(::getpid())))
  {
    std::filesystem::remove(path_);
    LogOptions options;
    options.file_ = path_.string();
    options.host_ = "h";
    options.maxLinesPerSecond_ = 5;
    StartLog(options);
  }
  ~LogFixture() { std::filesystem::remove(path_); }

  /// Ends the writer, so that all lines are in the file.
  std::string Finish()
  {
    StopLog();
    std::ifstream stream(path_);
    return { std::istreambuf_iterator<char>(stream), {} };
  }

  static std::size_t Count(const std::string& aText, const std::string& aPart)
  {
    std::size_t count = 0;
    for (std::size_t at = aText.find(aPart); at != std::string::npos;
         at = aText.find(aPart, at + 1)) {
      ++count;
    }
    return count;
  }

  std::filesystem::path path_;
};

// An entry host is late for seconds in a burst: it writes a line for each of
// thousands of refusals.
TEST_CASE_METHOD(LogFixture, "Log_ManyLinesOfOneEvent_AreLimitedAndCounted")
{
  constexpr int kLines = 100000;
  for (int line = 0; line < kLines; ++line) {
    Log(kNoisy);
  }
  Log(kRare);
  const std::string text = Finish();
  // The loop may cross into following seconds, each with its own share.
  CHECK(Count(text, "name=noisy") >= 5);
  CHECK(Count(text, "name=noisy") < kLines / 10);
  CHECK(Count(text, "name=rare") == 1);
}

} // namespace pumiceturn::base
