#pragma once

#include "Scenarios/Arguments.h"

#include <string>
#include <vector>

namespace pumiceturn::scenarios {

/// What a scenario's run showed.
struct Verdict
{
  std::size_t expectations_ = 0;        ///< Compared.
  std::vector<std::string> mismatches_; ///< One line for each that failed.
};

/// Runs one scenario in virtual time, by docs/SCENARIOS.md. The same file gives
/// the same verdict each time.
/// @param aText YAML.
/// @return what was expected and not seen; throws ScenarioError or
/// YAML::Exception where the file is wrong.
Verdict
RunScenario(const std::string& aText);

} // namespace pumiceturn::scenarios
