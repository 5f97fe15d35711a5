#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace pumiceturn {

namespace {

namespace filesystem = std::filesystem;

std::string
ReadFile(const filesystem::path& aPath)
{
  std::ifstream stream(aPath);
  return { std::istreambuf_iterator<char>(stream), {} };
}

std::set<std::string>
FindAll(const std::string& aText, const std::regex& aPattern)
{
  std::set<std::string> found;
  for (std::sregex_iterator match(aText.begin(), aText.end(), aPattern), end;
       match != end;
       ++match) {
    found.insert((*match)[1]);
  }
  return found;
}

/// @return the name of every test case under a folder.
std::set<std::string>
ListTests(const filesystem::path& aFolder)
{
  const std::regex pattern(R"re(TEST_CASE[A-Z_]*\((?:[^,"]*,)?\s*"([^"]+)")re");
  std::set<std::string> names;
  for (const auto& entry : filesystem::recursive_directory_iterator(aFolder)) {
    if (entry.path().extension() == ".cpp") {
      names.merge(FindAll(ReadFile(entry.path()), pattern));
    }
  }
  return names;
}

} // namespace

TEST_CASE("PromisesPage_EveryNamedTestAndScenario_Exists")
{
  const filesystem::path source(PUMICETURN_SOURCE_FOLDER);
  const std::string page = ReadFile(source / "docs/PROMISES.md");
  const std::set<std::string> tests = ListTests(source / "Tests");
  const auto namedTests =
    FindAll(page, std::regex("`([A-Z][A-Za-z]+_[A-Za-z]+_[A-Za-z]+)`"));
  REQUIRE_FALSE(namedTests.empty());
  for (const std::string& name : namedTests) {
    CAPTURE(name);
    CHECK(tests.contains(name));
  }
  const auto namedScenarios =
    FindAll(page, std::regex("`([a-z]+(?:-[a-z]+)+|poison)`"));
  REQUIRE_FALSE(namedScenarios.empty());
  for (const std::string& name : namedScenarios) {
    CAPTURE(name);
    CHECK(filesystem::exists(source / "Tests/Scenarios" / (name + ".yaml")));
  }
}

} // namespace pumiceturn
