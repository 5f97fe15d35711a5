#pragma once

#include "LibBase/Time.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>

namespace pumiceturn::scenarios {

/// A scenario that cannot be run as written: a mistake in the file, not in what
/// it tests.
struct ScenarioError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// @param aText "250ms", "3s" or "2min".
base::Duration
ParseDuration(const std::string& aText);

/// The named arguments of one step. A key that the step does not know is an
/// error, so that a misspelt one cannot make a scenario test nothing.
class Arguments
{
public:
  explicit Arguments(const YAML::Node& aNode);

  /// @return an argument that must be there.
  std::string Text(const std::string& aKey);
  std::string Text(const std::string& aKey, const std::string& aDefault);
  std::uint32_t Number(const std::string& aKey, std::uint32_t aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  base::Duration Time(const std::string& aKey, base::Duration aDefault);
  [[nodiscard]] bool Has(const std::string& aKey) const;

  /// Throws ScenarioError if a key was not asked for.
  void CheckAllUsed() const;

  [[nodiscard]] int Line() const { return node_.Mark().line + 1; }

private:
  YAML::Node node_;
  std::set<std::string> used_;
};

} // namespace pumiceturn::scenarios
