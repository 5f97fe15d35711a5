#include "LibEntry/TokenDigest.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <iterator>

namespace pumiceturn::entry {

std::string
DigestToken(std::string_view aToken)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(aToken.data(),
             aToken.size(),
             digest.data(),
             &length,
             EVP_sha256(),
             nullptr);
  std::string text;
  for (unsigned int index = 0; index < length; ++index) {
    fmt::format_to(std::back_inserter(text), "{:02x}", digest.at(index));
  }
  return text;
}

} // namespace pumiceturn::entry
