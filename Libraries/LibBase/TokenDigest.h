#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace pumiceturn::base {

/// SHA-256 of an access token. Tokens themselves are neither kept nor logged.
using TokenDigest = std::array<std::uint8_t, 32>;

TokenDigest
DigestToken(std::string_view aToken);

/// @return lower-case hexadecimal digits, as declarations write a digest.
std::string
ToString(const TokenDigest& aDigest);

/// A digest's bytes are as good as random already.
struct TokenDigestHash
{
  std::size_t operator()(const TokenDigest& aDigest) const noexcept
  {
    std::size_t hash = 0;
    std::memcpy(&hash, aDigest.data(), sizeof(hash));
    return hash;
  }
};

} // namespace pumiceturn::base
