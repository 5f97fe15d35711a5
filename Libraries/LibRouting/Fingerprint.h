#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pumiceturn::routing {

/// Length in bytes of the prompt prefix that is hashed for cache affinity.
constexpr std::size_t kPrefixBytes = 256;

/// Hashes a request's service and content for the quarantine table. Entry and
/// Keeper processes must compute the same value, so that content that crashed
/// an endpoint in a batch job is also refused in online requests.
/// @return the fingerprint; never 0.
std::uint64_t
MakeFingerprint(std::string_view aService, std::string_view aPayload);

/// Hashes the first kPrefixBytes of a prompt for cache affinity.
std::uint64_t
HashPrefix(std::string_view aPayload);

} // namespace pumiceturn::routing
