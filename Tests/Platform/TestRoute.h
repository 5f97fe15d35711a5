#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace pumiceturn::adapter {

/// @return a route in the operators' format, for requests below "/NAME/". Tests
///         overwrite the fields that they need to differ.
inline nlohmann::json
MakeTestRoute(const std::string& aName, const std::string& aKind)
{
  return { { "name", aName },
           { "hostname", "a.example" },
           { "prefix", "/" + aName + "/" },
           { "kind", aKind },
           { "timeoutMs", 20000 },
           { "sloMs", 300 },
           { "priority", 0 },
           { "service", "service" },
           { "maxAttempts", 2 },
           { "resumable", false },
           { "dueMs", 60000 },
           { "maxWaitS", 120 } };
}

} // namespace pumiceturn::adapter
