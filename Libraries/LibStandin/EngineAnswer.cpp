#include "LibStandin/EngineAnswer.h"

#include "LibBase/Ids.h"

#include <fmt/format.h>

namespace pumiceturn::standin {

namespace {

constexpr std::uint32_t kDefaultMaxTokens = 16;
constexpr std::uint64_t kLengthSeed = 0x6C656E677468ULL;
constexpr std::uint64_t kTokenMask = 0xFFFFFFULL;

} // namespace

std::vector<std::string>
EngineAnswer(std::string_view aPrompt, std::uint32_t aMaxTokens)
{
  const std::uint32_t limit = aMaxTokens == 0 ? kDefaultMaxTokens : aMaxTokens;
  const std::uint64_t choice = base::HashBytes(aPrompt, kLengthSeed);
  const auto length =
    static_cast<std::uint32_t>(limit - choice % (limit / 2 + 1));
  const std::uint64_t promptHash = base::HashBytes(aPrompt);
  std::vector<std::string> tokens;
  tokens.reserve(length);
  for (std::uint32_t index = 0; index < length; ++index) {
    const std::string seeded = fmt::format("{:016x}/{}", promptHash, index);
    tokens.push_back(fmt::format(
      "{}{:06x}", index == 0 ? "" : " ", base::HashBytes(seeded) & kTokenMask));
  }
  return tokens;
}

std::string
EngineAnswerText(std::string_view aPrompt, std::uint32_t aMaxTokens)
{
  std::string text;
  for (const std::string& token : EngineAnswer(aPrompt, aMaxTokens)) {
    text += token;
  }
  return text;
}

} // namespace pumiceturn::standin
