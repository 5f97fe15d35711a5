#include "LibStandin/Base64.h"

#include <openssl/evp.h>

namespace pumiceturn::standin {

namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupChars = 4;

const unsigned char*
Unsigned(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  const std::size_t groups = (aBytes.size() + kGroupBytes - 1) / kGroupBytes;
  // One more character, for the zero byte that the library appends.
  std::string text(groups * kGroupChars + 1, '\0');
  const int length =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    Unsigned(aBytes),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.empty()) {
    return std::string{};
  }
  if (aText.size() % kGroupChars != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kGroupChars * kGroupBytes, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    Unsigned(aText),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // The library counts the padding's zero bytes as data.
  std::size_t padding = 0;
  while (padding < 2 && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

} // namespace pumiceturn::standin
