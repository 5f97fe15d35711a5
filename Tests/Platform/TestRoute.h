#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace pumiceturn::adapter {

/// @return a route as operators write it, for requests below the path that its
///         name gives; a test changes what it needs otherwise.
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
