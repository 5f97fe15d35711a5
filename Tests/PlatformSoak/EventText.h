#pragma once

#include <cstddef>
#include <string>

namespace pumiceturn::adapter {

// Reads the event streams that ServerStandin sends.

/// @return the complete events at the beginning of a body.
[[nodiscard]] std::string
CompleteEvents(const std::string& aBody);

[[nodiscard]] std::size_t
CountEvents(const std::string& aEvents);

/// @return the software version that the first event names.
[[nodiscard]] std::string
VersionOf(const std::string& aEvents);

} // namespace pumiceturn::adapter
