#include "LibBase/Base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace pumiceturn::base {

namespace {

constexpr std::size_t kPlainGroup = 3;
constexpr std::size_t kCodedGroup = 4;

const unsigned char*
BytesOf(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

std::size_t
CountPadding(std::string_view aText)
{
  const auto last = aText.substr(aText.size() - 2);
  return static_cast<std::size_t>(std::count(last.begin(), last.end(), '='));
}

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  const std::size_t groups = (aBytes.size() + kPlainGroup - 1) / kPlainGroup;
  // The library also writes a terminating zero.
  std::string text(groups * kCodedGroup + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  BytesOf(aBytes),
                  static_cast<int>(aBytes.size()));
  text.pop_back();
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.empty()) {
    return std::string{};
  }
  if (aText.size() % kCodedGroup != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kCodedGroup * kPlainGroup, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    BytesOf(aText),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(length) - CountPadding(aText));
  return bytes;
}

} // namespace pumiceturn::base
