#include "LibBase/Deflate.h"

#include <catch2/catch.hpp>

#include <random>

namespace pumiceturn::base {

class DeflateFixture
{
protected:
  /// @param aAlphabet Number of different bytes; fewer compress better.
  std::vector<std::uint8_t> RandomBytes(std::size_t aSize, unsigned aAlphabet)
  {
    std::uniform_int_distribution<unsigned> draw(0, aAlphabet - 1);
    std::vector<std::uint8_t> bytes(aSize);
    for (std::uint8_t& byte : bytes) {
      byte = static_cast<std::uint8_t>(draw(random_));
    }
    return bytes;
  }

  std::mt19937 random_{ 1 };
};

// Guards against contents that some host can't decompress.
TEST_CASE_METHOD(DeflateFixture, "Deflate_AnyContent_IsRestored")
{
  for (const unsigned alphabet : { 1U, 2U, 16U, 256U }) {
    for (std::size_t size = 0; size < 3000; size += 7) {
      const auto bytes = RandomBytes(size, alphabet);
      const auto restored = Inflate(Deflate(bytes), size);
      INFO(size << " bytes of " << alphabet << " kinds");
      REQUIRE(restored);
      REQUIRE(*restored == bytes);
    }
    const auto large = RandomBytes(1000000, alphabet);
    REQUIRE(Inflate(Deflate(large), large.size()) == large);
  }
}

TEST_CASE_METHOD(DeflateFixture, "Deflate_RepetitiveContent_IsSmaller")
{
  CHECK(Deflate(RandomBytes(100000, 1)).size() < 1000);
}

// Guards against memory beyond the stated size, and against partial contents.
TEST_CASE_METHOD(DeflateFixture, "Inflate_OtherSizeThanStated_IsRejected")
{
  const auto stream = Deflate(RandomBytes(1000, 16));
  CHECK_FALSE(Inflate(stream, 999));
  CHECK_FALSE(Inflate(stream, 1001));
  CHECK_FALSE(Inflate({ stream.data(), stream.size() / 2 }, 1000));
  CHECK_FALSE(Inflate({}, 0));
}

TEST_CASE_METHOD(DeflateFixture, "Inflate_CorruptStream_IsRejected")
{
  constexpr std::size_t kSize = 2000;
  const auto bytes = RandomBytes(kSize, 16);
  const auto valid = Deflate(bytes);
  for (int input = 0; input < 2000; ++input) {
    auto stream = valid;
    stream[random_() % stream.size()] ^=
      static_cast<std::uint8_t>(1U + random_() % 255U);
    CHECK(Inflate(stream, kSize).value_or(bytes) == bytes);
  }
}

} // namespace pumiceturn::base
