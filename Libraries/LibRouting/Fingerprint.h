#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pumiceturn::routing {

/// Leading bytes of a prompt that name its prefix for cache affinity.
constexpr std::size_t kPrefixBytes = 256;

/// Names a request's content in the quarantine table. Entries and keepers must
/// agree on it: content that crashed an endpoint in a lot is refused online.
/// @return never 0.
std::uint64_t
MakeFingerprint(std::string_view aService, std::string_view aPayload);

/// Names a prompt's prefix for cache affinity.
std::uint64_t
MakePrefix(std::string_view aPayload);

} // namespace pumiceturn::routing
