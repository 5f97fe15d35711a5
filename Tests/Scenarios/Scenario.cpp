#include "Scenarios/Scenario.h"

#include "Scenarios/AgentStage.h"
#include "Scenarios/ConfigurationStage.h"
#include "Scenarios/CopiesStage.h"
#include "Scenarios/EntryStage.h"
#include "Scenarios/KeeperStage.h"
#include "Scenarios/LinkStage.h"

#include <fmt/format.h>

#include <cstdlib>
#include <memory>
#include <variant>

namespace pumiceturn::scenarios {

namespace {

/// A core with fakes around it. All have the same functions:
/// Call, Submit, Fault (arguments), Advance (time) and Observe (subject, name).
using Stage = std::variant<std::unique_ptr<AgentStage>,
                           std::unique_ptr<EntryStage>,
                           std::unique_ptr<KeeperStage>,
                           std::unique_ptr<LinkStage>,
                           std::unique_ptr<ConfigurationStage>,
                           std::unique_ptr<CopiesStage>>;

Stage
MakeStage(Arguments& aArguments)
{
  const std::string subject = aArguments.Text("subject");
  if (subject == "agents") {
    return std::make_unique<AgentStage>(aArguments);
  }
  if (subject == "entry") {
    return std::make_unique<EntryStage>(aArguments);
  }
  if (subject == "keeper") {
    return std::make_unique<KeeperStage>(aArguments);
  }
  if (subject == "link") {
    return std::make_unique<LinkStage>(aArguments);
  }
  if (subject == "configuration") {
    return std::make_unique<ConfigurationStage>(aArguments);
  }
  if (subject == "copies") {
    return std::make_unique<CopiesStage>(aArguments);
  }
  throw ScenarioError("unknown subject " + subject);
}

/// @param aExpected A value, or "<=", ">=" or "not" and a value.
bool
Matches(const std::string& aExpected, const std::string& aSeen)
{
  const auto operand = [&](const char* aOperator) -> const char* {
    const std::string prefix = std::string(aOperator) + " ";
    return aExpected.starts_with(prefix) ? aExpected.c_str() + prefix.size()
                                         : nullptr;
  };
  char* end = nullptr;
  const double seen = std::strtod(aSeen.c_str(), &end);
  const bool isNumber = end != aSeen.c_str() && *end == '\0';
  if (const char* bound = operand("<=")) {
    return isNumber && seen <= std::strtod(bound, nullptr);
  }
  if (const char* bound = operand(">=")) {
    return isNumber && seen >= std::strtod(bound, nullptr);
  }
  if (const char* other = operand("not")) {
    return aSeen != other;
  }
  return aExpected == aSeen;
}

class Runner
{
public:
  void Do(const std::string& aVerb, const YAML::Node& aNode)
  {
    if (aVerb == "advance") {
      const base::Duration time = ParseDuration(aNode.as<std::string>());
      OnStage([&](auto& aStage) { aStage.Advance(time); });
      return;
    }
    if (aVerb == "expect") {
      Expect(aNode);
      return;
    }
    Arguments arguments(aNode);
    if (aVerb == "start") {
      stage_ = MakeStage(arguments);
    } else if (aVerb == "call") {
      OnStage([&](auto& aStage) { aStage.Call(arguments); });
    } else if (aVerb == "submit") {
      OnStage([&](auto& aStage) { aStage.Submit(arguments); });
    } else if (aVerb == "fault") {
      OnStage([&](auto& aStage) { aStage.Fault(arguments); });
    } else {
      throw ScenarioError("unknown step " + aVerb);
    }
    arguments.CheckAllUsed();
  }

  Verdict verdict_;

private:
  template<typename Function>
  void OnStage(Function aFunction)
  {
    std::visit(
      [&](auto& aStage) {
        if (aStage == nullptr) {
          throw ScenarioError("the first step must be start");
        }
        aFunction(*aStage);
      },
      stage_);
  }

  void Expect(const YAML::Node& aNode)
  {
    for (const auto& subject : aNode) {
      const auto name = subject.first.as<std::string>();
      for (const auto& entry : subject.second) {
        const auto field = entry.first.as<std::string>();
        const auto expected = entry.second.as<std::string>();
        std::string seen;
        OnStage([&](auto& aStage) { seen = aStage.Observe(name, field); });
        ++verdict_.expectations_;
        if (!Matches(expected, seen)) {
          verdict_.mismatches_.push_back(
            fmt::format("line {}: {}.{} expected {}, seen {}",
                        entry.first.Mark().line + 1,
                        name,
                        field,
                        expected,
                        seen));
        }
      }
    }
  }

  Stage stage_;
};

} // namespace

Verdict
RunScenario(const std::string& aText)
{
  const YAML::Node file = YAML::Load(aText);
  for (const char* key : { "scenario", "promise", "story" }) {
    if (!file[key]) {
      throw ScenarioError(std::string(key) + " is missing");
    }
  }
  Runner runner;
  for (const YAML::Node& step : file["steps"]) {
    if (!step.IsMap() || step.size() != 1) {
      throw ScenarioError("line " + std::to_string(step.Mark().line + 1) +
                          ": a step is one verb with its arguments");
    }
    const auto verb = step.begin();
    runner.Do(verb->first.as<std::string>(), verb->second);
  }
  return runner.verdict_;
}

} // namespace pumiceturn::scenarios
