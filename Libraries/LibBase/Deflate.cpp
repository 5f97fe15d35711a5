#include "LibBase/Deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace pumiceturn::base {

namespace zlib = boost::beast::zlib;

std::vector<std::uint8_t>
Deflate(std::span<const std::uint8_t> aBytes)
{
  zlib::deflate_stream stream;
  std::vector<std::uint8_t> compressed(stream.upper_bound(aBytes.size()));
  zlib::z_params parameters;
  parameters.next_in = aBytes.data();
  parameters.avail_in = aBytes.size();
  parameters.next_out = compressed.data();
  parameters.avail_out = compressed.size();
  boost::system::error_code ignored;
  // The buffer is large enough for any input, so this ends the stream.
  stream.write(parameters, zlib::Flush::finish, ignored);
  compressed.resize(parameters.total_out);
  return compressed;
}

std::optional<std::vector<std::uint8_t>>
Inflate(std::span<const std::uint8_t> aStream, std::size_t aSize)
{
  zlib::inflate_stream stream;
  // One byte more shows whether the stream holds more than expected.
  std::vector<std::uint8_t> bytes(aSize + 1);
  zlib::z_params parameters;
  parameters.next_in = aStream.data();
  parameters.avail_in = aStream.size();
  parameters.next_out = bytes.data();
  parameters.avail_out = bytes.size();
  boost::system::error_code error;
  stream.write(parameters, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream || parameters.total_out != aSize) {
    return std::nullopt;
  }
  bytes.resize(aSize);
  return bytes;
}

} // namespace pumiceturn::base
