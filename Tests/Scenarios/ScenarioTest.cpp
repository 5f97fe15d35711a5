#include "Scenarios/Scenario.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace pumiceturn::scenarios {

namespace {

const std::string kFolder =
  std::string(PUMICETURN_SOURCE_FOLDER) + "/Tests/Scenarios";

std::string
ReadFile(const std::filesystem::path& aPath)
{
  const std::ifstream stream(aPath);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::set<std::filesystem::path>
ScenarioFiles()
{
  std::set<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(kFolder)) {
    if (entry.path().extension() == ".yaml") {
      files.insert(entry.path());
    }
  }
  return files;
}

std::string
MakeScenario(const std::string& aSteps)
{
  return "scenario: x\npromise: x\nstory: x\nsteps:\n" + aSteps;
}

} // namespace

TEST_CASE("Scenario_EachFile_ShowsWhatItExpects")
{
  const auto files = ScenarioFiles();
  REQUIRE_FALSE(files.empty());
  for (const auto& file : files) {
    DYNAMIC_SECTION(file.filename().string())
    {
      const Verdict verdict = RunScenario(ReadFile(file));
      CHECK(verdict.expectations_ > 0);
      for (const std::string& mismatch : verdict.mismatches_) {
        FAIL_CHECK(file.filename().string() << ": " << mismatch);
      }
    }
  }
}

TEST_CASE("Scenario_RunTwice_GivesTheSameVerdict")
{
  for (const auto& file : ScenarioFiles()) {
    const std::string text = ReadFile(file);
    CHECK(RunScenario(text).mismatches_ == RunScenario(text).mismatches_);
  }
}

TEST_CASE("Scenario_ExpectationNotMet_IsReportedWithItsLine")
{
  const std::string steps = "- start: { subject: link }\n"
                            "- call: { name: ping }\n"
                            "- expect: { ping: { answered: yes-please } }\n"
                            "- expect: { link: { connections: \">= 2\" } }\n"
                            "- expect: { link: { connections: not 1 } }\n"
                            "- expect: { link: { connections: \"<= 1\" } }\n";
  const Verdict verdict = RunScenario(MakeScenario(steps));
  CHECK(verdict.expectations_ == 4);
  REQUIRE(verdict.mismatches_.size() == 3);
  CHECK(verdict.mismatches_[0] ==
        "line 7: ping.answered expected yes-please, seen no");
}

TEST_CASE("Scenario_WrittenWrongly_IsNoVerdict")
{
  for (const char* steps :
       { "- begin: { subject: link }\n",
         "- start: { subject: linkk }\n",
         "- call: { name: ping }\n",
         "- start: { subject: link, speed: 3 }\n",
         "- start: { subject: link }\n- fault: { silnet: both }\n",
         "- start: { subject: link }\n- advance: 3 parsecs\n",
         "- start: { subject: link }\n- expect: { nobody: { runs: 1 } }\n" }) {
    CAPTURE(steps);
    CHECK_THROWS_AS(RunScenario(MakeScenario(steps)), ScenarioError);
  }
}

} // namespace pumiceturn::scenarios
