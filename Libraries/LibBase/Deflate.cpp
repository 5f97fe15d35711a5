#include "LibBase/Deflate.h"

#include <zlib.h>

#include <new>

namespace pumiceturn::base {

std::vector<std::uint8_t>
Deflate(std::span<const std::uint8_t> aBytes)
{
  uLongf size = compressBound(aBytes.size());
  std::vector<std::uint8_t> compressed(size);
  // Can't fail with a buffer of this size, except for lack of memory.
  if (compress(compressed.data(), &size, aBytes.data(), aBytes.size()) !=
      Z_OK) {
    throw std::bad_alloc();
  }
  compressed.resize(size);
  return compressed;
}

std::optional<std::vector<std::uint8_t>>
Inflate(std::span<const std::uint8_t> aStream, std::size_t aSize)
{
  // One byte more shows whether the stream holds more than expected.
  std::vector<std::uint8_t> bytes(aSize + 1);
  uLongf size = bytes.size();
  const int result =
    uncompress(bytes.data(), &size, aStream.data(), aStream.size());
  if (result != Z_OK || size != aSize) {
    return std::nullopt;
  }
  bytes.resize(aSize);
  return bytes;
}

} // namespace pumiceturn::base
