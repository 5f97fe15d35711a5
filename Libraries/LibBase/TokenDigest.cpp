#include "LibBase/TokenDigest.h"

#include <fmt/format.h>
#include <openssl/sha.h>

namespace pumiceturn::base {

TokenDigest
DigestToken(std::string_view aToken)
{
  TokenDigest digest{};
  static_assert(digest.size() == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char*>(aToken.data()),
         aToken.size(),
         digest.data());
  return digest;
}

std::string
ToString(const TokenDigest& aDigest)
{
  return fmt::format("{:02x}", fmt::join(aDigest, ""));
}

} // namespace pumiceturn::base
