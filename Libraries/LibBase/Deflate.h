#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace pumiceturn::base {

/// @return the bytes compressed in zlib's format, which ends with a checksum.
[[nodiscard]] std::vector<std::uint8_t>
Deflate(std::span<const std::uint8_t> aBytes);

/// @param aSize Size of the original bytes. Bounds the memory that the result
///              takes, so check it against a limit if it isn't trusted.
/// @return the original bytes; std::nullopt if the stream is malformed or holds
///         another number of bytes.
[[nodiscard]] std::optional<std::vector<std::uint8_t>>
Inflate(std::span<const std::uint8_t> aStream, std::size_t aSize);

} // namespace pumiceturn::base
