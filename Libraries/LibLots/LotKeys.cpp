#include "LibLots/LotKeys.h"

#include <fmt/format.h>

#include <charconv>

namespace pumiceturn::lots {

namespace {

std::optional<std::uint32_t>
ParseNumber(std::string_view aText)
{
  std::uint32_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string
MakeKey(const LotKey& aKey)
{
  switch (aKey.part_) {
    case KeyPart::State:
      return aKey.lot_ + "/state";
    case KeyPart::Progress:
      return aKey.lot_ + "/progress";
    case KeyPart::Content:
      return fmt::format("{}/content/{:06}", aKey.lot_, aKey.number_);
    case KeyPart::Results:
      break;
  }
  return fmt::format("{}/result/{:06}", aKey.lot_, aKey.number_);
}

std::optional<LotKey>
ParseKey(std::string_view aText)
{
  const std::size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  LotKey key;
  key.lot_ = std::string(aText.substr(0, slash));
  const std::string_view rest = aText.substr(slash + 1);
  if (rest == "state") {
    return key;
  }
  if (rest == "progress") {
    key.part_ = KeyPart::Progress;
    return key;
  }
  const std::size_t second = rest.find('/');
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view name = rest.substr(0, second);
  const auto number = ParseNumber(rest.substr(second + 1));
  if (!number || (name != "content" && name != "result")) {
    return std::nullopt;
  }
  key.part_ = name == "content" ? KeyPart::Content : KeyPart::Results;
  key.number_ = *number;
  return key;
}

} // namespace pumiceturn::lots
