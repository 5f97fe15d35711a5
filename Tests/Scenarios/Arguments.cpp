#include "Scenarios/Arguments.h"

#include <array>
#include <cstdlib>
#include <utility>

namespace pumiceturn::scenarios {

base::Duration
ParseDuration(const std::string& aText)
{
  constexpr std::array<std::pair<const char*, std::int64_t>, 3> kUnits{
    { { "ms", 1000 }, { "s", 1000000 }, { "min", 60000000 } }
  };
  char* rest = nullptr;
  const std::int64_t count = std::strtoll(aText.c_str(), &rest, 10);
  for (const auto& [unit, microseconds] : kUnits) {
    if (rest != aText.c_str() && std::string(rest) == unit) {
      return base::Duration{ count * microseconds };
    }
  }
  throw ScenarioError("not a time: " + aText);
}

Arguments::Arguments(const YAML::Node& aNode)
  : node_(aNode)
{
  if (!node_.IsMap()) {
    throw ScenarioError("line " + std::to_string(Line()) +
                        ": arguments are a map");
  }
}

bool
Arguments::Has(const std::string& aKey) const
{
  return static_cast<bool>(node_[aKey]);
}

std::string
Arguments::Text(const std::string& aKey)
{
  if (!Has(aKey)) {
    throw ScenarioError("line " + std::to_string(Line()) + ": " + aKey +
                        " is missing");
  }
  used_.insert(aKey);
  return node_[aKey].as<std::string>();
}

std::string
Arguments::Text(const std::string& aKey, const std::string& aDefault)
{
  return Has(aKey) ? Text(aKey) : aDefault;
}

std::uint32_t
Arguments::Number(const std::string& aKey, std::uint32_t aDefault)
{
  used_.insert(aKey);
  return node_[aKey].as<std::uint32_t>(aDefault);
}

bool
Arguments::Flag(const std::string& aKey, bool aDefault)
{
  used_.insert(aKey);
  return node_[aKey].as<bool>(aDefault);
}

base::Duration
Arguments::Time(const std::string& aKey, base::Duration aDefault)
{
  return Has(aKey) ? ParseDuration(Text(aKey)) : aDefault;
}

void
Arguments::CheckAllUsed() const
{
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>();
    if (!used_.contains(key)) {
      throw ScenarioError("line " + std::to_string(Line()) + ": unknown key " +
                          key);
    }
  }
}

} // namespace pumiceturn::scenarios
